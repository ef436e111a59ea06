// Package crlrollout decides how much of a service's work a new version gets.
//
// A Book holds the operators' orders, the states that daemons have written for
// them and what this daemon saw of both versions. It is a pure state machine:
// callers give the time, read a Plan for each request and write the states
// that are due. Sessions keep their version in the first half of a roll-out,
// and never leave a new version that is well.
package crlrollout
