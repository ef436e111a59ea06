package crlsoak

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestStallIsDetected checks that a stall of four seconds is detected and that a run without one passes. On an overloaded
// machine (seed 503) the soak test's own servers stalled for four seconds, and requests that had been sent in time were
// reported as late.
func TestStallIsDetected(t *testing.T) {
	for _, stall := range []time.Duration{0, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			sleeps := 0
			stalls := watchStalls(ctx, func(d time.Duration) {
				if sleeps++; sleeps == 10 {
					d += stall
				}
				time.Sleep(d)
			})
			time.Sleep(time.Second + stall)
			cancel()
			if got := <-stalls; (got > maxStall) != (stall > maxStall) {
				t.Errorf("stalled for %s, detected %s", stall, got)
			}
		})
	}
}
