package crlrollout

import (
	"math"
	"math/rand/v2"
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
	Duration time.Duration  // time within which the move should be complete, 0 for at once
	Position crlid.Position // position of the order in the operators' topic
}

// Status is the state of a roll-out as a daemon wrote it to the store.
type Status struct {
	Service  crlid.Service
	Target   crlid.Version
	State    State
	Position crlid.Position // position of the record in the status topic; not set by Due
	Urgent   bool           // set by Due if other daemons may not know yet that this status is due
}

// DueStatus is a status to write, with what this daemon knows about the target.
type DueStatus struct {
	Status
	Evidence float64 // logarithm of how much the answers speak against the target
	Answers  int     // answers of the target that were compared with those of other versions
}

const (
	// pinnedFraction is the part of a roll-out's time that must pass before sessions may change their version.
	pinnedFraction = 0.5
	// minCapacityRatio is the least number of the target's servers, relative to those of other versions, for the target to get
	// more than the first step and to be completed.
	minCapacityRatio = 0.5
)

// rollout is the state of one order.
type rollout struct {
	order            Order
	startedAt        crlclock.Instant // when this daemon, or the first of those that it has heard of, read the order
	status           Status           // newest status that was read from the store
	statusInherited  bool             // status was there before the daemon started; it may be that of an earlier order for the same target
	schedule         schedule
	requests         int                              // plans made
	slackAdded       bool                             // whether schedule has this daemon's part of Config.ExposureSlack, or never gets it
	servers          int                              // number of the target's servers when a plan was made last
	assessment       *assessment                      // test of the target, on the samples of this daemon and of those that report to it
	logs             map[crlid.Incarnation]*sampleLog // samples by origin: this daemon and all whose samples reached it
	suspectSince     crlclock.Instant                 // since when the target has been suspect, 0 if it isn't
	suspectElsewhere bool                             // the target is suspect at the daemon that this one reports to
	reportedAt       crlclock.Instant                 // when this daemon made a report for another one last, 0 for never
	repliedAt        crlclock.Instant                 // when a reply to a report came last, 0 for never
	openElsewhere    bool                             // by that reply, the target was not clear
	clearSince       crlclock.Instant                 // since when the target has been clear, 0 if it isn't
	verdict          verdict
}

// verdict is what a daemon knows about the target of a roll-out.
type verdict int

const (
	verdictOpen    verdict = iota // the target is not known to be bad
	verdictReached                // this daemon's assessment marked the target bad
	verdictLearned                // another daemon marked the target bad
)

// fullStepDaemons is the number of daemons up to which the first step has its full size. With more daemons it shrinks in
// proportion: sessions move between daemons, so more of them would be moved to the other version by a daemon that doesn't
// know them, and a smaller share of the requests is enough to judge a version.
const fullStepDaemons = 6

// Config configures a Tracker.
type Config struct {
	Self     crlid.Incarnation // sender of this daemon's reports
	Daemons  func() int        // returns the number of daemons over which the requests are spread
	Alone    func() bool       // reports whether this daemon is cut off from all others and from the store; nil if it never is
	Exposure float64           // largest share of all requests up to the deadline that a bad target may get, 0 for defaultExposure
	// ExposureSlack is the number of requests that a bad target may get besides, from all daemons together.
	ExposureSlack float64
	Random        func() float64 // returns random numbers in [0, 1); nil for math/rand/v2
}

// Tracker holds the roll-outs of all services. It is safe for concurrent use.
type Tracker struct {
	config   Config
	schedule schedule
	mu       sync.Mutex // guards the fields below
	rollouts map[crlid.Service]*rollout
	statuses map[crlid.Service]Status
	// histories holds what is known of the versions of services beyond their current roll-outs.
	histories     map[crlid.Service]*versionHistory
	barredChanges int // number of changes of the barred versions
}

// NewTracker returns a Tracker without orders.
func NewTracker(config Config) *Tracker {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.Alone == nil {
		config.Alone = func() bool { return false }
	}
	return &Tracker{
		config: config, schedule: newSchedule(config.Exposure, 0),
		rollouts: make(map[crlid.Service]*rollout), statuses: make(map[crlid.Service]Status),
		histories: make(map[crlid.Service]*versionHistory),
	}
}

// AddOrder starts the roll-out of an order, unless one with the same or a later position is known for the service. existing is
// set for an order that was in the topic before this daemon started; its roll-out takes over the recorded status of the
// same target, if there is one. Its time counts from now until another daemon tells how much of it has passed: less is safe.
func (t *Tracker) AddOrder(order Order, existing bool, now crlclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.rollouts[order.Service]
	if ok && !known.order.Position.Before(order.Position) {
		return
	}
	switch {
	case !ok || !known.isRolledBack():
	case known.tellsRolledBack():
		t.bar(order.Service, known.order.Target, known.order.Position)
	default:
		t.barUnordered(order.Service, known.order.Target)
	}
	delete(t.rollouts, order.Service)
	t.unbar(order.Service, order.Target, order.Position)
	r := &rollout{
		order: order, startedAt: now, schedule: t.schedule, assessment: newAssessment(t.config.Random), logs: make(map[crlid.Incarnation]*sampleLog),
	}
	if _, isBarred := t.history(order.Service).barred[order.Target]; isBarred {
		r.verdict = verdictLearned // Another daemon knows the outcome of this order.
	}
	status, ok := t.statuses[order.Service]
	if ok && status.Target != order.Target && existing {
		t.barStatus(status)
	}
	if ok && status.Target == order.Target && existing {
		if status.State == StateCompleted {
			t.settle(order)
		}
		r.status, r.statusInherited = status, true
		r.slackAdded = true // The requests of the time before are not known.
	}
	t.rollouts[order.Service] = r
}

// learnElapsed takes over the time of the roll-out that has passed at another daemon, if it is longer. Only a daemon that has read the order earlier knows of
// more.
func (r *rollout) learnElapsed(elapsed time.Duration, now crlclock.Instant) {
	r.startedAt = min(r.startedAt, now.Add(-max(elapsed, 0)))
}

// Restate records the position of an order that its operator wrote again after the store came back from an older copy. The roll-out of the same order
// goes on; any other starts a roll-out, as AddOrder does.
func (t *Tracker) Restate(order Order, now crlclock.Instant) {
	t.mu.Lock()
	known, ok := t.rollouts[order.Service]
	same := ok && known.order.Target == order.Target && known.order.Duration == order.Duration
	if same && known.order.Position.Before(order.Position) {
		known.order.Position = order.Position
		t.unbar(order.Service, order.Target, order.Position)
	}
	t.mu.Unlock()
	if !same {
		t.AddOrder(order, false, now)
	}
}

// Withdraw removes the order of a service, unless its roll-out is completed or rolled back.
func (t *Tracker) Withdraw(service crlid.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[service]
	if !ok || r.status.State == StateCompleted || r.status.State == StateRolledBack {
		return
	}
	if r.isRolledBack() {
		t.bar(service, r.order.Target, r.order.Position)
	}
	delete(t.rollouts, service)
}

// RecordStatus applies a status that was read from the store, and reports whether it changed the state of the service's
// roll-out.
func (t *Tracker) RecordStatus(status Status) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[status.Service] = status
	t.barStatus(status)
	r, ok := t.rollouts[status.Service]
	if !ok || r.order.Target != status.Target {
		return false
	}
	if r.status.Position.Before(status.Position) {
		r.statusInherited = false
	}
	if r.status.State == status.State {
		return false
	}
	if status.State == StateCompleted {
		t.settle(r.order)
	}
	r.status = status
	return true
}

// Observe records an observation of this daemon and reports whether it is the one after which the target is marked bad. From then on,
// the target gets no more requests from this daemon and Due returns StateRolledBack.
func (t *Tracker) Observe(o Observation, now crlclock.Instant) (markedBad bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[o.Service]
	if !ok || !r.assessable() || t.history(o.Service).set.has(o.Version) {
		return false
	}
	sample := newSample(o, o.Version == r.order.Target)
	if !sample.target() && t.config.Random()*float64(t.config.Daemons()) > fullSampleDaemons {
		return false
	}
	log := r.log(t.config.Self)
	log.add(log.newest+1, sample)
	r.assessment.add(sample, now, r.servers)
	return t.judge(r, now)
}

// fullSampleDaemons is the number of daemons up to which each records all its answers of old versions. With more daemons each records a
// random part, so that together they record as many.
const fullSampleDaemons = 30

// assessable reports whether samples may still change the course of the roll-out.
func (r *rollout) assessable() bool {
	return r.verdict == verdictOpen && r.status.State != StateCompleted && r.status.State != StateRolledBack
}

// log returns the log of an origin, a new one if there is none.
func (r *rollout) log(origin crlid.Incarnation) *sampleLog {
	log, ok := r.logs[origin]
	if !ok {
		log = &sampleLog{}
		r.logs[origin] = log
	}
	return log
}

const (
	// countedAnswers is the number of the target's answers from which a suspect target gets suspectTime to clear itself. A deployment
	// may allow a target few seconds after its 50th bad answer.
	countedAnswers = 40
	suspectTime    = 2 * time.Second
)

// judge updates what is known about the target from the evidence, and reports whether it is now marked bad: because the evidence is
// strong, or because the target is suspect and is not cleared in time.
func (t *Tracker) judge(r *rollout, now crlclock.Instant) (markedBad bool) {
	if !r.assessable() {
		return false
	}
	enough := badEvidence + math.Log(max(1, float64(t.config.Daemons())/fullEvidenceDaemons))
	if t.config.Alone() {
		enough = aloneBadEvidence
	}
	evidence := r.assessment.evidence()
	suspect := suspectEvidence + enough - badEvidence
	switch {
	case evidence < suspect && !r.suspectElsewhere:
		r.suspectSince = 0
	case r.suspectSince == 0:
		r.suspectSince = now
	}
	switch {
	case evidence >= enough:
	case r.elapsedFraction(now) >= maxDelayFraction && r.assessment.likelierBad():
	case r.assessment.targetAnswers >= countedAnswers && now.Sub(r.suspectSince) > suspectTime && evidence >= suspect:
	default:
		return false
	}
	r.verdict = verdictReached
	return true
}

const (
	// reportValidity is how long after a report a daemon leaves it to the one that it reports to whether the target is clear, and how
	// long the reply to a report holds. Daemons report about twice a second.
	reportValidity = 3 * time.Second
	// maxDelayFraction is the elapsed fraction of a roll-out's time from which a target that is not suspect is completed even if its
	// answers don't suffice, as some requests may be too rare for that.
	maxDelayFraction = 2.0
)

// updateClear updates since when the target has been clear. The daemon at which all samples meet decides on them; the others, which
// have few, do as it replies.
func (t *Tracker) updateClear(r *rollout, now crlclock.Instant) {
	isClear := r.suspectSince == 0
	switch {
	case !isClear || r.order.Duration <= 0 || r.elapsedFraction(now) >= maxDelayFraction:
	case r.reportedAt != 0 && now.Sub(r.reportedAt) <= reportValidity && !t.config.Alone():
		isClear = r.repliedAt != 0 && now.Sub(r.repliedAt) <= reportValidity && !r.openElsewhere
	default:
		isClear = r.assessment.clears()
	}
	switch {
	case !isClear:
		r.clearSince = 0
	case r.clearSince == 0:
		r.clearSince = now
	}
}

// Plan determines which versions a request of a service may and should run on. The zero Plan allows all versions.
type Plan struct {
	Target        crlid.Version  // empty when there is no roll-out
	Share         float64        // the target's share, 0 to 1, of the requests that are free to change their version
	PinSessions   bool           // sessions keep their version
	TargetOnly    bool           // no other version is allowed
	TargetBarred  bool           // the target is not allowed
	OrderPosition crlid.Position // Order.Position of the roll-out
	LastStep      bool           // other versions are about to be stopped, which cuts off their open requests
	// TargetServers is the number of the target's servers that should share its requests, 0 for all. Each then has about as many requests
	// as a server of another version, so that their times can be compared.
	TargetServers int
	barred        *barredSet // versions that were rolled back before, and that no order has named since
}

// minTargetServers is the least Plan.TargetServers, as the fault of a single server must not be taken for that of its version.
const minTargetServers = 2

// Capacity returns the number of a service's servers that accept new requests: those of the given version and all others.
type Capacity func(service crlid.Service, version crlid.Version) (target, others int)

// Plan returns the plan for requests of a service that arrive now.
func (t *Tracker) Plan(service crlid.Service, now crlclock.Instant, capacity Capacity) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rollouts[service]
	var barred *barredSet
	if h, ok := t.histories[service]; ok {
		barred = h.set
	}
	if !ok {
		return Plan{barred: barred}
	}
	r.requests++
	t.addSlack(r, now)
	t.updateClear(r, now)
	p := r.plan(now, capacity, t.config.Daemons())
	p.barred = barred
	return p
}

// maxExtraExposure bounds what a daemon that got few requests adds to the exposure.
const maxExtraExposure = 0.05

// addSlack extends the schedule, once the first step is over, by this daemon's part of Config.ExposureSlack. Small fleets need it: without it
// the target's answers are too few to show a fault in time.
func (t *Tracker) addSlack(r *rollout, now crlclock.Instant) {
	elapsed := r.elapsedFraction(now)
	if r.slackAdded || elapsed < secondStart {
		return
	}
	r.slackAdded = true
	expected := float64(r.requests) / elapsed // requests of this daemon in the roll-out's time
	extra := t.config.ExposureSlack / float64(t.config.Daemons()) / expected
	r.schedule = newSchedule(t.config.Exposure, min(extra, maxExtraExposure))
}

// plan returns the plan for requests that arrive now. In a running roll-out, the target gets no more than the share of the
// first step while sessions are pinned or the target has too few servers.
func (r *rollout) plan(now crlclock.Instant, capacity Capacity, daemons int) Plan {
	p := Plan{Target: r.order.Target, OrderPosition: r.order.Position}
	var others int
	r.servers, others = capacity(r.order.Service, r.order.Target)
	switch {
	case r.status.State == StateCompleted:
		p.TargetOnly, p.Share = true, 1
	case r.verdict != verdictOpen || r.status.State == StateRolledBack:
		p.TargetBarred = true
	default:
		elapsed := r.elapsedFraction(now)
		if r.suspectSince != 0 && elapsed < 1 {
			elapsed = r.elapsedFraction(r.suspectSince) // A suspect target gets no larger share until the deadline.
		}
		p.PinSessions = elapsed < pinnedFraction
		p.Share = r.schedule.share(elapsed)
		if r.clearSince == 0 {
			p.Share = min(p.Share, warmupShare) // The other versions go on answering, so that the target can be compared with them.
		}
		if p.PinSessions || !hasCapacity(r.servers, others) {
			p.Share = r.schedule.steps[0].share * min(1, fullStepDaemons/float64(daemons))
		}
		p.LastStep = p.Share >= fullShare
		if !p.LastStep {
			p.TargetServers = max(minTargetServers, int(math.Ceil(p.Share/(1-p.Share)*float64(others))))
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

// completionFraction returns the elapsed fraction of the roll-out's time from which a clear target is complete. If it became clear only
// after the last step should have begun, the last step is shifted by the delay.
func (r *rollout) completionFraction() float64 {
	fraction := r.schedule.completionFraction(r.order.Duration)
	return fraction + max(0, r.elapsedFraction(r.clearSince)-r.schedule.fullStart)
}

// hasCapacity reports whether the target has enough servers, compared with other versions, to get more than the first step.
func hasCapacity(target, others int) bool {
	return target > 0 && float64(target) >= minCapacityRatio*float64(others)
}

// Due returns a status to write for each roll-out whose state differs from the recorded one.
func (t *Tracker) Due(now crlclock.Instant, capacity Capacity) []DueStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []DueStatus
	for _, r := range t.rollouts {
		t.judge(r, now)
		t.updateClear(r, now)
		if state := r.dueState(now, capacity); state != r.status.State {
			status := Status{Service: r.order.Service, Target: r.order.Target, State: state, Urgent: r.verdict == verdictReached}
			due = append(due, DueStatus{Status: status, Evidence: r.assessment.evidence(), Answers: r.assessment.compared()})
		}
	}
	return due
}

// Delay is a roll-out that is past its deadline without an outcome.
type Delay struct {
	Service    crlid.Service
	Target     crlid.Version
	Position   crlid.Position // Order.Position
	Measure    Measure        // the measure in which the target is the least clear to this daemon
	Likelihood float64        // logarithm of how much likelier the target is bad, in that measure and one class
	Answers    int            // answers of the target that were compared in that measure and class
}

// Delayed returns the roll-outs that are past their deadline without an outcome.
func (t *Tracker) Delayed(now crlclock.Instant) []Delay {
	t.mu.Lock()
	defer t.mu.Unlock()
	var delays []Delay
	for _, r := range t.rollouts {
		if r.elapsedFraction(now) < 1 || !r.assessable() {
			continue
		}
		least := r.assessment.leastClear()
		delay := Delay{
			Service: r.order.Service, Target: r.order.Target, Position: r.order.Position, Measure: least.key.measure(), Likelihood: least.likelihood,
		}
		if class, ok := r.assessment.classes[least.key]; ok {
			delay.Answers = class.ranked
		}
		delays = append(delays, delay)
	}
	return delays
}

// dueState returns the state that the roll-out should have now, in this daemon's view.
func (r *rollout) dueState(now crlclock.Instant, capacity Capacity) State {
	switch {
	case r.status.State == StateCompleted || r.status.State == StateRolledBack:
		return r.status.State
	case r.verdict != verdictOpen:
		return StateRolledBack
	case r.clearSince != 0 && r.elapsedFraction(now) >= r.completionFraction() && hasCapacity(capacity(r.order.Service, r.order.Target)):
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
	case p.barred.has(version):
		return false
	case p.Target == "":
		return true
	case version == p.Target:
		return !p.TargetBarred
	default:
		return !p.TargetOnly
	}
}
