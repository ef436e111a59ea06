// Package crlroute holds the table of generic HTTP routes: which host and path
// prefix lead to which service, what may be repeated there, and whose key opens it.
//
// A Table is immutable. The adapter of a platform and the INI configuration
// both build it, and every request is served under the one it met on arrival.
package crlroute
