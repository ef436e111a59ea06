package crlfleet

import (
	"errors"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
)

// noSlots are the slots of a daemon that holds none.
type noSlots struct{}

func (noSlots) Count() int                                  { return testSlots }
func (noSlots) Holds(crlbudget.Slot, crlclock.Instant) bool { return false }

// newStatingFleet returns the fleet of one of several daemons, with one server.
func newStatingFleet(clock *fakeClock, slots Slots, daemons int) *Fleet {
	f := New(Config{
		Domain: "near", Slots: slots, Daemons: func() int { return daemons }, Random: func() float64 { return 0.5 },
		Now: func() crlclock.Instant { return clock.now },
	})
	f.Announce(testEntry(1), clock.now)
	return f
}

// sendFor picks the only server every 10 ms for a time, lets it state what stated returns, and returns the number of sends.
func sendFor(f *Fleet, clock *fakeClock, length time.Duration, stated func() Statement) (sends int) {
	const interval = 10 * time.Millisecond
	for end := clock.now.Add(length); clock.now < end; clock.advance(interval) {
		p, err := f.Pick(testNeed())
		if err != nil {
			continue
		}
		sends++
		p.RecordStatement(stated())
		p.Done(Result{Outcome: OutcomeAnswered})
	}
	return sends
}

// TestStatedLimitEnds checks that a limit ends with the first answer without it, but not with a late answer to a request from before.
func TestStatedLimitEnds(t *testing.T) {
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	f := newStatingFleet(clock, allSlots{}, 1)
	before := mustPick(t, f, testNeed())
	clock.advance(time.Second)
	mustPick(t, f, testNeed()).RecordStatement(Statement{Limited: true, RateLimit: 2})
	before.RecordStatement(Statement{})
	limited := func() Statement { return Statement{Limited: true, RateLimit: 2} }
	if got := sendFor(f, clock, 10*time.Second, limited); got > 25 {
		t.Errorf("%d requests in 10 s after an answer to an older request, want the 20 that the limit allows and a few", got)
	}
	if got := sendFor(f, clock, 2*time.Second, func() Statement { return Statement{} }); got < 100 {
		t.Errorf("%d requests in 2 s after the limit has ended, want most of 200", got)
	}
}

// TestChangingLimitGivesNoExtraRequests guards against a burst with each change of a limit, as new buckets would be full.
func TestChangingLimitGivesNoExtraRequests(t *testing.T) {
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	f, n := newStatingFleet(clock, allSlots{}, 1), 0
	changing := func() Statement {
		n++
		return Statement{Limited: true, RateLimit: []float64{2, 4.1, 1.2, 3}[n%4]}
	}
	sendFor(f, clock, time.Second, changing)
	if got := sendFor(f, clock, 10*time.Second, changing); got > 45 {
		t.Errorf("%d requests in 10 s at limits of 1.2 to 4.1 a second, want at most those of the highest", got)
	}
}

// TestDaemonWithoutSlotChecksALimit checks that a daemon that may use nothing of a limit still learns that it has ended, with few requests.
func TestDaemonWithoutSlotChecksALimit(t *testing.T) {
	const daemons = 6
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	f := newStatingFleet(clock, noSlots{}, daemons)
	limited := func() Statement { return Statement{Limited: true, RateLimit: 4} }
	sendFor(f, clock, 10*time.Millisecond, limited)
	if got := sendFor(f, clock, 60*time.Second, limited); got < 5 || got > 15 {
		t.Errorf("%d checks in 60 s, want a sixth of the quarter of the limit", got)
	}
	if got := sendFor(f, clock, 10*time.Second, func() Statement { return Statement{} }); got < 100 {
		t.Errorf("%d requests in the 10 s after the limit has ended, want many", got)
	}
	if _, err := f.Pick(testNeed()); err != nil {
		t.Errorf("pick after the limit has ended: %v", err)
	}
}

// TestNewProcessHasStatedNothing checks that what a server stated doesn't bind the process that follows it under the same name.
func TestNewProcessHasStatedNothing(t *testing.T) {
	for _, test := range []struct {
		name   string
		stated Statement
		want   error // nil for a *PausedError
	}{
		{"leaving", Statement{Leaving: true}, ErrNoServer},
		{"pause", Statement{Pause: time.Hour}, nil},
		{"limit", Statement{Limited: true}, ErrRateLimit},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := &fakeClock{now: crlclock.Instant(time.Hour)}
			f := newStatingFleet(clock, noSlots{}, 1)
			mustPick(t, f, testNeed()).RecordStatement(test.stated)
			_, err := f.Pick(testNeed())
			var paused *PausedError
			if errors.As(err, &paused) != (test.want == nil) || test.want != nil && !errors.Is(err, test.want) {
				t.Errorf("pick after the statement: %v, want %v (nil for a pause)", err, test.want)
			}
			e := testEntry(1)
			e.StartedAt = e.StartedAt.Add(time.Second)
			f.Announce(e, clock.now)
			mustPick(t, f, testNeed())
		})
	}
}

// TestLongestPauseIsBounded guards against a damaged answer that puts a server out of service for good.
func TestLongestPauseIsBounded(t *testing.T) {
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	f := newStatingFleet(clock, allSlots{}, 1)
	mustPick(t, f, testNeed()).RecordStatement(Statement{Pause: 1 << 62})
	clock.advance(maxPause + time.Millisecond)
	mustPick(t, f, testNeed())
}

// TestHugeLimitTakesLittleMemory guards against a damaged or generous limit that takes a bucket for each of its requests a second.
func TestHugeLimitTakesLittleMemory(t *testing.T) {
	for _, perSecond := range []float64{500, 1e7, 1e300} {
		clock := &fakeClock{now: crlclock.Instant(time.Hour)}
		f := newStatingFleet(clock, allSlots{}, 1)
		mustPick(t, f, testNeed()).RecordStatement(Statement{Limited: true, RateLimit: perSecond})
		if got := cap(f.servers["s1"].limit.buckets); got > 2*maxLimitBuckets {
			t.Errorf("a limit of %.0f takes %d buckets, want at most %d", perSecond, got, maxLimitBuckets)
		}
		clock.advance(time.Second)
		if got := sendFor(f, clock, time.Second, func() Statement { return Statement{Limited: true, RateLimit: perSecond} }); got < 90 {
			t.Errorf("%d of 100 requests a second are sent at a limit of %.0f", got, perSecond)
		}
	}
}
