// Package crlroute holds the routing table of generic HTTP routes.
//
// A Table maps the host and the path prefix of a request to a Route, which
// names the services that its requests are split between, whether they may be
// repeated and whether they need an API key. A Table also holds the services,
// the API keys of the organisations and the limits on what callers send.
//
// A platform's adapter builds a Table from a TableConfig. A Table is immutable
// and safe for concurrent use; a request keeps the table that was current when
// it arrived.
package crlroute
