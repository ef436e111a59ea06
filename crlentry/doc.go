// Package crlentry handles callers' requests: it authenticates, admits, routes and bills them and returns their answers.
//
// A Service runs each request through a fixed chain of filters. Chat calls pass authentication, class look-up, session
// look-up, admission, planning, dispatch and billing; calls of plain services are also claimed by their idempotency key
// before dispatch unless the service is idempotent. A Service works on Go values; Server exposes it over HTTP with an
// OpenAI-compatible interface.
//
// All methods may be called concurrently; each request is handled on its caller's goroutine, except that a delivered
// answer is rated in the background. A request uses the configuration snapshot loaded at its entry, and dispatch checks
// the newest snapshot again just before each send.
//
// Every failure is returned as a *Refusal, which says whether the request ran. A failed attempt is repeated at another
// server while no part of an answer has reached the caller; for a call that isn't idempotent, only if the failed attempt
// surely did not run. A chat answer that breaks later is resumed at the server that generates it.
package crlentry
