// Package crlforward forwards generic HTTP requests from callers to backend servers.
//
// Service is the HTTP handler. A request passes filters in a fixed order:
// request headers, route, API key, age of the configuration's last confirmation,
// body, choice of a service. Then come the sends: a server is picked, the
// request is sent to it, and its answer is relayed, or the request is sent to
// another server where that is safe. A request that must not run twice is sent
// again only when the server cannot have run it. A request that gets no answer
// ends with a Refusal, whose reason states truthfully whether the request may
// have run. A stream that has started and can't be completed ends with an
// aborted connection.
//
// On a route that lists several models, a request goes to the smallest one
// first. If its answer states a low confidence, the request is escalated: it is
// sent again, to the largest model, whose answer the caller gets.
//
// A router that opens no connection to any server hands requests over to other
// routers, which forward them like those of their own callers and never hand
// them over again.
//
// Dialect is the only code that knows the names of a platform's headers.
//
// All types are safe for concurrent use. Each request is handled on the
// goroutine that called ServeHTTP; what requests share is behind a mutex or
// atomic.
package crlforward
