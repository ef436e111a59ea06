package crljournal_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// testCluster is a set of daemons whose batches go through appenders. It is the Forwarder between them.
type testCluster struct {
	domains   [][]crlid.Daemon // daemons of each failure domain
	size      int
	budget    int
	combiners map[crlid.Daemon]*crljournal.Combiner
	stopped   map[crlid.Daemon]bool
}

// hopDelay is the one-way network delay between daemons of a failure domain.
const hopDelay = time.Millisecond

var errStopped = errors.New("daemon is stopped")

func (tc *testCluster) Forward(ctx context.Context, to crlid.Daemon, _ crlid.Stream, payload []byte) (crlid.Offset, error) {
	time.Sleep(2 * hopDelay)
	if tc.stopped[to] {
		return crlid.NoOffset, errStopped
	}
	return tc.combiners[to].Append(ctx, payload)
}

// newTestCluster runs a combiner for each daemon. If domains is 0, every daemon appends directly.
func newTestCluster(ctx context.Context, log *crlfake.Log, size, domains, budget int) *testCluster {
	tc := &testCluster{
		size: size, budget: budget,
		combiners: make(map[crlid.Daemon]*crljournal.Combiner), stopped: make(map[crlid.Daemon]bool),
	}
	tc.domains = make([][]crlid.Daemon, domains)
	for i := range size {
		if domains == 0 {
			return tc
		}
		d := daemonOf(i)
		tc.domains[i%domains] = append(tc.domains[i%domains], d)
		c := crljournal.NewCombiner(crljournal.CombinerConfig{
			Log: log, Stream: testStream, AppendTimeout: time.Second,
			Window: func() time.Duration { return crljournal.WindowForBudget(2*domains, budget) },
		})
		tc.combiners[d] = c
		go func() { _ = c.Run(ctx) }()
	}
	return tc
}

func daemonOf(i int) crlid.Daemon { return crlid.Daemon(fmt.Sprintf("daemon-%d", i)) }

func (tc *testCluster) appenders(i int) []crlid.Daemon {
	return crljournal.Appenders(testStream, tc.domains[i%len(tc.domains)], tc.size, tc.budget)
}

// appenderFor returns the Appender of a daemon: its relay, or the log itself.
func (tc *testCluster) appenderFor(i int, log *crlfake.Log) crljournal.Appender {
	if len(tc.domains) == 0 {
		return log
	}
	return crljournal.NewRelay(crljournal.RelayConfig{
		Log: log, Forwarder: tc, Self: daemonOf(i),
		Combiners: map[crlid.Stream]*crljournal.Combiner{testStream: tc.combiners[daemonOf(i)]},
		Appenders: func(crlid.Stream) []crlid.Daemon { return tc.appenders(i) },
	})
}

func (tc *testCluster) window(writers, budget int) time.Duration {
	if len(tc.domains) == 0 {
		return crljournal.WindowForBudget(writers, budget)
	}
	return 4 * crljournal.MinWindow // as crldaemon sets it for a daemon that appends through others
}

// TestRelaySkipsStoppedAppenders stops one of the two appenders of a failure domain, and both of another. Each entry must still
// be applied once, in fewer appends than there are daemons.
func TestRelaySkipsStoppedAppenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := crlfake.NewLog()
		const size, entries = 40, 10
		tc := newTestCluster(ctx, log, size, 2, 300)
		tc.stopped[tc.appenders(0)[0]] = true
		for _, d := range tc.appenders(1) {
			tc.stopped[d] = true
		}
		replica, fold := newReplica()
		go follow(ctx, log, replica)
		want := make(map[int]int)
		for i := range size {
			if tc.stopped[daemonOf(i)] {
				continue
			}
			w := newWriter(tc.appenderFor(i, log))
			go func() { _ = w.Run(ctx) }()
			submit(t, w, i*entries, (i+1)*entries)
			for n := range entries {
				want[i*entries+n] = 1
			}
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if !maps.Equal(fold.seen, want) {
			t.Errorf("replica has %d entries, want %d once each", len(fold.seen), len(want))
		}
		if n := log.Appends(); n >= size {
			t.Errorf("%d appends of %d daemons, want fewer appends than daemons, as batches are combined", n, size)
		}
	})
}
