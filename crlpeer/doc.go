// Package crlpeer makes calls between daemons by JSON-RPC 2.0 over TCP.
//
// A [Mux] serves the methods that other packages of the daemon register. Each connection is served by a goroutine of its
// own, and each call by another, up to a limit per connection.
//
// A [Client] keeps one connection to each peer, shared by concurrent calls, and opens a new one after a failure. A failed
// call returns an [*Error]; no call is repeated by this package. A call that failed may still have been executed by the
// peer, unless [Error.Refused] holds. Calling packages declare a small Caller interface that Client implements.
package crlpeer
