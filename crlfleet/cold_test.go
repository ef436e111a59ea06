package crlfleet

import (
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
)

// someSlots are the slots of one of several daemons: every one whose number, divided by the number of daemons, leaves the daemon's.
type someSlots struct{ daemon, daemons int }

const testSlots = 360

func (someSlots) Count() int { return testSlots }

func (s someSlots) Holds(slot crlbudget.Slot, _ crlclock.Instant) bool {
	return int(slot)%s.daemons == s.daemon
}

// TestColdServerOfManyDaemons guards against a burst on a cold server (FAILBACK 26 and 20 in days with 75 daemons): each daemon's part of
// the limit was below one request, but each could send one at once. All daemons turn to a server that has just become cold and idle.
func TestColdServerOfManyDaemons(t *testing.T) {
	const (
		coldRate = 13.0
		limit    = 1.5*coldRate + 5 // in any second
		step     = 50 * time.Millisecond
		seconds  = 10
	)
	for _, daemons := range []int{1, 6, 75, 295, 1000} {
		clock := &fakeClock{now: crlclock.Instant(time.Hour)}
		fleets := make([]*Fleet, daemons)
		for n := range fleets {
			fleets[n] = New(Config{
				Domain: "near", Slots: someSlots{n, daemons}, Daemons: func() int { return daemons }, ColdRatio: 1.5, ColdSlack: 5,
				Random: func() float64 { return 0 }, Now: func() crlclock.Instant { return clock.now },
			})
			e := testEntry(1)
			e.ColdLeft = time.Minute
			fleets[n].Announce(e, clock.now)
		}
		need := testNeed()
		need.ColdRate = coldRate
		var sent []crlclock.Instant
		for range seconds * int(time.Second/step) {
			for _, f := range fleets {
				if p, err := f.Pick(need); err == nil {
					sent = append(sent, clock.now)
					p.Done(Result{Outcome: OutcomeAnswered})
				}
			}
			clock.advance(step)
		}
		for i, at := range sent {
			within := 0
			for _, other := range sent[i:] {
				if other.Sub(at) < time.Second {
					within++
				}
			}
			if float64(within) > limit {
				t.Fatalf("%d daemons sent %d requests to a cold server within a second, limit is %.1f", daemons, within, limit)
			}
		}
		if rate := float64(len(sent)) / seconds; rate < 0.9*coldRate {
			t.Errorf("%d daemons sent %.1f requests a second to a cold server, want most of the %.0f that it can take", daemons, rate, coldRate)
		}
	}
}
