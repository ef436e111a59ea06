package crlfleet

import (
	"math"

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
	versions     []versionVerdict // by server.version
}

// newScoreContext returns the context for a selection. The order and the places of the service's servers must be up to date.
func (f *Fleet) newScoreContext(l *serviceLoad, need *Need, now crlclock.Instant) scoreContext {
	c := scoreContext{
		fleet: f, need: need, load: l, now: now, isLarge: f.IsLarge(), usualLatency: l.latencyFactor.mean(1), otherDomain: crossDomainCost,
		unconfirmed: f.newUnconfirmedCost(now), interval: f.interval(l, need.Service, need.Work, now), versions: f.judgeVersions(l, need),
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

// scoreSlack is more than the rounding errors of a score can be, in seconds.
const scoreSlack = 1e-9

// score estimates the time to the first byte of the server's answer, in seconds, without the penalty outside of the interval and what the
// holder saves. It returns infinity if the score exceeds the limit and is not needed exactly: the decay of an observed wait takes longer to compute than the other terms together.
func (c *scoreContext) score(s *server, limit float64) float64 {
	race, jitter := 0.0, 0.0
	if c.load.remote.active {
		race, jitter = c.fleet.random2()
		race = remoteScore(s, race)
	} else {
		jitter = c.fleet.random()
	}
	jitter *= scoreJitter
	wait := c.segmentWaits[s.segment]
	if s.health.wait > wait {
		if c.sum(s, wait, race, jitter) > limit+scoreSlack {
			return math.Inf(1)
		}
		wait = max(s.health.decayedWait(c.now), wait)
	}
	return c.sum(s, wait, race, jitter)
}

// sum returns the sum of a score's terms in seconds, for an expected wait and the random parts. It must not fall when the wait rises. The
// work at a server that is slower than usual for its service takes longer in proportion, and at a cold server the request's own work counts
// once more.
func (c *scoreContext) sum(s *server, wait, race, jitter float64) float64 {
	score := (s.pendingWork+c.need.Work)*c.slowness(s) + s.remote.work + wait + race
	score += c.unconfirmed.of(s, c.now)
	if s.coldUntil > c.now {
		score += c.need.Work
	}
	if s.entry.Domain != c.fleet.config.Domain {
		score += c.otherDomain
	}
	return score + jitter
}

// slowness returns the factor by which the server is slower than usual for its service, at least 1.
func (c *scoreContext) slowness(s *server) float64 {
	if s.health.latency.weight == 0 {
		return 1
	}
	return max(s.health.latency.mean(c.usualLatency)/c.usualLatency, 1)
}
