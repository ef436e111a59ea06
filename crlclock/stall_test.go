package crlclock

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestStallTimeoutCountsFromTheLatestProgress guards against transfers that are given up while they go on, or that are kept when they
// have stopped.
func TestStallTimeoutCountsFromTheLatestProgress(t *testing.T) {
	for _, test := range []struct {
		name     string
		progress []time.Duration // times of the calls of Progress
		want     time.Duration
	}{
		{name: "none", want: 3 * time.Second},
		{name: "one", progress: []time.Duration{2500 * time.Millisecond}, want: 3500 * time.Millisecond},
		{name: "early", progress: []time.Duration{100 * time.Millisecond}, want: 1100 * time.Millisecond},
		{name: "several", progress: []time.Duration{2 * time.Second, 2900 * time.Millisecond, 3800 * time.Millisecond}, want: 4800 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, stop := WithStallTimeout(t.Context(), 3*time.Second, time.Second)
				defer stop()
				for _, at := range test.progress {
					time.Sleep(at - time.Since(start))
					Progress(ctx)
				}
				<-ctx.Done()
				if took := time.Since(start); took != test.want || !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
					t.Errorf("ended after %s by %v, want %s by a deadline", took, context.Cause(ctx), test.want)
				}
			})
		})
	}
}
