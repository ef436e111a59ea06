package crlpace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

var testKey = Key{"engine", "large"}

// newTestEstimator returns an estimator with the models of a route, and its clock.
func newTestEstimator(self crlid.Incarnation) (e *Estimator, now *crlclock.Instant) {
	now = new(crlclock.Instant)
	*now = crlclock.Instant(time.Hour)
	e = New(Config{Self: self, Now: func() crlclock.Instant { return *now }})
	for place, model := range []crlid.Model{"small", "medium", "large"} {
		e.AddModel(Key{"engine", model}, place, 3)
	}
	return e, now
}

// presentEstimate returns the estimate by the constants that the package replaced.
func presentEstimate(factor float64, work Work) Prediction {
	seconds := factor * float64(work.Prompt) / 157_000
	return Prediction{
		PromptSeconds: seconds, DelaySeconds: factor * float64(work.Output) * 0.00005,
		FirstEvent: 40*time.Millisecond + time.Duration(seconds*float64(time.Second)),
	}
}

func checkPresent(t rapid.TB, e *Estimator, key Key, factor float64, work Work) {
	t.Helper()
	got, want := e.Predict(key, "", work, Load{}), presentEstimate(factor, work)
	if math.Abs(got.PromptSeconds-want.PromptSeconds) > 0.01*want.PromptSeconds+1e-9 ||
		math.Abs(got.DelaySeconds-want.DelaySeconds) > 0.01*want.DelaySeconds+1e-9 || (got.FirstEvent-want.FirstEvent).Abs() > want.FirstEvent/100 {
		t.Errorf("%v with factor %v: got %+v, want %+v", work, factor, got, want)
	}
}

// Guards against other estimates for deployments whose engines have the rates that were assumed so far, before and after they are observed.
func TestPresentRatesGivePresentEstimates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := newTestEstimator("a")
		factors := map[Key]float64{{"engine", "small"}: 0.3, {"engine", "medium"}: 0.975, testKey: 3, {"engine", "named"}: 1}
		count := rapid.IntRange(0, 150).Draw(t, "observations")
		for range count {
			for key, factor := range factors {
				work := Work{Prompt: crlid.Tokens(rapid.IntRange(1, 60_000).Draw(t, "prompt"))}
				work.Shared = crlid.Tokens(rapid.IntRange(0, int(work.Prompt)).Draw(t, "shared"))
				e.ObserveFirstEvent(key, "s", work, Load{}, presentEstimate(factor, work).FirstEvent)
				e.ObserveTokens(key, "s", Load{}, time.Duration(factor*(initialTokenTime+initialPerRunning)*float64(time.Second)))
			}
			*now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
		}
		for key, factor := range factors {
			checkPresent(t, e, key, factor, Work{Prompt: 12_000, Output: 300})
			checkPresent(t, e, key, factor, Work{Prompt: 500, Output: 10})
		}
	})
}

// Guards against estimates that are negative, infinite or no numbers, whatever is observed.
func TestPredictionsStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := newTestEstimator("a")
		for range rapid.IntRange(0, 100).Draw(t, "observations") {
			key := Key{"engine", crlid.Model(rapid.SampledFrom([]string{"small", "large", ""}).Draw(t, "model"))}
			load := Load{Running: rapid.Float64Range(-1, 200_000).Draw(t, "running"), Complete: rapid.Bool().Draw(t, "complete")}
			took := time.Duration(rapid.Int64().Draw(t, "took"))
			if rapid.Bool().Draw(t, "tokens") {
				e.ObserveTokens(key, "s", load, took)
			} else {
				work := Work{Prompt: crlid.Tokens(rapid.Int64().Draw(t, "prompt")), Shared: crlid.Tokens(rapid.Int64().Draw(t, "shared"))}
				e.ObserveFirstEvent(key, "s", work, load, took)
			}
			*now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "gap")))
		}
		p := e.Predict(testKey, "s", Work{Prompt: 10_000, Output: 100, Event: 8}, Load{Running: 5})
		if !(p.PromptSeconds > 0 && p.PromptSeconds < 1e5) || !(p.DelaySeconds > 0 && p.DelaySeconds < 1e5) || p.FirstEvent <= 0 || p.Pause <= 0 || p.End <= p.FirstEvent {
			t.Fatalf("prediction out of bounds: %+v", p)
		}
	})
}

// Guards against a time per token that doesn't follow the number of running requests, and one that takes the own requests for all.
func TestTimePerTokenFollowsRunningRequests(t *testing.T) {
	for _, complete := range []bool{true, false} {
		e, now := newTestEstimator("a")
		for i := range 400 {
			running := float64(i % 32)
			e.ObserveTokens(testKey, "s", Load{Running: running, Complete: complete}, time.Duration(3*(0.0026+0.00012*(running+1))*float64(time.Second)))
			*now = now.Add(10 * time.Millisecond)
		}
		p := e.Predict(testKey, "", Work{Output: 1000}, Load{})
		want := 3 * 0.12
		if !complete {
			want = 3 * 0.05 // the initial estimate
		}
		if math.Abs(p.DelaySeconds/want-1) > 0.2 {
			t.Errorf("complete %v: 1000 tokens delay by %.3f s, want %.3f s", complete, p.DelaySeconds, want)
		}
	}
}

// Guards against a model that nobody sent a request to keeping an initial estimate that its service's other models refute.
func TestModelWithoutRequestsFollowsTheOthers(t *testing.T) {
	e, now := newTestEstimator("a")
	for i := range 100 {
		prompt := 5000 + 300*i
		e.ObserveFirstEvent(Key{"engine", "small"}, "s", Work{Prompt: crlid.Tokens(prompt)}, Load{}, time.Duration((0.02+0.3*float64(prompt)/50_000)*float64(time.Second)))
		*now = now.Add(20 * time.Millisecond)
	}
	if rate := e.PromptRate(testKey) * 3; math.Abs(rate/50_000-1) > 0.2 {
		t.Errorf("rate is %.0f for a time factor of 1, want 50000", rate)
	}
	if rate := e.PromptRate(Key{"other", "large"}); rate != initialPromptRate {
		t.Errorf("rate of another service is %.0f, want the initial one", rate)
	}
}

// Guards against forgetting what was learned while no requests come.
func TestEstimatesOutlastAnIdleTime(t *testing.T) {
	e, now := newTestEstimator("a")
	for range 3 {
		for i := range 600 {
			prompt := 5000 + 100*(i%300)
			e.ObserveFirstEvent(testKey, "s", Work{Prompt: crlid.Tokens(prompt)}, Load{}, time.Duration((0.02+3*float64(prompt)/50_000)*float64(time.Second)))
			*now = now.Add(50 * time.Millisecond)
		}
	}
	*now = now.Add(time.Hour)
	e.ObserveFirstEvent(testKey, "s", Work{Prompt: 5000}, Load{}, 320*time.Millisecond)
	if rate := e.PromptRate(testKey) * 3; math.Abs(rate/50_000-1) > 0.2 {
		t.Errorf("rate is %.0f after an hour, want 50000", rate)
	}
}

// TestOneWrongLengthKeepsTheRate guards against an answer that comes long before the stated length of its prompt allows, as of a cached prompt or
// with a wrong length, that makes the router take the engine for many times as fast.
func TestOneWrongLengthKeepsTheRate(t *testing.T) {
	for _, stated := range []crlid.Tokens{12_000, 30_000, 54_600, 100_000} {
		e, now := newTestEstimator("a")
		const rate = 18_900.0 // prompt tokens a second
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 600 {
			*now = now.Add(50 * time.Millisecond)
			prompt := crlid.Tokens(6000 + random.IntN(14_000))
			took := time.Duration((float64(prompt)/rate + 0.04 + 0.02*random.Float64()) * float64(time.Second))
			if i == 400 {
				prompt, took = stated, 100*time.Millisecond
			}
			e.ObserveFirstEvent(testKey, "s", Work{Prompt: prompt}, Load{}, took)
			if got := e.PromptRate(testKey); i >= 400 && math.Abs(got/rate-1) > 0.2 {
				t.Fatalf("%d observations after one with %d stated tokens the rate is %.0f, want %.0f within 20%%", i-400, stated, got, rate)
			}
		}
	}
}

func BenchmarkPredict(b *testing.B) {
	e, _ := newTestEstimator("a")
	e.ObserveTokens(testKey, "s", Load{}, time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		e.Predict(testKey, "s", Work{Prompt: 10_000, Output: 100, Event: 8}, Load{Running: 5})
	}
}

func BenchmarkObserveFirstEvent(b *testing.B) {
	e, now := newTestEstimator("a")
	b.ReportAllocs()
	for b.Loop() {
		e.ObserveFirstEvent(testKey, "s", Work{Prompt: 10_000, Shared: 5000}, Load{}, time.Second)
		*now = now.Add(time.Millisecond)
	}
}
