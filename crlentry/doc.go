// Package crlentry handles callers' requests: it authenticates, admits, routes and bills them and returns their answers.
//
// A Service runs each request through a fixed chain of filters, one for each kind of call:
//   - A chat call is answered by a language model. It passes authentication, class look-up, session look-up, admission,
//     planning (the choice of the model version), dispatch and billing.
//   - A call that resumes an interrupted chat answer passes authentication, the opening of its stream token, dispatch and
//     billing.
//   - A call of a plain service is forwarded unchanged to a backend server that runs no model. It passes authentication,
//     service look-up, admission, dispatch and billing. Unless the service is idempotent, the call is claimed before
//     dispatch: a record in the log gives one daemon the right to send the call with this idempotency key.
//
// A Service works on Go values; Server exposes it over HTTP with an OpenAI-compatible interface.
//
// All methods may be called concurrently; each request is handled on its caller's goroutine, except that a delivered
// answer is rated in the background. A request uses the configuration snapshot loaded at its entry, and dispatch checks
// the newest snapshot again just before each send.
//
// Every failure is returned as a *Refusal, which says whether the request ran. A failed attempt is repeated at another
// server while no part of an answer has reached the caller; for a call that isn't idempotent, only if the failed attempt
// certainly did not run. A chat answer that breaks later is resumed at the server that generates it.
package crlentry
