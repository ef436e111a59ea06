package crlfleet

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// entryAge tells how old the servers' entries are. The zero value never counts as too old.
type entryAge struct {
	confirmedAt func() crlclock.Instant // nil for none
	bound       time.Duration
}

// LimitEntryAge makes servers rank lower while the entries were last confirmed longer ago than the bound, in which a server may get requests
// after it has announced that it leaves: any of them may have left. confirmedAt is called with the fleet locked.
func (f *Fleet) LimitEntryAge(confirmedAt func() crlclock.Instant, bound time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entryAge = entryAge{confirmedAt: confirmedAt, bound: bound}
}

// unconfirmedCost is what a score adds for a server that may have left, the same for all servers in one selection.
type unconfirmedCost struct {
	seconds float64       // 0 unless the entries are too old
	bound   time.Duration // see entryAge
}

// newUnconfirmedCost returns the cost at a time.
func (f *Fleet) newUnconfirmedCost(now crlclock.Instant) unconfirmedCost {
	a := f.entryAge
	if a.confirmedAt == nil || now.Sub(a.confirmedAt()) <= a.bound {
		return unconfirmedCost{}
	}
	return unconfirmedCost{seconds: a.bound.Seconds(), bound: a.bound}
}

// of returns the cost of a server in seconds: nothing for one that has answered a request that this daemon sent within the bound. The others
// come after these, and serve requests if these are at their limits or have a longer wait than the bound.
func (u unconfirmedCost) of(s *server, now crlclock.Instant) float64 {
	if s.answeredAt > 0 && now.Sub(s.answeredAt) <= u.bound {
		return 0
	}
	return u.seconds
}
