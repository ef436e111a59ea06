package crladmission

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	// evidenceAge is the age up to which an observation counts. At two requests a second, which a router of a large fleet gets of one
	// route, it covers six observations.
	evidenceAge = 3 * time.Second
	// maxObservations bounds the observations of a rank. Older ones are overwritten.
	maxObservations = 32
	// maxEvidenceServers is the number of servers above which evidence doesn't get better.
	maxEvidenceServers = 3
)

// observation is how long one request waited for the beginning of its answer.
type observation struct {
	at        crlclock.Instant
	server    crlid.Server
	wait      time.Duration // time from the send to the beginning of the answer, or to the deadline if there was none
	begin     float64       // Request.Begin
	objective time.Duration
	unserved  bool // the deadline passed before the answer began
}

// excess returns the time for which the request waited beyond the time that an unloaded server needs.
func (o *observation) excess() time.Duration {
	return o.wait - time.Duration(o.begin*float64(time.Second))
}

// unservedMargin is the factor by which a request that was not served is assumed to have had to wait for longer. Without it, requests with
// the same deadline would differ by the time that passed before their sends.
const unservedMargin = 1.05

// outlasts reports whether the wait was at least as long as a time that is left.
func (o *observation) outlasts(left time.Duration) bool {
	if o.unserved {
		return unservedMargin*float64(o.wait) >= float64(left)
	}
	return o.wait >= left
}

// queued reports whether the request was queued for longer than a fraction of its objective.
func (o *observation) queued(fraction float64) bool {
	return o.unserved || float64(o.excess()) > fraction*float64(o.objective)
}

// observations holds the newest observations of one rank. The zero value is empty.
type observations struct {
	ring [maxObservations]observation
	next int
}

func (s *observations) add(o observation) {
	s.ring[s.next] = o
	s.next = (s.next + 1) % maxObservations
}

// evidence accumulates observations.
type evidence struct {
	Evidence
	servers [maxEvidenceServers]crlid.Server
}

// criterion says which observations count, and which of these are late.
type criterion struct {
	age      time.Duration // longest age
	heaviest float64       // longest observation.begin, in seconds; 0 for no limit
	left     time.Duration // late is what waited for at least this time, if over 0
	fraction float64       // otherwise, late is what waited for longer than this fraction of its objective,
	queued   bool          // not counting the time that an unloaded server needs
}

func (c *criterion) late(o *observation) bool {
	switch {
	case c.left != 0:
		return o.outlasts(c.left)
	case c.queued:
		return o.queued(c.fraction)
	default:
		return o.unserved || float64(o.wait) > c.fraction*float64(o.objective)
	}
}

// collect adds the observations that count.
func (e *evidence) collect(s *observations, now crlclock.Instant, c criterion) {
	if s == nil {
		return
	}
	for i := range s.ring {
		o := &s.ring[(s.next+maxObservations-1-i)%maxObservations] // newest first
		age := now.Sub(o.at)
		if o.at == 0 || age > c.age {
			return
		}
		if c.heaviest > 0 && o.begin > c.heaviest {
			continue
		}
		if e.Observations == 0 || o.wait < e.ShortestWait {
			e.ShortestWait = o.wait
		}
		if e.Observations == 0 || age < e.NewestAge {
			e.NewestAge = age
		}
		e.Observations++
		if c.late(o) {
			e.Late++
			e.addServer(o.server)
		}
	}
}

// maxOpen bounds the waiting requests that are considered as evidence.
const maxOpen = 8

// collectWaiting adds the requests that have waited for longest, as far as they are late already. How long the others will wait is not known.
func (e *evidence) collectWaiting(l *waitList, now crlclock.Instant, c criterion) {
	n := 0
	for t := l.first; t != nil && n < maxOpen; t = t.next {
		o := t.observation(now)
		if !c.late(&o) {
			return
		}
		n++
		e.Observations++
		e.Late++
		e.NewestAge = 0
		e.addServer(t.server)
	}
}

// addServer counts a server at which a request was late.
func (e *evidence) addServer(server crlid.Server) {
	if server == "" {
		return
	}
	for _, known := range e.servers[:e.Servers] {
		if known == server {
			return
		}
	}
	if e.Servers < maxEvidenceServers {
		e.servers[e.Servers] = server
		e.Servers++
	}
}

// hasServers reports whether requests were late at several servers, or at the only one. servers counts those of the service.
func (e *evidence) hasServers(servers func() int) bool {
	return e.Servers >= minEvidenceServers || e.Servers == 1 && servers() == 1
}

// minEvidenceServers keeps one slow server from counting as an overload of its service.
const minEvidenceServers = 2
