// Command cranberrylock-test runs the module's tests, except those that KNOWN-RED.txt lists, which it prints with what was seen.
//
// Its arguments, after --, are passed to go test; flags have the form -name=value. Without packages among them, all are tested. It ends with the number of tests that passed, failed and were
// skipped, and fails if any test did.
package main
