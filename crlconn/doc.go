// Package crlconn tracks the connections that an HTTP server has accepted.
//
// A Tracker knows for each connection whether bytes of a request have arrived since the last answer. It reports connections
// that are closed at that point, since their callers get no answer and no handler of the server may have seen the request.
package crlconn
