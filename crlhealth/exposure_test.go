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

// Parameters of a trial: nine daemons under the load of the deployment named Register.
const (
	trialDaemons           = 9
	trialStep              = 10 * time.Millisecond
	trialRequestsPerSecond = 20.0                   // requests per second over all daemons
	trialAnswerTime        = 200 * time.Millisecond // time from the start of an attempt to its failure, or to its answer and the rating
	trialUrgentInterval    = 100 * time.Millisecond // least time between messages after a failure or below StageFull
	trialRoutineInterval   = 5 * time.Second        // time between a daemon's messages otherwise
	trialRatedShare        = 0.2                    // share of the answers that is rated
	trialWarmUp            = 10 * time.Minute       // time without a fault before large-1 degrades
)

// fault is the way in which the version large-1 degrades.
type fault struct {
	failureShare float64 // share of the version's answers that fail
	slowShare    float64 // share of the version's answers that are slow
	ratingDrop   float64 // amount by which the version's ratings, from 0 to 1, are lowered
}

// exposure counts the requests and ratings that reached a degraded version until every daemon held it.
type exposure struct {
	requests, rated int
	seconds         float64
}

// BenchmarkExposure reports how many requests reached a degraded version, how many of them were rated and how many
// seconds passed until every daemon held it: the median and the maximum of 20 seeds.
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

// report reports the median and the maximum of a value of the results.
func report(b *testing.B, results []exposure, unit string, of func(exposure) float64) {
	var values []float64
	for _, r := range results {
		values = append(values, of(r))
	}
	slices.Sort(values)
	b.ReportMetric(values[len(values)/2], "p50-"+unit)
	b.ReportMetric(values[len(values)-1], "max-"+unit)
}

// parallel calls run concurrently with the seeds from 1 on and returns the results in order of the seeds.
func parallel[T any](seeds int, run func(seed uint64) T) []T {
	results := make([]T, seeds)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = run(uint64(i) + 1) })
	}
	group.Wait()
	return results
}

// delayedEvent is an event that a daemon observes at a later time.
type delayedEvent struct {
	at     time.Time
	daemon int
	event  Event
}

// trial simulates the daemons of a fleet, each with its own Tracker.
type trial struct {
	random   *rand.Rand
	ratings  distuv.Beta
	trackers []*Tracker
	lastSent []time.Time    // last message of each daemon
	urgent   []bool         // for each daemon, whether trialUrgentInterval applies to its next message
	pending  []delayedEvent // in order of time
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

// run simulates the warm-up and then the fault, until every daemon holds large-1 or for at most an hour.
func (t *trial) run(f fault) exposure {
	for warmUpEnd := t.now.Add(trialWarmUp); t.now.Before(warmUpEnd); {
		t.step(fault{})
	}
	degradedAt, result := t.now, exposure{}
	for !t.heldByAll() && t.now.Sub(degradedAt) < time.Hour {
		requests, rated := t.step(f)
		result.requests += requests
		result.rated += rated
	}
	result.seconds = t.now.Sub(degradedAt).Seconds()
	return result
}

func (t *trial) heldByAll() bool {
	for _, tracker := range t.trackers {
		if stage(tracker, "large-1") != StageHeld {
			return false
		}
	}
	return true
}

// step simulates one trialStep and returns the numbers of requests and ratings of large-1 in it.
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

// addRequest sends one request to a random daemon and version, and reports whether it reached large-1 and was rated.
func (t *trial) addRequest(f fault) (requests, rated int) {
	d := t.random.IntN(trialDaemons)
	id := []crlid.Version{"large-1", "large-1", "large-2", "small-1"}[t.random.IntN(4)]
	if share, ok := t.trackers[d].Shares()[id]; ok && t.random.Float64() >= share {
		return 0, 0
	}
	if id != "large-1" {
		f = fault{}
	}
	servers := 3 - len(id)%2 // 2 for all three versions, as their names have 7 characters: so the server is s0, s2 or s4.
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

// exchange sends a daemon's message to all others if it is due.
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
	for i, tracker := range t.trackers {
		if i != daemon {
			tracker.Merge(m, t.now)
		}
	}
}

// BenchmarkFalseAlarms simulates a month without faults in steps of one second, and counts the alarms of a single tracker
// that sees all answers.
func BenchmarkFalseAlarms(b *testing.B) {
	var alarms []int
	for b.Loop() {
		alarms = parallel(5, simulateMonth)
	}
	slices.Sort(alarms)
	b.ReportMetric(float64(alarms[2]), "p50-alarms")
	b.ReportMetric(float64(alarms[4]), "max-alarms")
}

// simulateMonth returns the number of alarms. 3 in 1000 answers fail, 10 in 1000 are slow, and one in five is rated. After an
// alarm the version returns to StageFull at once.
func simulateMonth(seed uint64) int {
	const seconds = 30 * 24 * 3600
	tracker, alarms := newTestTracker("a"), 0
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
			tracker.applyCounts(countKey{version: id, class: "draft"}, d, now)
			if stage(tracker, id) != StageFull {
				alarms++
				tracker.setStage(tracker.versions[id], StageFull, now)
			}
		}
	}
	return alarms
}
