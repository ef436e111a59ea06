package crlcascade

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// simulatedVersion is a version with its actual quality and latency: the mean rating falls linearly with a prompt's difficulty.
type simulatedVersion struct {
	crlconfig.Version         // as configured; its Quality is the stated one
	easy, hard        float64 // mean ratings at difficulty 0 and 1
	firstToken        time.Duration
	duration          time.Duration
}

// ratingDeviation is the standard deviation of a rating at a given difficulty.
const ratingDeviation = 0.06

// rate draws the rating of an answer to a prompt of the given difficulty, 0 to 1.
func (v simulatedVersion) rate(difficulty float64, random *rand.Rand) crlid.Quality {
	r := v.easy + (v.hard-v.easy)*difficulty + ratingDeviation*random.NormFloat64()
	return crlid.Quality(min(1, max(0, r)))
}

// workload describes a deployment's versions and classes.
type workload struct {
	name     string
	versions []simulatedVersion // the best is the third, the cheapest the fourth
	classes  []crlconfig.Class
	shares   []float64 // share of the requests by class, in the order of classes
	streamed []bool    // whether requests are streamed, in the order of classes
}

func version(id crlid.Version, cost crlid.MicroCost, stated crlid.Quality) crlconfig.Version {
	return crlconfig.Version{ID: id, CostPerToken: cost, Quality: stated}
}

// registerWorkload states a quality of tagger-1 that is far above the actual one, as may happen in a configuration.
var registerWorkload = workload{
	name: "register",
	versions: []simulatedVersion{
		{version("drafter-small-1", 2, 0.78), 0.98, 0.58, 200 * time.Millisecond, 800 * time.Millisecond},
		{version("drafter-large-1", 10, 0.90), 0.96, 0.84, 400 * time.Millisecond, 2 * time.Second},
		{version("drafter-large-2", 9, 0.91), 0.97, 0.85, 400 * time.Millisecond, 2 * time.Second},
		{version("tagger-1", 1, 0.85), 0.60, 0.30, 100 * time.Millisecond, 300 * time.Millisecond},
	},
	classes: []crlconfig.Class{
		{ID: "draft", Target: 0.85, FirstToken: 1200 * time.Millisecond},
		{ID: "lookup", Target: 0.75, FirstToken: 600 * time.Millisecond},
		{ID: "summary", Target: 0.85, FirstToken: 5 * time.Second, Patient: true},
	},
	shares: []float64{0.4, 0.4, 0.2}, streamed: []bool{true, true, true},
}

var lineageWorkload = workload{
	name: "lineage",
	versions: []simulatedVersion{
		{version("narrator-small-1", 2, 0.74), 0.95, 0.53, 300 * time.Millisecond, 2 * time.Second},
		{version("narrator-large-1", 12, 0.88), 0.94, 0.82, 500 * time.Millisecond, 6 * time.Second},
		{version("narrator-large-2", 11, 0.89), 0.95, 0.83, 500 * time.Millisecond, 6 * time.Second},
		{version("tagger-1", 1, 0.82), 0.94, 0.72, 100 * time.Millisecond, 300 * time.Millisecond},
	},
	classes: []crlconfig.Class{
		{ID: "narrative", Target: 0.85, FirstToken: 10 * time.Second, Patient: true},
		{ID: "question", Target: 0.72, FirstToken: 1200 * time.Millisecond},
		{ID: "tag", Target: 0.80, FirstToken: 3 * time.Second},
	},
	shares: []float64{0.5, 0.3, 0.2}, streamed: []bool{true, true, false},
}

// Load, answers and duration of a simulation of the cost. All times are simulated.
const (
	requestsPerSecond = 10.0
	warmUp            = time.Hour // simulated before measuredTime, not counted in the result
	measuredTime      = 4 * time.Hour
	targetWindow      = 15 * time.Minute // window in which the mean quality of a class must meet the target
	answerTokens      = 300              // length of every answer
)

// chooseFunc is a policy: it chooses the plan of a request in a class, given by its index.
type chooseFunc func(class int, now time.Time) Plan

// BenchmarkCost simulates each policy with five seeds. It reports the medians of the cost relative to the oracle's and of the
// share of 15-minute windows, counted per class, whose mean actual rating is below the target. It also reports the spread of
// the cost and the smallest difference between a window's mean rating and the target.
func BenchmarkCost(b *testing.B) {
	for _, w := range []workload{registerWorkload, lineageWorkload} {
		for _, policy := range []string{"planner", "best", "cheapest", "fixed-cascade", "oracle"} {
			b.Run(w.name+"/"+policy, func(b *testing.B) {
				var ratios, misses, lows []float64
				for b.Loop() {
					ratios, misses, lows = nil, nil, nil
					for seed := range uint64(5) {
						oracle := w.simulate(seed+1, w.fixed(w.oracle()), nil)
						p := NewPlanner(Config{RatingsPerSecond: requestsPerSecond * 2, Seed: seed + 1})
						result := w.simulate(seed+1, w.policy(policy, p), p)
						ratios = append(ratios, result.cost/oracle.cost)
						misses = append(misses, result.missed)
						lows = append(lows, result.lowest)
					}
				}
				slices.Sort(ratios)
				slices.Sort(misses)
				slices.Sort(lows)
				// Of the five sorted results, index 2 is the median.
				b.ReportMetric(ratios[2], "cost/oracle")
				b.ReportMetric(ratios[4]-ratios[0], "cost-spread")
				b.ReportMetric(100*misses[2], "%windows-missed")
				b.ReportMetric(lows[0], "lowest-over-target")
			})
		}
	}
}

// policy returns the policy of the given name. Any name that is not listed here stands for the planner p.
func (w workload) policy(name string, p *Planner) chooseFunc {
	best, cheapest := w.versions[2].ID, w.versions[3].ID
	switch name {
	case "best":
		return w.fixed([]Plan{{First: best}, {First: best}, {First: best}})
	case "cheapest":
		return w.fixed([]Plan{{First: cheapest}, {First: cheapest}, {First: cheapest}})
	case "fixed-cascade":
		c := Plan{First: w.versions[0].ID, Second: best, Threshold: 0.8}
		return w.fixed([]Plan{c, c, c})
	case "oracle":
		return w.fixed(w.oracle())
	default:
		return func(class int, now time.Time) Plan {
			plan, _ := p.plan(w.request(class), now)
			return plan
		}
	}
}

// request returns a request in a class, with all versions as candidates.
func (w workload) request(class int) Request {
	r := Request{Class: w.classes[class], Streamed: w.streamed[class]}
	for _, v := range w.versions {
		r.Candidates = append(r.Candidates, v.Version)
	}
	return r
}

// fixed returns a policy that has one plan for each class.
func (workload) fixed(plans []Plan) chooseFunc {
	return func(class int, _ time.Time) Plan { return plans[class] }
}

// oracle returns for each class the plan that would be chosen if the actual qualities were known: the cheapest one that meets
// the target, with thresholds in steps of 0.01.
func (w workload) oracle() []Plan {
	var plans []Plan
	for i, class := range w.classes {
		best, cost := Plan{}, math.Inf(1)
		for _, first := range w.versions {
			w.improve(i, Plan{First: first.ID}, &best, &cost)
			for _, second := range w.versions {
				slow := w.streamed[i] && first.duration+assumedRatingTime+second.firstToken > class.FirstToken
				for t := 0.0; t < 1 && !slow && first.CostPerToken < second.CostPerToken; t += 0.01 {
					w.improve(i, Plan{First: first.ID, Second: second.ID, Threshold: crlid.Quality(t)}, &best, &cost)
				}
			}
		}
		plans = append(plans, best)
	}
	return plans
}

// improve replaces best by plan if plan meets the class's target at a mean cost below cost, in a simulation of 4000 requests.
func (w workload) improve(class int, plan Plan, best *Plan, cost *float64) {
	const trials = 4000
	random, quality, planCost := rand.New(rand.NewPCG(9, 9)), 0.0, 0.0
	for range trials {
		q, c, _ := w.simulateRequest(plan, random)
		quality += float64(q) / trials
		planCost += c / trials
	}
	if quality >= float64(w.classes[class].Target) && planCost < *cost {
		*best, *cost = plan, planCost
	}
}

// simulated returns the version with the given id, which must exist.
func (w workload) simulated(id crlid.Version) simulatedVersion {
	return w.versions[slices.IndexFunc(w.versions, func(v simulatedVersion) bool { return v.ID == id })]
}

// simulateRequest simulates one request and returns the actual quality of the shown answer, the cost, and the outcomes that
// the planner observes.
func (w workload) simulateRequest(plan Plan, random *rand.Rand) (crlid.Quality, float64, []Outcome) {
	difficulty := random.Float64()
	first := w.simulated(plan.First)
	quality, cost := first.rate(difficulty, random), float64(first.CostPerToken)*answerTokens
	outcome := first.outcome()
	outcome.Rated, outcome.Rating = plan.Rate || plan.Second != "", quality
	outcomes := []Outcome{outcome}
	if plan.Second == "" || quality >= plan.Threshold {
		return quality, cost, outcomes
	}
	second, firstRating := w.simulated(plan.Second), quality
	quality = second.rate(difficulty, random)
	outcome = second.outcome()
	outcome.EscalatedFrom, outcome.EscalatedFromRating, outcome.Rated, outcome.Rating = first.ID, firstRating, plan.Rate, quality
	return quality, cost + float64(second.CostPerToken)*answerTokens, append(outcomes, outcome)
}

// outcome returns the outcome of an unrated answer.
func (v simulatedVersion) outcome() Outcome {
	return Outcome{Version: v.ID, Cost: v.CostPerToken * answerTokens, FirstToken: v.firstToken, Duration: v.duration}
}

// simulationResult summarises a simulation after its warm-up.
type simulationResult struct {
	cost   float64 // total cost of all requests
	missed float64 // share of windows below the target
	lowest float64 // smallest difference between a window's mean quality and the target
}

// simulate runs a workload under a policy. The planner p, if not nil, learns from the outcomes.
func (w workload) simulate(seed uint64, choose chooseFunc, p *Planner) simulationResult {
	random, start := rand.New(rand.NewPCG(seed, 7)), time.Unix(1_000_000, 0)
	result := simulationResult{lowest: 1}
	windows, missed := 0.0, 0.0
	ratingSums, counts := make([]float64, len(w.classes)), make([]float64, len(w.classes)) // by class, in the current window
	step := time.Duration(float64(time.Second) / requestsPerSecond)
	for at := time.Duration(0); at < warmUp+measuredTime; at += step {
		class := w.drawClass(random)
		quality, cost, outcomes := w.simulateRequest(choose(class, start.Add(at)), random)
		for _, o := range outcomes {
			o.Class = w.classes[class].ID
			if p != nil {
				p.learn(o, start.Add(at))
			}
		}
		if at < warmUp {
			continue
		}
		result.cost += cost
		ratingSums[class] += float64(quality)
		counts[class]++
		if (at+step)%targetWindow != 0 {
			continue
		}
		for i, c := range w.classes {
			over := ratingSums[i]/counts[i] - float64(c.Target)
			result.lowest = min(result.lowest, over)
			windows++
			if over < 0 {
				missed++
			}
			ratingSums[i], counts[i] = 0, 0
		}
	}
	result.missed = missed / windows
	return result
}

// drawClass draws the index of a request's class by the classes' shares.
func (w workload) drawClass(random *rand.Rand) int {
	u := random.Float64()
	for i, share := range w.shares {
		if u < share {
			return i
		}
		u -= share
	}
	return len(w.shares) - 1
}

// BenchmarkPlan measures the choice of a plan among seven versions with many ratings each.
func BenchmarkPlan(b *testing.B) {
	p := NewPlanner(Config{RatingsPerSecond: 100, Seed: 1})
	request := Request{Class: crlconfig.Class{ID: "c", Target: 0.8, FirstToken: time.Second}}
	for i := range 7 {
		v := version(crlid.Version(fmt.Sprint("v", i)), crlid.MicroCost(i+1), 0.8)
		request.Candidates = append(request.Candidates, v)
		for range 400 {
			p.Learn(Outcome{Class: "c", Version: v.ID, Rated: true, Rating: crlid.Quality(0.5 + 0.06*float64(i)), Cost: 1, Duration: 1})
		}
	}
	for b.Loop() {
		p.Plan(request)
	}
}
