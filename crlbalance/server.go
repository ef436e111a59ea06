package crlbalance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Bounds and periods of the queue estimate, ejection and ramp.
const (
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = 2 * time.Second
	// ejectAfter is the number of failures in a row that ejects a server.
	failuresToEject = 5
	// ejection is how long the first ejection lasts; each further one doubles it.
	firstEjection = 5 * time.Second
	// maxEjection bounds an ejection.
	maxEjection = time.Minute
	// rampTime is how long a server that came back takes to its whole share.
	rampTime = time.Minute
	// rampFirst is the share that a server gets when it comes back.
	rampInitialShare = 0.1
)

// server is what a daemon knows of a backend server.
type server struct {
	id                  crlid.Server
	hash                uint64
	open                atomic.Int64 // open counts this daemon's attempts.
	warmLimit           atomic.Int64 // limit is the configured warm limit.
	consecutiveFailures atomic.Int64 // failures counts those in a row.
	ejectedUntil        atomic.Int64 // ejected is the end of an ejection in nanoseconds since 1970, 0 for none.
	rampStart           atomic.Int64 // ramp is when the server came back, 0 when it was always there.

	mu         sync.Mutex // mu guards the fields below.
	otherLoad  float64    // others is the load of other daemons at the last report.
	reportedAt time.Time  // stated is when it was reported.
	ejections  int
}

func hashServer(id crlid.Server) uint64 { return xxhash.Sum64String(string(id)) }

// report takes the whole load of the server, of which this daemon's attempts are a part.
func (s *server) report(load int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.otherLoad = max(0, float64(load)-float64(s.open.Load()))
	s.reportedAt = now
}

// queue estimates the attempts open at the server from all daemons.
func (s *server) queue(now time.Time) float64 {
	s.mu.Lock()
	others, stated := s.otherLoad, s.reportedAt
	s.mu.Unlock()
	if others > 0 {
		others *= math.Exp2(-float64(now.Sub(stated)) / float64(reportHalfLife))
	}
	return float64(s.open.Load()) + others
}

// score is the estimated queue as a part of the warm limit.
func (s *server) score(now time.Time) float64 {
	return s.queue(now) / float64(max(1, s.warmLimit.Load()))
}

func (s *server) isEjected(now time.Time) bool { return now.UnixNano() < s.ejectedUntil.Load() }

// share returns the part of its normal work that the server gets, 1 when its ramp is over.
func (s *server) rampShare(now time.Time) float64 {
	began := s.rampStart.Load()
	if began == 0 {
		return 1
	}
	passed := float64(now.UnixNano()-began) / float64(rampTime)
	return min(1, max(rampInitialShare, passed))
}

// eject takes a server out of choice for a while, unless that leaves less than half of a pool.
func (b *Balancer) eject(s *server, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.current.Load()
	// A server that is out of service is in no pool; its failures say nothing of the time when it is back.
	if x == nil || len(x.pools[s.id]) == 0 || s.isEjected(now) {
		return
	}
	for _, p := range x.pools[s.id] {
		if 2*(p.ejected(now)+1) > p.size() {
			return
		}
	}
	until := now.Add(s.nextEjection())
	s.ejectedUntil.Store(until.UnixNano())
	s.rampStart.Store(until.UnixNano())
	s.consecutiveFailures.Store(0)
}

func (s *server) nextEjection() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := firstEjection << min(s.ejections, 8)
	s.ejections++
	return min(d, maxEjection)
}
