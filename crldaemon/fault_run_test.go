package crldaemon

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlhistory"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlsettings"
)

// Size of the random fault run. The flags allow longer runs than the default one.
var (
	faultSeeds  = flag.Int("fault-seeds", 2, "number of seeds of the random fault run for each deployment")
	faultFirst  = flag.Uint64("fault-first", 1, "first seed of the random fault run")
	faultLength = flag.Duration("fault-length", 40*time.Second, "time in which faults are injected")
)

// domainOutLimit is the guaranteed time from a configuration that takes a failure domain out of service until no new requests are
// sent there.
const domainOutLimit = 3 * time.Second

// settleTime is the time after the last fault within which the log receives every entry that daemons still had to append.
const settleTime = 40 * time.Second

// faultRunDaemons is the number of daemons in a fault run.
const faultRunDaemons = 9

// deployment is an example deployment, whose configuration file is at path.
type deployment struct {
	name    string
	path    string
	service crlid.Service // service whose calls aren't idempotent
}

var deployments = []deployment{
	{name: "register", path: "../examples/register.ini", service: "filing"},
	{name: "lineage", path: "../examples/lineage.ini", service: "merge"},
}

// TestRandomFaultsKeepEveryPromise runs callers against a cluster with random faults and checks the guarantees of crlhistory,
// such as that a call with an idempotency key runs at most once. One seed determines the choice of the faults, but not the
// order of concurrent goroutines.
func TestRandomFaultsKeepEveryPromise(t *testing.T) {
	for _, d := range deployments {
		for i := range *faultSeeds {
			seed := *faultFirst + uint64(i)
			t.Run(fmt.Sprintf("%s/seed-%d", d.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { faultRun(t, d, seed) })
			})
		}
	}
}

// faultRun runs callers and injects faults for faultLength, lets the cluster settle, and checks the history of the run.
func faultRun(t *testing.T, d deployment, seed uint64) {
	cluster := newTestCluster(t, d.path, faultRunDaemons)
	defer cluster.close()
	cluster.applyFirstConfiguration()
	recorder := &recorder{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	firstInForce, waitForWatch := cluster.watchOffsets(ctx)
	var callers sync.WaitGroup
	organisations := slices.Sorted(maps.Keys(cluster.configuration.Organisations))
	for i, o := range organisations {
		c := cluster.newCaller(i, seed, d.service, o, recorder)
		callers.Go(func() { c.run(ctx) })
	}
	faults := newFaultInjector(cluster, seed)
	faults.run(*faultLength)
	time.Sleep(settleTime / 2)
	cancel()
	callers.Wait()
	waitForWatch()
	time.Sleep(settleTime)
	history := &crlhistory.History{
		Configuration: cluster.configuration, Runs: cluster.platform.History.Runs(), Observations: recorder.observed,
		Bills: cluster.bills(), OutOfServicePeriods: cluster.outOfServicePeriods(firstInForce),
		MaxConfigurationDelay: configurationLimit, MaxDomainOutDelay: domainOutLimit,
		Tokens: answerTokens, PermitExpiry: crlsettings.DefaultLimits().PermitExpiry,
	}
	checkHistory(t, seed, history, faults)
}

// checkHistory logs the size of a fault run, and fails the test with each violation of a guarantee. After a violation it also logs
// the faults, the periods out of service, the requests that servers ran, and what callers observed.
func checkHistory(t *testing.T, seed uint64, h *crlhistory.History, faults *faultInjector) {
	t.Helper()
	complete := 0
	for _, observed := range h.Observations {
		if observed.Whole {
			complete++
		}
	}
	t.Logf("seed %d: %d sends, %d complete answers, %d runs, %d bills, %d periods out of service, faults %v",
		seed, len(h.Observations), complete, len(h.Runs), len(h.Bills), len(h.OutOfServicePeriods), faults.injected)
	if complete == 0 {
		t.Errorf("no request was answered")
	}
	violations := h.Check()
	for _, v := range violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if len(violations) == 0 {
		return
	}
	t.Logf("faults:\n%s", strings.Join(faults.timeline, "\n"))
	for _, o := range h.OutOfServicePeriods {
		t.Logf("out of service: %s%s from %s to %s", o.Domain, o.Version, o.From.Format(timeFormat), o.To.Format(timeFormat))
	}
	for _, r := range h.Runs {
		t.Logf("run: %s %s at %s, open %d, cold %v, booted %s",
			r.Request, r.Server, r.Time.Format(timeFormat), r.OpenRequests, r.Cold, r.Booted.Format(timeFormat))
	}
	for _, observed := range h.Observations {
		t.Logf("observed: %s of %s, sent %s: %+v", observed.Request, observed.Key, observed.Sent.Format(timeFormat), observed.Code)
	}
}

// timeFormat is the format of times in the log of a test.
const timeFormat = "15:04:05.000"

// sortedKeys returns the keys of a map as sorted text, so that random choices among them depend only on the seed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []string {
	var keys []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		keys = append(keys, fmt.Sprint(k))
	}
	return keys
}
