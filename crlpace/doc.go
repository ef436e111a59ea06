// Package crlpace learns how fast the servers of an inference engine are, and predicts what a request costs there.
//
// An [Estimator] learns three things from the requests that a daemon sends. Per service and model: the time that a prompt token
// takes, and the time per token of an answer as a function of the number of running requests. Per server: its speed relative to the other
// servers of its service. [Estimator.Predict] combines them.
//
// The time to the first event is modelled as a constant plus a time per prompt token, with a time of its own for tokens of parts that
// several prompts share, as a server may have those cached. The line is fitted to the fast answers (a low expectile). Time in
// a queue doesn't depend on the length of the prompt that waits, so it adds to the constant and not to the time per token.
//
// What is learned is kept as weighted sums of a fixed number, which decay with time. Estimators of several daemons exchange these sums
// over the relay tree: a follower reports the sums of its subtree, and its source replies with all others. A message replaces the previous one of
// the same incarnation, so that one that arrives twice counts once.
//
// An Estimator does no I/O, starts no goroutine and may be used by several goroutines.
package crlpace
