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

// The sizes and times of a schedule.
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

// mutation breaks one rule, to show that the schedules can tell.
type mutation int

const (
	none          mutation = iota
	noTakeover             // noTakeover lets a new home grant at once.
	outlivesLease          // outlivesLease gives permits a full life counted from their arrival, and skips the last look at the lease.
	freesAtExpiry          // freesAtExpiry counts a permit only until its last moment to be sent.
)

// vm is one daemon of a schedule.
type vm struct {
	incarnation crlid.Incarnation
	rate        float64
	pausedUntil time.Time // paused is until when the daemon does nothing.
	logCutUntil time.Time // cutLog is until when it can't reach the log.
	home        *Home
	pool        *Pool
	proposer    *crlmember.Proposer
	term        crlid.Term
	readAt      time.Time // read is its own time of the last read of the log.
	askDeadline time.Time // asking is until when an open call may still be answered.
	open        map[PermitID]openAttempt
}

// opened is an attempt that runs at the server.
type openAttempt struct {
	permit Permit
	ends   time.Time
}

// schedule is one random run of the pure state machines with pauses, losses, cuts and outages.
type schedule struct {
	mutation     mutation
	random       *rand.Rand
	now          time.Time
	vms          []*vm
	homes        []int // homes is the log: the home of each term.
	linkCutUntil map[[2]int]time.Time
	deliveries   []delivery
	limit        int
	maxOpen      int
	sends        int
}

// delivery is something that reaches a daemon later.
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
		run := crlid.Incarnation(fmt.Sprint("run-", i))
		v := &vm{
			incarnation: run, rate: 1 + s.random.Float64()*(clockRate-1), term: -1, open: make(map[PermitID]openAttempt),
			home: NewHome(HomeConfig{Lease: lease, Guard: leaseGuard, Expiry: expiry, MaxAttempt: maxAttempt, ClockRate: clockRate}),
			pool: NewPool(PoolConfig{Self: run, MaxAttempt: maxAttempt}),
			proposer: crlmember.NewProposer(crlmember.ProposerConfig{
				Self: crlmember.Member{Incarnation: run}, Lease: lease, GuardedLease: leaseGuard,
			}),
		}
		s.vms = append(s.vms, v)
	}
	return s
}

// clock is a daemon's own time.
func (s *schedule) clock(v *vm) time.Time {
	return epoch.Add(time.Duration(float64(s.now.Sub(epoch)) * v.rate))
}

func (s *schedule) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// send delivers a message unless it is lost or the link is cut.
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

// step lets some time pass, delivers what is due and makes each daemon act.
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

func (s *schedule) readLog(i int, v *vm) {
	if s.isLogCut(v) {
		return
	}
	asked, head := s.clock(v), len(s.homes)
	s.send(i, i, func() {
		for term := v.term + 1; int(term) < head; term++ {
			s.startTerm(i, v, term)
		}
		if v.term == crlid.Term(head-1) {
			v.home.Confirm(v.term, asked)
			v.readAt = asked
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
	if a := v.home.servers[server]; a != nil && s.mutation == noTakeover {
		clear(a.awaited)
	}
}

// view is what a proposer decides from; members of a schedule always want another roster.
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
	// Base compare-and-set of the fold; an append whose reply is lost is the same to all others.
	if ok && v.term == crlid.Term(len(s.homes)-1) {
		s.homes = append(s.homes, s.random.IntN(vms))
	}
}

// extend asks every member for its promise.
func (s *schedule) extend(i int, v *vm) {
	sent, term := s.clock(v), v.term
	if term < 0 || sent.Sub(v.readAt) < lease/2 {
		return
	}
	given := 0
	for j, o := range s.vms {
		s.send(i, j, func() {
			if !o.proposer.Promise(term, s.view(o), s.clock(o)) {
				return
			}
			s.send(j, i, func() {
				if given++; given == vms {
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
		// The home may be paused between the grant and its answer.
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

// freeExpired is the mutation that forgets that an attempt runs on after its send.
func (s *schedule) freeExpired(h *vm) {
	if a := h.home.servers[server]; a != nil {
		a.limiter.Expire(s.clock(h).Add(maxAttempt))
	}
}

// spend takes a permit, and the daemon may be paused between its check and the send.
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

// finish ends the attempts that are over, at the server also while their daemon is paused.
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

// explore runs schedules and returns the first seed that passes the limit, and the sends of all.
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
		t.Fatalf("seed %d passed the limit", violated)
	}
	if sends < seeds {
		t.Fatalf("only %d sends in %d schedules", sends, seeds)
	}
	t.Logf("%d sends in %d schedules", sends, seeds)
}

func TestSchedulesFindEachBrokenRule(t *testing.T) {
	for name, m := range map[string]mutation{
		"no takeover": noTakeover, "permits outlive the lease": outlivesLease,
		"freed at expiry": freesAtExpiry,
	} {
		violated, _ := explore(m, 500)
		if violated == 0 {
			t.Errorf("%s: not found", name)
		}
		t.Logf("%s: found by seed %d", name, violated)
	}
}
