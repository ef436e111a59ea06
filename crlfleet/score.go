package crlfleet

import (
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlpartition"
)

// scoreContext holds what the scores of all servers in one selection have in common. It is computed once per selection, because a
// selection scores every server of a service. It is valid while the fleet stays locked.
type scoreContext struct {
	fleet        *Fleet
	need         *Need
	load         *serviceLoad // of the service
	now          crlclock.Instant
	isLarge      bool // Fleet.IsLarge
	usualLatency float64
	segmentWaits [segmentCount]float64 // expected waits by segment in seconds, 0 in a small fleet
	otherDomain  float64               // cost of a server in another failure domain, in seconds
	unconfirmed  unconfirmedCost
	interval     crlpartition.Interval
	holder       *server // assumed to have the prompt's part cached; nil for none
}

// newScoreContext returns the context for a selection. The places of the service's servers must be up to date.
func (f *Fleet) newScoreContext(need *Need, now crlclock.Instant) scoreContext {
	l := f.serviceLoad(need.Service)
	c := scoreContext{
		fleet: f, need: need, load: l, now: now, isLarge: f.IsLarge(), usualLatency: l.latencyFactor.mean(1), otherDomain: crossDomainCost,
		unconfirmed: f.newUnconfirmedCost(now), interval: f.interval(need.Service, need.Work, now),
	}
	if c.isLarge {
		for i := range c.segmentWaits {
			c.segmentWaits[i] = l.segments[i].expected(now)
		}
	}
	if l.remote.active {
		c.otherDomain += crossDomainRaceCost
	}
	return c
}

// score estimates the time to the first byte of the server's answer, in seconds, without what the holder saves. The work at a server that
// is slower than usual for its service takes longer in proportion, and at a cold server the request's own work counts once more.
func (c *scoreContext) score(s *server) float64 {
	score := (s.pendingWork+c.need.Work)*c.slowness(s) + s.remote.work + c.wait(s) + c.fleet.remoteScore(s, c.load)
	score += c.unconfirmed.of(s, c.now)
	if s.coldUntil > c.now {
		score += c.need.Work
	}
	score += c.domainCost(s)
	score += c.fleet.config.Random() * scoreJitter
	score += c.interval.Penalty(s.place)
	if s == c.holder {
		score -= c.need.Affinity.Saving
	}
	return score
}

// slowness returns the factor by which the server is slower than usual for its service, at least 1.
func (c *scoreContext) slowness(s *server) float64 {
	return max(s.health.latency.mean(c.usualLatency)/c.usualLatency, 1)
}

// wait returns the wait in seconds that observations at the server let expect, and in a large fleet also those at its segment.
func (c *scoreContext) wait(s *server) float64 {
	wait := s.health.decayedWait(c.now)
	if c.isLarge {
		wait = max(wait, c.segmentWaits[segment(s.place)])
	}
	return wait
}
