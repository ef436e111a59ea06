package crlfleet

import (
	"errors"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// brittle is a statement that a server can turn 2 requests a second away.
var brittle = Statement{Brittle: true, MaxRejections: 2}

// newBrittleFleet returns the fleet of the daemon with the given rank of several, with one server of the given number of places that has stated that it is
// brittle. A negative rank stands for a daemon that isn't known to be one of them.
func newBrittleFleet(t *testing.T, clock *fakeClock, rank, daemons, places int) *Fleet {
	t.Helper()
	f := newStatingFleet(clock, allSlots{}, daemons)
	f.config.Rank = func(uint64) (int, int, bool) { return rank, daemons, rank >= 0 }
	entry := testEntry(1)
	entry.Slots = places
	f.Announce(entry, clock.now)
	p := mustPick(t, f, testNeed())
	p.RecordStatement(brittle)
	p.Done(Result{Outcome: OutcomeAnswered})
	return f
}

// fill picks the server until it has no place left, and returns the picks and the error of the last try.
func fill(f *Fleet) (picks []*Pick, err error) {
	for range 100 {
		p, err := f.Pick(testNeed())
		if err != nil {
			return picks, err
		}
		picks = append(picks, p)
	}
	return picks, nil
}

// TestPlacesOfABrittleServerAreDivided checks how many requests a daemon may have open at a brittle server.
func TestPlacesOfABrittleServerAreDivided(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		rank, daemons, places int
		want                  int
	}{
		{"alone", 0, 1, 6, 6},
		{"equal parts", 5, 6, 12, 2},
		{"equal parts and one of the rest", 1, 5, 12, 3},
		{"equal parts and none of the rest", 2, 5, 12, 2},
		{"more daemons than places, one of the first", 5, 9, 6, 1},
		{"more daemons than places", 6, 9, 6, 0},
		{"not one of the daemons", -1, 9, 18, 0},
		{"places not announced", 8, 9, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := &fakeClock{now: crlclock.Instant(time.Hour)}
			f := newBrittleFleet(t, clock, tc.rank, tc.daemons, tc.places)
			picks, err := fill(f)
			if len(picks) != tc.want || !errors.Is(err, ErrNoPlace) {
				t.Errorf("%d open requests and error %v, want %d and %v", len(picks), err, tc.want, ErrNoPlace)
			}
			if len(picks) == 0 {
				return
			}
			picks[0].Done(Result{Outcome: OutcomeAnswered})
			if _, err := f.Pick(testNeed()); err != nil {
				t.Errorf("no request may take the place of one that has ended: %v", err)
			}
		})
	}
}

// TestRejectionReducesRequestsToABrittleServer guards against a server that turns request after request away until it falls over.
func TestRejectionReducesRequestsToABrittleServer(t *testing.T) {
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	f := newBrittleFleet(t, clock, 0, 1, 6)
	clock.advance(time.Millisecond)
	reject := func() {
		p := mustPick(t, f, testNeed())
		p.RecordStatement(brittle)
		p.Done(Result{Outcome: OutcomeFull})
	}
	open := func(outcome Outcome) int {
		picks, _ := fill(f)
		for _, p := range picks {
			p.RecordStatement(brittle)
			p.Done(Result{Outcome: outcome})
		}
		return len(picks)
	}
	reject() // of a request that others have filled the server before
	if got := open(OutcomeAnswered); got != 6 {
		t.Errorf("%d open requests after a rejection within %s of the first statement, want 6", got, settleTime)
	}
	clock.advance(settleTime)
	reject()
	if got := open(OutcomeAnswered); got != 0 {
		t.Errorf("%d open requests after a rejection, want none", got)
	}
	clock.advance(maxAttemptTime)
	if got := open(OutcomeFull); got != 1 {
		t.Errorf("%d open requests %s after a rejection, want 1", got, maxAttemptTime)
	}
	clock.advance(maxAttemptTime)
	if got := open(OutcomeAnswered); got != 1 {
		t.Errorf("%d open requests %s after another rejection, want 1", got, maxAttemptTime)
	}
	if got := open(OutcomeAnswered); got != 6 {
		t.Errorf("%d open requests after the server has accepted one, want 6", got)
	}
}

// TestBrittlenessEnds checks that a server counts as brittle until an answer no longer states so, but not that to an older request, or it has
// stated nothing for long.
func TestBrittlenessEnds(t *testing.T) {
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	f := newStatingFleet(clock, allSlots{}, 1)
	older := mustPick(t, f, testNeed())
	clock.advance(time.Second)
	newer := mustPick(t, f, testNeed())
	newer.RecordStatement(brittle)
	older.RecordStatement(Statement{})
	if _, err := f.Pick(testNeed()); !errors.Is(err, ErrNoPlace) {
		t.Errorf("after an answer to an older request: error %v, want that there is no room", err)
	}
	clock.advance(time.Millisecond)
	older.Done(Result{Outcome: OutcomeAnswered})
	newer.Done(Result{Outcome: OutcomeAnswered})
	p := mustPick(t, f, testNeed())
	p.RecordStatement(Statement{})
	if picks, _ := fill(f); len(picks) != 100 {
		t.Errorf("%d open requests after an answer without the statement, want no limit", len(picks))
	}
	p.RecordStatement(brittle)
	clock.advance(brittleExpiry + time.Second)
	if picks, _ := fill(f); len(picks) != 100 {
		t.Errorf("%d open requests %s after the latest statement, want no limit", len(picks), brittleExpiry)
	}
}

// TestBrittleStateCounts guards against metrics that don't tell whether a router goes on sending brittle servers what they turn away.
func TestBrittleStateCounts(t *testing.T) {
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	f := newBrittleFleet(t, clock, 0, 1, 6)
	p := mustPick(t, f, testNeed())
	p.RecordStatement(brittle)
	p.Done(Result{Outcome: OutcomeFull})
	if got, want := f.BrittleState(), (BrittleState{Servers: 1, Places: 6, Rejections: 1}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// TestNewServersOfABrittleServiceAreBrittle guards against brittle servers that fall over (GONE) because a server that is new, or back after a fall,
// counts as sound until it has answered.
func TestNewServersOfABrittleServiceAreBrittle(t *testing.T) {
	const daemons, places = 3, 6
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	f := newBrittleFleet(t, clock, 0, daemons, places)
	open := func() int {
		picks, _ := fill(f)
		for _, p := range picks {
			p.Done(Result{Outcome: OutcomeNeutral})
		}
		return len(picks)
	}
	replace := func(old, n int) {
		f.Remove(testEntry(old).Server)
		entry := testEntry(n)
		entry.Slots = places
		clock.advance(time.Millisecond)
		f.Announce(entry, clock.now)
	}
	replace(1, 2)
	clock.advance(newVersionDelay)
	if got := open(); got != places/daemons {
		t.Errorf("%d open requests at a new server, want %d", got, places/daemons)
	}
	p := mustPick(t, f, testNeed())
	p.RecordStatement(Statement{})
	p.Done(Result{Outcome: OutcomeAnswered})
	if got := open(); got != 100 {
		t.Errorf("%d open requests at a server that has answered without the statement, want no limit", got)
	}
	replace(2, 3)
	if got := open(); got != 100 {
		t.Errorf("%d open requests at a new server after answers without the statement, want no limit", got)
	}
}

// TestServerThatMayBeFullGetsFewRequests guards against brittle servers that fall over (GONE) as requests from before they stated so still fill them, which
// count at no daemon's places: until it has accepted a request, a server gets no more than it bears to turn away.
func TestServerThatMayBeFullGetsFewRequests(t *testing.T) {
	const daemons, places, length = 3, 6, 30 * time.Second
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	fleets := make([]*Fleet, daemons)
	for i := range fleets {
		fleets[i] = newBrittleFleet(t, clock, i, daemons, places)
	}
	clock.advance(settleTime)
	sends := 0
	for end := clock.now.Add(length); clock.now < end; clock.advance(10 * time.Millisecond) {
		for _, f := range fleets {
			if p, err := f.Pick(testNeed()); err == nil {
				sends++
				p.RecordStatement(brittle)
				p.Done(Result{Outcome: OutcomeFull})
			}
		}
	}
	if most := rejectionShare * brittle.MaxRejections * length.Seconds() * 1.2; float64(sends) > most || sends == 0 {
		t.Errorf("%d requests to a full server in %s, want some and at most %.0f", sends, length, most)
	}
	clock.advance(maxAttemptTime)
	p := mustPick(t, fleets[0], testNeed())
	p.RecordFirstByte(time.Millisecond)
	p.Done(Result{Outcome: OutcomeAnswered})
	if picks, _ := fill(fleets[0]); len(picks) != places/daemons {
		t.Errorf("%d open requests after the server has accepted one, want %d", len(picks), places/daemons)
	}
}
