package crlrouter

import (
	"testing"
	"time"
)

// TestSharesOfDaemonsThatAreCutOff guards against a router that is cut off from the store and goes on with its share of common limits
// while the store may give it to others.
func TestSharesOfDaemonsThatAreCutOff(t *testing.T) {
	runCluster(t, 6, func(store *memoryStore, routers []*Router) {
		sum := func() (total float64) {
			for _, r := range routers {
				total += r.members.share()
			}
			return total
		}
		time.Sleep(10 * time.Second)
		if got := sum(); got < 1-1e-9 || got > 1+1e-9 {
			t.Errorf("the shares of six routers add up to %.3f, want 1", got)
		}
		store.storeView(2).refuse.Store(true)
		time.Sleep(6 * time.Second)
		if got := routers[2].members.share(); got != 0 {
			t.Errorf("a router that the store has refused for 6 s has a share of %.3f, want 0", got)
		}
		store.storeView(2).refuse.Store(false)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			if got := sum(); got > 1+1e-9 {
				t.Errorf("the shares add up to %.3f after a router returned, want at most 1", got)
			}
		}
		if got := sum(); got < 1-1e-9 {
			t.Errorf("the shares add up to %.3f ten seconds after a router returned, want 1", got)
		}
	})
}
