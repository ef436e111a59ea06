// Package crltest runs the module's tests with go test, passes over those that are known to fail, and summarises the results.
//
// A known failure is an entry of a text file (ParseKnownRed). A Summary reads what go test -json prints.
package crltest
