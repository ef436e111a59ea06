package crlrelay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// confirmedSince returns the number of routers whose copy was confirmed after a moment.
func (f *storeFleet) confirmedSince(at crlclock.Instant) (count int) {
	for _, r := range f.routers {
		if r.replica.ConfirmedAt() > at {
			count++
		}
	}
	return count
}

// TestAllRoutersAreConfirmedSoonAfterAnOutage guards against routers that reject requests long after the store is back, because during the outage
// each one asks one unconfirmed source after the other and misses those that have read the store since. From the first router's read, the news may
// take the held time of one call for each of the two steps of the tree.
func TestAllRoutersAreConfirmedSoonAfterAnOutage(t *testing.T) {
	const limit = 2 * FollowWait
	for _, size := range []struct{ members, domains, phases int }{{9, 3, 4}, {63, 4, 4}, {74, 3, 4}, {295, 6, 2}} {
		if testing.Short() && size.members > 63 {
			continue
		}
		for _, bounds := range []relayBounds{twoSeconds, threeSeconds} {
			t.Run(fmt.Sprintf("%d/%s", size.members, bounds.bound), func(t *testing.T) {
				for phase := range size.phases {
					took := timeAfterOutage(t, size.members, size.domains, bounds, 8*time.Second+time.Duration(phase)*137*time.Millisecond)
					t.Logf("phase %d: %s", phase, took)
					if took > limit {
						t.Errorf("phase %d: the last router was confirmed %s after the first one, want at most %s", phase, took, limit)
					}
				}
			})
		}
	}
}

// timeAfterOutage lets the store be down for a time and returns how long after the first router the last one was confirmed.
func timeAfterOutage(t *testing.T, members, domains int, bounds relayBounds, down time.Duration) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startStoreFleet(ctx, members, domains, bounds, storeTime)
		time.Sleep(12 * time.Second)
		for _, r := range f.routers {
			r.refused.Store(true)
		}
		time.Sleep(down)
		for _, r := range f.routers {
			r.refused.Store(false)
		}
		backAt := f.routers[0].now()
		var first crlclock.Instant
		for range 1000 {
			confirmed := f.confirmedSince(backAt)
			if first == 0 && confirmed > 0 {
				first = f.routers[0].now()
			}
			if confirmed == members {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		took = f.routers[0].now().Sub(first)
		cancel()
		time.Sleep(10 * time.Second)
	})
	return took
}
