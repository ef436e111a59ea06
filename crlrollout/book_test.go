package crlrollout

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	service       = crlid.Service("drafts")
	orderDuration = 24 * time.Second
	start         = crlclock.Instant(time.Hour)
)

func equalCapacity(crlid.Service, crlid.Version) (target, others int) { return 9, 9 }

func newTrackerWithOrder(daemons int) *Tracker {
	b := NewTracker(Config{Daemons: func() int { return daemons }})
	b.AddOrder(Order{Service: service, Target: "v2", Over: orderDuration, Offset: 7}, false, start)
	return b
}

func observe(b *Tracker, version crlid.Version, bad bool) bool {
	return b.Observe(Observation{Service: service, Version: version, Bad: bad})
}

// TestExposureUntilTheDeadline bounds what a version gets that shows no fault until the deadline, as one that is bad only
// under a load that doesn't come (EXPOSURE, the day slow-version-under-load). After completion it gets everything. Deployments
// bound it by a setting: 0.15 today, 0.12 on the grown ones, and others may ask for less or more.
func TestExposureUntilTheDeadline(t *testing.T) {
	for _, bound := range []float64{0.01, 0.03, 0.06, 0.09, 0.12, 0.15, 0.3, 1} {
		b := NewTracker(Config{Daemons: func() int { return 6 }, Exposure: bound})
		b.AddOrder(Order{Service: service, Target: "v2", Over: orderDuration, Offset: 7}, false, start)
		var exposed float64
		const step = 10 * time.Millisecond
		completed := time.Duration(0)
		for passed := time.Duration(0); passed < orderDuration; passed += step {
			now := start.Add(passed)
			if due := b.Due(now, equalCapacity); len(due) == 1 && due[0].State == StateCompleted && completed == 0 {
				completed = passed
			}
			share := b.Plan(service, now, equalCapacity).Share
			if completed > 0 {
				share = 1
			}
			exposed += share * float64(step) / float64(orderDuration)
		}
		if exposed > bound {
			t.Errorf("a version without a finding gets %.3f of the requests until the deadline, bound is %.2f", exposed, bound)
		}
		if completed == 0 || bound >= 0.1 && completed > orderDuration-statusWriteTime {
			t.Errorf("bound %.2f: complete after %s of %s, want %s for the write", bound, completed, orderDuration, statusWriteTime)
		}
	}
}

func TestCompletionBeforeTheDeadline(t *testing.T) {
	b := newTrackerWithOrder(6)
	due := b.Due(start.Add(orderDuration*97/100), equalCapacity)
	if len(due) != 1 || due[0].State != StateCompleted {
		t.Fatalf("due shortly before the deadline: %v, want completed", due)
	}
	if due := b.Due(start.Add(orderDuration*97/100), func(crlid.Service, crlid.Version) (int, int) { return 0, 9 }); due[0].State != StateRunning {
		t.Errorf("due without servers of the target: %v, want running", due)
	}
}

// TestBadVersionIsCondemned shows how many answers it takes when half of them fail.
func TestBadVersionIsRolledBack(t *testing.T) {
	const bound = 20 // Half of the 50 bad answers from which the time to roll back counts, for each of two daemons.
	b := newTrackerWithOrder(6)
	for range 100 {
		observe(b, "v1", false)
	}
	for n := 1; ; n++ {
		if observe(b, "v2", n%2 == 0) {
			break
		}
		if n == bound {
			t.Fatalf("not condemned after %d answers of which half failed", n)
		}
	}
	now := start.Add(time.Second)
	if p := b.Plan(service, now, equalCapacity); p.Allows("v2") || !p.Allows("v1") || p.Prefers(0, "v2") {
		t.Errorf("plan after the verdict: %+v", p)
	}
	if due := b.Due(now, equalCapacity); len(due) != 1 || due[0].State != StateRolledBack {
		t.Errorf("due after the verdict: %v", due)
	}
}

// TestFailuresOfBothVersionsCondemnNone shows that trouble of the whole service isn't held against the target.
func TestFailuresOfBothVersionsDontMarkTheTargetBad(t *testing.T) {
	b := newTrackerWithOrder(6)
	for n := range 200 {
		observe(b, "v1", n%3 == 0)
		if observe(b, "v2", n%3 == 1) {
			t.Fatalf("condemned after %d answers although both versions fail alike", n)
		}
	}
}

// TestSessionsKeepTheirVersion shows that sessions of the old version stay in the first half, and that none leaves the new one.
func TestSessionsKeepTheirVersion(t *testing.T) {
	b := newTrackerWithOrder(6)
	rapid.Check(t, func(t *rapid.T) {
		passed := time.Duration(rapid.Float64Range(0, 1).Draw(t, "passed") * float64(orderDuration))
		hash := rapid.Uint64().Draw(t, "hash")
		p := b.Plan(service, start.Add(passed), equalCapacity)
		if passed < orderDuration/2 && p.Prefers(hash, "v1") {
			t.Fatalf("a session of v1 moves at %s", passed)
		}
		if !p.Prefers(hash, "v2") {
			t.Fatalf("a session of v2 moves back at %s", passed)
		}
	})
}

// TestShareFallsWithTheNumberOfDaemons is the pattern of 63 daemons, where sessions are seen at several of them.
func TestFirstStepShrinksWithTheNumberOfDaemons(t *testing.T) {
	few, many := newTrackerWithOrder(6), newTrackerWithOrder(63)
	now := start.Add(time.Second)
	if a, b := few.Plan(service, now, equalCapacity).Share, many.Plan(service, now, equalCapacity).Share; b > a/6 {
		t.Errorf("first step is %.4f with 6 daemons and %.4f with 63", a, b)
	}
}

// TestStateOfAnotherOrder shows that a state found at the start counts for its target only.
func TestStateOfAnotherOrder(t *testing.T) {
	b := NewTracker(Config{Daemons: func() int { return 1 }})
	b.RecordStatus(Status{Service: service, Target: "v1", State: StateCompleted, Offset: 3})
	b.AddOrder(Order{Service: service, Target: "v2", Over: orderDuration, Offset: 7}, true, start)
	if p := b.Plan(service, start, equalCapacity); p.TargetOnly || p.TargetBarred {
		t.Errorf("plan %+v follows the state of another target", p)
	}
	b.RecordStatus(Status{Service: service, Target: "v2", State: StateCompleted, Offset: 8})
	if p := b.Plan(service, start, equalCapacity); !p.TargetOnly || p.Allows("v1") {
		t.Errorf("plan %+v after completion", p)
	}
	if !b.Plan(service, start, equalCapacity).Prefers(math.MaxUint64, "") {
		t.Error("a request does not prefer the completed version")
	}
}
