// Package crlhistory checks, after a test run with concurrent requests and injected faults, that the system kept its
// guarantees.
//
// A History holds both sides of a run: the requests that backend servers really ran (crlfake.Run) and what callers observed
// (Observation). History.Check checks every Guarantee and returns each Violation that it finds. The checks need nothing but
// the History, so that random fault tests in one process and tests with real processes can share them.
//
// Checks do no I/O. A History must not change while Check runs.
package crlhistory
