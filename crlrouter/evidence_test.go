package crlrouter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlrollout"
)

// observeFailures records answers at a router: 20 successes of version v1, and as many failures of v2 as are given.
func observeFailures(r *Router, failures int) {
	observe := func(n int, failed float64) {
		version := "v1"
		if failed > 0 {
			version = "v2"
		}
		r.reporter.rollouts.Observe(crlrollout.Observation{
			Service: "s", Version: crlid.Version(version), Group: n, Class: "drafts", Measure: crlrollout.MeasureFailure, Value: failed,
		}, r.config.Clock())
	}
	for n := range 20 {
		observe(n, 0)
	}
	for n := range failures {
		observe(n, 1)
	}
}

// bars reports whether the router sends nothing to version v2.
func bars(r *Router) bool {
	return r.reporter.rollouts.Plan("s", r.config.Clock(), r.fleet.Capacity).TargetBarred
}

// TestFailuresOfOneVersionAddUp guards against a bad version that no router leaves because each of them sees too few of its answers.
// The routers must leave it together, also while the store is away.
func TestFailuresOfOneVersionAddUp(t *testing.T) {
	const failuresEach = 2
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %v", down), func(t *testing.T) {
			runCluster(t, 6, func(store *memoryStore, routers []*Router) {
				for n := range 4 {
					store.put("servers", fmt.Sprint("old", n), "v1")
					store.put("servers", fmt.Sprint("new", n), "v2")
				}
				store.put("orders", "rollout", "v2")
				time.Sleep(2 * time.Second)
				for _, r := range routers {
					bars(r) // Makes a plan, which counts the servers.
				}
				store.setDown(down)
				for i, r := range routers {
					observeFailures(r, failuresEach)
					if bars(r) {
						t.Errorf("router %d leaves the version on its own %d failures", i, failuresEach)
					}
				}
				time.Sleep(2500 * time.Millisecond)
				for i, r := range routers {
					if !bars(r) {
						t.Errorf("router %d still uses a version whose %d answers failed", i, failuresEach*len(routers))
					}
				}
				if got := strings.Join(store.values("status"), " "); !down && got != "running rolled-back" {
					t.Errorf("statuses written: %q, want running and rolled-back, once each", got)
				}
			})
		})
	}
}
