package crlfleet

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
)

// Statement is what a server states about itself in an answer.
type Statement struct {
	Leaving   bool          // the server ends soon and is to get no new requests
	Pause     time.Duration // time for which the server wants no requests from this daemon, 0 for none
	Limited   bool          // whether RateLimit is stated
	RateLimit float64       // requests per second that the server takes from all daemons together, for as long as it states so
	Brittle   bool          // the server falls over if it has to turn too many requests away
	// MaxRejections is the number of requests that a brittle server can turn away in a second, from all daemons together.
	MaxRejections float64
}

// causeRateLimit is the cause of a transition to StateLimited.
const causeRateLimit = "its answers state a rate limit"

const (
	// leasedLimitShare is the part of a stated limit that is divided among slots. The rest is left for the requests by which daemons
	// without a slot learn whether the limit still holds.
	leasedLimitShare = 0.75
	maxLimitBuckets  = 64   // bounds the memory of a limit, and the requests that may be sent at once
	minStatedLimit   = 0.25 // assumed of a server that states less, so that it is asked again within a bounded time
)

// statedLimit is the rate limit that a server stated last.
type statedLimit struct {
	perSecond float64
	statedAt  crlclock.Instant   // when the limit was stated first
	buckets   []crlbudget.Bucket // each belongs to a slot
	checkAt   crlclock.Instant   // from then on, one request may check whether the limit still holds
}

// RecordStatement applies what the server stated in the answer to this send. It may only be called before Done.
func (p *Pick) RecordStatement(stated Statement) {
	f := p.fleet
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p.server.answeredAt = max(p.server.answeredAt, p.pickedAt)
	if stated.Leaving {
		f.markLeaving(p.server)
	}
	if stated.Pause > 0 {
		f.pause(p.server, stated.Pause, now)
	}
	f.applyLimit(p, stated, now)
	f.applyBrittleness(p, stated, now)
}

// maxPause bounds the pause that a server may ask for, so that a damaged answer doesn't put it out of service for good.
const maxPause = 5 * time.Minute

// pause keeps requests from a server for a time.
func (f *Fleet) pause(s *server, length time.Duration, now crlclock.Instant) {
	if s.pausedUntil <= now {
		f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StatePaused, Cause: "asked for " + length.String()})
	}
	s.pausedUntil = max(s.pausedUntil, now.Add(min(length, maxPause)))
}

// PausedError is the error of Fleet.Pick when all servers that could be picked have asked for a pause.
type PausedError struct {
	Left time.Duration // time until the first pause ends
}

// Error names the time that is left.
func (e *PausedError) Error() string {
	return "every available backend server of the service has asked for a pause, the first one for " + e.Left.String()
}

// maxLeavingServers bounds the servers of which the fleet remembers that they stated to leave. An entry of one that is forgotten would have
// to return from an old copy of the store to matter.
const maxLeavingServers = 4096

// markLeaving records that a server stated that it leaves. That holds for the rest of its process's life, whatever its entry says and
// also if the entry is removed and returns.
func (f *Fleet) markLeaving(s *server) {
	if s.statedLeaving {
		return
	}
	s.statedLeaving = true
	if len(f.leaving) >= maxLeavingServers {
		clear(f.leaving)
	}
	f.leaving[s.entry.Server] = s.entry.StartedAt
	f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StateLeaving, Cause: "stated in an answer"})
}

// hasStatedLeaving reports whether the process that an entry is about stated that it leaves.
func (f *Fleet) hasStatedLeaving(e Entry) bool {
	startedAt, ok := f.leaving[e.Server]
	return ok && startedAt.Equal(e.StartedAt)
}

// applyLimit records the limit of an answer, or its end. An answer to a request from before the first statement does not end it.
func (f *Fleet) applyLimit(p *Pick, stated Statement, now crlclock.Instant) {
	s := p.server
	switch {
	case !stated.Limited && s.limit != nil && p.pickedAt >= s.limit.statedAt:
		s.limit = nil
		f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StateInService, Cause: "its answers state no rate limit any more"})
	case stated.Limited && s.limit == nil:
		s.limit = &statedLimit{statedAt: now}
		f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StateLimited, Cause: causeRateLimit})
		s.limit.set(stated.RateLimit, f, now)
	case stated.Limited && s.limit.perSecond != stated.RateLimit:
		s.limit.set(stated.RateLimit, f, now)
	}
}

// set changes the limit. New buckets are empty, so that a limit that changes all the time gives no extra requests.
func (l *statedLimit) set(perSecond float64, f *Fleet, now crlclock.Instant) {
	l.perSecond = perSecond
	count := int(max(min(math.Ceil(perSecond), maxLimitBuckets), 1))
	for len(l.buckets) < count {
		var bucket crlbudget.Bucket
		bucket.Take(l.bucketLimit(count), now)
		l.buckets = append(l.buckets, bucket)
	}
	l.buckets = l.buckets[:count]
	l.checkAt = now.Add(l.checkInterval(f))
}

// bucketLimit returns the limit of one of count buckets.
func (l *statedLimit) bucketLimit(count int) crlbudget.Limit {
	return crlbudget.Limit{PerSecond: leasedLimitShare * l.perSecond / float64(count), Burst: 1}
}

// checkInterval returns the time until the next request that checks the limit. All daemons together use up the part of the limit that is
// left for that. The random part spreads them, as all learn of a limit at about the same time.
func (l *statedLimit) checkInterval(f *Fleet) time.Duration {
	const spread = 0.5
	mean := float64(f.config.Daemons()) / ((1 - leasedLimitShare) * max(l.perSecond, minStatedLimit))
	return time.Duration(mean * (1 + spread*(2*f.random()-1)) * float64(time.Second))
}

// takeLimitToken takes a token of a server's stated limit and reports whether there was one. It reports true for a server without a limit.
func (f *Fleet) takeLimitToken(s *server, now crlclock.Instant) bool {
	l := s.limit
	if l == nil {
		return true
	}
	limit := l.bucketLimit(len(l.buckets))
	for i := range l.buckets {
		slot := crlbudget.Slot(xxhash.Sum64String("limit "+string(s.entry.Server)+" "+strconv.Itoa(i)) % uint64(f.config.Slots.Count()))
		if f.config.Slots.Holds(slot, now) && l.buckets[i].Take(limit, now) {
			return true
		}
	}
	if now < l.checkAt {
		return false
	}
	l.checkAt = now.Add(l.checkInterval(f))
	return true
}
