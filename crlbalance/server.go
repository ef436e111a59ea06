package crlbalance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Parameters of the queue estimate, of ejections and of the ramp-up.
const (
	// reportHalfLife is the age at which a reported load has half its weight.
	reportHalfLife = 2 * time.Second
	// failuresToEject is the number of failures in a row that ejects a server.
	failuresToEject = 5
	// firstEjection is the duration of a server's first ejection. Each further one doubles it.
	firstEjection = 5 * time.Second
	// maxEjection is the longest duration of an ejection.
	maxEjection = time.Minute
	// rampTime is the time in which a server that returned ramps up to its full share.
	rampTime = time.Minute
	// rampInitialShare is the share that a server gets when it returns.
	rampInitialShare = 0.1
)

// server is the balancer's state of a backend server.
type server struct {
	id                  crlid.Server
	hash                uint64       // hash of id, for rendezvous
	open                atomic.Int64 // open attempts of this daemon
	warmLimit           atomic.Int64 // configured warm limit, in open attempts
	consecutiveFailures atomic.Int64 // failures since the last success or ejection
	ejectedUntil        atomic.Int64 // end of the ejection in Unix nanoseconds, 0 for none
	rampStart           atomic.Int64 // start of the last ramp-up in Unix nanoseconds, 0 for none

	mu         sync.Mutex // guards the fields below
	otherLoad  float64    // open attempts of other daemons at the last report
	reportedAt time.Time  // time of the last report
	ejections  int        // ejections so far
}

func hashServer(id crlid.Server) uint64 { return xxhash.Sum64String(string(id)) }

// report records the load that the server reported. It includes this daemon's own attempts, which are subtracted.
func (s *server) report(load int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.otherLoad = max(0, float64(load)-float64(s.open.Load()))
	s.reportedAt = now
}

// queue estimates the number of attempts of all daemons that are open at the server.
func (s *server) queue(now time.Time) float64 {
	s.mu.Lock()
	otherLoad, reportedAt := s.otherLoad, s.reportedAt
	s.mu.Unlock()
	if otherLoad > 0 {
		otherLoad *= math.Exp2(-float64(now.Sub(reportedAt)) / float64(reportHalfLife))
	}
	return float64(s.open.Load()) + otherLoad
}

// score returns the estimated queue as a fraction of the warm limit.
func (s *server) score(now time.Time) float64 {
	return s.queue(now) / float64(max(1, s.warmLimit.Load()))
}

func (s *server) isEjected(now time.Time) bool { return now.UnixNano() < s.ejectedUntil.Load() }

// rampShare returns the fraction of its normal share that the server gets: from rampInitialShare to 1, and 1 after the
// ramp-up.
func (s *server) rampShare(now time.Time) float64 {
	began := s.rampStart.Load()
	if began == 0 {
		return 1
	}
	passed := float64(now.UnixNano()-began) / float64(rampTime)
	return min(1, max(rampInitialShare, passed))
}

// eject excludes a server from picks for a while, unless more than half of the servers of one of its pools would then be
// ejected.
func (b *Balancer) eject(s *server, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.current.Load()
	// A server that is out of service is in no pool. A failure recorded meanwhile must not eject it when it returns to service.
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

// nextEjection returns the duration of the server's next ejection and counts it.
func (s *server) nextEjection() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	const maxDoublings = 8 // keeps the shift from overflowing; firstEjection doubled this often exceeds maxEjection
	d := firstEjection << min(s.ejections, maxDoublings)
	s.ejections++
	return min(d, maxEjection)
}
