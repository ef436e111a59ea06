package crlcascade

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

var start = time.Unix(1_000_000, 0)

// trainedPlanner returns a planner with many ratings of two versions: the version good is rated 0.9; the version cheap, at a
// tenth of the cost, is rated poor for one prompt in four and usual for the others.
func trainedPlanner(usual, poor crlid.Quality) *Planner {
	p := NewPlanner(Config{RatingsPerSecond: 1000, Seed: 1})
	for i := range 600 {
		rating := usual
		if i%4 == 0 {
			rating = poor
		}
		o := Outcome{Class: "c", Version: "cheap", Rated: true, Rating: rating, Cost: 1, FirstToken: time.Second, Duration: 2 * time.Second}
		p.learn(o, start)
		o.Version, o.Rating, o.Cost = "good", 0.9, 10
		p.learn(o, start)
	}
	return p
}

// request returns a request in a class with the given target and limit of the time to first token.
func request(target crlid.Quality, limit time.Duration, streamed bool) Request {
	return Request{
		Class:      crlconfig.Class{ID: "c", Target: target, FirstToken: limit},
		Candidates: []crlconfig.Version{version("good", 10, 0.9), version("cheap", 1, 0.5)},
		Streamed:   streamed,
	}
}

// mostFrequentPlan returns the plan that a planner chooses most often, which is not one of its explorations. Rate is cleared,
// as it is set at random.
func mostFrequentPlan(p *Planner, r Request, now time.Time) Plan {
	counts, best := make(map[Plan]int), Plan{}
	for range 200 {
		plan, _ := p.plan(r, now)
		plan.Rate = false
		counts[plan]++
		if counts[plan] > counts[best] {
			best = plan
		}
	}
	return best
}

func TestPlanChoosesTheCheapestThatMeetsTheTarget(t *testing.T) {
	for name, c := range map[string]struct {
		planner *Planner
		request Request
		want    Plan
	}{
		"cheap is good enough": {
			trainedPlanner(0.9, 0.85), request(0.8, time.Minute, true),
			Plan{First: "cheap"},
		},
		"cheap is good for three prompts in four": {
			trainedPlanner(0.9, 0.4), request(0.8, time.Minute, true),
			Plan{First: "cheap", Second: "good", Threshold: 0.425},
		},
		"no time for a cascade": {
			trainedPlanner(0.9, 0.4), request(0.8, 2*time.Second, true),
			Plan{First: "good"},
		},
		"answers that are not streamed have no limit": {
			trainedPlanner(0.9, 0.4), request(0.8, 2*time.Second, false),
			Plan{First: "cheap", Second: "good", Threshold: 0.425},
		},
		"no version is good enough": {
			trainedPlanner(0.6, 0.6), request(0.99, time.Minute, true),
			Plan{First: "good"},
		},
		"no observations": {
			NewPlanner(Config{RatingsPerSecond: 1000, Seed: 1}), request(0.8, time.Minute, true),
			Plan{First: "good"},
		},
	} {
		if got := mostFrequentPlan(c.planner, c.request, start); got != c.want {
			t.Errorf("%s: plan %+v, want %+v", name, got, c.want)
		}
	}
}

// TestPlanNeedsNoRatingInAnOutage guards against requests waiting for ratings while the rating service fails.
func TestPlanNeedsNoRatingInAnOutage(t *testing.T) {
	p, r := trainedPlanner(0.9, 0.4), request(0.8, time.Minute, true)
	for range outageFailures {
		p.learn(Outcome{RatingFailed: true}, start)
	}
	for range 200 {
		if plan, _ := p.plan(r, start); plan != (Plan{First: "good"}) {
			t.Fatalf("plan %+v during an outage of the rating service, want the version good without a rating", plan)
		}
	}
	if got := mostFrequentPlan(p, r, start.Add(outagePause)); got.Second == "" {
		t.Errorf("plan %+v after the outage, want a cascade", got)
	}
	p.learn(Outcome{RatingFailed: true}, start.Add(outagePause))
	if got := mostFrequentPlan(p, r, start.Add(outagePause)); got.Second != "" {
		t.Errorf("plan %+v after a failed rating that followed an outage, want no cascade, as the next outage has started", got)
	}
}

func TestPlanUsesStatedQualityWithoutRatings(t *testing.T) {
	p, r := NewPlanner(Config{Seed: 1}), request(0.45, time.Minute, true)
	if got := mostFrequentPlan(p, r, start); got != (Plan{First: "cheap"}) {
		t.Errorf("plan %+v, want the cheap version whose stated quality meets the target", got)
	}
}

// TestPlanStaysWithinTheRatingRate guards against overloading the rating service: plans request no more ratings than the
// configured rate and burst allow.
func TestPlanStaysWithinTheRatingRate(t *testing.T) {
	p, r := trainedPlanner(0.9, 0.4), request(0.8, time.Minute, true)
	p.budget.SetLimit(10)
	p.budget.SetBurst(10)
	requested := 0
	for i := range 5000 {
		plan, _ := p.plan(r, start.Add(time.Duration(i)*2*time.Millisecond))
		requested += plan.maxRatings()
	}
	if requested > 110 {
		t.Errorf("%d ratings in 10 s, want at most 110 at 10 per second with a burst of 10", requested)
	}
}

// TestPlanProperties checks that, after any outcomes, a plan names only candidates and a cascade has two different versions.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlanner(Config{RatingsPerSecond: 1000, Seed: rapid.Uint64Min(1).Draw(t, "seed")})
		r := request(crlid.Quality(rapid.Float64Range(0, 1).Draw(t, "target")), time.Second, rapid.Bool().Draw(t, "streamed"))
		ids := []crlid.Version{"cheap", "good", "gone"}
		for range rapid.IntRange(0, 400).Draw(t, "outcomes") {
			p.learn(Outcome{
				Class: "c", Version: rapid.SampledFrom(ids).Draw(t, "version"), Rated: rapid.Bool().Draw(t, "rated"),
				Rating: crlid.Quality(rapid.Float64Range(0, 1).Draw(t, "rating")), Cost: 10, Duration: time.Second / 2,
				RatingFailed: rapid.IntRange(0, 99).Draw(t, "failed") == 0,
			}, start)
		}
		plan, ok := p.plan(r, start)
		if !ok || plan.First != "cheap" && plan.First != "good" || plan.Second == plan.First || plan.Second == "gone" {
			t.Fatalf("plan %+v, ok %t, want one of the candidates cheap and good, or a cascade of both", plan, ok)
		}
	})
}

// TestMergeIsIdempotent checks that merging messages repeatedly and out of order has the same result as merging the newest
// one alone.
func TestMergeIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewPlanner(Config{Origin: "a", Seed: 1})
		var messages []Message
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			source.Learn(Outcome{Class: "c", Version: "v", Rated: true, Rating: crlid.Quality(rapid.Float64Range(0, 1).Draw(t, "rating"))})
			source.Learn(Outcome{Class: "c", Version: "w", EscalatedFrom: "v", Rated: true, Rating: 0.5, EscalatedFromRating: 0.25, Duration: 1})
			messages = append(messages, source.Message())
		}
		newest, shuffled := NewPlanner(Config{Origin: "b", Seed: 1}), NewPlanner(Config{Origin: "b", Seed: 1})
		newest.Merge(messages[len(messages)-1])
		for _, m := range rapid.Permutation(append(append([]Message{}, messages...), messages...)).Draw(t, "order") {
			shuffled.Merge(m)
		}
		if diff := cmp.Diff(newest.tracker.totals["a"], shuffled.tracker.totals["a"], cmp.AllowUnexported(key{}, sums{})); diff != "" {
			t.Fatal(diff)
		}
	})
}
