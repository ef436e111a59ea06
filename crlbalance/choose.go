package crlbalance

import (
	"math/rand/v2"
	"time"
)

// Weights of a choice; scores are parts of a server's warm limit.
const (
	// otherDomainPenalty is how much longer a queue of its own domain a daemon accepts before it spills.
	otherDomainPenalty = 0.25
	// affinitySlack is how much longer a queue is accepted for a cache that may be there.
	affinitySlack = 0.25
	// sampled is the number of servers compared in each of the own and the other domains.
	samplesPerGroup = 3
)

// chooser makes one choice.
type chooser struct {
	request Request
	pool    *pool
	now     time.Time
	random  *random

	draws rand.PCG // draws is seeded for each choice, so that choices share no lock for long.
}

// choose prefers the server with the cache, then the shortest sampled queue, then any that may be used at all.
func (c *chooser) choose() *server {
	c.draws.Seed(c.random.next(), c.request.Prefix)
	best, score := c.sample(c.pool.sameDomain, 0)
	if other, otherScore := c.sample(c.pool.otherDomains, otherDomainPenalty); other != nil && (best == nil || otherScore < score) {
		best, score = other, otherScore
	}
	if best == nil {
		return c.leastLoaded()
	}
	if s := c.cached(); s != nil && s.score(c.now) <= score+affinitySlack {
		return s
	}
	return best
}

// sample returns the shortest queue among a few random servers of the group.
func (c *chooser) sample(group []*server, penalty float64) (best *server, score float64) {
	if len(group) == 0 {
		return nil, 0
	}
	seen := 0
	// The walk from a random place goes on past servers that may not be used, so it ends with any that may.
	start, step := c.intN(len(group)), c.stride(len(group))
	for i := 0; i < len(group) && seen < samplesPerGroup; i++ {
		s := group[(start+i*step)%len(group)]
		if !c.isEligible(s) {
			continue
		}
		seen++
		if v := s.score(c.now) + penalty; best == nil || v < score {
			best, score = s, v
		}
	}
	return best, score
}

// stride returns a random step that visits every index of a group once.
func (c *chooser) stride(size int) int {
	for {
		step := 1 + c.intN(size)
		if gcd(step, size) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// usable tells whether the server takes part in this choice; one on its ramp does with the chance of its share.
func (c *chooser) isEligible(s *server) bool {
	if c.request.Exclude[s.id] || s.isEjected(c.now) {
		return false
	}
	share := s.rampShare(c.now)
	return share >= 1 || c.fraction() < share
}

// cached returns the server that may hold the cache of the session or of the prefix.
func (c *chooser) cached() *server {
	if c.request.Prefer != "" {
		for s := range c.pool.all {
			if s.id == c.request.Prefer && c.isEligible(s) {
				return s
			}
		}
	}
	if c.request.Prefix == 0 {
		return nil
	}
	group := c.pool.sameDomain
	if len(group) == 0 {
		group = c.pool.otherDomains
	}
	return c.rendezvous(group)
}

// rendezvous returns the usable server with the highest hash of server and prefix.
func (c *chooser) rendezvous(group []*server) (best *server) {
	var highest uint64
	for _, s := range group {
		if v := mixBits(s.hash ^ c.request.Prefix); (best == nil || v > highest) && c.isEligible(s) {
			best, highest = s, v
		}
	}
	return best
}

// last returns the least loaded server that was not tried, though it is on its ramp or ejected.
func (c *chooser) leastLoaded() (best *server) {
	var score float64
	ties := 0
	for s := range c.pool.all {
		if c.request.Exclude[s.id] {
			continue
		}
		v := s.score(c.now)
		switch {
		case best == nil || v < score:
			best, score, ties = s, v, 1
		case v == score:
			ties++
			if c.intN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// below returns a random number of 0 to n-1.
func (c *chooser) intN(n int) int { return int(c.draws.Uint64() % uint64(n)) }

// fraction returns a random number of 0 to 1, without 1.
func (c *chooser) fraction() float64 { return float64(c.draws.Uint64()>>11) / (1 << 53) }

// mix spreads the bits of a hash with the finalizer of SplitMix64.
func mixBits(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
