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

// fleet is a set of daemons in failure domains whose batches go through appenders.
type testCluster struct {
	domains   [][]crlid.Daemon
	size      int
	budget    int
	combiners map[crlid.Daemon]*crljournal.Combiner
	stopped   map[crlid.Daemon]bool
}

// forwardDelay is the time of one hop between daemons of a failure domain.
const hopDelay = time.Millisecond

var errStopped = errors.New("daemon is dead")

func (f *testCluster) Forward(ctx context.Context, to crlid.Daemon, _ crlid.Stream, payload []byte) (crlid.Offset, error) {
	time.Sleep(2 * hopDelay)
	if f.stopped[to] {
		return crlid.NoOffset, errStopped
	}
	return f.combiners[to].Append(ctx, payload)
}

// newFleet runs a combiner for each daemon; with no domains everybody appends for itself.
func newTestCluster(ctx context.Context, log *crlfake.Log, size, domains, budget int) *testCluster {
	f := &testCluster{size: size, budget: budget, combiners: make(map[crlid.Daemon]*crljournal.Combiner), stopped: make(map[crlid.Daemon]bool)}
	f.domains = make([][]crlid.Daemon, domains)
	for i := range size {
		if domains == 0 {
			return f
		}
		d := daemonOf(i)
		f.domains[i%domains] = append(f.domains[i%domains], d)
		c := crljournal.NewCombiner(crljournal.CombinerConfig{
			Log: log, Stream: testStream, AppendTimeout: time.Second,
			Window: func() time.Duration { return crljournal.WindowForBudget(2*domains, budget) },
		})
		f.combiners[d] = c
		go func() { _ = c.Run(ctx) }()
	}
	return f
}

func daemonOf(i int) crlid.Daemon { return crlid.Daemon(fmt.Sprintf("daemon-%d", i)) }

func (f *testCluster) appenders(i int) []crlid.Daemon {
	return crljournal.Appenders(testStream, f.domains[i%len(f.domains)], f.size, f.budget)
}

// of returns the way of a daemon to the log.
func (f *testCluster) appenderFor(i int, log *crlfake.Log) crljournal.Appender {
	if len(f.domains) == 0 {
		return log
	}
	return crljournal.NewRelay(crljournal.RelayConfig{
		Log: log, Forwarder: f, Self: daemonOf(i),
		Combiners: map[crlid.Stream]*crljournal.Combiner{testStream: f.combiners[daemonOf(i)]},
		Appenders: func(crlid.Stream) []crlid.Daemon { return f.appenders(i) },
	})
}

func (f *testCluster) window(writers, budget int) time.Duration {
	if len(f.domains) == 0 {
		return crljournal.WindowForBudget(writers, budget)
	}
	return 4 * crljournal.MinWindow
}

func TestRelaySkipsStoppedAppenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		log := crlfake.NewLog()
		const size, entries = 40, 10
		f := newTestCluster(ctx, log, size, 2, 300)
		f.stopped[f.appenders(0)[0]] = true
		for _, d := range f.appenders(1) {
			f.stopped[d] = true
		}
		replica, fold := newReplica()
		go follow(ctx, log, replica)
		want := make(map[int]int)
		for i := range size {
			if f.stopped[daemonOf(i)] {
				continue
			}
			w := newWriter(f.appenderFor(i, log))
			go func() { _ = w.Run(ctx) }()
			submit(t, w, i*entries, (i+1)*entries)
			for n := range entries {
				want[i*entries+n] = 1
			}
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if !maps.Equal(fold.seen, want) {
			t.Errorf("folded %d entries, want %d once each", len(fold.seen), len(want))
		}
		if n := log.Appends(); n >= size {
			t.Errorf("%d appends of %d daemons: batches were not combined", n, size)
		}
	})
}
