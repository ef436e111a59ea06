// Package crlqueue limits the number of requests that a daemon handles concurrently.
//
// Queue.Enter admits a request until its answer is complete, or returns a *Refusal with the time after which to retry. It
// never waits: requests above the limit are refused at once, so the first request to arrive is the first admitted. The
// weight, the guarantee and the class flags of a Request do not yet influence the decision.
//
// A Queue is safe for concurrent use. It keeps its count in memory only and has no other failure than a refusal.
package crlqueue
