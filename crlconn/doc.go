// Package crlconn tracks the connections that an HTTP server has accepted, and closes them without losing a request.
//
// A Tracker knows for each connection whether bytes of a request have arrived since the last answer. Its Drain closes only
// connections without such bytes, and reads none while it does, so that a request is either answered or not read at all. net/http gives no such guarantee: Server.Shutdown drops a request that is read after its call, and Server.SetKeepAlivesEnabled
// closes a connection whose request's header has only partly arrived.
//
// A Tracker also reports connections that are closed for any other reason before any byte of an answer was written, since no
// handler of the server may have seen their requests.
package crlconn
