package crlpace

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	speedTime  = time.Minute // time constant with which observations of a server's speed lose weight
	speedPrior = 2.0         // number of observations that a speed of 1 counts for
	maxRatio   = 8.0         // an observed time counts as at most this multiple of the expected one, either way
	maxServers = 4096        // servers of one service whose speed is kept
)

// speeds holds the speeds of the servers of one service.
type speeds struct {
	servers map[crlid.Server]*slowness
	all     slowness
}

// slowness is a mean of the logarithms of observed times as multiples of the expected ones.
type slowness struct {
	weight, sum float64
	updated     crlclock.Instant
}

func newSpeeds() *speeds { return &speeds{servers: make(map[crlid.Server]*slowness)} }

func (s *slowness) add(logarithm float64, now crlclock.Instant) {
	keep := decayFactor(now.Sub(s.updated), speedTime)
	s.weight, s.sum, s.updated = s.weight*keep+1, s.sum*keep+logarithm, now
}

// add records an observed time at a server as a multiple of the expected one.
func (s *speeds) add(server crlid.Server, ratio float64, now crlclock.Instant) {
	logarithm := math.Log(min(max(ratio, 1/maxRatio), maxRatio))
	s.all.add(logarithm, now)
	s.server(server, now).add(logarithm, now)
}

// server returns the state of a server and adds it if there is none.
func (s *speeds) server(server crlid.Server, now crlclock.Instant) *slowness {
	one, ok := s.servers[server]
	if !ok {
		if len(s.servers) >= maxServers {
			s.removeOld(now)
		}
		one = &slowness{updated: now}
		s.servers[server] = one
	}
	return one
}

// removeOld drops the servers without a recent observation, or all if that leaves too many.
func (s *speeds) removeOld(now crlclock.Instant) {
	for server, one := range s.servers {
		if now.Sub(one.updated) > speedTime {
			delete(s.servers, server)
		}
	}
	if len(s.servers) >= maxServers {
		clear(s.servers)
	}
}

// speed returns the speed of a server, 1 if it isn't known.
func (s *speeds) speed(server crlid.Server) float64 {
	if s == nil {
		return 1
	}
	one, ok := s.servers[server]
	if !ok {
		return 1
	}
	return s.of(one)
}

// of returns the speed of a server.
func (s *speeds) of(one *slowness) float64 {
	if one.weight == 0 || s.all.weight == 0 {
		return 1
	}
	slower := one.sum/one.weight - s.all.sum/s.all.weight
	return math.Exp(-slower * one.weight / (one.weight + speedPrior))
}
