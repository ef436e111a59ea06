package crlfleet

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

type fakeClock struct{ now crlclock.Instant }

func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// allSlots are the slots of a daemon that has the limits to itself.
type allSlots struct{}

func (allSlots) Count() int                                  { return 1 }
func (allSlots) Holds(crlbudget.Slot, crlclock.Instant) bool { return true }

func newTestFleet(domain crlid.Domain) (*Fleet, *fakeClock) {
	c := &fakeClock{now: crlclock.Instant(time.Hour)}
	return New(Config{
		Domain: domain, Slots: allSlots{}, Daemons: func() int { return 1 }, ColdRatio: 1.5, ColdSlack: 5,
		Random: func() float64 { return 0 }, Now: func() crlclock.Instant { return c.now },
	}), c
}

func testEntry(n int) Entry {
	return Entry{
		Server: crlid.Server(fmt.Sprintf("s%d", n)), Service: "drafts", Address: fmt.Sprintf("10.0.0.%d:1", n),
		Domain: "near", Version: "v1", StartedAt: time.UnixMilli(1),
	}
}

// testNeed returns the need of a request that may run on every version.
func testNeed() Need {
	all := func(crlid.Version) bool { return true }
	return Need{Service: "drafts", Allows: all, Prefers: all, Work: 0.1, ExpectedFirstByte: 50 * time.Millisecond}
}

func mustPick(t *testing.T, f *Fleet, n Need) *Pick {
	t.Helper()
	p, err := f.Pick(n)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestServersOutOfServiceAreNotPicked checks that a server that does not accept new requests is never picked.
func TestServersOutOfServiceAreNotPicked(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *Fleet, now crlclock.Instant)
	}{
		{"leaving", func(f *Fleet, now crlclock.Instant) {
			e := testEntry(1)
			e.Leaving = true
			f.Announce(e, now)
		}},
		{"gone", func(f *Fleet, _ crlclock.Instant) { f.Remove("s1") }},
		{"evacuated", func(f *Fleet, _ crlclock.Instant) { f.Evacuate("near", true) }},
		{"of another service", func(f *Fleet, now crlclock.Instant) {
			e := testEntry(1)
			e.Service = "register"
			f.Announce(e, now)
		}},
	} {
		f, clock := newTestFleet("near")
		f.Announce(testEntry(1), clock.now)
		mustPick(t, f, testNeed()).Done(Result{})
		c.change(f, clock.now)
		if p, err := f.Pick(testNeed()); !errors.Is(err, ErrNoServer) {
			t.Errorf("server that is %s: picked %v, %v", c.name, p, err)
		}
	}
}

// TestEndOfAnEvacuation checks that the servers of a failure domain get requests again after its evacuation ends.
func TestEndOfAnEvacuation(t *testing.T) {
	f, clock := newTestFleet("near")
	f.Announce(testEntry(1), clock.now)
	f.Evacuate("near", true)
	f.Evacuate("near", false)
	mustPick(t, f, testNeed())
}

// TestColdServerRateIsLimited sends a burst of requests to a service whose only server is cold, as after an evacuation ends.
func TestColdServerRateIsLimited(t *testing.T) {
	f, clock := newTestFleet("near")
	e := testEntry(1)
	e.ColdLeft = 3 * time.Second
	f.Announce(e, clock.now)
	n := testNeed()
	n.ColdRate = 22
	sent := 0
	for range 100 {
		if p, err := f.Pick(n); err == nil {
			sent++
			p.Done(Result{Outcome: OutcomeAnswered})
		} else if !errors.Is(err, ErrRateLimit) {
			t.Fatal(err)
		}
	}
	if limit := 22*1.5 + 5; float64(sent) > limit || sent == 0 {
		t.Errorf("a cold server got %d of 100 requests at once, want 1 to %.0f", sent, limit)
	}
	clock.advance(4 * time.Second)
	for range 100 {
		mustPick(t, f, n).Done(Result{Outcome: OutcomeAnswered})
	}
}

// TestFailingServerBacksOff checks that a server that begins to fail backs off and later gets requests again, and that not all
// servers of a service may back off at once.
func TestFailingServerBacksOff(t *testing.T) {
	f, clock := newTestFleet("near")
	for i := 1; i <= 3; i++ {
		f.Announce(testEntry(i), clock.now)
	}
	n := testNeed()
	n.Exclude = map[crlid.Server]bool{"s2": true, "s3": true}
	for range suspectAfterFailures {
		mustPick(t, f, n).Done(Result{Outcome: OutcomeFailed})
	}
	for range 30 {
		p := mustPick(t, f, testNeed())
		if p.Server == "s1" {
			t.Fatal("a server that failed three times in a row gets a request during its backoff")
		}
		p.Done(Result{Outcome: OutcomeAnswered})
	}
	n.Exclude = map[crlid.Server]bool{"s1": true}
	for range 10 {
		mustPick(t, f, n).Done(Result{Outcome: OutcomeUnreachable})
	}
	if _, err := f.Pick(n); err != nil {
		t.Errorf("no server can be picked when all fail: %v", err)
	}
	clock.advance(minBackoff)
	seen := false
	for range 30 {
		p := mustPick(t, f, testNeed())
		seen = seen || p.Server == "s1"
	}
	if !seen {
		t.Error("a server gets no requests after its backoff")
	}
}

// TestUnansweredRequestsSpread checks that long prompts that arrive together, as in the seconds of highest load, are spread
// evenly over the servers.
func TestUnansweredRequestsSpread(t *testing.T) {
	f, clock := newTestFleet("near")
	for i := 1; i <= 9; i++ {
		f.Announce(testEntry(i), clock.now)
	}
	counts := make(map[crlid.Server]int)
	for range 90 {
		counts[mustPick(t, f, testNeed()).Server]++
	}
	for id, n := range counts {
		if n != 10 {
			t.Errorf("server %s got %d of 90 requests to nine servers, want 10", id, n)
		}
	}
}

// TestObservedWaitsMoveRequestsAway checks that a server is avoided whose queue was filled by other daemons; this daemon
// notices the queue only by the waits of its own requests.
func TestObservedWaitsMoveRequestsAway(t *testing.T) {
	f, clock := newTestFleet("near")
	f.Announce(testEntry(1), clock.now)
	f.Announce(testEntry(2), clock.now)
	n := testNeed()
	n.Exclude = map[crlid.Server]bool{"s2": true}
	p := mustPick(t, f, n)
	p.RecordFirstByte(time.Second)
	p.Done(Result{Outcome: OutcomeAnswered, FirstByte: time.Second})
	if p := mustPick(t, f, testNeed()); p.Server != "s2" {
		t.Error("the server at which the last request waited gets the next one")
	}
}

// TestNewVersionWaitsForItsOrder announces the servers of a roll-out before this daemon has its order. Without a delay,
// sessions would move to the new version and back.
func TestNewVersionWaitsForItsOrder(t *testing.T) {
	f, c := newTestFleet("near")
	f.Announce(testEntry(1), c.now)
	for n := 2; n < 5; n++ {
		e := testEntry(n)
		e.Version = "v2"
		f.Announce(e, c.now)
	}
	counts := make(map[crlid.Version]int)
	for range 20 {
		counts[mustPick(t, f, testNeed()).Version]++
	}
	if counts["v2"] > 0 {
		t.Errorf("a new version gets requests just after its servers were announced: %v", counts)
	}
	mustPick(t, f, testNeed()).Done(Result{Outcome: OutcomeUnreachable})
	if !slices.ContainsFunc(f.services["drafts"], func(s *server) bool { return s.health.backoffUntil > c.now }) {
		t.Error("a failing server of the old version does not back off while those of a new version are delayed")
	}
	f.Remove("s1")
	if p := mustPick(t, f, testNeed()); p.Version != "v2" {
		t.Error("a new version gets no requests although there is no other version")
	}
	f.Announce(testEntry(1), c.now)
	c.advance(newVersionDelay)
	if p := mustPick(t, f, testNeed()); p.Version != "v2" {
		t.Errorf("a new version gets no requests %s later, although the server of the old one is loaded", newVersionDelay)
	}
}

// TestExpectedWaitOfABurst checks that sends without an answer raise the expected wait, multiplied by the number of daemons,
// and that they no longer count once they are done.
func TestExpectedWaitOfABurst(t *testing.T) {
	f, clock := newTestFleet("near")
	f.config.Daemons = func() int { return 4 }
	f.Announce(testEntry(1), clock.now)
	f.Announce(testEntry(2), clock.now)
	var picks []*Pick
	for _, c := range []struct {
		sends int
		want  time.Duration
	}{{1, 0}, {4, 0}, {16, 1600 * time.Millisecond}, {100, 16 * time.Second}} { // 0.1 s of work each, from one of four daemons to two servers
		for len(picks) < c.sends {
			picks = append(picks, mustPick(t, f, testNeed()))
		}
		if got := f.ExpectedWait("drafts", testNeed().Work).Round(time.Millisecond); got != c.want {
			t.Errorf("expected wait is %s with %d sends without an answer, want %s", got, c.sends, c.want)
		}
	}
	for i, p := range picks {
		if i%2 == 0 {
			p.RecordFirstByte(p.ExpectedFirstByte)
		}
		p.Done(Result{Outcome: OutcomeAnswered, FirstByte: p.ExpectedFirstByte})
	}
	if got := f.ExpectedWait("drafts", testNeed().Work).Round(time.Millisecond); got != 0 {
		t.Errorf("expected wait is %s with no open send, want 0", got)
	}
}

// TestHolderIsTheSameAtAllDaemons checks that different daemons send prompts with a common part to the same server, without
// exchanging messages.
func TestHolderIsTheSameAtAllDaemons(t *testing.T) {
	a, clockA := newTestFleet("near")
	b, clockB := newTestFleet("far")
	for i := 1; i <= 9; i++ {
		a.Announce(testEntry(i), clockA.now)
		b.Announce(testEntry(10-i), clockB.now)
	}
	for part := range 50 {
		n := testNeed()
		n.Affinity = Affinity{Key: fmt.Sprint("part-", part), Saving: 0.05}
		p, q := mustPick(t, a, n), mustPick(t, b, n)
		if p.Server != q.Server {
			t.Fatalf("requests with part %d go to %s from one daemon and to %s from another", part, p.Server, q.Server)
		}
		p.Done(Result{})
		q.Done(Result{})
	}
}

// TestAffinityYieldsUnderLoad checks that many requests with the same part don't overload the server that has it cached.
func TestAffinityYieldsUnderLoad(t *testing.T) {
	f, clock := newTestFleet("near")
	for i := 1; i <= 9; i++ {
		f.Announce(testEntry(i), clock.now)
	}
	n := testNeed()
	n.Affinity = Affinity{Key: "hot", Saving: 0.2}
	counts := make(map[crlid.Server]int)
	for range 90 {
		counts[mustPick(t, f, n).Server]++
	}
	for id, got := range counts {
		if got > 13 {
			t.Errorf("server %s got %d of 90 requests with the same part, want at most 13", id, got)
		}
	}
}

// TestRestartedServerHasNoFailures checks that failures from before a server's restart no longer count.
func TestRestartedServerHasNoFailures(t *testing.T) {
	f, clock := newTestFleet("near")
	f.Announce(testEntry(1), clock.now)
	f.Announce(testEntry(2), clock.now)
	n := testNeed()
	n.Exclude = map[crlid.Server]bool{"s2": true}
	mustPick(t, f, n).Done(Result{Outcome: OutcomeUnreachable})
	e := testEntry(1)
	e.StartedAt = time.UnixMilli(2)
	f.Announce(e, clock.now)
	seen := false
	for range 4 {
		seen = seen || mustPick(t, f, testNeed()).Server == "s1"
	}
	if !seen {
		t.Error("a restarted server gets no requests")
	}
}
