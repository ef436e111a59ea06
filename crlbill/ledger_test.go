package crlbill

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlcontrol"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// testCluster is a set of daemons that append bills to one log. It is the HoldClient between them.
type testCluster struct {
	log       *crlfake.Log
	dropsHeld bool       // every peer replies that it holds a bill, but drops it
	mu        sync.Mutex // guards ledgers and stops
	ledgers   map[crlid.Daemon]*Ledger
	stops     map[crlid.Daemon]context.CancelFunc // nil for a daemon that has stopped
}

var errStopped = errors.New("daemon is stopped")

// Hold calls a peer, with a network delay of one millisecond.
func (c *testCluster) Hold(ctx context.Context, to crlid.Daemon, request HoldRequest) (HoldReply, error) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	ledger, running := c.ledgers[to], c.stops[to] != nil
	c.mu.Unlock()
	if !running {
		return HoldReply{}, errStopped
	}
	if c.dropsHeld {
		return HoldReply{Held: true, Incarnation: "dropping"}, nil
	}
	return ledger.HoldForPeer(ctx, request)
}

func newTestCluster(ctx context.Context, seed uint64, dropsHeld bool, names ...crlid.Daemon) *testCluster {
	c := &testCluster{
		log: crlfake.NewLog(), dropsHeld: dropsHeld,
		ledgers: make(map[crlid.Daemon]*Ledger), stops: make(map[crlid.Daemon]context.CancelFunc),
	}
	for i, name := range names {
		var peers []crlid.Daemon
		for _, p := range names {
			if p != name {
				peers = append(peers, p)
			}
		}
		c.start(ctx, seed*100+uint64(i), name, peers)
	}
	return c
}

func (c *testCluster) start(ctx context.Context, seed uint64, name crlid.Daemon, peers []crlid.Daemon) {
	ctx, stop := context.WithCancel(ctx)
	flaky := crlfake.NewFlakyLog(crlfake.FlakyLogConfig{
		Log: c.log, Seed: seed, Fail: 0.1, LoseReply: 0.2, Late: 0.1, MaxDelay: 50 * time.Millisecond, MaxLate: time.Second,
	})
	loop, incarnation := crlcontrol.NewLoop(), crlid.NewIncarnation()
	w := crljournal.NewWriter(crljournal.WriterConfig{
		Log: flaky, Stream: Stream, Writer: incarnation, BatchEntries: 32,
		RetryDelay: 50 * time.Millisecond, AppendTimeout: 200 * time.Millisecond,
	})
	l := NewLedger(LedgerConfig{
		Loop: loop, Writer: w, HoldClient: c, Incarnation: incarnation, Domain: crlid.Domain(name), Horizon: time.Hour,
		Peers: func() []crlid.Daemon { return peers },
	})
	tail := crljournal.NewTail(crljournal.TailConfig{
		Log: flaky, Stream: Stream, PageRecords: 32, Wait: time.Second, ReadTimeout: 2 * time.Second,
		RetryDelay: 100 * time.Millisecond, Deliver: l.Deliver,
	})
	c.mu.Lock()
	c.ledgers[name], c.stops[name] = l, stop
	c.mu.Unlock()
	for _, run := range []func(context.Context) error{loop.Run, w.Run, tail.Run, l.Run} {
		go func() { _ = run(ctx) }()
	}
}

// stop stops a daemon, which loses everything that it holds in memory.
func (c *testCluster) stop(name crlid.Daemon) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops[name]()
	c.stops[name] = nil
}

// commitAndStop commits the bills of 40 requests on daemon "a", the last 30 of them in an outage of the log, stops "a" before the
// outage ends, and returns the sums of another daemon and the number of bills that were committed.
func commitAndStop(t *testing.T, seed uint64, dropsHeld bool) (summary Summary, committed int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newTestCluster(ctx, seed, dropsHeld, "a", "b", "c", "d")
		time.Sleep(time.Second)
		c.ledgers["a"].Open(Bill{Request: "running", Organisation: "o", Version: "v", Interrupted: true})
		c.ledgers["a"].Open(Bill{Request: "refused", Organisation: "o", Version: "v", Interrupted: true})
		c.ledgers["a"].Close("refused")
		for n := range 40 {
			if n == 10 {
				c.log.SetFaults(crlfake.LogFaults{Outage: true})
			}
			bill := Bill{Request: crlid.Request(fmt.Sprintf("request-%d", n)), Organisation: "o", Version: "v", Cost: 1}
			commitCtx, cancelCommit := context.WithTimeout(ctx, 3*time.Second)
			if c.ledgers["a"].Commit(commitCtx, bill) == nil {
				committed++
			}
			cancelCommit()
		}
		c.stop("a")
		time.Sleep(3 * time.Minute)
		c.log.SetFaults(crlfake.LogFaults{})
		time.Sleep(3 * time.Minute)
		var err error
		if summary, err = c.ledgers["d"].Summary(ctx); err != nil {
			t.Fatal(err)
		}
	})
	return summary, committed
}

// TestLedgerBillsOnceWhenDaemonStopsInOutage guards against lost and repeated bills: every committed bill must be counted once, and
// the request that was open must be billed as interrupted.
func TestLedgerBillsOnceWhenDaemonStopsInOutage(t *testing.T) {
	for seed := range uint64(5) {
		summary, committed := commitAndStop(t, seed, false)
		if committed != 40 {
			t.Errorf("seed %d: %d of 40 bills were durable with the log unavailable and three peers running, want all", seed, committed)
		}
		if summary.Requests != committed+1 || summary.Accounts[0].Interrupted != 1 || int(summary.Accounts[0].Cost) != committed {
			t.Errorf("seed %d: counted %+v, want %d complete bills and one interrupted request", seed, summary, committed)
		}
		if summary.Duplicates == 0 {
			t.Errorf("seed %d: no repeated bill reached the fold, so the test does not cover the holders", seed)
		}
	}
}

// TestLedgerCheckFailsWhenPeersDropBills shows that the check of the test above can fail: bills must be lost if peers drop the bills
// that they confirm to hold.
func TestLedgerCheckFailsWhenPeersDropBills(t *testing.T) {
	if summary, committed := commitAndStop(t, 1, true); summary.Requests >= committed {
		t.Errorf("%d of %d committed bills counted although peers dropped the bills that they held, want fewer", summary.Requests, committed)
	}
}

// TestLedgerReplacesStoppedHolders stops both holders of a bill and then its daemon, all in one outage of the log. The bill must still
// be counted, because the daemon has asked other peers to hold it meanwhile.
func TestLedgerReplacesStoppedHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newTestCluster(ctx, 1, false, "a", "b", "c", "d", "e")
		time.Sleep(time.Second)
		c.log.SetFaults(crlfake.LogFaults{Outage: true})
		if err := c.ledgers["a"].Commit(ctx, Bill{Request: "r", Organisation: "o", Cost: 1}); err != nil {
			t.Fatal(err)
		}
		peers := []crlid.Daemon{"b", "c", "d", "e"}
		for _, holder := range crljournal.Rendezvous(string(c.ledgers["a"].config.Incarnation), peers)[:wantedHolders] {
			c.stop(holder)
		}
		time.Sleep(3 * livenessPeriod)
		c.stop("a")
		c.log.SetFaults(crlfake.LogFaults{})
		time.Sleep(time.Minute)
		for name, stop := range c.stops {
			if stop == nil {
				continue
			}
			if s, err := c.ledgers[name].Summary(ctx); err != nil || s.Requests != 1 {
				t.Errorf("%s counts %d bills, error %v, want 1", name, s.Requests, err)
			}
		}
	})
}

// TestHoldForPeerCancelledWithoutRace ends the call while its task waits for the loop. The task must not run afterwards: it would
// write to the reply while the caller reads it, a data race that only a run with -race detects.
func TestHoldForPeerCancelledWithoutRace(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	loop := crlcontrol.NewLoop()
	go func() { _ = loop.Run(ctx) }()
	l := NewLedger(LedgerConfig{Loop: loop, Horizon: time.Hour})
	if err := loop.Post(ctx, func() { time.Sleep(50 * time.Millisecond) }); err != nil {
		t.Fatal(err)
	}
	callCtx, cancelCall := context.WithTimeout(ctx, time.Millisecond)
	defer cancelCall()
	reply, err := l.HoldForPeer(callCtx, HoldRequest{From: "a", Bills: []Bill{{Request: "r"}}})
	if err == nil || reply.Held {
		t.Errorf("%+v, %v while the loop was blocked, want an error", reply, err)
	}
	time.Sleep(100 * time.Millisecond) // Wait until the loop has taken the task: if it ran, its write would race with the read above.
}
