package crlfleet

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Causes for which no server can be picked.
var (
	ErrNoServer = errors.New("no backend server of the service takes work")
	ErrCold     = errors.New("every backend server of the service is cold and has its share of requests")
)

// Need says what a request asks of a server.
type Need struct {
	Service   crlid.Service
	Allows    func(crlid.Version) bool // Allows tells on which versions the request may run.
	Prefers   func(crlid.Version) bool // Prefers tells on which of those it should run.
	Work      float64                  // Work is what the request costs a server until its answer begins, in seconds.
	WorkAfter float64                  // Rest is what it costs the server's other requests afterwards, in seconds.
	Affinity  Affinity
	Expected  time.Duration         // Expected is the usual time to the first byte on an unloaded server.
	ColdRate  float64               // ColdRate is the requests per second that a cold server of the service bears, 0 for no limit.
	Exclude   map[crlid.Server]bool // Exclude holds servers that this request was sent to before.
}

// Affinity is what a request gains from a server that holds parts of its prompt.
type Affinity struct {
	Key    string  // Key names the part that requests share; all daemons send them to the same server. Empty for none.
	Saving float64 // Gains is the reading that such a server saves, in seconds.
}

// Pick is a server that a request may be sent to; Done must be called once.
type Pick struct {
	Server    crlid.Server
	Address   string
	Version   crlid.Version
	Expected  time.Duration
	fleet     *Fleet
	server    *server
	load      *serviceLoad
	answered  bool
	work      float64 // work is what is still to be done before the answer begins.
	workAfter float64
}

const (
	crossDomainCost  = 0.03 // crossDomain is the extra cost of a server in another failure domain: a round trip, in seconds.
	scoreJitter      = 0.01 // spread is the random part of a score in seconds, so that daemons with equal views differ.
	waitDecaySeconds = 0.7  // waitMemory is the time in seconds after which a wait that was seen counts by a factor of e less.
)

// Pick returns the server with the least open work for its pace, or ErrNoServer or ErrCold.
func (f *Fleet) Pick(need Need) (*Pick, error) {
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, preferred := range []bool{true, false} {
		for _, rested := range []bool{true, false} {
			if s := f.best(need, preferred, rested, now); s != nil {
				s.openRequests++
				s.pendingWork += need.Work + need.WorkAfter
				l := f.serviceLoad(need.Service)
				l.unansweredWork += need.Work
				l.unanswered++
				return &Pick{
					Server: s.entry.Server, Address: s.entry.Address, Version: s.entry.Version,
					Expected: need.Expected, fleet: f, server: s, load: l, work: need.Work, workAfter: need.WorkAfter,
				}, nil
			}
		}
	}
	for _, s := range f.services[need.Service] {
		if f.inService(s) && need.Allows(s.entry.Version) && !need.Exclude[s.entry.Server] {
			return nil, ErrCold
		}
	}
	return nil, ErrNoServer
}

// best returns the candidate with the lowest score that has a token left if it is cold, or nil.
func (f *Fleet) best(need Need, preferred, rested bool, now crlclock.Instant) *server {
	var candidates []*server
	for _, s := range f.services[need.Service] {
		if !f.inService(s) || need.Exclude[s.entry.Server] || !need.Allows(s.entry.Version) ||
			preferred && !need.Prefers(s.entry.Version) || rested && max(s.health.backoffUntil, s.newVersionUntil) > now {
			continue
		}
		candidates = append(candidates, s)
	}
	holder := need.Affinity.holder(candidates)
	for len(candidates) > 0 {
		best, lowest := 0, math.Inf(1)
		for i, s := range candidates {
			score := f.score(s, need, now)
			if s == holder {
				score -= need.Affinity.Saving
			}
			if score < lowest {
				best, lowest = i, score
			}
		}
		if f.takeColdToken(candidates[best], need, now) {
			return candidates[best]
		}
		candidates = slices.Delete(candidates, best, best+1)
	}
	return nil
}

// holder returns the candidate that all daemons take for the holder of the part: the one with the highest hash.
func (a Affinity) holder(candidates []*server) *server {
	if a.Key == "" {
		return nil
	}
	var holder *server
	var highest uint64
	for _, s := range candidates {
		if weight := xxhash.Sum64String(a.Key + string(s.entry.Server)); holder == nil || weight > highest {
			holder, highest = s, weight
		}
	}
	return holder
}

// score estimates when an answer of the server would begin, in seconds.
func (f *Fleet) score(s *server, need Need, now crlclock.Instant) float64 {
	usual := f.serviceLoad(need.Service).latencyFactor.mean(1)
	slowness := max(s.health.latency.mean(usual)/usual, 1)
	score := (s.pendingWork+need.Work)*slowness + s.health.decayedWait(now)
	if s.coldUntil > now {
		score += need.Work
	}
	if s.entry.Domain != f.config.Domain {
		score += crossDomainCost
	}
	return score + f.config.Random()*scoreJitter
}

// takeCold takes a token of a cold server; others need none.
func (f *Fleet) takeColdToken(s *server, need Need, now crlclock.Instant) bool {
	if need.ColdRate <= 0 || s.coldUntil <= now {
		return true
	}
	share := f.config.Share()
	// Rate and burst together stay under rate * ratio + slack in each second.
	return s.coldBucket.Take(crlbudget.Limit{
		PerSecond: need.ColdRate * share,
		Burst:     max(1, ((f.config.ColdRatio-1)*need.ColdRate+f.config.ColdSlack)*share),
	}, now)
}

//go:generate go run github.com/dmarkham/enumer -type=Outcome -trimprefix=Outcome -transform=kebab -text -output=outcome_enumer.go

// Outcome is how a send ended, as far as it speaks for or against the server.
type Outcome int

// The outcomes of a send.
const (
	OutcomeAnswered    Outcome = iota // OutcomeAnswered sends got a whole answer that is no failure.
	OutcomeFailed                     // OutcomeFailed sends got a failure, a broken answer or none.
	OutcomeUnreachable                // OutcomeUnreachable sends got no connection.
	OutcomeFull                       // OutcomeFull sends were refused for want of room.
	OutcomeNeutral                    // OutcomeNeutral sends were given up for a reason that is not the server's.
	OutcomeMoved                      // OutcomeMoved sends met another server at the address.
)

// Result is what a send showed of the server.
type Result struct {
	Outcome   Outcome
	FirstByte time.Duration // FirstByte is the time to the first byte of the answer, 0 if there was none.
}

// Began takes that the answer has begun, after a time.
func (p *Pick) RecordFirstByte(first time.Duration) {
	f := p.fleet
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p.server.pendingWork -= p.work
	p.markAnswered()
	p.work = 0
	p.server.health.recordWait(max(first-p.Expected, 0), now)
}

// read takes, once, that the send waits for its answer no more.
func (p *Pick) markAnswered() {
	if p.answered {
		return
	}
	p.answered = true
	p.load.unansweredWork -= p.work
	p.load.unanswered--
}

// Done gives the server back with what the send showed.
func (p *Pick) Done(r Result) {
	f := p.fleet
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p.server.openRequests--
	p.server.pendingWork -= p.work + p.workAfter
	p.markAnswered()
	if p.server.openRequests == 0 {
		p.server.pendingWork = 0
	}
	p.observe(r, now)
}

func (p *Pick) observe(r Result, now crlclock.Instant) {
	f, h := p.fleet, &p.server.health
	switch r.Outcome {
	case OutcomeAnswered:
		h.recordAnswer()
		h.backoffs = 0
	case OutcomeMoved:
		f.suspend(p.server, now, "another server answers at its address")
	case OutcomeUnreachable:
		f.suspend(p.server, now, "no connection")
	case OutcomeFailed:
		if h.recordFailure() {
			f.suspend(p.server, now, "failures")
		}
	case OutcomeFull, OutcomeNeutral:
	}
	if r.FirstByte > 0 && p.Expected > 0 {
		factor := min(float64(r.FirstByte)/float64(p.Expected), maxLatencyFactor)
		h.latency.add(factor)
		p.load.latencyFactor.add(factor)
		p.load.excessWait.add(max(r.FirstByte-p.Expected, 0).Seconds())
	}
}

// suspend lets a server rest unless too many of its service do.
func (f *Fleet) suspend(s *server, now crlclock.Instant, cause string) {
	resting, all := 0, 0
	for _, other := range f.services[s.entry.Service] {
		if !f.inService(other) {
			continue
		}
		all++
		if other.health.backoffUntil > now {
			resting++
		}
	}
	if float64(resting+1) > maxSuspectShare*float64(all) && all > 1 {
		return
	}
	s.health.backOff(now)
	f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StateSuspect, Cause: cause})
}

// surely returns the work of sends without an answer, less twice the deviation of their number: a few sends of one daemon say
// nothing of the others.
func (l *serviceLoad) unansweredWorkLowerBound() float64 {
	if l.unanswered == 0 {
		return 0
	}
	return l.unansweredWork * max(0, 1-2/math.Sqrt(float64(l.unanswered)))
}

// Wait returns how much later than on unloaded servers a service's answers begin now: what the newest ones waited, or what
// the sends take that have no answer yet, if that is more. Other daemons are taken to send as much.
func (f *Fleet) ExpectedWait(service crlid.Service) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := 0
	for _, s := range f.services[service] {
		if f.inService(s) {
			servers++
		}
	}
	l := f.serviceLoad(service)
	backlog := l.unansweredWorkLowerBound() * float64(f.config.Daemons()) / float64(max(servers, 1))
	return time.Duration(max(l.excessWait.mean(0), backlog) * float64(time.Second))
}
