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

// office is a set of daemons that bill on one log.
type testCluster struct {
	log       *crlfake.Log
	dropsHeld bool       // forgets makes peers say that they hold a bill and drop it.
	mu        sync.Mutex // mu guards ledgers and kills.
	ledgers   map[crlid.Daemon]*Ledger
	stops     map[crlid.Daemon]context.CancelFunc
}

var errStopped = errors.New("daemon is dead")

// Hold takes a holding to a peer in a millisecond.
func (o *testCluster) Hold(ctx context.Context, to crlid.Daemon, holding HoldRequest) (HoldReply, error) {
	time.Sleep(time.Millisecond)
	o.mu.Lock()
	ledger, alive := o.ledgers[to], o.stops[to] != nil
	o.mu.Unlock()
	if !alive {
		return HoldReply{}, errStopped
	}
	if o.dropsHeld {
		return HoldReply{Held: true, Incarnation: "forgetful"}, nil
	}
	return ledger.HoldForPeer(ctx, holding)
}

func newTestCluster(ctx context.Context, seed uint64, forgets bool, names ...crlid.Daemon) *testCluster {
	o := &testCluster{log: crlfake.NewLog(), dropsHeld: forgets, ledgers: make(map[crlid.Daemon]*Ledger), stops: make(map[crlid.Daemon]context.CancelFunc)}
	for i, name := range names {
		var peers []crlid.Daemon
		for _, p := range names {
			if p != name {
				peers = append(peers, p)
			}
		}
		o.start(ctx, seed*100+uint64(i), name, peers)
	}
	return o
}

func (o *testCluster) start(ctx context.Context, seed uint64, name crlid.Daemon, peers []crlid.Daemon) {
	ctx, kill := context.WithCancel(ctx)
	flaky := crlfake.NewFlakyLog(crlfake.FlakyLogConfig{
		Log: o.log, Seed: seed, Fail: 0.1, LoseReply: 0.2, Late: 0.1, MaxDelay: 50 * time.Millisecond, MaxLate: time.Second,
	})
	loop, incarnation := crlcontrol.NewLoop(), crlid.NewIncarnation()
	w := crljournal.NewWriter(crljournal.WriterConfig{
		Log: flaky, Stream: Stream, Writer: incarnation, BatchEntries: 32,
		RetryDelay: 50 * time.Millisecond, AppendTimeout: 200 * time.Millisecond,
	})
	l := NewLedger(LedgerConfig{
		Loop: loop, Writer: w, HoldClient: o, Incarnation: incarnation, Domain: crlid.Domain(name), Horizon: time.Hour,
		Peers: func() []crlid.Daemon { return peers },
	})
	tail := crljournal.NewTail(crljournal.TailConfig{
		Log: flaky, Stream: Stream, PageRecords: 32, Wait: time.Second, ReadTimeout: 2 * time.Second,
		RetryDelay: 100 * time.Millisecond, Deliver: l.Deliver,
	})
	o.mu.Lock()
	o.ledgers[name], o.stops[name] = l, kill
	o.mu.Unlock()
	for _, run := range []func(context.Context) error{loop.Run, w.Run, tail.Run, l.Run} {
		go func() { _ = run(ctx) }()
	}
}

// kill ends a daemon with everything that it holds in memory.
func (o *testCluster) stop(name crlid.Daemon) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stops[name]()
	o.stops[name] = nil
}

// commitAndKill bills requests through an outage, kills their daemon in it and returns what a survivor counts.
func commitAndStop(t *testing.T, seed uint64, forgets bool) (summary Summary, committed int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := newTestCluster(ctx, seed, forgets, "a", "b", "c", "d")
		time.Sleep(time.Second)
		o.ledgers["a"].Open(Bill{Request: "running", Organisation: "o", Version: "v", Interrupted: true})
		o.ledgers["a"].Open(Bill{Request: "refused", Organisation: "o", Version: "v", Interrupted: true})
		o.ledgers["a"].Close("refused")
		for n := range 40 {
			if n == 10 {
				o.log.SetFaults(crlfake.LogFaults{Outage: true})
			}
			bill := Bill{Request: crlid.Request(fmt.Sprintf("request-%d", n)), Organisation: "o", Version: "v", Cost: 1}
			commitCtx, stop := context.WithTimeout(ctx, 3*time.Second)
			if o.ledgers["a"].Commit(commitCtx, bill) == nil {
				committed++
			}
			stop()
		}
		o.stop("a")
		time.Sleep(3 * time.Minute)
		o.log.SetFaults(crlfake.LogFaults{})
		time.Sleep(3 * time.Minute)
		var err error
		if summary, err = o.ledgers["d"].Summary(ctx); err != nil {
			t.Fatal(err)
		}
	})
	return summary, committed
}

func TestLedgerBillsOnceWhenDaemonStopsInOutage(t *testing.T) {
	for seed := range uint64(5) {
		summary, committed := commitAndStop(t, seed, false)
		if committed != 40 {
			t.Errorf("seed %d: %d of 40 bills were durable with the log out and three peers alive", seed, committed)
		}
		if summary.Requests != committed+1 || summary.Accounts[0].Interrupted != 1 || int(summary.Accounts[0].Cost) != committed {
			t.Errorf("seed %d: counted %+v, want %d whole bills and the interrupted request", seed, summary, committed)
		}
		if summary.Duplicates == 0 {
			t.Errorf("seed %d: no repeat reached the fold, so the holders were not put to the test", seed)
		}
	}
}

// TestLedgerCheckCatchesForgetfulPeers gives the check above peers that drop what they say they hold.
func TestLedgerCheckFailsWhenPeersDropBills(t *testing.T) {
	if summary, committed := commitAndStop(t, 1, true); summary.Requests >= committed {
		t.Errorf("%d of %d bills counted though peers held nothing", summary.Requests, committed)
	}
}

// TestLedgerFindsNewHoldersWhenThoseItHasDie kills both holders of a bill and then its daemon, all in one outage.
func TestLedgerReplacesStoppedHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := newTestCluster(ctx, 1, false, "a", "b", "c", "d", "e")
		time.Sleep(time.Second)
		o.log.SetFaults(crlfake.LogFaults{Outage: true})
		if err := o.ledgers["a"].Commit(ctx, Bill{Request: "r", Organisation: "o", Cost: 1}); err != nil {
			t.Fatal(err)
		}
		for _, holder := range crljournal.Rendezvous(string(o.ledgers["a"].config.Incarnation), []crlid.Daemon{"b", "c", "d", "e"})[:wantedHolders] {
			o.stop(holder)
		}
		time.Sleep(3 * livenessPeriod)
		o.stop("a")
		o.log.SetFaults(crlfake.LogFaults{})
		time.Sleep(time.Minute)
		for name, kill := range o.stops {
			if kill == nil {
				continue
			}
			if s, err := o.ledgers[name].Summary(ctx); err != nil || s.Requests != 1 {
				t.Errorf("%s counts %d bills, %v, want 1", name, s.Requests, err)
			}
		}
	})
}

// TestLedgerReceiveLeavesNoRaceWhenThePeerGivesUp ends the call while its task waits for the loop; -race is the check.
func TestHoldForPeerCancelledWithoutRace(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	loop := crlcontrol.NewLoop()
	go func() { _ = loop.Run(ctx) }()
	l := NewLedger(LedgerConfig{Loop: loop, Horizon: time.Hour})
	if err := loop.Post(ctx, func() { time.Sleep(50 * time.Millisecond) }); err != nil {
		t.Fatal(err)
	}
	gone, leave := context.WithTimeout(ctx, time.Millisecond)
	defer leave()
	receipt, err := l.HoldForPeer(gone, HoldRequest{From: "a", Bills: []Bill{{Request: "r"}}})
	if err == nil || receipt.Held {
		t.Errorf("%+v, %v though the loop stood still", receipt, err)
	}
	time.Sleep(100 * time.Millisecond) // The late task writes without any order to the read above.
}
