// Package crlqueue limits the number of requests that a daemon handles concurrently.
//
// Queue.Enter admits a request until its answer is complete, or returns a *Refusal with the time after which to retry. Despite
// the name, no request waits in a Queue: a request above the limit is refused at once, so the first request to arrive is the
// first admitted. The weight, the guarantee and the other fields of a Request do not yet influence the decision.
//
// A Queue is safe for concurrent use. It keeps its count in memory only. The only error of Enter is a *Refusal.
package crlqueue
