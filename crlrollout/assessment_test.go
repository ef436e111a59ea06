package crlrollout

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// fault is what is wrong with the target of a simulated roll-out.
type fault struct {
	name    string
	share   float64       // share of the affected answers that are bad
	class   Class         // the only affected class, empty for all
	from    time.Duration // time from the order at which the fault begins
	minimum float64       // share of the requests that the target must get for the fault to show
	slow    float64       // factor by which bad answers are slower, 0 if they fail
}

// conditions are those of a simulated fleet, the same for both versions but where stated.
type conditions struct {
	daemons           int
	requestsPerSecond float64
	servers           int // of each version
	exposure          float64
	goodRuns          int // runs with a good target
	failureRate       float64
	slowServers       int           // servers of the target whose answers are 8 times slower
	coldTarget        float64       // factor by which the first bytes of the target's answers come later, 0 for 1
	burst             time.Duration // time from the order at which all times begin to double each second, up to 16 times, 0 for never
	alone             bool          // the daemons don't report to each other
	restart           time.Duration // time from the order at which all daemons are killed and start again, 0 for never
	classes           []requestClass
	plain             bool // answers are not streams
}

// requestClass is a part of the requests of a simulated service.
type requestClass struct {
	name        Class
	share       float64
	failureRate float64
	runsOnce    bool // its requests must not run twice
}

// simulation is a fleet in a roll-out whose daemons report to two of them.
type simulation struct {
	conditions
	fault     fault
	random    *rand.Rand
	trackers  []*Tracker
	reporters []*Reporter
}

const (
	simulatedClasses = 5
	paceEvents       = 8
)

func newSimulation(c conditions, f fault, seed uint64) *simulation {
	s := &simulation{conditions: c, fault: f, random: rand.New(rand.NewPCG(seed, 1))}
	s.startDaemons(start, "")
	return s
}

// skipsShort reports whether -short, with which the race detector runs, leaves a fleet out. Simulations run in one goroutine each, so the smallest fleet shows
// the detector the same code.
func skipsShort(daemons int) bool { return testing.Short() && daemons > sizes[0].daemons }

// startDaemons replaces all daemons by new ones that know the order, and its status if they started after it. suffix tells incarnations apart.
func (s *simulation) startDaemons(now crlclock.Instant, suffix string) {
	s.trackers, s.reporters = nil, nil
	for n := range s.daemons {
		tracker := NewTracker(Config{
			Self: crlid.Incarnation(fmt.Sprint(n) + suffix), Daemons: func() int { return s.daemons }, Exposure: s.exposure, ExposureSlack: 30,
			Alone: func() bool { return s.alone }, Random: s.random.Float64,
		})
		restarted := now > start
		if restarted {
			tracker.RecordStatus(Status{Service: service, Target: "v2", State: StateRunning, Position: crlid.Position{Offset: 1}})
		}
		tracker.AddOrder(Order{Service: service, Target: "v2", Duration: orderDuration, Position: crlid.Position{Offset: 7}}, restarted, now)
		s.trackers, s.reporters = append(s.trackers, tracker), append(s.reporters, NewReporter(tracker))
	}
}

// drawClass returns the class of a request.
func (s *simulation) drawClass() requestClass {
	if len(s.classes) == 0 {
		return requestClass{name: Class(fmt.Sprint(s.random.IntN(simulatedClasses))), failureRate: s.failureRate}
	}
	random := s.random.Float64()
	for _, class := range s.classes {
		if random -= class.share; random < 0 {
			return class
		}
	}
	return s.classes[0]
}

// result is the outcome of a simulation.
type result struct {
	badAnswers    int           // bad answers of the target until all daemons stopped using it
	counted       time.Duration // when the number of bad answers reached a given one, 0 for never
	targetAnswers int           // all answers of the target
	stopped       time.Duration // when the last daemon stopped using the target, 0 for never
	completed     time.Duration // when the first daemon wanted to complete the roll-out, 0 for never
}

// run simulates the roll-out until its deadline; see runUntil.
func (s *simulation) run(countedBadAnswers int) result {
	return s.runUntil(orderDuration, countedBadAnswers)
}

// runUntil simulates the roll-out until a time from its order, and notes when the given number of bad answers is reached. Daemons report
// every half second, the first to nobody, the second to the first and the others to one of these two.
func (s *simulation) runUntil(end time.Duration, countedBadAnswers int) result {
	const tick = 50 * time.Millisecond
	var r result
	capacity := func(crlid.Service, crlid.Version) (int, int) { return s.servers, s.servers }
	for elapsed := time.Duration(0); elapsed < end; elapsed += tick {
		now := start.Add(elapsed)
		if s.restart > 0 && elapsed == s.restart {
			s.startDaemons(now, " restarted")
		}
		for _, due := range s.trackers[0].Due(now, capacity) {
			if due.State == StateCompleted {
				r.completed = elapsed
				return r
			}
		}
		using := 0
		for n, tracker := range s.trackers {
			if tracker.rollouts[service].verdict != verdictOpen {
				continue
			}
			using++
			requests := s.requestsPerSecond * tick.Seconds() / float64(s.daemons)
			for count := s.poisson(requests); count > 0; count-- {
				s.answer(tracker, tracker.Plan(service, now, capacity), elapsed, now, &r)
			}
			// The daemons' reports are spread over the half second.
			if !s.alone && n >= 1 && (elapsed/tick+time.Duration(n))%10 == 0 {
				if report, ok := s.reporters[n].Next(now); ok {
					source := 0 // of the second daemon
					if n >= 2 {
						source = n % 2
					}
					reply, _ := s.trackers[source].Receive(report, now)
					s.reporters[n].Learn(reply, now)
				}
			}
		}
		if r.badAnswers >= countedBadAnswers && r.counted == 0 {
			r.counted = elapsed
		}
		if using == 0 {
			r.stopped = elapsed
			return r
		}
	}
	return r
}

func (s *simulation) poisson(mean float64) (count int) {
	for product := s.random.Float64(); product > math.Exp(-mean); product *= s.random.Float64() {
		count++
	}
	return count
}

// answer simulates one answer and its observations.
func (s *simulation) answer(tracker *Tracker, plan Plan, elapsed time.Duration, now crlclock.Instant, r *result) {
	class := s.drawClass()
	version := crlid.Version("v1")
	server := s.random.IntN(s.servers)
	onTarget := s.random.Float64() < plan.Share || plan.LastStep && class.runsOnce
	// Servers of the old version have more requests at a time, so that their answers are slower and differ more, as was measured.
	load := 1 + s.random.ExpFloat64()
	if onTarget {
		load = 1 + 0.3*s.random.ExpFloat64()
	}
	first, pace := load*math.Exp(0.4*s.random.NormFloat64()), 0.02*load*math.Exp(0.2*s.random.NormFloat64())
	if s.burst > 0 && elapsed > s.burst {
		first *= min(math.Exp2((elapsed - s.burst).Seconds()), 16)
	}
	failed := s.random.Float64() < class.failureRate
	if onTarget && !plan.TargetBarred {
		version = "v2"
		r.targetAnswers++
		first *= max(s.coldTarget, 1)
		factor := 1.0
		if server < s.slowServers {
			factor = 8
		}
		f := s.fault
		if s.random.Float64() < f.share && (f.class == "" || f.class == class.name) && elapsed >= f.from && plan.Share >= f.minimum {
			r.badAnswers++
			if f.slow > 0 {
				factor = f.slow
			} else {
				failed = true
			}
		}
		first, pace = first*factor, pace*factor
	}
	values := map[Measure]float64{MeasureFailure: 0, MeasureFirstByte: first, MeasurePace: pace, MeasureDuration: first + paceEvents*pace}
	if s.plain {
		values = map[Measure]float64{MeasureFailure: 0, MeasureFirstByte: first}
	}
	if failed {
		values = map[Measure]float64{MeasureFailure: 1}
	}
	for measure := range measureCount {
		if value, ok := values[measure]; ok {
			tracker.Observe(Observation{
				Service: service, Version: version, Group: server % ServerGroups, Class: class.name, Measure: measure, Value: value,
			}, now)
		}
	}
}

// sizes are fleets like those of the present deployments.
var sizes = []conditions{
	{daemons: 6, requestsPerSecond: 75, servers: 9, exposure: 0.15, goodRuns: 60},
	{daemons: 8, requestsPerSecond: 45, servers: 12, exposure: 0.15, goodRuns: 60},
	{daemons: 63, requestsPerSecond: 540, servers: 112, exposure: 0.12, goodRuns: 10},
	{daemons: 295, requestsPerSecond: 900, servers: 160, exposure: 0.12, goodRuns: 5},
}

// TestBadTargetStopsInTime guards against a target that still gets requests 5 s after its 50th bad answer, or that is completed: a daemon
// that judged it on its own requests alone saw too few of them, and one that was only slow was not seen at all.
func TestBadTargetStopsInTime(t *testing.T) {
	t.Parallel()
	// Targets are used for at most 5 s after their 50th bad answer. A second of that is for the way of the verdict and for answers that
	// are open, which the simulation leaves out.
	const (
		countedBadAnswers = 50
		maxUse            = 4 * time.Second
		runs              = 10
		minDetected       = 9 // chance decides what a target answers before its completion
	)
	for _, f := range []fault{
		{name: "errors", share: 0.5},
		{name: "few errors", share: 0.3},
		{name: "slow", share: 0.5, slow: 8},
		{name: "all slow", share: 1, slow: 8},
		{name: "one class", share: 0.5, class: "1"},
		{name: "one class slow", share: 0.5, class: "1", slow: 8},
		{name: "late", share: 0.5, from: 8 * time.Second},
		{name: "under load", share: 0.5, minimum: 0.2},
		{name: "slow under load", share: 0.5, minimum: 0.2, slow: 8},
	} {
		for _, c := range sizes {
			if skipsShort(c.daemons) {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d", f.name, c.daemons), func(t *testing.T) {
				t.Parallel()
				detected := 0
				for seed := range uint64(runs) {
					r := newSimulation(c, f, seed).run(countedBadAnswers)
					if r.stopped > 0 && (r.counted == 0 || r.stopped-r.counted <= maxUse) {
						detected++
						continue
					}
					t.Logf("seed %d: %d bad of %d answers, the 50th bad one after %s, stopped after %s, completed after %s",
						seed, r.badAnswers, r.targetAnswers, r.counted, r.stopped, r.completed)
				}
				if detected < minDetected {
					t.Errorf("stopped in time in %d of %d runs, want %d", detected, runs, minDetected)
				}
			})
		}
	}
}

// smallService is a plain service with few requests and servers.
var smallService = conditions{
	daemons: 9, requestsPerSecond: 42, servers: 3, exposure: 0.15, plain: true,
	classes: []requestClass{{name: "merge", share: 0.71, failureRate: 0.004, runsOnce: true}, {name: "page", share: 0.29, failureRate: 0.14}},
}

// TestBadTargetOfASmallServiceIsNotCompleted guards against a bad target that is completed because its few answers, or those since all
// daemons were killed, did not show its fault: old servers stop at the completion, so that nothing else is left to use.
func TestBadTargetOfASmallServiceIsNotCompleted(t *testing.T) {
	t.Parallel()
	const (
		countedBadAnswers = 50
		maxUse            = 4 * time.Second // after the 50th bad answer; see TestBadTargetStopsInTime
		runs              = 40
		maxMissed         = 1 // chance decides which answers are bad
	)
	for _, f := range []fault{
		{name: "errors", share: 0.5},
		{name: "few errors", share: 0.3},
		{name: "slow", share: 0.5, slow: 8},
		{name: "one class", share: 0.5, class: "page"},
		{name: "one class slow", share: 0.5, class: "page", slow: 8},
		{name: "late", share: 0.5, from: 8 * time.Second},
	} {
		for _, restart := range []time.Duration{0, 6 * time.Second, 12 * time.Second, 18 * time.Second} {
			if testing.Short() && restart != 12*time.Second {
				continue
			}
			t.Run(fmt.Sprintf("%s/restart after %s", f.name, restart), func(t *testing.T) {
				t.Parallel()
				missed := 0
				for seed := range uint64(runs) {
					c := smallService
					c.restart = restart
					r := newSimulation(c, f, seed).runUntil(3*orderDuration, countedBadAnswers)
					if r.stopped > 0 && (r.counted == 0 || r.stopped-r.counted <= maxUse) {
						continue
					}
					missed++
					t.Logf("seed %d: %d bad of %d answers, the 50th bad one after %s, stopped after %s, completed after %s",
						seed, r.badAnswers, r.targetAnswers, r.counted, r.stopped, r.completed)
				}
				if missed > maxMissed {
					t.Errorf("not stopped in time in %d of %d runs, allowed are %d", missed, runs, maxMissed)
				}
			})
		}
	}
}

// TestGoodTargetIsCompleted checks that a target without a fault is completed by the deadline if the service has enough requests to show
// that, and otherwise before as much time again has passed.
func TestGoodTargetIsCompleted(t *testing.T) {
	t.Parallel()
	const (
		runs             = 20
		minBusyInTime    = 16  // of runs, with 45 requests a second and more
		latest           = 2.0 // times the time of the roll-out
		minCompleted     = 19  // of runs, as one in a hundred may be marked bad
		requestsPerClass = 9.0 // a second, from which a service counts as busy
		classes          = 5   // of a service that states none
		deadline         = orderDuration
	)
	for _, c := range append([]conditions{smallService}, sizes...) {
		if skipsShort(c.daemons) {
			continue
		}
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			t.Parallel()
			inTime, completed := 0, 0
			for seed := range uint64(runs) {
				r := newSimulation(c, fault{}, seed).runUntil(time.Duration((latest+0.1)*float64(deadline)), 1)
				if r.completed > 0 {
					completed++
				}
				if r.completed > 0 && r.completed <= deadline {
					inTime++
				}
			}
			busy := len(c.classes) == 0 && c.requestsPerSecond/classes >= requestsPerClass
			if completed < minCompleted || busy && inTime < minBusyInTime {
				t.Errorf("%d daemons, %.0f requests a second: %d of %d completed, %d in time", c.daemons, c.requestsPerSecond, completed, runs, inTime)
			}
		})
	}
}

// TestDaemonDoesntCompleteByItsOwnAnswers guards against a daemon with few answers that completes a target which the daemon at which all
// answers meet does not call clear, and against one that completes it before the first reply.
func TestDaemonDoesntCompleteByItsOwnAnswers(t *testing.T) {
	late := start.Add(orderDuration * 99 / 100)
	newDaemon := func(self crlid.Incarnation) *Tracker {
		tracker := NewTracker(Config{Self: self, Daemons: func() int { return 9 }, Random: func() float64 { return 0.5 }})
		tracker.AddOrder(Order{Service: service, Target: "v2", Duration: orderDuration, Position: crlid.Position{Offset: 7}}, false, start)
		return tracker
	}
	state := func(tracker *Tracker) State { return tracker.Due(late, equalCapacity)[0].State }
	source, follower := newDaemon("source"), newDaemon("follower")
	for n := range 100 {
		observe(source, "v1", n, false)
	}
	reporter := NewReporter(follower)
	report, _ := reporter.Next(late)
	if got := state(follower); got != StateRunning {
		t.Errorf("before the first reply the state is %v, want running", got)
	}
	reply, _ := source.Receive(report, late)
	reporter.Learn(reply, late)
	if got := state(follower); got != StateRunning {
		t.Errorf("while the target has not answered the state is %v, want running", got)
	}
	for n := range 20 {
		observe(source, "v2", n, false)
	}
	report, _ = reporter.Next(late)
	reply, _ = source.Receive(report, late)
	reporter.Learn(reply, late)
	if got := state(follower); got != StateRunning {
		t.Errorf("at once after the target became clear the state is %v, want running as the last step has only begun", got)
	}
	late = start.Add(orderDuration * 103 / 100)
	report, _ = reporter.Next(late)
	reply, _ = source.Receive(report, late)
	reporter.Learn(reply, late)
	if got := state(follower); got != StateCompleted {
		t.Errorf("once the target is clear the state is %v, want completed", got)
	}
}

// TestGoodTargetIsNotMarkedBad guards against a good target that is rolled back for what is wrong around it: slow servers, failures of
// the whole service, a burst, empty caches.
func TestGoodTargetIsNotMarkedBad(t *testing.T) {
	if testing.Short() {
		t.Skip("one in a hundred of hundreds of runs can't be told from few; the run without -short has them")
	}
	t.Parallel()
	// maxWrongFraction is the stated probability of a wrong verdict in a roll-out.
	const maxWrongFraction = 0.01
	var runs, wrong atomic.Int64
	t.Run("roll-outs", func(t *testing.T) {
		for i, c := range []struct {
			name   string
			change func(*conditions)
		}{
			{"calm", func(*conditions) {}},
			{"failures of both versions", func(c *conditions) { c.failureRate = 0.2 }},
			{"slow server of the target", func(c *conditions) { c.slowServers = 1 }},
			{"cold target", func(c *conditions) { c.coldTarget = 1.8 }},
			{"burst", func(c *conditions) { c.burst = 12 * time.Second }},
			{"burst at the end", func(c *conditions) { c.burst = 20 * time.Second }},
		} {
			for _, size := range sizes {
				c.change(&size)
				t.Run(fmt.Sprintf("%s/%d", c.name, size.daemons), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(size.goodRuns) {
						runs.Add(1)
						if r := newSimulation(size, fault{}, seed+uint64(1000*i)).runUntil(3*orderDuration, 1); r.stopped > 0 {
							wrong.Add(1)
							t.Logf("seed %d: a good target is barred after %s and %d answers", seed, r.stopped, r.targetAnswers)
						}
					}
				})
			}
		}
	})
	if float64(wrong.Load()) > maxWrongFraction*float64(runs.Load()) {
		t.Errorf("a good target is marked bad in %d of %d runs, want at most %.0f%%", wrong.Load(), runs.Load(), 100*maxWrongFraction)
	}
}

// TestSamplesCountOnce guards against evidence that counts twice when it comes over two daemons or is sent again after a lost reply, and
// against evidence that is lost when a daemon that collects it restarts.
func TestSamplesCountOnce(t *testing.T) {
	newDaemon := func(self crlid.Incarnation) *Tracker {
		tracker := NewTracker(Config{Self: self, Daemons: func() int { return 3 }, Random: func() float64 { return 0 }})
		tracker.AddOrder(Order{Service: service, Target: "v2", Duration: orderDuration, Position: crlid.Position{Offset: 7}}, false, start)
		return tracker
	}
	send := func(from *Reporter, to *Tracker, replyArrives bool) {
		report, _ := from.Next(start)
		reply, _ := to.Receive(report, start)
		if replyArrives {
			from.Learn(reply, start)
		}
	}
	origin, relay, first := newDaemon("origin"), newDaemon("relay"), newDaemon("first")
	originReporter, relayReporter := NewReporter(origin), NewReporter(relay)
	for n := range 3 {
		observe(origin, "v2", n, false)
	}
	send(originReporter, relay, true)
	send(relayReporter, first, false) // The reply is lost, so the samples are sent again.
	send(relayReporter, first, true)
	originReporter.Reset()
	send(originReporter, first, true) // They also come from the origin itself.
	observe(origin, "v2", 3, false)
	send(originReporter, first, true)
	send(originReporter, relay, true)
	send(relayReporter, first, true)
	if got := first.rollouts[service].logs["origin"].newest; got != 4 {
		t.Errorf("received samples up to number %d, want 4", got)
	}
	if got := len(first.rollouts[service].assessment.classes[0].unranked); got != 0 {
		t.Errorf("%d samples are left unranked", got)
	}
	if got := len(first.rollouts[service].logs["origin"].samples); got != 4 {
		t.Errorf("%d samples were counted, want 4", got)
	}
	first = newDaemon("restarted")
	originReporter.Reset()
	send(originReporter, first, true)
	if got := len(first.rollouts[service].logs["origin"].samples); got != 4 {
		t.Errorf("a daemon that restarted has %d samples, want 4", got)
	}
}

// TestLoneDaemonStopsSooner checks that a daemon that is cut off from all others stops a target on less evidence.
func TestLoneDaemonStopsSooner(t *testing.T) {
	answersUntilStopped := func(alone bool) int {
		tracker := NewTracker(Config{
			Daemons: func() int { return 8 }, Alone: func() bool { return alone }, Random: rand.New(rand.NewPCG(1, 1)).Float64,
		})
		tracker.AddOrder(Order{Service: service, Target: "v2", Duration: orderDuration, Position: crlid.Position{Offset: 7}}, false, start)
		tracker.Plan(service, start, equalCapacity)
		for n := range 50 {
			observe(tracker, "v1", n, false)
		}
		for n := 1; ; n++ {
			if observe(tracker, "v2", n/3, n%3 == 0) {
				return n
			}
		}
	}
	if lone, connected := answersUntilStopped(true), answersUntilStopped(false); lone >= connected {
		t.Errorf("a lone daemon stops a failing target after %d answers and a connected one after %d, want it to stop sooner", lone, connected)
	}
}

// TestReportsAreBounded bounds the bytes of a report of a busy daemon: they travel twice a second over links of 10 Mbit/s.
func TestReportsAreBounded(t *testing.T) {
	const maxBytes = 4 << 10
	tracker := newTrackerWithOrder(6)
	reporter := NewReporter(tracker)
	for n := range 10_000 {
		observe(tracker, "v1", n, n%10 == 0)
		observe(tracker, "v2", n, n%10 == 0)
		if tracker.rollouts[service].verdict != verdictOpen {
			t.Fatalf("target is marked bad after %d answers, of which as many failed as of the old version", n)
		}
	}
	report, ok := reporter.Next(start)
	encoded, err := json.Marshal(report)
	if !ok || err != nil || len(encoded) > maxBytes {
		t.Errorf("report of %d bytes (ok %v, error %v), want at most %d", len(encoded), ok, err, maxBytes)
	}
}
