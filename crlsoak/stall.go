package crlsoak

import (
	"context"
	"fmt"
	"time"
)

const (
	stallPollInterval = 50 * time.Millisecond
	// stallBound is a quarter of the shortest promise that is checked, two seconds: store, servers and callers run in this process, so
	// that what happens while it stands still is dated too late.
	maxStall = 500 * time.Millisecond
)

// StallError tells that the soak stood still, so that its run can't be judged.
type StallError struct{ Stall time.Duration }

// Error returns the error's text.
func (e *StallError) Error() string {
	return fmt.Sprintf("the soak itself stood still for %s: what it saw can't be dated", e.Stall.Round(time.Millisecond))
}

// watchStalls returns, once ctx ended, the longest time for which the process stood still.
func watchStalls(ctx context.Context, sleep func(time.Duration)) <-chan time.Duration {
	result := make(chan time.Duration, 1)
	go func() {
		var longest time.Duration
		for last := time.Now(); ctx.Err() == nil; {
			sleep(stallPollInterval)
			now := time.Now()
			longest = max(longest, now.Sub(last)-stallPollInterval)
			last = now
		}
		result <- longest
	}()
	return result
}
