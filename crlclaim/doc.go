// Package crlclaim ensures that a non-idempotent request runs at most once in the fleet.
//
// A request is identified by its organisation and its idempotency key, which the caller chose. Before a daemon sends the
// request to a backend server, it appends a [Claim] to the stream [Stream] of the platform's log. The first claim of a key in
// offset order wins; a [Fold] computes this, so all daemons agree. Only the daemon that appended the winning claim may send
// the request, once, before the claim's deadline, and after it has applied the claim from the log. It then appends the
// [Outcome], so that every daemon can answer a repeated request with the recorded answer. A request that certainly did not
// run gets a [Release] instead, and its key may be claimed again.
//
// A [Registry] appends claims, waits for their verdicts and records outcomes. It is safe for concurrent use: only tasks of its
// [Loop] access its state. A Fold is a state machine without I/O and not safe for concurrent use.
//
// While the log is unavailable, or the Registry's fold may have missed entries, Registry.Claim fails with [ErrUnavailable] or
// [ErrUndecided], and the request must not be sent.
package crlclaim
