package crlclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on a clock that never stands still, as time since an unnamed origin.
type Instant time.Duration

// Sub returns the time from an earlier instant to this one.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant after a time.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Clock tells the present instant.
type Clock func() Instant

// Boot reads the boot-time clock, and the runtime's clock where the system has none.
func BootTime() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(now.Nano())
}

// NewMonotonic returns a clock on the runtime's monotonic time, which tests can pause and advance.
func NewMonotonic() Clock {
	start := time.Now()
	return func() Instant { return Instant(time.Since(start)).Add(time.Hour) }
}

var processStart = time.Now()

// Sleep waits for a time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
