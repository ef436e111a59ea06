// Package crlforward carries generic HTTP requests from callers to backend servers.
//
// A request passes filters in a fixed order: route, key, proof of the
// configuration, body, admission. Then attempts follow: a server is picked, the
// request is sent, and the answer is relayed, or another attempt is made where
// that is safe. What a platform calls its headers is known to a Dialect only.
package crlforward
