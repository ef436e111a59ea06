package crlpermit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlmember"
)

// Sizes and durations of a schedule.
const (
	vms              = 3
	server           = crlid.Server("engine")
	stepsPerSchedule = 400
	lease            = 100 * time.Millisecond
	leaseGuard       = 110 * time.Millisecond
	expiry           = 40 * time.Millisecond
	maxAttempt       = 60 * time.Millisecond
	clockRate        = 1.01
	callTimeout      = 60 * time.Millisecond
)

// mutation breaks one rule of the protocol, to check that the schedules detect it.
type mutation int

const (
	none          mutation = iota
	noTakeover             // a new home grants at once, without waiting for holders
	outlivesLease          // permits last their full time from their arrival, and the lease isn't checked before the reply
	freesAtExpiry          // a permit counts as used only until the last moment at which its attempt may be sent
)

// vm is a daemon of a schedule, on a VM of its own.
type vm struct {
	incarnation crlid.Incarnation
	rate        float64   // speed of the daemon's clock relative to simulated time
	pausedUntil time.Time // until then the daemon does nothing
	logCutUntil time.Time // until then the daemon can't reach the log
	home        *Home
	pool        *Pool
	proposer    *crlmember.Proposer
	term        crlid.Term
	readAt      time.Time // start of the last read of the log, by the daemon's clock
	askDeadline time.Time // until then the last call may still be answered
	open        map[PermitID]openAttempt
}

// openAttempt is an attempt that runs at the server.
type openAttempt struct {
	permit Permit
	ends   time.Time
}

// schedule is one random run of homes, pools and proposers that exchange messages in simulated time, with paused daemons,
// lost messages, broken links and outages of the log.
type schedule struct {
	mutation     mutation
	random       *rand.Rand
	now          time.Time
	vms          []*vm
	homes        []int // the log: the index in vms of the home of each term
	linkCutUntil map[[2]int]time.Time
	deliveries   []delivery
	limit        int // limit of the server, 1 or 2
	maxOpen      int // largest number of attempts that were open at the same time
	sends        int // attempts sent
}

// delivery is a message, or the next step of an operation, that reaches a daemon at a later time.
type delivery struct {
	at  time.Time
	to  int
	run func()
}

func newSchedule(seed uint64, m mutation) *schedule {
	s := &schedule{
		mutation: m, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, homes: []int{0},
		linkCutUntil: make(map[[2]int]time.Time), limit: 1 + int(seed%2),
	}
	for i := range vms {
		incarnation := crlid.Incarnation(fmt.Sprint("run-", i))
		v := &vm{
			incarnation: incarnation, rate: 1 + s.random.Float64()*(clockRate-1), term: -1, open: make(map[PermitID]openAttempt),
			home: NewHome(HomeConfig{Lease: lease, Guard: leaseGuard, Expiry: expiry, MaxAttempt: maxAttempt, ClockRate: clockRate}),
			pool: NewPool(PoolConfig{Self: incarnation, MaxAttempt: maxAttempt}),
			proposer: crlmember.NewProposer(crlmember.ProposerConfig{
				Self: crlmember.Member{Incarnation: incarnation}, Lease: lease, GuardedLease: leaseGuard,
			}),
		}
		s.vms = append(s.vms, v)
	}
	return s
}

// clock returns the time by a daemon's own clock.
func (s *schedule) clock(v *vm) time.Time {
	return epoch.Add(time.Duration(float64(s.now.Sub(epoch)) * v.rate))
}

// randomUpTo returns a random duration below the limit.
func (s *schedule) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// send delivers a message after a random delay, unless it is lost or the link is broken.
func (s *schedule) send(from, to int, run func()) {
	if from != to && (s.random.IntN(12) == 0 || s.now.Before(s.linkCutUntil[[2]int{min(from, to), max(from, to)}])) {
		return
	}
	delay := s.randomUpTo(4 * time.Millisecond)
	if s.random.IntN(15) == 0 {
		delay = s.randomUpTo(300 * time.Millisecond)
	}
	s.deliveries = append(s.deliveries, delivery{at: s.now.Add(delay), to: to, run: run})
}

// step advances the time, runs the deliveries that are due and makes each daemon act.
func (s *schedule) step() {
	s.now = s.now.Add(s.randomUpTo(6 * time.Millisecond))
	due := s.deliveries
	s.deliveries = nil
	for _, d := range due {
		if d.at.After(s.now) || s.now.Before(s.vms[d.to].pausedUntil) {
			s.deliveries = append(s.deliveries, d)
			continue
		}
		d.run()
	}
	s.injectFault(s.random.IntN(vms))
	for i, v := range s.vms {
		s.finish(i, v)
		if !s.now.Before(v.pausedUntil) {
			s.act(i, v)
		}
	}
	open := 0
	for _, v := range s.vms {
		open += len(v.open)
	}
	s.maxOpen = max(s.maxOpen, open)
}

// injectFault sometimes pauses a daemon, cuts it from the log, breaks a link or stops the log for all daemons.
func (s *schedule) injectFault(i int) {
	switch s.random.IntN(120) {
	case 0:
		s.vms[i].pausedUntil = s.now.Add(s.randomUpTo(500 * time.Millisecond))
	case 1:
		s.vms[i].logCutUntil = s.now.Add(s.randomUpTo(800 * time.Millisecond))
	case 2:
		j := s.random.IntN(vms)
		s.linkCutUntil[[2]int{min(i, j), max(i, j)}] = s.now.Add(s.randomUpTo(800 * time.Millisecond))
	case 3:
		if s.random.IntN(2) == 0 {
			for _, v := range s.vms {
				v.logCutUntil = s.now.Add(600 * time.Millisecond)
			}
		}
	}
}

func (s *schedule) act(i int, v *vm) {
	switch s.random.IntN(8) {
	case 0:
		s.readLog(i, v)
	case 1:
		s.propose(i, v)
	case 2:
		s.extend(i, v)
	case 3:
		s.takeOver(i, v)
	case 4, 5:
		s.ask(i, v)
	case 6, 7:
		s.startAttempt(i, v)
	}
}

func (s *schedule) isLogCut(v *vm) bool { return s.now.Before(v.logCutUntil) }

// readLog starts the terms that are new in the log and confirms the newest one at the home.
func (s *schedule) readLog(i int, v *vm) {
	if s.isLogCut(v) {
		return
	}
	readStart, head := s.clock(v), len(s.homes)
	s.send(i, i, func() {
		for term := v.term + 1; int(term) < head; term++ {
			s.startTerm(i, v, term)
		}
		if v.term == crlid.Term(head-1) {
			v.home.Confirm(v.term, readStart)
			v.readAt = readStart
		}
	})
}

func (s *schedule) startTerm(i int, v *vm, term crlid.Term) {
	t := Assignment{Term: term, Servers: make(map[crlid.Server]Limits)}
	if s.homes[term] == i {
		t.Servers[server] = Limits{Cold: s.limit, Warm: s.limit}
	}
	for _, o := range s.vms {
		t.Holders = append(t.Holders, o.incarnation)
	}
	v.term = term
	v.home.ApplyAssignment(t, s.clock(v))
	if state := v.home.servers[server]; state != nil && s.mutation == noTakeover {
		clear(state.awaited)
	}
}

// view returns the view from which a proposer decides. Only one member is present in it, so that the proposer always wants
// another roster.
func (s *schedule) view(v *vm) crlmember.View {
	r := crlmember.Roster{Term: v.term}
	for _, o := range s.vms {
		r.Members = append(r.Members, crlmember.Member{Incarnation: o.incarnation})
	}
	return crlmember.View{
		Roster: r, ConfirmedAt: v.readAt, Present: r.Members[:1], HasEnded: func(crlmember.Member) bool { return false },
	}
}

func (s *schedule) propose(_ int, v *vm) {
	if v.term < 0 || s.isLogCut(v) || s.random.IntN(40) > 0 {
		return
	}
	_, ok := v.proposer.Step(s.view(v), s.clock(v))
	// The append succeeds only if the proposer has read the newest roster: the fold of crlmember rejects a roster that isn't
	// based on the newest one. An append whose reply is lost looks the same to all other daemons.
	if ok && v.term == crlid.Term(len(s.homes)-1) {
		s.homes = append(s.homes, s.random.IntN(vms))
	}
}

// extend asks every member to promise that it appends no newer roster for a lease, and confirms the term at the home once
// all have promised.
func (s *schedule) extend(i int, v *vm) {
	sent, term := s.clock(v), v.term
	if term < 0 || sent.Sub(v.readAt) < lease/2 {
		return
	}
	promises := 0
	for j, o := range s.vms {
		s.send(i, j, func() {
			if !o.proposer.Promise(term, s.view(o), s.clock(o)) {
				return
			}
			s.send(j, i, func() {
				if promises++; promises == vms {
					v.home.Confirm(term, sent)
				}
			})
		})
	}
}

func (s *schedule) takeOver(i int, v *vm) {
	term := v.home.Term()
	for holder := range v.home.AwaitedHolders(s.clock(v)) {
		j := slices.IndexFunc(s.vms, func(o *vm) bool { return o.incarnation == holder })
		s.send(i, j, func() {
			o := s.vms[j]
			o.home.Relinquish(term, []crlid.Server{server})
			held := o.pool.ReportHeld(term, server)
			s.send(j, i, func() { v.home.HolderReported(term, server, holder, held, s.clock(v)) })
		})
	}
}

func (s *schedule) ask(i int, v *vm) {
	if v.term < 0 || s.now.Before(v.askDeadline) {
		return
	}
	v.askDeadline = s.now.Add(callTimeout)
	home := s.homes[v.term]
	ask, sent := v.pool.Ask(server, v.term, 3), s.clock(v)
	s.send(i, home, func() {
		h := s.vms[home]
		if s.mutation == freesAtExpiry {
			s.freeExpired(h)
		}
		grant := h.home.Grant(ask, s.clock(h))
		// The home may be paused between the grant and its reply.
		if s.random.IntN(10) == 0 {
			h.pausedUntil = s.now.Add(s.randomUpTo(600 * time.Millisecond))
		}
		s.deliveries = append(s.deliveries, delivery{at: s.now, to: home, run: func() { s.answer(home, i, ask, grant, sent) }})
	})
}

func (s *schedule) answer(home, holder int, ask Ask, grant Grant, sent time.Time) {
	h, v := s.vms[home], s.vms[holder]
	if grant.LapsedBy(s.clock(h)) && s.mutation != outlivesLease {
		grant = h.home.CancelGrant(server, grant, s.clock(h))
	}
	s.send(home, holder, func() {
		if s.mutation == outlivesLease {
			grant.Life, sent = expiry, s.clock(v)
		}
		v.pool.ApplyGrant(ask, grant, sent, sent)
		v.askDeadline = s.now
	})
}

// freeExpired implements the mutation freesAtExpiry: it ignores that an attempt runs on after it was sent.
func (s *schedule) freeExpired(h *vm) {
	if state := h.home.servers[server]; state != nil {
		state.limiter.Expire(s.clock(h).Add(maxAttempt))
	}
}

// startAttempt takes a permit and sends an attempt. The daemon may be paused between its check of the permit and the send.
func (s *schedule) startAttempt(i int, v *vm) {
	permit, ok, expired := v.pool.Take(server, s.clock(v))
	for _, p := range expired {
		s.returnPermit(i, v, p, Outcome{})
	}
	if !ok {
		return
	}
	if s.random.IntN(10) == 0 {
		v.pausedUntil = s.now.Add(s.randomUpTo(300 * time.Millisecond))
	}
	s.deliveries = append(s.deliveries, delivery{at: s.now, to: i, run: func() {
		if !s.clock(v).Before(permit.End) {
			v.pool.Release(permit)
			s.returnPermit(i, v, permit, Outcome{})
			return
		}
		s.sends++
		v.open[permit.id()] = openAttempt{permit: permit, ends: s.now.Add(s.randomUpTo(maxAttempt))}
	}})
}

// finish removes the attempts that have ended at the server, also while their daemon is paused. The daemon returns the
// permit when it runs again.
func (s *schedule) finish(i int, v *vm) {
	for n, o := range v.open {
		if s.clock(v).Before(o.permit.End) && s.now.Before(o.ends) {
			continue
		}
		delete(v.open, n)
		s.deliveries = append(s.deliveries, delivery{at: s.now, to: i, run: func() {
			v.pool.Release(o.permit)
			s.returnPermit(i, v, o.permit, Outcome{Sent: true, Boot: "boot"})
		}})
	}
}

func (s *schedule) returnPermit(i int, v *vm, p Permit, o Outcome) {
	if v.term < 0 {
		return
	}
	home := s.homes[v.term]
	s.send(i, home, func() {
		s.vms[home].home.Return(Returned{Server: server, PermitID: p.id(), Outcome: o}, s.clock(s.vms[home]))
	})
}

// explore runs schedules and returns the first seed whose open attempts exceed the limit, 0 for none, and the number of
// sent attempts.
func explore(m mutation, seeds uint64) (violated uint64, sends int) {
	for seed := uint64(1); seed <= seeds; seed++ {
		s := newSchedule(seed, m)
		for range stepsPerSchedule {
			s.step()
		}
		sends += s.sends
		if s.maxOpen > s.limit {
			return seed, sends
		}
	}
	return 0, sends
}

func TestSchedulesNeverExceedAColdLimit(t *testing.T) {
	const seeds = 500
	violated, sends := explore(none, seeds)
	if violated != 0 {
		t.Fatalf("seed %d: more open attempts than the limit", violated)
	}
	if sends < seeds {
		t.Fatalf("only %d sent attempts in %d schedules", sends, seeds)
	}
	t.Logf("%d sent attempts in %d schedules", sends, seeds)
}

func TestSchedulesFindEachBrokenRule(t *testing.T) {
	for name, m := range map[string]mutation{
		"no takeover": noTakeover, "permits outlive the lease": outlivesLease,
		"freed at expiry": freesAtExpiry,
	} {
		violated, _ := explore(m, 500)
		if violated == 0 {
			t.Errorf("%s: no schedule detected the broken rule", name)
		}
		t.Logf("%s: detected by seed %d", name, violated)
	}
}
