package crlrouter

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// TestConfigurationIsInForceInTimeWhenReadersLoseTheStore guards against routers that go on with a replaced configuration for longer than the
// deployment allows, because the routers that read the store for them have lost it: at some moment before the change, it refuses one
// or both of them, sends them nothing, or the connections on which they wait for orders go silent. A hunt broke CONFIG in this way.
func TestConfigurationIsInForceInTimeWhenReadersLoseTheStore(t *testing.T) {
	const (
		count   = 9
		allowed = 2 * time.Second // the bound of present deployments
	)
	modes := map[string]func(*storeView){
		"refused":        func(v *storeView) { v.refuse.Store(true) },
		"silent":         func(v *storeView) { v.silent.Store(true) },
		"one-connection": func(v *storeView) { v.silencedOrders.Add(1) },
	}
	for mode, lose := range modes {
		for lost := 1; lost <= crlrelay.ReaderCount; lost++ {
			t.Run(fmt.Sprintf("%s/%d", mode, lost), func(t *testing.T) {
				forEachPhase(func(phase, before time.Duration) {
					runCluster(t, count, func(store *memoryStore, routers []*Router) {
						time.Sleep(phase)
						for n := count - lost; n < count; n++ { // The strongest routers are the readers.
							lose(store.views[n])
						}
						time.Sleep(before)
						store.put("orders", "config", "2")
						time.Sleep(allowed)
						for n, r := range routers[:count-lost] {
							if got := tableVersion(r); got != 2 {
								t.Errorf("phase %s, lost %s before the change: router %d has configuration %d, want 2, after %s", phase, before, n, got, allowed)
								return
							}
						}
					})
				})
			})
		}
	}
}

// TestServerLeavesInTimeWhenReadersLoseTheStore guards against the same for the entry of a backend server that leaves: requests must not
// reach it for longer than the deployment allows.
func TestServerLeavesInTimeWhenReadersLoseTheStore(t *testing.T) {
	const (
		count   = 9
		allowed = defaultServerDrain
	)
	for lost := 1; lost <= crlrelay.ReaderCount; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			forEachPhase(func(phase, before time.Duration) {
				runCluster(t, count, func(store *memoryStore, routers []*Router) {
					store.put("servers", "i-1", "v1")
					time.Sleep(2*time.Second + phase)
					for n := count - lost; n < count; n++ {
						store.views[n].silent.Store(true)
					}
					time.Sleep(before)
					store.put("servers", "i-1", "")
					time.Sleep(allowed)
					for n, r := range routers[:count-lost] {
						if pickServer(r) == nil {
							t.Errorf("phase %s, lost %s before the change: router %d still picks the server after %s", phase, before, n, allowed)
							return
						}
					}
				})
			})
		})
	}
}

// forEachPhase calls a test with moments in the rhythm of reads at which the store is lost, and times from then until a change.
func forEachPhase(test func(phase, before time.Duration)) {
	const step = 125 * time.Millisecond
	for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += step {
		for _, before := range []time.Duration{10 * time.Millisecond, 700 * time.Millisecond} {
			test(phase, before)
		}
	}
}
