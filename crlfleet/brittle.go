package crlfleet

import (
	"fmt"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	// rejectionShare is the part of the rejections that a brittle server bears which all daemons together may cause.
	rejectionShare   = 0.5
	minMaxRejections = 0.25             // assumed of a server that states less, so that it is tried again within a bounded time
	minReducedTime   = time.Second      // shortest time with fewer requests after a rejection
	maxReducedTime   = 10 * time.Second // longest such time
	brittleExpiry    = time.Minute      // time after the latest statement until the server no longer counts as brittle
	// settleTime is the time after the first statement in which requests that were sent before it may still fill the server.
	settleTime        = time.Second
	placesRefreshTime = 500 * time.Millisecond // time between two looks at which places belong to this daemon
)

// brittleness is what a brittle server stated, and this daemon's part of its places.
//
// A server turns no request away as long as it has no more than it works on at once. These places are divided among the daemons.
type brittleness struct {
	maxRejections float64          // requests per second that the server bears to turn away, from all daemons together
	statedAt      crlclock.Instant // when the server stated first that it is brittle
	latestAt      crlclock.Instant
	reducedUntil  crlclock.Instant // until then, half of the places are used, as the server has turned a request away
	places        int              // this daemon's places at the server, as of placesAt
	placesAt      crlclock.Instant
}

// applyBrittleness records what an answer stated. An answer to a request from before the first statement does not end it.
func (f *Fleet) applyBrittleness(p *Pick, stated Statement, now crlclock.Instant) {
	s := p.server
	switch {
	case stated.Brittle && s.brittle == nil:
		s.brittle = &brittleness{statedAt: now}
		f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StateBrittle, Cause: fmt.Sprintf(
			"stated in an answer: bears %v rejections a second; %d of its %d places are this daemon's", stated.MaxRejections, f.ownPlaces(s), s.entry.Slots,
		)})
	case !stated.Brittle && s.brittle != nil && p.pickedAt >= s.brittle.statedAt:
		s.brittle = nil
		f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StateInService, Cause: "its answers no longer state that it is brittle"})
	}
	if stated.Brittle {
		s.brittle.latestAt, s.brittle.maxRejections = now, max(stated.MaxRejections, minMaxRejections)
	}
}

// recordRejection reduces the requests to a brittle server that has turned one away. The time is such that all daemons together, if the server turns
// one request of each away in that time, stay within rejectionShare.
func (b *brittleness) recordRejection(daemons int, now crlclock.Instant) {
	if now < b.statedAt.Add(settleTime) {
		return
	}
	reduced := time.Duration(float64(daemons) / (rejectionShare * b.maxRejections) * float64(time.Second))
	b.reducedUntil = now.Add(min(max(reduced, minReducedTime), maxReducedTime))
}

// hasPlace reports whether this daemon may send one more request to a server without it being turned away. It reports true for one that isn't brittle.
func (f *Fleet) hasPlace(s *server, now crlclock.Instant) bool {
	b := s.brittle
	if b == nil {
		return true
	}
	if now.Sub(b.latestAt) > brittleExpiry {
		s.brittle = nil
		return true
	}
	return s.openRequests < f.usablePlaces(s, now)
}

// usablePlaces returns the number of requests that this daemon may have open at a brittle server.
func (f *Fleet) usablePlaces(s *server, now crlclock.Instant) int {
	b := s.brittle
	if b.placesAt == 0 || now.Sub(b.placesAt) >= placesRefreshTime {
		b.places, b.placesAt = f.ownPlaces(s), now
	}
	if now < b.reducedUntil {
		return b.places / 2
	}
	return b.places
}

// ownPlaces returns this daemon's part of the places at a server: each daemon has the same number, and the rest belongs to the first daemons in an order
// that differs from server to server. It has one if the server doesn't announce how many there are, and none if it isn't known to be one of the daemons.
func (f *Fleet) ownPlaces(s *server) int {
	rank, daemons, ok := f.config.Rank(s.order)
	switch {
	case !ok:
		return 0
	case s.entry.Slots == 0:
		return 1
	case rank < s.entry.Slots%daemons:
		return s.entry.Slots/daemons + 1
	default:
		return s.entry.Slots / daemons
	}
}

// lacksPlaces reports whether all servers of a service are brittle and this daemon has no place at any of them.
func (f *Fleet) lacksPlaces(service crlid.Service) bool {
	for _, s := range f.services[service] {
		if f.inService(s) && (s.brittle == nil || s.brittle.places > 0) {
			return false
		}
	}
	return true
}

// BrittleState is a count of brittle servers and of what they turned away.
type BrittleState struct {
	Servers    int // servers that count as brittle
	Places     int // requests that this daemon may have open at them
	Rejections int // requests of this daemon that brittle servers have turned away since its start
}

// BrittleState returns the present counts.
func (f *Fleet) BrittleState() BrittleState {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := BrittleState{Rejections: f.brittleRejections}
	for _, s := range f.servers {
		if s.brittle != nil {
			state.Servers++
			state.Places += s.brittle.places
		}
	}
	return state
}
