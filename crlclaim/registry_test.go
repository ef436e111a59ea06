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

// startRegistry returns a registry that follows the log until ctx ends.
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

// inBubble runs a test on a log of its own in virtual time.
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
		t.Fatalf("claim of %s: %v, %v, want it won", key, v.Decision, err)
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
			t.Errorf("%d daemons won the key", winners)
		}
	})
}

// TestRegistryKeyOutlivesTheLogByACheckpoint trims the claim and asks a daemon that starts afterwards.
func TestCheckpointKeepsKeyAfterTrim(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, log *crlfake.Log) {
		first := startRegistry(ctx, log)
		standing := requireWin(ctx, t, first, "k")
		outcome := Outcome{Key: standing.Claim.Key, Claim: standing.Position, Phase: PhaseDone, Status: 200, Answer: []byte("done")}
		if err := first.Record(ctx, outcome); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testLifetime / 2)
		checkpoint, due, err := first.Checkpoint(ctx, time.Minute)
		if err != nil || !due {
			t.Fatalf("checkpoint due %t: %v", due, err)
		}
		if err := checkpoint.Write(ctx, first.config.Writer, "id"); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(crlfake.LogFaults{KeepRecords: 1})
		late := startRegistry(ctx, log)
		v, err := claim(ctx, late, "k")
		if err != nil || v.Decision != DecisionLost || string(v.State.Outcome.Answer) != "done" {
			t.Errorf("%v, %v, %q, want the recorded answer", v.Decision, err, v.State.Outcome.Answer)
		}
		time.Sleep(2 * testLifetime)
		requireWin(ctx, t, late, "k")
	})
}

// TestRegistryAnswersForNoKeyThatItMayHaveMissed trims the claim without a checkpoint.
func TestClaimUnavailableAfterTrimWithoutCheckpoint(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, log *crlfake.Log) {
		first := startRegistry(ctx, log)
		requireWin(ctx, t, first, "k")
		requireWin(ctx, t, first, "other")
		log.SetFaults(crlfake.LogFaults{KeepRecords: 1})
		before := log.Appends()
		late := startRegistry(ctx, log)
		if v, err := claim(ctx, late, "k"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%v, %v, want no verdict", v.Decision, err)
		}
		if n := log.Appends(); n != before {
			t.Errorf("%d appends of a claim that is said not to be made", n-before)
		}
		time.Sleep(testLifetime + 2*maxClockSkew)
		requireWin(ctx, t, late, "k")
	})
}

func TestOutageLeavesNoUnusedClaim(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, log *crlfake.Log) {
		r := startRegistry(ctx, log)
		log.SetFaults(crlfake.LogFaults{Outage: true})
		if _, err := claim(ctx, r, "sent"); !errors.Is(err, ErrUndecided) {
			t.Errorf("a claim that may be on the log: %v", err)
		}
		if _, err := claim(ctx, r, "queued"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("a claim that was never sent: %v", err)
		}
		time.Sleep(testStaleness)
		if _, err := claim(ctx, r, "stale"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("a claim with a stale view of the log: %v", err)
		}
		log.SetFaults(crlfake.LogFaults{})
		time.Sleep(5 * time.Second)
		for _, key := range []string{"sent", "queued", "stale"} {
			requireWin(ctx, t, r, key)
		}
	})
}

// TestRegistryReleasesWhatACallerLeft lets the caller leave at many moments, also before the loop ran its claim.
func TestAbandonedClaimIsReleased(t *testing.T) {
	runInBubble(t, func(ctx context.Context, t *testing.T, log *crlfake.Log) {
		log.SetFaults(crlfake.LogFaults{Delay: 20 * time.Millisecond})
		r := startRegistry(ctx, log)
		for wait := range 40 {
			key := string(rune('a' + wait))
			leaving, leave := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
			_, err := claim(leaving, r, key)
			leave()
			if err == nil {
				continue
			}
			time.Sleep(time.Second)
			requireWin(ctx, t, r, key)
		}
		if err := r.config.Loop.Do(ctx, func() {
			if len(r.waiters) > 0 {
				t.Errorf("%d claims are still waited for", len(r.waiters))
			}
		}); err != nil {
			t.Fatal(err)
		}
	})
}
