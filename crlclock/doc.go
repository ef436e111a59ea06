// Package crlclock tells how much time has passed, also while the machine was suspended.
//
// The runtime's monotonic clock stands still while a VM is frozen, so that the
// age of a proof would come out too small. Ages that bound what a daemon may
// still do are counted on the boot-time clock.
package crlclock
