package crlfleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// pass passes one daemon's message on to another one after a delay.
func pass(clock *fakeClock, from, to *Fleet, delay time.Duration) {
	message := NewBrittlenessExchange(from).Request(false)
	clock.advance(delay)
	NewBrittlenessExchange(to).Learn(message)
}

// isBrittle reports whether the only server of a fleet counts as brittle.
func isBrittle(f *Fleet) bool { return f.BrittleState().Servers == 1 }

// TestDaemonsTellEachOtherOfBrittleServers guards against brittle servers that fall over (GONE) under the requests of daemons that have had no answer from
// them, as after a restart, and against daemons without places that hand over requests after the servers have recovered.
func TestDaemonsTellEachOtherOfBrittleServers(t *testing.T) {
	clock := &fakeClock{now: crlclock.Instant(time.Hour)}
	first, second, third := newBrittleFleet(t, clock, 0, 3, 6), newStatingFleet(clock, allSlots{}, 3), newStatingFleet(clock, allSlots{}, 3)
	pass(clock, first, second, 10*time.Millisecond)
	pass(clock, second, third, 10*time.Millisecond)
	if !isBrittle(second) || !isBrittle(third) {
		t.Fatalf("servers are brittle at the others: %t and %t, want both", isBrittle(second), isBrittle(third))
	}
	clock.advance(soundAfter + time.Second)
	p := mustPick(t, first, testNeed())
	p.RecordStatement(Statement{})
	p.Done(Result{Outcome: OutcomeAnswered})
	pass(clock, first, second, 10*time.Millisecond)
	pass(clock, second, third, 10*time.Millisecond)
	if isBrittle(second) || isBrittle(third) {
		t.Errorf("servers are brittle at the others after their recovery: %t and %t, want neither", isBrittle(second), isBrittle(third))
	}
}

// TestObservationsOfBrittlenessDieOut guards against daemons that renew each other's knowledge by passing it back and forth, so that servers count as brittle for good.
func TestObservationsOfBrittlenessDieOut(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, 90 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
		clock := &fakeClock{now: crlclock.Instant(time.Hour)}
		fleets := []*Fleet{newBrittleFleet(t, clock, 0, 3, 6), newStatingFleet(clock, allSlots{}, 3), newStatingFleet(clock, allSlots{}, 3)}
		const most = brittleExpiry + maxHops*2*time.Second
		for begin := clock.now; clock.now.Sub(begin) < most; clock.advance(50 * time.Millisecond) {
			for i := range fleets {
				pass(clock, fleets[i], fleets[(i+1)%len(fleets)], delay)
				pass(clock, fleets[(i+1)%len(fleets)], fleets[i], delay)
			}
		}
		for i, f := range fleets {
			if isBrittle(f) {
				t.Errorf("calls of %s: the server is still brittle at daemon %d, %s after the only statement", delay, i, most)
			}
		}
	}
}

// TestBadMessagesOfBrittlenessAreIgnored guards against messages that put servers out of use, or take memory, by values that no daemon sends.
func TestBadMessagesOfBrittlenessAreIgnored(t *testing.T) {
	many := make(map[string]brittlenessMessage)
	many["drafts"] = brittlenessMessage{MaxRejections: 1, Stated: &observationMessage{}}
	for n := range maxExchangedServices {
		many[fmt.Sprint("drafts-", n)] = brittlenessMessage{MaxRejections: 1, Stated: &observationMessage{}}
	}
	flood, err := json.Marshal(many)
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range []string{
		`nonsense`, `[]`, `{"drafts":3}`, `{"drafts":{}}`, `{"drafts":{"max-rejections":2}}`, `{"drafts":{"max-rejections":-1,"stated":{"age-ms":0}}}`,
		`{"drafts":{"max-rejections":1e400,"stated":{"age-ms":0}}}`, `{"drafts":{"max-rejections":2,"stated":{"age-ms":-1}}}`,
		`{"drafts":{"max-rejections":2,"stated":{"age-ms":9223372036854775807}}}`, `{"drafts":{"max-rejections":2,"stated":{"age-ms":0,"hops":8}}}`,
		`{"drafts":{"max-rejections":2,"stated":{"age-ms":0,"hops":-1}}}`, string(flood),
	} {
		clock := &fakeClock{now: crlclock.Instant(time.Hour)}
		f := newStatingFleet(clock, allSlots{}, 3)
		NewBrittlenessExchange(f).Learn(json.RawMessage(message))
		if isBrittle(f) || len(f.loads) > maxExchangedServices {
			t.Errorf("message %.80s: server is brittle %t, %d services", message, isBrittle(f), len(f.loads))
		}
	}
}
