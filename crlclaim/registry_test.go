package crlclaim

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlcontrol"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

const (
	testLifetime  = time.Hour
	testStaleness = 3 * time.Second
)

// startRegistry returns a registry that reads the log until ctx ends.
func startRegistry(ctx context.Context, log *crlfake.Log) *Registry {
	loop, incarnation := crlcontrol.NewLoop(), crlid.NewIncarnation()
	w := crljournal.NewWriter(crljournal.WriterConfig{
		Log: log, Stream: Stream, Writer: incarnation, Window: 10 * time.Millisecond, BatchEntries: 16,
		RetryDelay: 50 * time.Millisecond, AppendTimeout: time.Second,
	})
	r := NewRegistry(RegistryConfig{Loop: loop, Writer: w, Incarnation: incarnation, Lifetime: testLifetime, MaxStaleness: testStaleness})
	tail := crljournal.NewTail(crljournal.TailConfig{
		Log: log, Stream: Stream, PageRecords: 16, Wait: time.Second, ReadTimeout: 2 * time.Second,
		RetryDelay: 100 * time.Millisecond, Deliver: r.Deliver,
	})
	for _, run := range []func(context.Context) error{loop.Run, w.Run, tail.Run} {
		go func() { _ = run(ctx) }()
	}
	time.Sleep(100 * time.Millisecond)
	return r
}

func claim(ctx context.Context, r *Registry, key string) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return r.Claim(ctx, Claim{
		Key: Key{Organisation: "o", Key: key}, Request: crlid.NewRequest(), Deadline: time.Now().Add(10 * time.Second),
	})
}

// runInBubble runs a test with its own log in virtual time.
func runInBubble(t *testing.T, test func(ctx context.Context, t *testing.T, log *crlfake.Log)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, t, crlfake.NewLog())
		cancel()
		time.Sleep(5 * time.Second)
	})
}

func requireWin(ctx context.Context, t *testing.T, r *Registry, key string) KeyState {
	t.Helper()
	v, err := claim(ctx, r, key)
	if err != nil || v.Decision != DecisionWon {
		t.Fatalf("claim of %s: %v, %v, want it to win", key, v.Decision, err)
	}
	return v.State
}

func TestOneOfManyDaemonsWinsKey(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, log *crlfake.Log) {
		var claims sync.WaitGroup
		won := make(chan bool, 9)
		for range 9 {
			r := startRegistry(ctx, log)
			claims.Go(func() {
				// Wait for the next full second, so that all daemons claim the key at the same moment.
				time.Sleep(time.Second - time.Duration(time.Now().UnixNano())%time.Second)
				v, err := claim(ctx, r, "k")
				if err != nil {
					t.Error(err)
				}
				won <- v.Decision == DecisionWon
			})
		}
		claims.Wait()
		winners := 0
		for range 9 {
			if <-won {
				winners++
			}
		}
		if winners != 1 {
			t.Errorf("%d daemons won the key, want 1", winners)
		}
	})
}

// TestCheckpointKeepsKeyAfterTrim drops the record of a claim from the log after a checkpoint. A daemon that starts afterwards
// must know the recorded answer until the key expires.
func TestCheckpointKeepsKeyAfterTrim(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, log *crlfake.Log) {
		first := startRegistry(ctx, log)
		state := requireWin(ctx, t, first, "k")
		outcome := Outcome{Key: state.Claim.Key, Claim: state.Position, Phase: PhaseDone, Status: 200, Answer: []byte("done")}
		if err := first.Record(ctx, outcome); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testLifetime / 2)
		checkpoint, due, err := first.Checkpoint(ctx, time.Minute)
		if err != nil || !due {
			t.Fatalf("checkpoint due = %t, error %v, want one due", due, err)
		}
		if err := checkpoint.Write(ctx, first.config.Writer, "id"); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(crlfake.LogFaults{KeepRecords: 1})
		late := startRegistry(ctx, log)
		v, err := claim(ctx, late, "k")
		if err != nil || v.Decision != DecisionLost || string(v.State.Outcome.Answer) != "done" {
			t.Errorf("claim of the trimmed key: %v, %v, %q, want the recorded answer", v.Decision, err, v.State.Outcome.Answer)
		}
		time.Sleep(2 * testLifetime)
		requireWin(ctx, t, late, "k")
	})
}

// TestClaimUnavailableAfterTrimWithoutCheckpoint drops the record of a claim without a checkpoint. A daemon that starts afterwards
// must not decide on claims until every key that it may have missed has expired; otherwise the request could run twice.
func TestClaimUnavailableAfterTrimWithoutCheckpoint(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, log *crlfake.Log) {
		first := startRegistry(ctx, log)
		requireWin(ctx, t, first, "k")
		requireWin(ctx, t, first, "other")
		log.SetFaults(crlfake.LogFaults{KeepRecords: 1})
		before := log.Appends()
		late := startRegistry(ctx, log)
		if v, err := claim(ctx, late, "k"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("claim of the trimmed key: %v, %v, want %v", v.Decision, err, ErrUnavailable)
		}
		if n := log.Appends(); n != before {
			t.Errorf("%d appends after ErrUnavailable, want none", n-before)
		}
		time.Sleep(testLifetime + 2*maxClockSkew)
		requireWin(ctx, t, late, "k")
	})
}

// TestOutageLeavesNoUnusedClaim makes claims during an outage of the log. All must fail, and after the outage their keys must be
// free, including that of a claim that was in flight.
func TestOutageLeavesNoUnusedClaim(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, log *crlfake.Log) {
		r := startRegistry(ctx, log)
		log.SetFaults(crlfake.LogFaults{Outage: true})
		if _, err := claim(ctx, r, "sent"); !errors.Is(err, ErrUndecided) {
			t.Errorf("claim that may have reached the log: %v, want %v", err, ErrUndecided)
		}
		if _, err := claim(ctx, r, "queued"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("claim that was never sent: %v, want %v", err, ErrUnavailable)
		}
		time.Sleep(testStaleness)
		if _, err := claim(ctx, r, "stale"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("claim with a stale copy of the claims: %v, want %v", err, ErrUnavailable)
		}
		log.SetFaults(crlfake.LogFaults{})
		time.Sleep(5 * time.Second)
		for _, key := range []string{"sent", "queued", "stale"} {
			requireWin(ctx, t, r, key)
		}
	})
}

// TestAbandonedClaimIsReleased cancels the caller at many points in time, including before the loop has submitted the claim. The
// key must be free afterwards.
func TestAbandonedClaimIsReleased(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, log *crlfake.Log) {
		log.SetFaults(crlfake.LogFaults{Delay: 20 * time.Millisecond})
		r := startRegistry(ctx, log)
		for wait := range 40 {
			key := string(rune('a' + wait))
			claimCtx, cancelClaim := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
			_, err := claim(claimCtx, r, key)
			cancelClaim()
			if err == nil {
				continue
			}
			time.Sleep(time.Second)
			requireWin(ctx, t, r, key)
		}
		if err := r.config.Loop.Do(ctx, func() {
			if len(r.waiters) > 0 {
				t.Errorf("%d waiters left, want none", len(r.waiters))
			}
		}); err != nil {
			t.Fatal(err)
		}
	})
}
