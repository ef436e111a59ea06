// Command cranberrylock-soak runs routers as processes on loopback under random faults and checks their guarantees.
//
// It runs one or more seeds, prints a report of each, and exits with status 1 if a guarantee was broken or a seed could not be
// judged, for example since the soak test's own process stalled.
package main
