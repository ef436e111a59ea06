package crladmission

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	maxServices     = 256              // services with state; requests of others are sent
	idleService     = time.Minute      // time without a request after which a service may be forgotten
	maxReturned     = 4096             // rejected requests that are remembered
	returnedFor     = 30 * time.Second // time for which a rejected request is remembered
	urgentFraction  = 0.5              // fraction of the objective of urgent requests above which less urgent ones make room
	minUrgent       = 3                // observations needed before less urgent requests make room
	urgentLateShare = 0.25             // part of them that must have waited for longer than urgentFraction
	minObservations = 6                // observations needed for a rejection for the deadline
	minOverload     = 3                // observations needed for an overload
	lateShare       = 0.5              // part of them that must be late for an overload
	// probeInterval is the time between two requests that are sent in spite of CauseDeadline, so that the end of an overload is noticed
	// within a second.
	probeInterval = time.Second
	// targetFraction is the fraction of the objective to which rejections bring the wait. An overload begins when the whole objective is
	// exceeded, and ends at endFraction of it.
	targetFraction = 0.5
	endFraction    = 0.25
	// drainObjectives is the time in objectives within which what waits beyond the target is worked off. Faster control overshoots, as
	// rejections show their effect only after the wait.
	drainObjectives = 1.0
	minCapacity     = 0.1 // part of the capacity that is used however long the queue is, so that observations go on
	// maxWaitFraction is the fraction of the objective up to which a request may be held. The rest is for its wait at the server.
	maxWaitFraction = 0.5
)

// Config configures a Controller.
type Config struct {
	// Servers returns the number of servers of a service that accept requests. It is called only if requests were late at a single one, with the
	// Controller locked.
	Servers func(crlid.Service) int
}

// Controller decides on requests. Create it with New.
type Controller struct {
	config   Config
	mu       sync.Mutex // guards the fields below
	services map[crlid.Service]*service
	rejected map[uint64]crlclock.Instant // requests that were rejected, by Request.ID, and when
	sweptAt  crlclock.Instant            // when rejected was last searched for old entries
	arrivals meter                       // requests of any service per second
	returns  returns                     // callers rejected before their service was known
}

// service is the state of one service.
type service struct {
	servers    func() int // counts the servers that accept requests
	ranks      [Ranks]*observations
	waiting    [Ranks]waitList // requests that were sent and whose answers have not begun
	probeAt    [Ranks]crlclock.Instant
	drain      meter           // cost per second of the requests whose answers began
	begun      [Ranks]meter    // answers that began per second
	pace       [Ranks]heldRate // begun while the servers were busy
	capacity   heldRate        // drain while the servers were busy
	overloaded [Ranks]bool     // see updateOverload
	shares     shares
	returns    returns
	seenAt     crlclock.Instant
}

// New returns a controller without observations.
func New(config Config) *Controller {
	return &Controller{config: config, services: make(map[crlid.Service]*service), rejected: make(map[uint64]crlclock.Instant)}
}

// service returns the state of a service, nil if too many have one.
func (c *Controller) service(name crlid.Service, now crlclock.Instant) *service {
	s := c.services[name]
	if s == nil {
		if len(c.services) >= maxServices {
			c.forgetServices(now)
		}
		if len(c.services) >= maxServices {
			return nil
		}
		s = &service{servers: func() int { return c.config.Servers(name) }, shares: shares{accounts: make(map[crlid.Organisation]*account)}}
		c.services[name] = s
	}
	s.seenAt = now
	return s
}

// forgetServices forgets services without recent requests.
func (c *Controller) forgetServices(now crlclock.Instant) {
	for name, s := range c.services {
		if now.Sub(s.seenAt) > idleService && s.waitingUpTo(Ranks-1) == 0 {
			delete(c.services, name)
		}
	}
}

// Decide returns what to do with a request before its first send. held is the time for which the request was held after an earlier
// call, 0 for the first call. It is held only once.
func (c *Controller) Decide(r Request, held time.Duration, now crlclock.Instant) Decision {
	r.Rank = clampRank(r.Rank)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service, now)
	if s == nil {
		return Decision{}
	}
	returned := c.hasReturned(r.ID, now)
	d := s.decide(&r, held, now)
	d.Returned = returned
	if d.Action == ActionReject {
		c.remember(r.ID, now)
		d.RetryAfter = s.retryAfter(&r, &d, now)
	}
	return d
}

// decide is Decide without the parts that don't depend on the service.
func (s *service) decide(r *Request, held time.Duration, now crlclock.Instant) Decision {
	d, probe := s.checkDeadline(r, now)
	if held > 0 {
		return d
	}
	owner := s.shares.account(r.Organisation, now)
	if owner != nil && r.Weight > 0 {
		owner.weight = r.Weight
	}
	class := class(r.Rank, r.InProgress)
	s.shares.record(owner, class, r.Cost, now)
	if d.Action == ActionSend && !probe && owner != nil {
		d = s.checkShare(r, owner, class, now)
	}
	if d.Action == ActionSend && !probe {
		d = s.checkUrgent(r, now)
	}
	return d
}

func clampRank(rank int) int { return min(max(rank, 0), Ranks-1) }

// checkDeadline rejects a request if recent ones that were no heavier and no less urgent all waited longer than it can. Some are sent
// all the same, as probes.
func (s *service) checkDeadline(r *Request, now crlclock.Instant) (d Decision, probe bool) {
	var e evidence
	left := max(r.Left, 1) // 0 stands for no such criterion.
	for rank := 0; rank <= r.Rank; rank++ {
		e.collect(s.ranks[rank], now, criterion{age: evidenceAge, heaviest: r.Begin, left: left})
	}
	if e.Observations < minObservations || e.Late < e.Observations || !e.hasServers(s.servers) {
		return Decision{}, false
	}
	if now >= s.probeAt[r.Rank] {
		s.probeAt[r.Rank] = now.Add(probeInterval)
		return Decision{}, true
	}
	return Decision{Action: ActionReject, Cause: CauseDeadline, Evidence: e.Evidence}, false
}

// checkShare rejects a request of an organisation that is over its fair share, if the service is overloaded.
func (s *service) checkShare(r *Request, owner *account, class int, now crlclock.Instant) Decision {
	wait := s.queueWait(r.Rank)
	e, overloaded := s.updateOverload(r, wait, now)
	if !overloaded {
		return Decision{}
	}
	excess := wait - targetFraction*r.Objective.Seconds()
	capacity := s.capacity.rate * max(1-excess/(drainObjectives*r.Objective.Seconds()), minCapacity)
	send, kept := s.shares.take(owner, r.Rank, class, capacity, now)
	if send {
		return Decision{}
	}
	e.Kept = kept
	return Decision{Action: ActionReject, Cause: CauseShare, Evidence: e}
}

// queueWait returns the time, in seconds, after which the requests of a rank that wait will have begun, at the rate at which they begin while servers are
// busy. It is 0 until that rate has been measured.
func (s *service) queueWait(rank int) float64 {
	if s.pace[rank].rate <= 0 || s.capacity.rate <= 0 {
		return 0
	}
	return min(float64(s.waiting[rank].count)/s.pace[rank].rate, maxReturnSeconds)
}

// updateOverload reports whether a rank of the service is overloaded. An overload begins when what waits takes longer than the objective and
// recent requests have waited for long, too. It ends when what waits takes a small part of the objective.
func (s *service) updateOverload(r *Request, wait float64, now crlclock.Instant) (Evidence, bool) {
	var e evidence
	objective := r.Objective.Seconds()
	c := criterion{age: max(evidenceAge, r.Objective), fraction: targetFraction, queued: true}
	e.collect(s.ranks[r.Rank], now, c)
	e.collectWaiting(&s.waiting[r.Rank], now, c)
	switch {
	case e.Observations == 0 || wait <= endFraction*objective && float64(e.Late) < lateShare*float64(e.Observations):
		s.overloaded[r.Rank] = false
	case wait > objective && e.Observations >= minOverload && float64(e.Late) >= lateShare*float64(e.Observations) && e.hasServers(s.servers):
		s.overloaded[r.Rank] = true
	}
	return e.Evidence, s.overloaded[r.Rank]
}

// checkUrgent holds a request while more urgent ones that have waited for too long are served, if it can begin within its objective all the same.
func (s *service) checkUrgent(r *Request, now crlclock.Instant) Decision {
	if r.Rank == 0 || r.InProgress {
		return Decision{}
	}
	ahead, rate := s.waitingUpTo(r.Rank-1), s.begunUpTo(r.Rank-1, now)
	if ahead == 0 || rate <= 0 {
		return Decision{}
	}
	wait := time.Duration(min(float64(ahead)/rate, maxReturnSeconds) * float64(time.Second))
	begin := time.Duration(r.Begin * float64(time.Second))
	if r.Elapsed+wait > time.Duration(maxWaitFraction*float64(r.Objective)) || r.Elapsed+wait+r.ExpectedWait+begin > r.Objective ||
		2*wait > r.Left {
		return Decision{}
	}
	e, pressed := s.urgentLate(r.Rank, now)
	if !pressed {
		return Decision{}
	}
	return Decision{Action: ActionWait, Cause: CauseUrgent, Wait: wait, Evidence: e}
}

// urgentLate reports whether requests that are more urgent than a rank wait for more than urgentFraction of their objective.
func (s *service) urgentLate(rank int, now crlclock.Instant) (Evidence, bool) {
	var e evidence
	c := criterion{age: evidenceAge, fraction: urgentFraction}
	for i := range rank {
		e.collect(s.ranks[i], now, c)
		e.collectWaiting(&s.waiting[i], now, c)
	}
	return e.Evidence, e.Observations >= minUrgent && float64(e.Late) >= urgentLateShare*float64(e.Observations) && e.hasServers(s.servers)
}

// AllowsLarger reports whether a larger model may be used for a request of a rank: not while more urgent requests of the service wait for
// more than half of their objective.
func (c *Controller) AllowsLarger(name crlid.Service, rank int, now crlclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	if s == nil {
		return true
	}
	_, late := s.urgentLate(clampRank(rank), now)
	return !late
}

// RecordArrival records a request of any service that has passed the checks that need a confirmed configuration.
func (c *Controller) RecordArrival(now crlclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals.add(1, now)
}

// Begin records that a request is sent, with a ticket that is new or whose request has ended. One of RecordFirstEvent, RecordDeadline and
// Cancel must be called with it.
func (c *Controller) Begin(t *Ticket, r Request, now crlclock.Instant) {
	r.Rank = clampRank(r.Rank)
	t.request, t.sentAt, t.server = r, now, ""
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.service(r.Service, now); s != nil {
		s.waiting[r.Rank].add(t)
		t.service = s
	}
}

// RecordServer records the server that a request was sent to.
func (c *Controller) RecordServer(t *Ticket, server crlid.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.server = server
}

// RecordFirstEvent records that the answer to a request has begun.
func (c *Controller) RecordFirstEvent(t *Ticket, now crlclock.Instant) { c.end(t, now, true, false) }

// RecordDeadline records that the deadline of a request passed before a server began its answer.
func (c *Controller) RecordDeadline(t *Ticket, now crlclock.Instant) { c.end(t, now, true, true) }

// Cancel records that a request ended before its answer began, for another reason than its deadline.
func (c *Controller) Cancel(t *Ticket, now crlclock.Instant) { c.end(t, now, false, false) }

// end removes a ticket from those that wait. Only the first call for a ticket has an effect.
func (c *Controller) end(t *Ticket, now crlclock.Instant, observed, unserved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, rank := t.service, t.request.Rank
	if s == nil {
		return
	}
	t.service = nil
	s.waiting[rank].remove(t)
	if !observed {
		return
	}
	if s.ranks[rank] == nil {
		s.ranks[rank] = &observations{}
	}
	o := t.observation(now)
	o.unserved = unserved
	s.ranks[rank].add(o)
	if unserved {
		return
	}
	// While requests are queued, the servers do what they can. Otherwise a lower rate only says that less was sent.
	queued := o.queued(endFraction)
	s.pace[rank].observe(&s.begun[rank], 1, queued, now)
	s.capacity.observe(&s.drain, t.request.Cost, queued, now)
}

// waitingUpTo returns the number of requests of a rank, and of more urgent ones, whose answers have not begun.
func (s *service) waitingUpTo(rank int) (n int) {
	for i := range s.waiting[:rank+1] {
		n += s.waiting[i].count
	}
	return n
}

// begunUpTo returns the answers per second that begin for requests of a rank and more urgent ones.
func (s *service) begunUpTo(rank int, now crlclock.Instant) (rate float64) {
	for i := range s.begun[:rank+1] {
		rate += s.begun[i].rate(now)
	}
	return rate
}

// retryAfter plans the return of a caller after a rejection: when what waits is expected to take no longer than the objective.
func (s *service) retryAfter(r *Request, d *Decision, now crlclock.Instant) time.Duration {
	rate := s.begunUpTo(Ranks-1, now)
	first := d.Evidence.ShortestWait - r.Objective
	if rate > 0 {
		queue := time.Duration(min(float64(s.waitingUpTo(r.Rank))/rate, maxReturnSeconds) * float64(time.Second))
		first = min(first, queue-r.Objective)
	}
	return s.returns.reserve(class(r.Rank, d.Returned), overloadReturnShare*rate, max(first, minRetryAfter), r.Left, now)
}

// RetryAfter plans the return of a caller that is rejected before its service is known, for lack of a confirmed configuration. first is the
// earliest time of a return; from then on callers return at the rate at which requests came before.
func (c *Controller) RetryAfter(id uint64, rank int, first, left time.Duration, now crlclock.Instant) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	returned := c.hasReturned(id, now)
	c.remember(id, now)
	return c.returns.reserve(class(clampRank(rank), returned), outageReturnShare*c.arrivals.lastRate(), max(first, minRetryAfter), left, now)
}

// hasReturned reports whether a request was rejected lately.
func (c *Controller) hasReturned(id uint64, now crlclock.Instant) bool {
	at, ok := c.rejected[id]
	return ok && now.Sub(at) <= returnedFor
}

// remember records that a request was rejected. While maxReturned are remembered, further ones are not.
func (c *Controller) remember(id uint64, now crlclock.Instant) {
	if _, known := c.rejected[id]; !known && len(c.rejected) >= maxReturned {
		if now.Sub(c.sweptAt) < returnedFor/10 {
			return
		}
		c.sweptAt = now
		for other, at := range c.rejected {
			if now.Sub(at) > returnedFor {
				delete(c.rejected, other)
			}
		}
		if len(c.rejected) >= maxReturned {
			return
		}
	}
	c.rejected[id] = now
}
