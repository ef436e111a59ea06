package crlrollout

import (
	"math"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go run github.com/dmarkham/enumer -type=State -trimprefix=State -transform=kebab -text -output=state_enumer.go

// State is how far a roll-out is.
type State int

// The states of a roll-out.
const (
	StateUnknown    State = iota // StateUnknown means that no daemon has written a state yet.
	StateRunning                 // StateRunning roll-outs move work to the target step by step.
	StateCompleted               // StateCompleted roll-outs leave all work to the target.
	StateRolledBack              // StateRolledBack roll-outs send the target nothing more.
)

// Order asks to move a service to another version of its servers.
type Order struct {
	Service crlid.Service
	Target  crlid.Version
	Over    time.Duration // Over is the time within which the move should be complete.
	Offset  crlid.Offset  // Offset is the order's place in the operators' topic.
}

// Status is a state as a daemon wrote it.
type Status struct {
	Service crlid.Service
	Target  crlid.Version
	State   State
	Offset  crlid.Offset
}

const (
	// pinnedUntil is the part of the time in which sessions stay on the version that they have.
	pinnedFraction = 0.5
	// takenOverAt is the part of the time that is taken as passed when a daemon meets a running roll-out at its start.
	resumedFraction = 0.4
	// minCapacity is the least part of the old version's servers that the target must have to get more than the first step.
	minCapacityRatio = 0.5
)

// rollout is what a book knows of one order.
type rollout struct {
	order         Order
	startedAt     crlclock.Instant
	status        Status
	targetAnswers answerTally
	oldAnswers    answerTally
	targetBad     bool
}

// fewDaemons is the number of daemons up to which the first step is taken whole. Sessions move between daemons, so the
// more there are, the more sessions would be taken from one version to the other by a daemon that doesn't know them; and
// the more there are, the smaller a part of the requests is enough to judge a version.
const fullStepDaemons = 6

// Config configures a Book.
type Config struct {
	Daemons  func() int // Daemons returns the number of daemons that share the work.
	Exposure float64    // Exposure is the part of all requests until the deadline that a bad target may get, 0 for defaultExposure.
}

// Book holds the roll-outs of all services; it may be used by several goroutines.
type Tracker struct {
	config   Config
	schedule schedule
	mu       sync.Mutex // mu guards rollouts and statuses.
	rollouts map[crlid.Service]*rollout
	statuses map[crlid.Service]Status
}

// NewBook returns a book without orders.
func NewTracker(config Config) *Tracker {
	return &Tracker{config: config, schedule: newSchedule(config.Exposure), rollouts: make(map[crlid.Service]*rollout), statuses: make(map[crlid.Service]Status)}
}

// Order takes an order; found is set when it stood in the topic before this daemon started.
func (b *Tracker) AddOrder(order Order, found bool, now crlclock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.rollouts[order.Service]; ok && known.order.Offset >= order.Offset {
		return
	}
	r := &rollout{order: order, startedAt: now}
	status, ok := b.statuses[order.Service]
	if ok && status.Target == order.Target && found {
		r.status = status
		r.startedAt = now.Add(-time.Duration(resumedFraction * float64(order.Over)))
	}
	b.rollouts[order.Service] = r
}

// Withdraw forgets the order of a service unless its target has taken over.
func (b *Tracker) Withdraw(service crlid.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.rollouts[service]; ok && r.status.State != StateCompleted && r.status.State != StateRolledBack {
		delete(b.rollouts, service)
	}
}

// Status takes a state that was written for a service and reports whether it changed what is known.
func (b *Tracker) RecordStatus(status Status) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statuses[status.Service] = status
	r, ok := b.rollouts[status.Service]
	if !ok || r.order.Target != status.Target || r.status.State == status.State {
		return false
	}
	r.status = status
	return true
}

// Observation is one answer of a server of a service under roll-out.
type Observation struct {
	Service crlid.Service
	Version crlid.Version
	Bad     bool // Bad answers failed, or came several times later than usual.
}

// Observe takes an answer and reports whether it is the one that condemns the target.
func (b *Tracker) Observe(o Observation) (condemned bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rollouts[o.Service]
	if !ok || r.targetBad || r.status.State == StateCompleted || r.status.State == StateRolledBack {
		return false
	}
	if o.Version != r.order.Target {
		r.oldAnswers.add(o.Bad)
		return false
	}
	r.targetAnswers.add(o.Bad)
	r.targetBad = r.targetAnswers.failsMoreThan(r.oldAnswers)
	return r.targetBad
}

// Plan tells which version a request of a service should run on.
type Plan struct {
	Target       crlid.Version // Target is empty when no roll-out was ordered.
	Share        float64       // Share is the part of the new work that the target gets.
	PinSessions  bool          // Pinned keeps sessions on the version that they have.
	TargetOnly   bool          // Only forbids all versions but the target.
	TargetBarred bool          // Barred forbids the target.
	OrderOffset  crlid.Offset
}

// Capacity tells how many servers of a version take new work.
type Capacity func(service crlid.Service, version crlid.Version) (target, others int)

// Plan returns what holds for a service now.
func (b *Tracker) Plan(service crlid.Service, now crlclock.Instant, capacity Capacity) Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rollouts[service]
	if !ok {
		return Plan{}
	}
	return r.plan(b.schedule, now, capacity, b.config.Daemons())
}

func (r *rollout) plan(schedule schedule, now crlclock.Instant, capacity Capacity, daemons int) Plan {
	p := Plan{Target: r.order.Target, OrderOffset: r.order.Offset}
	switch {
	case r.status.State == StateCompleted:
		p.TargetOnly, p.Share = true, 1
	case r.targetBad || r.status.State == StateRolledBack:
		p.TargetBarred = true
	default:
		passed := r.elapsedFraction(now)
		p.PinSessions = passed < pinnedFraction
		p.Share = schedule.share(passed)
		if p.PinSessions || !r.hasCapacity(capacity) {
			p.Share = schedule.steps[0].share * min(1, fullStepDaemons/float64(daemons))
		}
	}
	return p
}

func (r *rollout) elapsedFraction(now crlclock.Instant) float64 {
	if r.order.Over <= 0 {
		return 1
	}
	return float64(now.Sub(r.startedAt)) / float64(r.order.Over)
}

func (r *rollout) hasCapacity(capacity Capacity) bool {
	target, others := capacity(r.order.Service, r.order.Target)
	return target > 0 && float64(target) >= minCapacityRatio*float64(others)
}

// Due returns the states that should be written now.
func (b *Tracker) Due(now crlclock.Instant, capacity Capacity) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []Status
	for _, r := range b.rollouts {
		if state := r.dueState(b.schedule, now, capacity); state != r.status.State {
			due = append(due, Status{Service: r.order.Service, Target: r.order.Target, State: state})
		}
	}
	return due
}

func (r *rollout) dueState(schedule schedule, now crlclock.Instant, capacity Capacity) State {
	switch {
	case r.status.State == StateCompleted || r.status.State == StateRolledBack:
		return r.status.State
	case r.targetBad:
		return StateRolledBack
	case r.elapsedFraction(now) >= schedule.completionFraction(r.order.Over) && r.hasCapacity(capacity):
		return StateCompleted
	default:
		return StateRunning
	}
}

// Prefers reports whether a request should run on the target.
//
// hash spreads requests without a session; last is the version of the session's request before, empty if there was none.
func (p Plan) Prefers(hash uint64, last crlid.Version) bool {
	switch {
	case p.Target == "" || p.TargetBarred:
		return false
	case p.TargetOnly || last == p.Target:
		return true
	case last != "" && p.PinSessions:
		return false
	default:
		return float64(hash) < p.Share*math.MaxUint64
	}
}

// Allows reports whether a request may run on a version at all.
func (p Plan) Allows(version crlid.Version) bool {
	switch {
	case p.Target == "":
		return true
	case version == p.Target:
		return !p.TargetBarred
	default:
		return !p.TargetOnly
	}
}

// tally counts answers, with a weight that fades so that a change shows.
type answerTally struct{ answers, bad float64 }

// memory is the number of answers after which an older one counts half, about ten seconds of one daemon's canary.
const tallyHalfLife = 40.0

func (t *answerTally) add(bad bool) {
	factor := math.Exp2(-1 / tallyHalfLife)
	t.answers = t.answers*factor + 1
	t.bad *= factor
	if bad {
		t.bad++
	}
}

const (
	minBadAnswers         = 3.0  // minBad is the least number of bad answers that can condemn a target.
	minBadRate            = 0.03 // baseRate is the share of bad answers that is taken as usual when the old version shows none.
	badRateIncrease       = 0.25 // badRise is how much more often a bad version fails, as a share of its answers.
	badLogLikelihoodRatio = 4.6  // condemnAt is the log-likelihood ratio of odds of 100 to 1.
)

// worse tests whether the target fails more often than the old version by badRise, by the likelihood of its answers.
func (t answerTally) failsMoreThan(old answerTally) bool {
	if t.bad < minBadAnswers*math.Exp2(-minBadAnswers/tallyHalfLife) {
		return false
	}
	usual := (old.bad + minBadRate) / (old.answers + 1)
	usual = min(max(usual, minBadRate), 0.7)
	worse := min(usual+badRateIncrease, 0.95)
	ratio := t.bad*math.Log(worse/usual) + (t.answers-t.bad)*math.Log((1-worse)/(1-usual))
	return ratio > badLogLikelihoodRatio
}
