package crlrollout

import (
	"math"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go run github.com/dmarkham/enumer -type=State -trimprefix=State -transform=kebab -text -output=state_enumer.go

// State is the progress of a roll-out.
type State int

// The states of a roll-out.
const (
	StateUnknown    State = iota // no daemon has written a status yet
	StateRunning                 // requests move to the target step by step
	StateCompleted               // the target gets all requests
	StateRolledBack              // the target gets no requests
)

// Order is an operator's order to move a service's requests to the servers of another version.
type Order struct {
	Service  crlid.Service
	Target   crlid.Version
	Duration time.Duration // time within which the move should be complete, 0 for at once
	Offset   crlid.Offset  // offset of the order in the operators' topic
}

// Status is the state of a roll-out as a daemon wrote it to the store.
type Status struct {
	Service crlid.Service
	Target  crlid.Version
	State   State
	Offset  crlid.Offset // offset of the record in the status topic; not set by Due
}

const (
	// pinnedFraction is the part of a roll-out's time that must pass before sessions may change their version.
	pinnedFraction = 0.5
	// resumedFraction is the part of a roll-out's time that is assumed to have passed when a daemon starts during the roll-out.
	resumedFraction = 0.4
	// minCapacityRatio is the least number of the target's servers, relative to those of other versions, for the target to get
	// more than the first step and to be completed.
	minCapacityRatio = 0.5
)

// rollout is the state of one order.
type rollout struct {
	order         Order
	startedAt     crlclock.Instant // start of the roll-out's time, which may be estimated
	status        Status           // newest status that was read from the store
	targetAnswers answerTally      // answers of the target that this daemon saw
	oldAnswers    answerTally      // answers of all other versions that this daemon saw
	targetBad     bool             // this daemon found that the target fails more often than the old version
}

// fullStepDaemons is the number of daemons up to which the first step has its full size. With more daemons it shrinks in
// proportion: sessions move between daemons, so more of them would be moved to the other version by a daemon that doesn't
// know them, and a smaller share of the requests is enough to judge a version.
const fullStepDaemons = 6

// Config configures a Tracker.
type Config struct {
	Daemons  func() int // returns the number of daemons over which the requests are spread
	Exposure float64    // largest share of all requests up to the deadline that a bad target may get, 0 for defaultExposure
}

// Tracker holds the roll-outs of all services. It is safe for concurrent use.
type Tracker struct {
	config   Config
	schedule schedule
	mu       sync.Mutex // guards rollouts and statuses
	rollouts map[crlid.Service]*rollout
	statuses map[crlid.Service]Status
}

// NewTracker returns a Tracker without orders.
func NewTracker(config Config) *Tracker {
	return &Tracker{
		config: config, schedule: newSchedule(config.Exposure),
		rollouts: make(map[crlid.Service]*rollout), statuses: make(map[crlid.Service]Status),
	}
}

// AddOrder starts the roll-out of an order, unless one with the same or a later offset is known for the service. existing is
// set for an order that was in the topic before this daemon started; its roll-out takes over the recorded status of the
// same target, if there is one.
func (t *Tracker) AddOrder(order Order, existing bool, now crlclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.rollouts[order.Service]; ok && known.order.Offset >= order.Offset {
		return
	}
	r := &rollout{order: order, startedAt: now}
	status, ok := t.statuses[order.Service]
	if ok && status.Target == order.Target && existing {
		r.status = status
		r.startedAt = now.Add(-time.Duration(resumedFraction * float64(order.Duration)))
	}
	t.rollouts[order.Service] = r
}

// Withdraw removes the order of a service, unless its roll-out is completed or rolled back.
func (t *Tracker) Withdraw(service crlid.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rollouts[service]; ok && r.status.State != StateCompleted && r.status.State != StateRolledBack {
		delete(t.rollouts, service)
	}
}

// RecordStatus applies a status that was read from the store, and reports whether it changed the state of the service's
// roll-out.
func (t *Tracker) RecordStatus(status Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[status.Service] = status
	r, ok := t.rollouts[status.Service]
	if !ok || r.order.Target != status.Target || r.status.State == status.State {
		return false
	}
	r.status = status
	return true
}

// Observation is one answer of a backend server.
type Observation struct {
	Service crlid.Service
	Version crlid.Version
	Bad     bool // the answer failed, or took several times longer than usual
}

// Observe counts an answer and reports whether it is the one after which the target is marked bad. From then on, the target
// gets no more requests from this daemon and Due returns StateRolledBack.
func (t *Tracker) Observe(o Observation) (markedBad bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[o.Service]
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

// Plan determines which versions a request of a service may and should run on. The zero Plan allows all versions.
type Plan struct {
	Target       crlid.Version // empty when there is no roll-out
	Share        float64       // the target's share, 0 to 1, of the requests that are free to change their version
	PinSessions  bool          // sessions keep their version
	TargetOnly   bool          // no other version is allowed
	TargetBarred bool          // the target is not allowed
	OrderOffset  crlid.Offset  // Order.Offset of the roll-out
}

// Capacity returns the number of a service's servers that accept new requests: those of the given version and all others.
type Capacity func(service crlid.Service, version crlid.Version) (target, others int)

// Plan returns the plan for requests of a service that arrive now.
func (t *Tracker) Plan(service crlid.Service, now crlclock.Instant, capacity Capacity) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[service]
	if !ok {
		return Plan{}
	}
	return r.plan(t.schedule, now, capacity, t.config.Daemons())
}

// plan returns the plan for requests that arrive now. In a running roll-out, the target gets no more than the share of the
// first step while sessions are pinned or the target has too few servers.
func (r *rollout) plan(schedule schedule, now crlclock.Instant, capacity Capacity, daemons int) Plan {
	p := Plan{Target: r.order.Target, OrderOffset: r.order.Offset}
	switch {
	case r.status.State == StateCompleted:
		p.TargetOnly, p.Share = true, 1
	case r.targetBad || r.status.State == StateRolledBack:
		p.TargetBarred = true
	default:
		elapsed := r.elapsedFraction(now)
		p.PinSessions = elapsed < pinnedFraction
		p.Share = schedule.share(elapsed)
		if p.PinSessions || !r.hasCapacity(capacity) {
			p.Share = schedule.steps[0].share * min(1, fullStepDaemons/float64(daemons))
		}
	}
	return p
}

// elapsedFraction returns the fraction of the roll-out's time that has passed. It is above 1 after the deadline.
func (r *rollout) elapsedFraction(now crlclock.Instant) float64 {
	if r.order.Duration <= 0 {
		return 1
	}
	return float64(now.Sub(r.startedAt)) / float64(r.order.Duration)
}

// hasCapacity reports whether the target has enough servers to get more than the first step.
func (r *rollout) hasCapacity(capacity Capacity) bool {
	target, others := capacity(r.order.Service, r.order.Target)
	return target > 0 && float64(target) >= minCapacityRatio*float64(others)
}

// Due returns a status to write for each roll-out whose state differs from the recorded one.
func (t *Tracker) Due(now crlclock.Instant, capacity Capacity) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Status
	for _, r := range t.rollouts {
		if state := r.dueState(t.schedule, now, capacity); state != r.status.State {
			due = append(due, Status{Service: r.order.Service, Target: r.order.Target, State: state})
		}
	}
	return due
}

// dueState returns the state that the roll-out should have now, in this daemon's view.
func (r *rollout) dueState(schedule schedule, now crlclock.Instant, capacity Capacity) State {
	switch {
	case r.status.State == StateCompleted || r.status.State == StateRolledBack:
		return r.status.State
	case r.targetBad:
		return StateRolledBack
	case r.elapsedFraction(now) >= schedule.completionFraction(r.order.Duration) && r.hasCapacity(capacity):
		return StateCompleted
	default:
		return StateRunning
	}
}

// Prefers reports whether a request should run on the target. hash selects the requests that make up Share; last is the
// version that served the previous request of the session, empty if there was none.
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

// Allows reports whether a request may run on a version.
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

// answerTally counts answers, and the bad ones among them, with weights that decay exponentially so that a change becomes
// visible.
type answerTally struct{ answers, bad float64 }

// tallyHalfLife is the number of answers after which an older one counts half. One daemon's requests to the target make up
// that number in about ten seconds of the first step.
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
	minBadAnswers         = 3.0  // number of bad answers needed to mark a target bad
	minBadRate            = 0.03 // rate of bad answers that is assumed of the old version when its own rate is lower
	badRateIncrease       = 0.25 // difference by which a bad version's rate of bad answers exceeds the old version's
	badLogLikelihoodRatio = 4.6  // natural logarithm of odds of 100 to 1, at which the target is marked bad
)

// failsMoreThan reports whether the target's answers are likelier, by odds of 100 to 1, under a rate of bad answers that is
// badRateIncrease above the old version's than under the old version's rate.
func (t answerTally) failsMoreThan(old answerTally) bool {
	// The factor allows for the decay of the first bad answers until the last one is counted.
	if t.bad < minBadAnswers*math.Exp2(-minBadAnswers/tallyHalfLife) {
		return false
	}
	usual := (old.bad + minBadRate) / (old.answers + 1)
	// Bounds below 1 keep the logarithms finite.
	usual = min(max(usual, minBadRate), 0.7)
	worse := min(usual+badRateIncrease, 0.95)
	ratio := t.bad*math.Log(worse/usual) + (t.answers-t.bad)*math.Log((1-worse)/(1-usual))
	return ratio > badLogLikelihoodRatio
}
