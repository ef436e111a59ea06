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

// newTrackerWithOrder returns the tracker of one daemon of several, with a roll-out that begins at start.
func newTrackerWithOrder(daemons int) *Tracker {
	b := NewTracker(Config{Daemons: func() int { return daemons }})
	b.AddOrder(Order{Service: service, Target: "v2", Over: orderDuration, Offset: 7}, false, start)
	return b
}

func observe(b *Tracker, version crlid.Version, bad bool) bool {
	return b.Observe(Observation{Service: service, Version: version, Bad: bad})
}

// TestExposureUntilTheDeadline bounds the share of all requests up to the deadline that a target without a fault gets, as it
// may be bad only under a load that does not occur before. From its completion on it gets all requests. Deployments set the
// bound: present ones 0.15, larger ones 0.12, and others may set less or more.
func TestExposureUntilTheDeadline(t *testing.T) {
	for _, bound := range []float64{0.01, 0.03, 0.06, 0.09, 0.12, 0.15, 0.3, 1} {
		b := NewTracker(Config{Daemons: func() int { return 6 }, Exposure: bound})
		b.AddOrder(Order{Service: service, Target: "v2", Over: orderDuration, Offset: 7}, false, start)
		var exposed float64
		const step = 10 * time.Millisecond
		completed := time.Duration(0)
		for elapsed := time.Duration(0); elapsed < orderDuration; elapsed += step {
			now := start.Add(elapsed)
			if due := b.Due(now, equalCapacity); len(due) == 1 && due[0].State == StateCompleted && completed == 0 {
				completed = elapsed
			}
			share := b.Plan(service, now, equalCapacity).Share
			if completed > 0 {
				share = 1
			}
			exposed += share * float64(step) / float64(orderDuration)
		}
		if exposed > bound {
			t.Errorf("a target without a fault gets %.3f of the requests up to the deadline, bound is %.2f", exposed, bound)
		}
		if completed == 0 || bound >= 0.1 && completed > orderDuration-statusWriteTime {
			t.Errorf("bound %.2f: completed after %s of %s, want %s left for writing the status", bound, completed, orderDuration, statusWriteTime)
		}
	}
}

func TestCompletionBeforeTheDeadline(t *testing.T) {
	b := newTrackerWithOrder(6)
	due := b.Due(start.Add(orderDuration*97/100), equalCapacity)
	if len(due) != 1 || due[0].State != StateCompleted {
		t.Fatalf("due shortly before the deadline: %v, want completed", due)
	}
	if due := b.Due(
		start.Add(orderDuration*97/100), func(crlid.Service, crlid.Version) (int, int) { return 0, 9 },
	); due[0].State != StateRunning {
		t.Errorf("due without servers of the target: %v, want running", due)
	}
}

// TestBadVersionIsRolledBack bounds the number of answers after which a target is marked bad when half of them fail.
func TestBadVersionIsRolledBack(t *testing.T) {
	const bound = 20 // The time to roll back counts from 50 bad answers, of which two daemons see half each.
	b := newTrackerWithOrder(6)
	for range 100 {
		observe(b, "v1", false)
	}
	for n := 1; ; n++ {
		if observe(b, "v2", n%2 == 0) {
			break
		}
		if n == bound {
			t.Fatalf("target is not marked bad after %d answers, half of which failed", n)
		}
	}
	now := start.Add(time.Second)
	if p := b.Plan(service, now, equalCapacity); p.Allows("v2") || !p.Allows("v1") || p.Prefers(0, "v2") {
		t.Errorf("plan allows or prefers a target that is marked bad: %+v", p)
	}
	if due := b.Due(now, equalCapacity); len(due) != 1 || due[0].State != StateRolledBack {
		t.Errorf("due for a target that is marked bad: %v, want rolled back", due)
	}
}

// TestFailuresOfBothVersionsDontMarkTheTargetBad checks that a fault of the whole service is not attributed to the target.
func TestFailuresOfBothVersionsDontMarkTheTargetBad(t *testing.T) {
	b := newTrackerWithOrder(6)
	for n := range 200 {
		observe(b, "v1", n%3 == 0)
		if observe(b, "v2", n%3 == 1) {
			t.Fatalf("target is marked bad after %d answers although both versions fail equally often", n)
		}
	}
}

// TestSessionsKeepTheirVersion checks that sessions of the old version keep it in the first half of the time, and that no
// session leaves the target.
func TestSessionsKeepTheirVersion(t *testing.T) {
	b := newTrackerWithOrder(6)
	rapid.Check(t, func(t *rapid.T) {
		elapsed := time.Duration(rapid.Float64Range(0, 1).Draw(t, "elapsed") * float64(orderDuration))
		hash := rapid.Uint64().Draw(t, "hash")
		p := b.Plan(service, start.Add(elapsed), equalCapacity)
		if elapsed < orderDuration/2 && p.Prefers(hash, "v1") {
			t.Fatalf("a session of v1 moves to v2 after %s", elapsed)
		}
		if !p.Prefers(hash, "v2") {
			t.Fatalf("a session of v2 moves back to v1 after %s", elapsed)
		}
	})
}

// TestFirstStepShrinksWithTheNumberOfDaemons checks a fleet of 63 daemons, where the requests of a session reach several of
// them, so a full first step would move too many sessions.
func TestFirstStepShrinksWithTheNumberOfDaemons(t *testing.T) {
	few, many := newTrackerWithOrder(6), newTrackerWithOrder(63)
	now := start.Add(time.Second)
	if a, b := few.Plan(service, now, equalCapacity).Share, many.Plan(service, now, equalCapacity).Share; b > a/6 {
		t.Errorf("share of the first step is %.4f with 6 daemons and %.4f with 63, want at most a sixth", a, b)
	}
}

// TestStateOfAnotherOrder checks that a status that is found at the start applies to an order for the same target only.
func TestStatusOfAnotherTarget(t *testing.T) {
	b := NewTracker(Config{Daemons: func() int { return 1 }})
	b.RecordStatus(Status{Service: service, Target: "v1", State: StateCompleted, Offset: 3})
	b.AddOrder(Order{Service: service, Target: "v2", Over: orderDuration, Offset: 7}, true, start)
	if p := b.Plan(service, start, equalCapacity); p.TargetOnly || p.TargetBarred {
		t.Errorf("plan %+v applies the status of another target", p)
	}
	b.RecordStatus(Status{Service: service, Target: "v2", State: StateCompleted, Offset: 8})
	if p := b.Plan(service, start, equalCapacity); !p.TargetOnly || p.Allows("v1") {
		t.Errorf("plan %+v after completion", p)
	}
	if !b.Plan(service, start, equalCapacity).Prefers(math.MaxUint64, "") {
		t.Error("a request does not prefer the completed target")
	}
}
