package crlfleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlworkload"
)

// twins are two fleets with the same servers, requests and random numbers. One selects with the former code.
type twins struct {
	now      crlclock.Instant
	daemons  int
	age      time.Duration // of the confirmation of the servers' entries
	new      *Fleet
	former   formerFleet
	picks    [][2]*Pick
	versions int
}

// reportedLoads are other daemons' loads that depend on the server alone.
type reportedLoads struct {
	fixedLoads

	isDemand bool
}

func (l *reportedLoads) Others(server crlid.Server, _ crlclock.Instant) (crlworkload.Amount, time.Duration) {
	n := float64(placeOrder(server)%97) / 97
	return crlworkload.Amount{Requests: 10 * n, PromptSeconds: 2 * n * n, Tokens: 300_000 * n}, 400 * time.Millisecond
}

func (l *reportedLoads) Demand(crlid.Service, crlclock.Instant) (work, wait [crlworkload.Buckets]float64, age time.Duration, ok bool) {
	for i := range work {
		work[i] = float64(i)
	}
	return work, wait, time.Second, l.isDemand
}

func newTwins(t *rapid.T) *twins {
	w := &twins{
		now: crlclock.Instant(time.Hour), daemons: rapid.SampledFrom([]int{1, 6, 24, 83, 295}).Draw(t, "daemons"),
		versions: rapid.IntRange(1, 3).Draw(t, "versions"),
	}
	seed := rapid.Uint64().Draw(t, "seed")
	loads := &reportedLoads{isDemand: rapid.Bool().Draw(t, "demand")}
	loads.own, loads.known = make(map[crlid.Server]crlworkload.Amount), float64(w.daemons)*0.8
	exchanged := rapid.Bool().Draw(t, "exchanged")
	newFleet := func() *Fleet {
		config := Config{
			Domain: "d0", Slots: someSlots{1, max(w.daemons/8, 1)}, Daemons: func() int { return w.daemons }, ColdRatio: 1.5, ColdSlack: 5,
			Random: rand.New(rand.NewPCG(seed, 1)).Float64, Now: func() crlclock.Instant { return w.now },
		}
		if exchanged {
			config.Loads = loads
		}
		f := New(config)
		f.LimitEntryAge(func() crlclock.Instant { return w.now.Add(-w.age) }, 2*time.Second)
		return f
	}
	w.new, w.former = newFleet(), formerFleet{newFleet()}
	for n := range rapid.IntRange(1, 40).Draw(t, "servers") {
		w.announce(t, n, false)
	}
	return w
}

// both changes the two fleets in the same way.
func (w *twins) both(change func(f *Fleet)) {
	change(w.new)
	change(w.former.Fleet)
}

func (w *twins) announce(t *rapid.T, n int, isLeaving bool) {
	e := testEntry(n)
	e.Domain = crlid.Domain(fmt.Sprint("d", rapid.IntRange(0, 2).Draw(t, "domain")))
	e.Version = crlid.Version(fmt.Sprint("v", rapid.IntRange(1, w.versions).Draw(t, "version")))
	e.Slots, e.Leaving = 8, isLeaving
	if rapid.IntRange(0, 9).Draw(t, "cold") == 0 {
		e.ColdLeft = 2 * time.Second
	}
	if rapid.IntRange(0, 19).Draw(t, "service") == 0 {
		e.Service = "register"
	}
	w.both(func(f *Fleet) { f.Announce(e, w.now) })
}

func (w *twins) need(t *rapid.T) Need {
	need := testNeed()
	need.Work = rapid.SampledFrom([]float64{0, 0.005, 0.02, 0.1, 0.6, 3}).Draw(t, "work")
	need.WorkAfter, need.Engine, need.ColdRate = need.Work/2, rapid.Bool().Draw(t, "engine"), 8
	if rapid.Bool().Draw(t, "memory") {
		need.Tokens, need.MemoryTokens = 50_000, 300_000
	}
	if key := rapid.IntRange(0, 40).Draw(t, "key"); key > 0 {
		need.Affinity = Affinity{Key: fmt.Sprint("prefix", key), Saving: 0.2}
	}
	if rapid.Bool().Draw(t, "exclude") {
		need.Exclude = map[crlid.Server]bool{"s1": true, "s4": true}
	}
	if v := crlid.Version(fmt.Sprint("v", rapid.IntRange(0, 3).Draw(t, "target"))); v != "v0" {
		need.Prefers = func(other crlid.Version) bool { return other == v }
		need.Allows = func(other crlid.Version) bool { return other != "v3" || v == "v3" }
		if rapid.Bool().Draw(t, "few") {
			need.FewServers = map[crlid.Version]int{v: 2}
		}
	}
	return need
}

// pick selects a server in both fleets and compares the results.
func (w *twins) pick(t *rapid.T) {
	need := w.need(t)
	got, gotErr := w.new.Pick(need)
	want, wantErr := w.former.Pick(need)
	if (gotErr == nil) != (wantErr == nil) || gotErr != nil && gotErr.Error() != wantErr.Error() {
		t.Fatalf("failed with %v, want %v", gotErr, wantErr)
	}
	if gotErr != nil {
		if errors.Is(gotErr, ErrRateLimit) != errors.Is(wantErr, ErrRateLimit) {
			t.Fatalf("failed with %v, want %v", gotErr, wantErr)
		}
		return
	}
	if got.Server != want.Server {
		t.Fatalf("picked %s, want %s", got.Server, want.Server)
	}
	w.picks = append(w.picks, [2]*Pick{got, want})
}

// observe lets a server answer, or ends a send.
func (w *twins) observe(t *rapid.T) {
	if len(w.picks) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.picks)-1).Draw(t, "send")
	first := time.Duration(rapid.IntRange(0, 2000).Draw(t, "first byte")) * time.Millisecond
	stated := Statement{
		Leaving: rapid.IntRange(0, 49).Draw(t, "leaving") == 0, Limited: rapid.IntRange(0, 9).Draw(t, "limited") == 0, RateLimit: 3,
		Brittle: rapid.IntRange(0, 9).Draw(t, "brittle") == 0, MaxRejections: 1,
	}
	if rapid.IntRange(0, 19).Draw(t, "pause") == 0 {
		stated.Pause = time.Second
	}
	isDone, outcome := rapid.Bool().Draw(t, "done"), Outcome(rapid.IntRange(0, int(OutcomeMoved)).Draw(t, "outcome"))
	for _, p := range w.picks[i] {
		p.RecordFirstByte(first)
		p.RecordStatement(stated)
		if isDone {
			p.Done(Result{Outcome: outcome, FirstByte: first})
		}
	}
	if isDone {
		w.picks = append(w.picks[:i], w.picks[i+1:]...)
	}
}

// change changes the servers.
func (w *twins) change(t *rapid.T) {
	n := rapid.IntRange(0, 45).Draw(t, "n")
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		w.both(func(f *Fleet) { f.Remove(testEntry(n).Server) })
	case 1:
		evacuated := rapid.Bool().Draw(t, "evacuated")
		w.both(func(f *Fleet) { f.Evacuate("d1", evacuated) })
	case 2:
		w.age = time.Duration(rapid.IntRange(0, 4).Draw(t, "age")) * time.Second
	case 3:
		w.daemons = rapid.SampledFrom([]int{1, 6, 24, 83, 295}).Draw(t, "new daemons")
	default:
		w.announce(t, n, n%10 == 0)
	}
}

// TestSelectionsAreAsBefore guards against a faster selection that picks other servers than the former code would with the same random
// numbers: for example by values that outlive a change of the servers, or by a hash that routers of the former version don't compute.
func TestSelectionsAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTwins(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			switch kind := rapid.IntRange(0, 9).Draw(t, "step"); {
			case kind < 6:
				w.pick(t)
			case kind < 9:
				w.observe(t)
			default:
				w.change(t)
			}
		}
	})
}
