package crlsoak

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestStallIsSeen is the pattern of seed 503: the machine had more to do than it could, the soak's own servers stood still
// for four seconds, and requests that were sent in time counted as late.
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
				t.Errorf("stood still for %s, seen %s", stall, got)
			}
		})
	}
}
