package crljournal_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

const (
	testStream crlid.Stream    = "test"
	testKind   crljournal.Kind = 1
)

// counter is a fold that counts how often each number was applied.
type counter struct{ seen map[int]int }

func newCounter() *counter                    { return &counter{seen: make(map[int]int)} }
func (c *counter) Reset()                     { c.seen = make(map[int]int) }
func (c *counter) Save() ([]byte, error)      { return marshal(c.seen) }
func (c *counter) Restore(state []byte) error { c.Reset(); return unmarshal(state, &c.seen) }

func (c *counter) Apply(e crljournal.LoggedEntry, _ time.Time) {
	var n int
	if err := e.Decode(&n); err == nil {
		c.seen[n]++
	}
}

func newWriter(log crljournal.Appender) *crljournal.Writer {
	return crljournal.NewWriter(crljournal.WriterConfig{
		Log: log, Stream: testStream, Writer: crlid.NewIncarnation(), Window: 20 * time.Millisecond,
		BatchEntries: 16, RetryDelay: 10 * time.Millisecond, AppendTimeout: 50 * time.Millisecond,
	})
}

// follow applies the stream to a replica until ctx ends.
func follow(ctx context.Context, log crljournal.Reader, replica *crljournal.Replica) {
	_ = crljournal.NewTail(crljournal.TailConfig{
		Log: log, Stream: testStream, PageRecords: 8, Wait: 100 * time.Millisecond, ReadTimeout: time.Second,
		RetryDelay: 10 * time.Millisecond,
		Deliver: func(_ context.Context, batch crljournal.Batch) error {
			replica.Fold(batch)
			return nil
		},
	}).Run(ctx)
}

// countsOverFaultyLog writes entries through a faulty log and returns how often a replica with the horizon counted each.
func countsOverFaultyLog(t *testing.T, seed uint64, entries int, horizon time.Duration) map[int]int {
	t.Helper()
	fold := newCounter()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := crlfake.NewLog()
		flaky := crlfake.NewFlakyLog(crlfake.FlakyLogConfig{
			Log: log, Seed: seed, Fail: 0.2, LoseReply: 0.2, Late: 0.2, MaxDelay: 60 * time.Millisecond, MaxLate: 2 * time.Second,
		})
		w := newWriter(flaky)
		go func() { _ = w.Run(ctx) }()
		go follow(ctx, flaky, crljournal.NewReplica(crljournal.ReplicaConfig{Fold: fold, Horizon: horizon}))
		for n := range entries {
			submit(t, w, n, n+1)
			time.Sleep(time.Duration(n%7) * time.Millisecond)
		}
		if err := w.Shutdown(ctx); err != nil {
			t.Fatal(err)
		}
		if _, err := w.Submit(testKind, 0); !errors.Is(err, crljournal.ErrClosed) {
			t.Errorf("submit after shutdown: %v, want %v", err, crljournal.ErrClosed)
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
	})
	return fold.seen
}

// miscounted returns how many entries were not counted exactly once.
func miscounted(seen map[int]int, entries int) int {
	wrong := 0
	for n := range entries {
		if seen[n] != 1 {
			wrong++
		}
	}
	return wrong
}

func TestEntriesAreCountedOnceUnderLostAndLateAppends(t *testing.T) {
	const entries = 200
	for seed := range uint64(20) {
		if n := miscounted(countsOverFaultyLog(t, seed, entries, time.Hour), entries); n > 0 {
			t.Errorf("seed %d: %d of %d entries not counted exactly once", seed, n, entries)
		}
	}
}

// TestOnceCheckFailsWithoutDeduplication shows that the check of the test above can fail: a replica that evicts writers at once
// must miscount.
func TestOnceCheckFailsWithoutDeduplication(t *testing.T) {
	const entries = 200
	if miscounted(countsOverFaultyLog(t, 1, entries, time.Nanosecond), entries) == 0 {
		t.Error("every entry counted once without deduplication: the log held no repeats, so the check proves nothing")
	}
}

// startWriter returns a log with the faults and a writer that runs until the returned function is called.
func startWriter(t *testing.T, faults crlfake.LogFaults) (context.Context, context.CancelFunc, *crlfake.Log, *crljournal.Writer) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	log := crlfake.NewLog()
	log.SetFaults(faults)
	w := newWriter(log)
	go func() { _ = w.Run(ctx) }()
	return ctx, cancel, log, w
}

func TestWriterWithdrawsOnlyUnsentEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel, log, w := startWriter(t, crlfake.LogFaults{Outage: true})
		defer cancel()
		sent, _ := w.Submit(testKind, 1)
		time.Sleep(time.Second)
		queued, _ := w.Submit(testKind, 2)
		if w.Withdraw(sent) || !w.Withdraw(queued) || w.Withdraw(queued) {
			t.Error("withdrew an entry that was sent or already withdrawn, or did not withdraw the queued one")
		}
		log.SetFaults(crlfake.LogFaults{})
		if err := w.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		if n := recordedEntries(t, log); n != 1 {
			t.Errorf("log holds %d entries, want 1", n)
		}
	})
}

func TestWriterKeepsWindowBetweenAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, cancel, log, w := startWriter(t, crlfake.LogFaults{})
		defer cancel()
		w.SetWindow(crljournal.WindowForBudget(9, 300))
		for range 1000 {
			for n := range 40 {
				_, _ = w.Submit(testKind, n)
			}
			time.Sleep(time.Millisecond)
		}
		if n := log.Appends(); n > 34 || n < 30 {
			t.Errorf("%d appends in a second, want 30 to 34: the share of one of 9 members in a budget of 300 is 33", n)
		}
	})
}
