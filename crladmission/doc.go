// Package crladmission decides for each request of a model engine's service, before its first send, whether it is sent, waits at
// the router for a bounded time, or is rejected with the time after which its caller should return; and whether a larger model may
// be used for it.
//
// A Controller has no goroutines, does no I/O and reads no clock: callers report events and pass the time. It knows only what its own
// router sent and observed. All of its decisions follow from ratios, such as the part of the demand that was served, so that
// routers that see different parts of the same load reject the same share without exchanging messages.
//
// The evidence is conservative. A request is rejected for its deadline only if several recent requests, at two servers or more, which were
// no heavier and no less urgent, all waited longer than the request can. It is rejected for the sake of other organisations only if most of the
// recent requests of its rank were late, and its organisation asks for more than its max-min fair share of what the servers begin.
//
// A Controller is safe for concurrent use.
package crladmission
