package crlfleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlworkload"
)

// pickLoad is a fleet of 140 servers with 1,000 open requests, at a daemon that sends one request every 2 ms.
type pickLoad struct {
	now   crlclock.Instant
	fleet *Fleet
	need  Need
}

func newPickLoad(tb testing.TB, isEngine, isShared bool) *pickLoad {
	tb.Helper()
	l := &pickLoad{now: crlclock.Instant(time.Hour), need: engineNeed(0.1)}
	clock := func() crlclock.Instant { return l.now }
	daemons := func() int { return 83 }
	l.fleet = New(Config{
		Domain: "near", Slots: allSlots{}, Daemons: daemons, Now: clock,
		Loads: crlworkload.New(crlworkload.Config{Address: "a", Daemons: daemons, Rank: func() int { return 1 }, Now: clock}),
	})
	for n := range 140 {
		l.fleet.Announce(testEntry(n), l.now)
	}
	l.now = l.now.Add(time.Minute)
	l.need.Engine, l.need.Tokens, l.need.MemoryTokens = isEngine, 5000, 400_000
	if isShared {
		l.need.Affinity = Affinity{Key: "a prefix that many prompts share", Saving: 0.05}
	}
	for n := range 1000 {
		p, err := l.fleet.Pick(l.need)
		if err != nil {
			tb.Fatal(err)
		}
		if isShared {
			l.need.Work = []float64{0.02, 0.1, 0.6}[n%3]
			p.RecordFirstByte(p.ExpectedFirstByte + time.Duration(n)*time.Millisecond)
		}
	}
	l.need.Work = 0.1
	return l
}

// send picks a server and ends the send.
func (l *pickLoad) send(tb testing.TB) {
	l.now = l.now.Add(2 * time.Millisecond)
	p, err := l.fleet.Pick(l.need)
	if err != nil {
		tb.Fatal(err)
	}
	p.Done(Result{Outcome: OutcomeNeutral})
}

// BenchmarkPick measures the selection among 140 servers with 1,000 open requests: of a plain service, of model engines, and of model engines
// that have shown waits, for requests of several sizes that share a prefix.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name               string
		isEngine, isShared bool
	}{{"engine false", false, false}, {"engine true", true, false}, {"engine with waits and a shared prefix", true, true}} {
		b.Run(c.name, func(b *testing.B) {
			l := newPickLoad(b, c.isEngine, c.isShared)
			b.ReportAllocs()
			for b.Loop() {
				l.send(b)
			}
		})
		b.Run(c.name+"/former", func(b *testing.B) {
			l := newPickLoad(b, c.isEngine, c.isShared)
			former := formerFleet{l.fleet}
			l.fleet.config.Random = rand.Float64
			b.ReportAllocs()
			for b.Loop() {
				l.now = l.now.Add(2 * time.Millisecond)
				p, err := former.Pick(l.need)
				if err != nil {
					b.Fatal(err)
				}
				p.Done(Result{Outcome: OutcomeNeutral})
			}
		})
	}
}

// BenchmarkRarePick measures the same for model engines at a daemon that sends ten requests a second: each selection looks at the load of other
// daemons and updates the places of the servers every other time.
func BenchmarkRarePick(b *testing.B) {
	l := newPickLoad(b, true, true)
	b.ReportAllocs()
	for b.Loop() {
		l.now = l.now.Add(98 * time.Millisecond)
		l.send(b)
	}
}

// TestPickAllocatesNothing guards against memory that a selection allocates for each request, or for each server of the service.
func TestPickAllocatesNothing(t *testing.T) {
	l := newPickLoad(t, true, true)
	if allocations := testing.AllocsPerRun(1000, func() { l.send(t) }); allocations > 0 {
		t.Errorf("a selection allocates %.0f times, want 0", allocations)
	}
}
