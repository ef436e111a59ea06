package crlsoak

import (
	"context"
	"fmt"
	"time"
)

const (
	stallPollInterval = 50 * time.Millisecond
	// maxStall is a quarter of the shortest limit that is checked, two seconds. The store, the backend servers and the callers run
	// in this process, so events during a stall get late time stamps.
	maxStall = 500 * time.Millisecond
)

// StallError reports that the process of the soak test was not scheduled for a while, so that its time stamps are unreliable
// and the run can't be judged.
type StallError struct {
	Stall time.Duration // the longest stall
}

// Error returns the error as text.
func (e *StallError) Error() string {
	return fmt.Sprintf("the soak test's own process stalled for %s, so its time stamps are unreliable", e.Stall.Round(time.Millisecond))
}

// watchStalls polls the clock until ctx ends. Then it sends the longest time by which a poll came later than it should.
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
