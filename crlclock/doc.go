// Package crlclock measures elapsed time, including time in which the VM was suspended.
//
// The runtime's monotonic clock stops while a VM is suspended, so an age that is measured with it can be too small. A
// daemon that may act only on recently confirmed data would then act on data that is too old. Such ages are therefore
// measured with BootTime, the operating system's boot-time clock. Code receives its clock as a Clock, so that tests can
// replace it.
//
// The package has no state that changes; all its functions are safe for concurrent use.
package crlclock
