package crlbalance

import (
	"math/rand/v2"
	"time"
)

// Parameters of a pick. A score is an estimated queue as a fraction of the server's warm limit.
const (
	// otherDomainPenalty is added to the scores of servers in other failure domains, so that attempts leave the daemon's own
	// domain only when its queues are longer by that much.
	otherDomainPenalty = 0.25
	// affinitySlack is how much higher the score of a server that may hold the cache can be than the best score.
	affinitySlack = 0.25
	// samplesPerGroup is the number of servers compared in the own failure domain, and again in the other domains together.
	samplesPerGroup = 3
)

// chooser makes one pick.
type chooser struct {
	request Request
	pool    *pool
	now     time.Time
	random  *random

	draws rand.PCG // random numbers of this pick; seeded once, so that concurrent picks hold the lock of random only briefly
}

// choose returns the server that may hold the cache if its score is within affinitySlack of the best sampled score, else
// the best sampled server. If no server is eligible, it returns the least loaded one that isn't excluded, nil for none.
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

// sample returns the server with the lowest score, penalty included, among up to samplesPerGroup random eligible servers
// of the group.
func (c *chooser) sample(group []*server, penalty float64) (best *server, score float64) {
	if len(group) == 0 {
		return nil, 0
	}
	seen := 0
	// The loop skips servers that aren't eligible and may visit the whole group, so it finds an eligible one if there is any.
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

// stride returns a random step that is coprime to size, so that size steps visit every index once.
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

// isEligible reports whether the server takes part in this pick. A server that ramps up does so with the probability of
// its share.
func (c *chooser) isEligible(s *server) bool {
	if c.request.Exclude[s.id] || s.isEjected(c.now) {
		return false
	}
	share := s.rampShare(c.now)
	return share >= 1 || c.fraction() < share
}

// cached returns the server that may hold the cache of the session or else of the prefix, nil for none.
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

// rendezvous returns the eligible server with the highest hash of server and prefix, so that the daemons of a failure
// domain prefer the same server for a prefix.
func (c *chooser) rendezvous(group []*server) (best *server) {
	var highest uint64
	for _, s := range group {
		if v := mixBits(s.hash ^ c.request.Prefix); (best == nil || v > highest) && c.isEligible(s) {
			best, highest = s, v
		}
	}
	return best
}

// leastLoaded returns the server with the lowest score that isn't excluded, even if it is ejected or ramps up.
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

// intN returns a random number in [0, n).
func (c *chooser) intN(n int) int { return int(c.draws.Uint64() % uint64(n)) }

// fraction returns a random number in [0, 1) with 53 bits, the precision of a float64.
func (c *chooser) fraction() float64 { return float64(c.draws.Uint64()>>11) / (1 << 53) }

// mixBits spreads the bits of a hash with the finalizer of SplitMix64.
func mixBits(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
