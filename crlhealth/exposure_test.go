package crlhealth

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// What one trial plays: nine daemons, the Register's load, answers that take 200 ms to fail or to be rated.
const (
	trialDaemons           = 9
	trialStep              = 10 * time.Millisecond
	trialRequestsPerSecond = 20.0 // trialRate is in requests per second over the fleet.
	trialAnswerTime        = 200 * time.Millisecond
	trialUrgentInterval    = 100 * time.Millisecond // trialUrgent is the shortest time between messages after a failure.
	trialRoutineInterval   = 5 * time.Second
	trialRatedShare        = 0.2 // trialRated is the part of the answers that is rated.
	trialWarmUp            = 10 * time.Minute
)

// fault is how the version large-1 turns bad.
type fault struct {
	failureShare float64 // failing is the part of its answers that fails.
	slowShare    float64
	ratingDrop   float64 // drop is taken from its ratings.
}

// exposure is what a bad version cost until every daemon held it.
type exposure struct {
	requests, rated int
	seconds         float64
}

// BenchmarkExposure reports what reached a bad version over the fleet: median and worst of 20 seeds.
func BenchmarkExposure(b *testing.B) {
	for _, c := range []struct {
		name string
		fault
	}{
		{"all-fail", fault{failureShare: 1}},
		{"half-fail", fault{failureShare: 0.5}},
		{"slow", fault{slowShare: 0.9}},
		{"ratings-10-points-down", fault{ratingDrop: 0.1}},
	} {
		b.Run(c.name, func(b *testing.B) {
			var results []exposure
			for b.Loop() {
				results = parallel(20, func(seed uint64) exposure { return newTrial(seed).run(c.fault) })
			}
			report(b, results, "requests", func(e exposure) float64 { return float64(e.requests) })
			report(b, results, "rated", func(e exposure) float64 { return float64(e.rated) })
			report(b, results, "seconds", func(e exposure) float64 { return e.seconds })
		})
	}
}

func report(b *testing.B, results []exposure, unit string, of func(exposure) float64) {
	var values []float64
	for _, r := range results {
		values = append(values, of(r))
	}
	slices.Sort(values)
	b.ReportMetric(values[len(values)/2], "p50-"+unit)
	b.ReportMetric(values[len(values)-1], "max-"+unit)
}

func parallel[T any](seeds int, run func(seed uint64) T) []T {
	results := make([]T, seeds)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = run(uint64(i) + 1) })
	}
	group.Wait()
	return results
}

// pendingEvent is what a daemon learns later.
type delayedEvent struct {
	at     time.Time
	daemon int
	event  Event
}

type trial struct {
	random   *rand.Rand
	ratings  distuv.Beta
	trackers []*Tracker
	lastSent []time.Time // sent is when each daemon last sent its totals.
	urgent   []bool
	pending  []delayedEvent
	now      time.Time
}

func newTrial(seed uint64) *trial {
	source := rand.New(rand.NewPCG(seed, 1))
	t := &trial{random: source, now: start, lastSent: make([]time.Time, trialDaemons), urgent: make([]bool, trialDaemons)}
	t.ratings = distuv.Beta{Alpha: 5.6, Beta: 1.4, Src: rand.NewPCG(seed, 2)} // mean 0.8, standard deviation 0.14
	for i := range trialDaemons {
		t.trackers = append(t.trackers, newTestTracker(crlid.Incarnation(fmt.Sprint(i))))
	}
	return t
}

func (t *trial) run(f fault) exposure {
	for turned := t.now.Add(trialWarmUp); t.now.Before(turned); {
		t.step(fault{})
	}
	began, result := t.now, exposure{}
	for !t.heldByAll() && t.now.Sub(began) < time.Hour {
		requests, rated := t.step(f)
		result.requests += requests
		result.rated += rated
	}
	result.seconds = t.now.Sub(began).Seconds()
	return result
}

func (t *trial) heldByAll() bool {
	for _, b := range t.trackers {
		if stage(b, "large-1") != StageHeld {
			return false
		}
	}
	return true
}

// tick plays a few milliseconds and returns the requests and ratings of large-1.
func (t *trial) step(f fault) (requests, rated int) {
	t.now = t.now.Add(trialStep)
	if t.random.Float64() < trialRequestsPerSecond*trialStep.Seconds() {
		requests, rated = t.addRequest(f)
	}
	for len(t.pending) > 0 && !t.pending[0].at.After(t.now) {
		p := t.pending[0]
		t.pending = t.pending[1:]
		t.trackers[p.daemon].Observe(p.event, t.now)
		t.urgent[p.daemon] = t.urgent[p.daemon] || p.event.Failed || len(t.trackers[p.daemon].Shares()) > 0
	}
	for i := range t.trackers {
		t.exchange(i)
	}
	return requests, rated
}

func (t *trial) addRequest(f fault) (requests, rated int) {
	d := t.random.IntN(trialDaemons)
	id := []crlid.Version{"large-1", "large-1", "large-2", "small-1"}[t.random.IntN(4)]
	if share, ok := t.trackers[d].Shares()[id]; ok && t.random.Float64() >= share {
		return 0, 0
	}
	if id != "large-1" {
		f = fault{}
	}
	servers := 3 - len(id)%2
	e := Event{Version: id, Class: "draft", Server: crlid.Server(fmt.Sprintf("s%d", 2*t.random.IntN(3)+servers%2))}
	e.Failed = t.random.Float64() < max(f.failureShare, 0.003)
	if t.random.Float64() < max(f.slowShare, 0.01) {
		e.FirstToken = 2 * time.Second
	}
	at := t.now.Add(trialAnswerTime)
	t.pending = append(t.pending, delayedEvent{at: at, daemon: d, event: e})
	if !e.Failed && t.random.Float64() < trialRatedShare {
		e.Rated, e.Rating = true, crlid.Quality(max(0, t.ratings.Rand()-f.ratingDrop))
		t.pending = append(t.pending, delayedEvent{at: at, daemon: d, event: e})
		rated++
	}
	if id != "large-1" {
		return 0, 0
	}
	return 1, rated
}

func (t *trial) exchange(daemon int) {
	due := trialRoutineInterval
	if t.urgent[daemon] {
		due = trialUrgentInterval
	}
	if t.now.Sub(t.lastSent[daemon]) < due {
		return
	}
	t.lastSent[daemon], t.urgent[daemon] = t.now, false
	m := t.trackers[daemon].Message()
	for i, b := range t.trackers {
		if i != daemon {
			b.Merge(m, t.now)
		}
	}
}

// BenchmarkFalseAlarms plays a month of a fleet that is well, second by second, and counts the alarms of one pooled book.
func BenchmarkFalseAlarms(b *testing.B) {
	var alarms []int
	for b.Loop() {
		alarms = parallel(5, simulateMonth)
	}
	slices.Sort(alarms)
	b.ReportMetric(float64(alarms[2]), "p50-alarms")
	b.ReportMetric(float64(alarms[4]), "max-alarms")
}

func simulateMonth(seed uint64) int {
	const seconds = 30 * 24 * 3600
	b, alarms := newTestTracker("a"), 0
	source := rand.NewPCG(seed, 3)
	answers := distuv.Poisson{Lambda: trialRequestsPerSecond / 3, Src: source}
	ratings := distuv.Beta{Alpha: 5.6, Beta: 1.4, Src: source}
	for s := range seconds {
		now := start.Add(time.Duration(s) * time.Second)
		for _, id := range []crlid.Version{"large-1", "large-2", "small-1"} {
			d := Totals{Answers: int64(answers.Rand())}
			for range d.Answers {
				draw := source.Uint64() % 1000
				d.Failures += boolToInt(draw < 3)
				d.Slow += boolToInt(draw >= 990)
				if draw%5 == 0 {
					r := ratings.Rand()
					d.Ratings, d.RatingSum, d.RatingSquares = d.Ratings+1, d.RatingSum+r, d.RatingSquares+r*r
				}
			}
			b.applyCounts(countKey{version: id, class: "draft"}, d, now)
			if stage(b, id) != StageFull {
				alarms++
				b.setStage(b.versions[id], StageFull, now)
			}
		}
	}
	return alarms
}
