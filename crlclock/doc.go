// Package crlclock measures elapsed time, including time in which the VM was suspended.
//
// The runtime's monotonic clock stops while a VM is suspended, so an age that is measured with it can be too small. A
// daemon that may act only on recently confirmed data would then act on data that is too old. Such ages are therefore
// measured with BootTime, the operating system's boot-time clock. Code receives its clock as a Clock, so that tests can
// replace it.
//
// Sleep, Ticker and context.WithTimeout also replace the channels of time.Timer and time.Ticker in code that tests run with
// testing/synctest. There, Go 1.26 runs a timer that is due on the goroutine that looks at its channel, or that calls
// time.AfterFunc with no time to wait, but under one race context for the whole bubble. Two threads that use it at once crash
// the race detector.
//
// WithStallTimeout gives a transfer as much time as it takes, as long as some of it goes on arriving.
//
// All functions of the package are safe for concurrent use.
package crlclock
