package crlclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on a Clock, as the time since an unspecified origin. Instants of different clocks can't be compared.
type Instant time.Duration

// Sub returns the time from an earlier instant to this one, negative if that one is later.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant that is d after this one.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Clock returns the current instant. It must be safe for concurrent use.
type Clock func() Instant

// BootTime returns the time since the VM's boot, including time in which it was suspended. Where the system has no
// boot-time clock, it returns the time since the process started, by the runtime's monotonic clock.
func BootTime() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(now.Nano())
}

// NewMonotonic returns a clock that follows the runtime's monotonic clock, which tests can control with testing/synctest.
// Its first instant is one hour after the origin, so that an age counted from the zero Instant, which stands for "never" in
// several types, is long from the start.
func NewMonotonic() Clock {
	start := time.Now()
	return func() Instant { return Instant(time.Since(start)).Add(time.Hour) }
}

// processStart is the origin of BootTime where the system has no boot-time clock.
var processStart = time.Now()

// Sleep waits for the duration d or until ctx ends, whichever comes first. It measures d with the runtime's monotonic
// clock, so that a suspension of the VM doesn't count.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
