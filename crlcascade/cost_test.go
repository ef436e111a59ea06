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

// truth is how a version really answers: its rating falls with the difficulty of a prompt.
type simulatedVersion struct {
	crlconfig.Version
	easy, hard float64 // easy and hard are the mean ratings at the ends of the difficulty.
	firstToken time.Duration
	duration   time.Duration
}

// answerNoise is the standard deviation of a rating at a given difficulty.
const ratingDeviation = 0.06

func (v simulatedVersion) rate(difficulty float64, random *rand.Rand) crlid.Quality {
	r := v.easy + (v.hard-v.easy)*difficulty + ratingDeviation*random.NormFloat64()
	return crlid.Quality(min(1, max(0, r)))
}

// mix is a deployment's classes with the share of the requests of each.
type workload struct {
	name     string
	versions []simulatedVersion
	classes  []crlconfig.Class
	shares   []float64
	streamed []bool
}

func version(id crlid.Version, cost crlid.MicroCost, stated crlid.Quality) crlconfig.Version {
	return crlconfig.Version{ID: id, CostPerToken: cost, Quality: stated}
}

// registerMix states a quality of the tagger that is far off, as an operator might.
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

// The length of a trial of the cost.
const (
	requestsPerSecond = 10.0 // costRate is in requests a second.
	warmUp            = time.Hour
	measuredTime      = 4 * time.Hour
	targetWindow      = 15 * time.Minute
	answerTokens      = 300
)

// chooseFunc chooses a plan as a policy does.
type chooseFunc func(class int, now time.Time) Plan

// BenchmarkCost reports the cost of each policy over the oracle's, and the share of windows of 15 minutes and class whose
// mean true rating is under the target; medians over five seeds.
func BenchmarkCost(b *testing.B) {
	for _, m := range []workload{registerWorkload, lineageWorkload} {
		for _, policy := range []string{"planner", "best", "cheapest", "fixed-cascade", "oracle"} {
			b.Run(m.name+"/"+policy, func(b *testing.B) {
				var ratios, misses, lows []float64
				for b.Loop() {
					ratios, misses, lows = nil, nil, nil
					for seed := range uint64(5) {
						oracle := m.simulate(seed+1, m.fixed(m.oracle()), nil)
						p := NewPlanner(Config{RatingsPerSecond: requestsPerSecond * 2, Seed: seed + 1})
						result := m.simulate(seed+1, m.policy(policy, p), p)
						ratios = append(ratios, result.cost/oracle.cost)
						misses = append(misses, result.missed)
						lows = append(lows, result.lowest)
					}
				}
				slices.Sort(ratios)
				slices.Sort(misses)
				slices.Sort(lows)
				b.ReportMetric(ratios[2], "cost/oracle")
				b.ReportMetric(ratios[4]-ratios[0], "cost-spread")
				b.ReportMetric(100*misses[2], "%windows-missed")
				b.ReportMetric(lows[0], "lowest-over-target")
			})
		}
	}
}

// policy returns a way to choose by its name.
func (m workload) policy(name string, p *Planner) chooseFunc {
	best, cheapest := m.versions[2].ID, m.versions[3].ID
	switch name {
	case "best":
		return m.fixed([]Plan{{First: best}, {First: best}, {First: best}})
	case "cheapest":
		return m.fixed([]Plan{{First: cheapest}, {First: cheapest}, {First: cheapest}})
	case "fixed-cascade":
		c := Plan{First: m.versions[0].ID, Second: best, Threshold: 0.8}
		return m.fixed([]Plan{c, c, c})
	case "oracle":
		return m.fixed(m.oracle())
	default:
		return func(class int, now time.Time) Plan {
			plan, _ := p.plan(m.request(class), now)
			return plan
		}
	}
}

func (m workload) request(class int) Request {
	r := Request{Class: m.classes[class], Streamed: m.streamed[class]}
	for _, v := range m.versions {
		r.Candidates = append(r.Candidates, v.Version)
	}
	return r
}

func (workload) fixed(plans []Plan) chooseFunc {
	return func(class int, _ time.Time) Plan { return plans[class] }
}

// oracle returns the cheapest plans that meet the targets by the truth, with thresholds to a hundredth.
func (m workload) oracle() []Plan {
	var plans []Plan
	for i, class := range m.classes {
		best, cost := Plan{}, math.Inf(1)
		for _, first := range m.versions {
			m.improve(i, Plan{First: first.ID}, &best, &cost)
			for _, second := range m.versions {
				slow := m.streamed[i] && first.duration+assumedRatingTime+second.firstToken > class.FirstToken
				for t := 0.0; t < 1 && !slow && first.CostPerToken < second.CostPerToken; t += 0.01 {
					m.improve(i, Plan{First: first.ID, Second: second.ID, Threshold: crlid.Quality(t)}, &best, &cost)
				}
			}
		}
		plans = append(plans, best)
	}
	return plans
}

func (m workload) improve(class int, plan Plan, best *Plan, cost *float64) {
	const trials = 4000
	random, quality, sum := rand.New(rand.NewPCG(9, 9)), 0.0, 0.0
	for range trials {
		q, c, _ := m.simulateRequest(plan, random)
		quality += float64(q) / trials
		sum += c / trials
	}
	if quality >= float64(m.classes[class].Target) && sum < *cost {
		*best, *cost = plan, sum
	}
}

func (m workload) simulated(id crlid.Version) simulatedVersion {
	return m.versions[slices.IndexFunc(m.versions, func(v simulatedVersion) bool { return v.ID == id })]
}

// answer plays one request and returns the true quality shown, its cost and what it taught.
func (m workload) simulateRequest(plan Plan, random *rand.Rand) (crlid.Quality, float64, []Outcome) {
	difficulty := random.Float64()
	first := m.simulated(plan.First)
	quality, cost := first.rate(difficulty, random), float64(first.CostPerToken)*answerTokens
	outcome := first.outcome()
	outcome.Rated, outcome.Rating = plan.Rate || plan.Second != "", quality
	outcomes := []Outcome{outcome}
	if plan.Second == "" || quality >= plan.Threshold {
		return quality, cost, outcomes
	}
	second, poor := m.simulated(plan.Second), quality
	quality = second.rate(difficulty, random)
	outcome = second.outcome()
	outcome.EscalatedFrom, outcome.EscalatedFromRating, outcome.Rated, outcome.Rating = first.ID, poor, plan.Rate, quality
	return quality, cost + float64(second.CostPerToken)*answerTokens, append(outcomes, outcome)
}

func (v simulatedVersion) outcome() Outcome {
	return Outcome{Version: v.ID, Cost: v.CostPerToken * answerTokens, FirstToken: v.firstToken, Duration: v.duration}
}

type simulationResult struct {
	cost   float64
	missed float64 // missed is the share of windows under the target.
	lowest float64 // lowest is the smallest mean of a window less the target.
}

func (m workload) simulate(seed uint64, choose chooseFunc, p *Planner) simulationResult {
	random, start := rand.New(rand.NewPCG(seed, 7)), time.Unix(1_000_000, 0)
	result := simulationResult{lowest: 1}
	windows, missed := 0.0, 0.0
	sums, counts := make([]float64, len(m.classes)), make([]float64, len(m.classes))
	step := time.Duration(float64(time.Second) / requestsPerSecond)
	for at := time.Duration(0); at < warmUp+measuredTime; at += step {
		class := m.drawClass(random)
		quality, cost, outcomes := m.simulateRequest(choose(class, start.Add(at)), random)
		for _, o := range outcomes {
			o.Class = m.classes[class].ID
			if p != nil {
				p.learn(o, start.Add(at))
			}
		}
		if at < warmUp {
			continue
		}
		result.cost += cost
		sums[class] += float64(quality)
		counts[class]++
		if (at+step)%targetWindow != 0 {
			continue
		}
		for i, c := range m.classes {
			over := sums[i]/counts[i] - float64(c.Target)
			result.lowest = min(result.lowest, over)
			windows++
			if over < 0 {
				missed++
			}
			sums[i], counts[i] = 0, 0
		}
	}
	result.missed = missed / windows
	return result
}

func (m workload) drawClass(random *rand.Rand) int {
	u := random.Float64()
	for i, share := range m.shares {
		if u < share {
			return i
		}
		u -= share
	}
	return len(m.shares) - 1
}

// BenchmarkPlan measures a choice among seven versions of which everything is known.
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
