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
	maxAttemptTime   = 10 * time.Second // longest mean time between two requests of this daemon to a server that may be full
	brittleExpiry    = time.Minute      // time after the latest statement until the servers of a service no longer count as brittle
	// soundAfter is the time after the latest statement from which an answer without it shows that the service's servers aren't brittle any more. Where
	// only some servers are brittle, their statements come more often.
	soundAfter = 2 * time.Second
	// settleTime is the time after the first statement in which requests that were sent before it may still fill the server.
	settleTime        = time.Second
	placesRefreshTime = 500 * time.Millisecond // time between two looks at which places belong to this daemon
)

// serviceBrittleness is what the servers of a service stated about brittleness. A server that has answered nothing since the first statement counts as
// brittle too: it may be new, or back after a fall.
type serviceBrittleness struct {
	beganAt       crlclock.Instant // first statement of the present time of brittleness, or when this daemon learned of it
	settledAt     crlclock.Instant // until then, requests from before may still fill the servers, which go on letting them wait
	stated        observation      // latest statement
	sound         observation      // sending of the latest request whose answer didn't state it
	maxRejections float64          // as stated last
}

// isActive reports whether servers of the service are brittle.
func (b *serviceBrittleness) isActive(now crlclock.Instant) bool {
	return b.stated.at > 0 && now.Sub(b.stated.at) <= brittleExpiry && b.sound.at <= b.stated.at.Add(soundAfter)
}

// brittleness is what one server stated about brittleness, and this daemon's part of its places.
//
// A server turns no request away as long as it has no more than it works on at once. These places are divided among the daemons.
type brittleness struct {
	statedAt      crlclock.Instant // sending of the latest request whose answer stated it, 0 for none
	soundAt       crlclock.Instant // sending of the latest request whose answer didn't, 0 for none
	maxRejections float64          // requests per second that the server bears to turn away, from all daemons together; 0 if it has stated nothing
	places        int              // this daemon's places at the server, as of placesAt
	placesAt      crlclock.Instant
	isFull        bool             // whether the server has turned the latest request away
	acceptedAt    crlclock.Instant // sending of the latest request that the server didn't turn away, 0 for none
	attemptAt     crlclock.Instant // while the server may be full, no request is sent before
}

// isBrittle reports whether a server of the service counts as brittle.
func (b *brittleness) isBrittle(service *serviceBrittleness, now crlclock.Instant) bool {
	return service.isActive(now) && (b.soundAt < service.beganAt || b.soundAt <= b.statedAt)
}

// applyBrittleness records what an answer stated. An answer to a request from before the first statement does not end it.
func (f *Fleet) applyBrittleness(p *Pick, stated Statement, now crlclock.Instant) {
	s, service := p.server, &f.serviceLoad(p.server.entry.Service).brittle
	before := s.brittle.isBrittle(service, now)
	if stated.Brittle {
		if !service.isActive(now) {
			service.beganAt, service.settledAt = now, now.Add(settleTime)
		}
		most := max(stated.MaxRejections, minMaxRejections)
		service.stated.record(now)
		service.maxRejections = most
		s.brittle.statedAt, s.brittle.maxRejections = max(s.brittle.statedAt, p.pickedAt), most
	} else {
		service.sound.record(p.pickedAt)
		s.brittle.soundAt = max(s.brittle.soundAt, p.pickedAt)
	}
	switch after := s.brittle.isBrittle(service, now); {
	case after && !before:
		f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StateBrittle, Cause: fmt.Sprintf(
			"stated in an answer: bears %v rejections a second; %d of its %d places are this daemon's", stated.MaxRejections, f.ownPlaces(s), s.entry.Slots,
		)})
	case before && !after:
		f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StateInService, Cause: "its answers no longer state that it is brittle"})
	}
}

// recordRejection reduces the requests to a brittle server that has turned one away, until it accepts one; see mayAttempt. Requests that others have sent
// before the servers stated so may be the cause for a while.
func (f *Fleet) recordRejection(s *server, now crlclock.Instant) {
	service := &f.serviceLoad(s.entry.Service).brittle
	if !s.brittle.isBrittle(service, now) {
		return
	}
	f.brittleRejections++
	if now >= service.settledAt {
		s.brittle.isFull = true
	}
}

// hasPlace reports whether this daemon may send one more request to a server without it being turned away. It reports true for one that isn't brittle.
func (f *Fleet) hasPlace(s *server, now crlclock.Instant) bool {
	service := &f.serviceLoad(s.entry.Service).brittle
	return !s.brittle.isBrittle(service, now) || s.openRequests < f.usablePlaces(s, now) && f.mayAttempt(s, service, now)
}

// mayAttempt reports whether a request may be sent to a brittle server although it may be full: it has turned one away, or may still be filled by requests
// from before it stated that it is brittle, which count at no daemon's places. Once it has accepted a request that was sent after the first statement, those
// before have begun. Until then, all daemons together send no more requests than they may cause rejections.
func (f *Fleet) mayAttempt(s *server, service *serviceBrittleness, now crlclock.Instant) bool {
	isProven := now < service.settledAt || s.brittle.acceptedAt > service.beganAt || s.announcedAt > service.beganAt
	if isProven && !s.brittle.isFull {
		return true
	}
	if s.brittle.attemptAt < service.beganAt {
		s.brittle.attemptAt = service.settledAt.Add(time.Duration(f.random() * float64(f.attemptInterval(s, service))))
	}
	return now >= s.brittle.attemptAt
}

// recordAttempt records that a request is sent to a server.
func (f *Fleet) recordAttempt(s *server, now crlclock.Instant) {
	if service := &f.serviceLoad(s.entry.Service).brittle; service.isActive(now) {
		s.brittle.attemptAt = now.Add(time.Duration((0.5 + f.random()) * float64(f.attemptInterval(s, service))))
	}
}

// attemptInterval returns the mean time between two requests of this daemon to a brittle server that may be full.
func (f *Fleet) attemptInterval(s *server, service *serviceBrittleness) time.Duration {
	senders := max(f.config.Daemons(), 1)
	if s.entry.Slots > 0 {
		senders = min(senders, s.entry.Slots)
	}
	return min(time.Duration(float64(senders)/(rejectionShare*s.brittle.rejections(service))*float64(time.Second)), maxAttemptTime)
}

// rejections returns how many requests the server bears to turn away in a second.
func (b *brittleness) rejections(service *serviceBrittleness) float64 {
	if b.maxRejections > 0 {
		return b.maxRejections
	}
	return max(service.maxRejections, minMaxRejections)
}

// recordAccepted records that the server didn't turn a request away.
func (b *brittleness) recordAccepted(pickedAt crlclock.Instant) {
	b.acceptedAt, b.isFull = max(b.acceptedAt, pickedAt), false
}

// usablePlaces returns the number of requests that this daemon may have open at a brittle server.
func (f *Fleet) usablePlaces(s *server, now crlclock.Instant) int {
	b := &s.brittle
	if b.placesAt == 0 || now.Sub(b.placesAt) >= placesRefreshTime {
		b.places, b.placesAt = f.ownPlaces(s), now
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

// BrittleServer returns the key of Config.Rank and the number of places of a random brittle server of a service, ok false if there is none with places.
// Each of the daemons with a rank below that number has a place there.
func (f *Fleet) BrittleServer(service crlid.Service) (key uint64, places int, ok bool) {
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := 0.0
	for _, s := range f.services[service] {
		if !f.inService(s) || s.entry.Slots == 0 || !s.brittle.isBrittle(&f.serviceLoad(service).brittle, now) {
			continue
		}
		seen++
		if f.random()*seen < 1 {
			key, places, ok = s.order, s.entry.Slots, true
		}
	}
	return key, places, ok
}

// BrittleState is a count of brittle servers and of what they turned away.
type BrittleState struct {
	Servers    int // servers that count as brittle
	Places     int // requests that this daemon may have open at them
	Rejections int // requests of this daemon that brittle servers have turned away since its start
}

// BrittleState returns the present counts.
func (f *Fleet) BrittleState() BrittleState {
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	state := BrittleState{Rejections: f.brittleRejections}
	for _, s := range f.servers {
		if s.brittle.isBrittle(&f.serviceLoad(s.entry.Service).brittle, now) {
			state.Servers++
			state.Places += f.usablePlaces(s, now)
		}
	}
	return state
}
