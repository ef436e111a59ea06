package crlfleet

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Errors of Fleet.Pick.
var (
	ErrNoServer  = errors.New("no backend server of the service accepts requests")
	ErrRateLimit = errors.New("every available backend server of the service is at its rate limit or has no room")
	ErrNoPlace   = errors.New("every available backend server of the service is brittle, and this daemon has no free place at any")
)

// Need specifies what a request requires of a server.
type Need struct {
	Service           crlid.Service
	Allows            func(crlid.Version) bool // reports whether the request may run on a version
	Prefers           func(crlid.Version) bool // reports whether the request should run on an allowed version
	FewServers        map[crlid.Version]int    // for some versions, the number of servers that should share the version's requests
	Work              float64                  // time that an unloaded server works until its answer begins, in seconds
	WorkAfter         float64                  // time by which the rest of the answer delays the server's other requests, in seconds
	Affinity          Affinity
	ExpectedFirstByte time.Duration         // time to the first byte on an unloaded server
	ColdRate          float64               // requests per second that a cold server of the service can handle, 0 for no limit
	Exclude           map[crlid.Server]bool // servers that the request was already sent to
	Engine            bool                  // the service is a model engine, whose load daemons exchange
	Tokens            crlid.Tokens          // tokens of the prompt and the longest answer, 0 if not stated
	MemoryTokens      crlid.Tokens          // tokens that a server of the service has memory for, 0 if not stated
}

// Affinity describes what a request saves on a server that has a part of its prompt cached. All daemons send requests with
// the same key to the same server, if its load permits.
type Affinity struct {
	Key    string  // identifies the part of the prompt that requests have in common, empty for none
	Saving float64 // time saved by a server that has the part cached and need not process it again, in seconds
}

// Pick is a server that was picked for a send of a request. Done must be called exactly once.
type Pick struct {
	Server            crlid.Server
	Address           string
	Version           crlid.Version
	ExpectedFirstByte time.Duration // time to the first byte on an unloaded server
	fleet             *Fleet
	server            *server
	load              *serviceLoad
	segment           *segmentWait
	pickedAt          crlclock.Instant
	answered          bool    // whether markAnswered was called
	work              float64 // Need.Work until the answer begins, then 0
	workAfter         float64 // copied from Need.WorkAfter, in seconds
	exchanged         bool    // whether the send counts in Config.Loads
	tokens            float64 // Need.Tokens if exchanged
}

const (
	crossDomainCost  = 0.03 // added to the score in seconds of a server in another failure domain: a round trip
	scoreJitter      = 0.01 // random part of a score in seconds, so that daemons with equal observations pick different servers
	waitDecaySeconds = 0.7  // time constant of the exponential decay of an observed wait
)

// Pick returns the allowed server with the lowest score. Servers of a preferred version come first, and among them those that
// are neither in a backoff time nor delayed because their version is new to the service. It fails with ErrRateLimit if all servers
// that could be picked are cold or state a limit, and are at their rate limit, with ErrNoPlace if this daemon has no free place at a brittle one, with a
// *PausedError if all have asked for a pause, and with ErrNoServer if there are none.
//
// It is short enough to be inlined, so that a caller that keeps the Pick to itself allocates nothing.
func (f *Fleet) Pick(need Need) (*Pick, error) {
	return f.pick(&Pick{}, &need)
}

// pick fills in a Pick and returns it. It must not keep the pointers that it is given.
func (f *Fleet) pick(p *Pick, need *Need) (*Pick, error) {
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.serviceLoad(need.Service)
	// Recorded first, so that the request's own size is known when its interval is computed.
	l.partition.Record(need.Work, need.Work+need.WorkAfter, now)
	f.refreshRemote(l, need, now)
	f.updatePlaces(need.Service, now)
	c := f.newScoreContext(l, need, now)
	s := f.firstChoice(&c)
	if s == nil {
		return nil, f.pickError(need, now)
	}
	s.openRequests++
	s.pendingWork += need.Work + need.WorkAfter
	l.backlog(need.Work).begin(need.Work)
	segment := &l.segments[s.segment]
	segment.begin(now)
	*p = Pick{
		Server: s.entry.Server, Address: s.entry.Address, Version: s.entry.Version,
		ExpectedFirstByte: need.ExpectedFirstByte, fleet: f, server: s, load: l, work: need.Work, workAfter: need.WorkAfter,
		pickedAt: now, segment: segment,
	}
	f.recordAttempt(s, now)
	f.beginLoad(p, need, now)
	return p, nil
}

// firstChoice returns the server to pick, or nil.
func (f *Fleet) firstChoice(c *scoreContext) *server {
	for _, preferred := range [...]bool{true, false} {
		for _, available := range [...]bool{true, false} {
			if s := f.best(c, preferred, available); s != nil {
				return s
			}
		}
	}
	return nil
}

// pickError returns why no server could be picked.
func (f *Fleet) pickError(need *Need, now crlclock.Instant) error {
	var firstEnd crlclock.Instant // of the pauses; 0 without one
	limited := false
	for _, s := range f.services[need.Service] {
		switch {
		case !f.inService(s) || !need.Allows(s.entry.Version) || need.Exclude[s.entry.Server]:
		case s.pausedUntil <= now && !f.hasPlace(s, now):
			return ErrNoPlace // Another daemon may have one.
		case s.pausedUntil <= now:
			limited = true
		case firstEnd == 0 || s.pausedUntil < firstEnd:
			firstEnd = s.pausedUntil
		}
	}
	if limited {
		return ErrRateLimit
	}
	if firstEnd != 0 {
		return &PausedError{Left: firstEnd.Sub(now)}
	}
	return ErrNoServer
}

// Rank returns the number of servers of the same service and version whose IDs come before that of the picked server.
func (p *Pick) Rank() (rank int) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for _, other := range p.fleet.services[p.server.entry.Service] {
		if other.entry.Version == p.server.entry.Version && other.entry.Server < p.server.entry.Server {
			rank++
		}
	}
	return rank
}

// best returns the candidate with the lowest score that has no rate limit or a token left, or nil. preferred limits the
// candidates to preferred versions, and available to servers outside a backoff time and newVersionDelay.
func (f *Fleet) best(c *scoreContext, preferred, available bool) *server {
	candidates := f.candidatesOf(c, preferred, available)
	holder := f.holder(c, candidates)
	for len(candidates) > 0 {
		best, lowest := 0, math.Inf(1)
		for i := range candidates {
			n := &candidates[i]
			saving := 0.0
			if n.server == holder {
				saving = c.need.Affinity.Saving
			}
			score := c.score(n.server, lowest+saving)
			if n.isOutside && score-saving < lowest {
				score += c.interval.Penalty(n.server.place)
			}
			if score -= saving; score < lowest {
				best, lowest = i, score
			}
		}
		s := candidates[best].server
		if f.takeLimitToken(s, c.now) && f.takeColdToken(s, c.need, c.now) {
			return s
		}
		candidates = slices.Delete(candidates, best, best+1)
	}
	return nil
}

// takeColdToken takes a token from a bucket of a cold server and reports whether there was one. It reports true for a server that is not
// cold, which needs none.
//
// The server's limit, ColdRatio * ColdRate + ColdSlack requests in any second, is divided into buckets that hold one token each and are
// refilled at the same rate. Each belongs to a slot, and only the daemon that holds the slot may take its token.
func (f *Fleet) takeColdToken(s *server, need *Need, now crlclock.Instant) bool {
	if need.ColdRate <= 0 || s.coldUntil <= now {
		return true
	}
	buckets := max(int((f.config.ColdRatio-1)*need.ColdRate+f.config.ColdSlack), 1)
	if len(s.coldBuckets) != buckets {
		s.coldBuckets = make([]crlbudget.Bucket, buckets)
	}
	limit := crlbudget.Limit{PerSecond: need.ColdRate / float64(buckets), Burst: 1}
	for i := range s.coldBuckets {
		if f.config.Slots.Holds(s.coldSlot(i, f.config.Slots.Count()), now) && s.coldBuckets[i].Take(limit, now) {
			return true
		}
	}
	return false
}

// coldSlot returns the slot of one of the server's buckets. All daemons compute the same.
func (s *server) coldSlot(bucket, slots int) crlbudget.Slot {
	return crlbudget.Slot(xxhash.Sum64String(string(s.entry.Server)+" "+strconv.Itoa(bucket)) % uint64(slots))
}

//go:generate go run github.com/dmarkham/enumer -type=Outcome -trimprefix=Outcome -transform=kebab -text -output=outcome_enumer.go

// Outcome is how a send ended, as far as it says something about the server.
type Outcome int

// The outcomes of a send.
const (
	OutcomeAnswered    Outcome = iota // a complete answer that is not a failure
	OutcomeFailed                     // an answer that reports a failure, an incomplete one, or none
	OutcomeUnreachable                // the server accepted no connection
	OutcomeFull                       // the server refused the request for lack of capacity
	OutcomeNeutral                    // cancelled for a reason that is not attributed to the server
	OutcomeMoved                      // another server answered at the address
)

// Result is what a send showed about the server.
type Result struct {
	Outcome   Outcome
	FirstByte time.Duration // time to the first byte of the answer, 0 if there was none
}

// IsLeaving reports whether the server has said that it leaves, or has no entry any more, so that its end is planned.
func (p *Pick) IsLeaving() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.server.removed || p.server.entry.Leaving || p.server.statedLeaving
}

// RecordFirstByte records that the answer has begun, and the time to its first byte. For a send that ended without an answer,
// it may record the time waited instead. It may only be called before Done.
func (p *Pick) RecordFirstByte(firstByte time.Duration) {
	f := p.fleet
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p.server.pendingWork -= p.work
	p.server.brittle.recordAccepted(p.pickedAt)
	if !p.answered {
		p.segment.record(max(firstByte-p.ExpectedFirstByte, 0), now)
	}
	p.markAnswered()
	p.endPrompt()
	p.work = 0
	p.server.health.recordWait(max(firstByte-p.ExpectedFirstByte, 0), now)
}

// markAnswered removes the send from those that wait for their answer. Only the first call has an effect.
func (p *Pick) markAnswered() {
	if p.answered {
		return
	}
	p.answered = true
	p.load.backlog(p.work).end(p.work)
	p.segment.end(p.pickedAt)
}

// RecordEnded records that the server has ended, so that it gets no further requests for its backoff time.
func (p *Pick) RecordEnded() {
	f := p.fleet
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspend(p.server, now, "ended")
}

// Done ends the send: its work no longer counts at the server, and its result is recorded.
func (p *Pick) Done(r Result) {
	f := p.fleet
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p.server.openRequests--
	p.endLoad()
	p.server.pendingWork -= p.work + p.workAfter
	p.markAnswered()
	if p.server.openRequests == 0 {
		p.server.pendingWork = 0
	}
	p.observe(r, now)
}

// observe applies the result of the send to the server's health and to the averages of its service.
func (p *Pick) observe(r Result, now crlclock.Instant) {
	f, h := p.fleet, &p.server.health
	switch r.Outcome {
	case OutcomeAnswered:
		p.server.brittle.recordAccepted(p.pickedAt)
		h.recordAnswer()
		h.backoffs = 0
	case OutcomeMoved:
		f.suspend(p.server, now, "another server answered at its address")
	case OutcomeUnreachable:
		f.suspend(p.server, now, "no connection")
	case OutcomeFailed:
		if h.recordFailure() {
			f.suspend(p.server, now, "failures")
		}
	case OutcomeFull:
		f.recordRejection(p.server, now)
	case OutcomeNeutral:
	}
	if r.FirstByte > 0 && p.ExpectedFirstByte > 0 {
		factor := min(float64(r.FirstByte)/float64(p.ExpectedFirstByte), maxLatencyFactor)
		h.latency.add(factor)
		p.load.latencyFactor.add(factor)
		p.load.excessWait.add(max(r.FirstByte-p.ExpectedFirstByte, 0).Seconds())
	}
}

// suspend starts a backoff time of a server, unless more than maxSuspectShare of the service's servers would then be in one.
func (f *Fleet) suspend(s *server, now crlclock.Instant, cause string) {
	backingOff, all := 0, 0
	for _, other := range f.services[s.entry.Service] {
		if !f.inService(other) {
			continue
		}
		all++
		if other.health.backoffUntil > now {
			backingOff++
		}
	}
	if float64(backingOff+1) > maxSuspectShare*float64(all) && all > 1 {
		return
	}
	s.health.backOff(now)
	f.config.OnTransition(Transition{Server: s.entry.Server, Entry: s.entry, State: StateSuspect, Cause: cause})
}
