package crlpace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Load of the simulated fleet. The times are those of the engines in docs/HARD-LOAD.md.
const (
	longPerSecond  = 69.0  // long prompts per second of all routers
	shortPerSecond = 158.0 // short prompts per second of all routers
	sharedTokens   = 5382
	networkSeconds = 0.006
	eventTokens    = 8
)

// simulatedModel is a model with its true figures and its part of the requests.
type simulatedModel struct {
	key    Key
	factor float64
	part   float64
}

var simulatedModels = []simulatedModel{
	{Key{"engine", "small"}, 0.3, 0.6}, {Key{"engine", "medium"}, 0.8, 0.15}, {Key{"engine", "large"}, 3.0, 0.25},
}

// fleet simulates routers that send requests to engines and exchange what they learned over a tree of two levels.
type fleet struct {
	rate     float64 // prompt tokens per second of an engine for a model with time factor 1
	waiting  float64 // part of the requests that wait in a queue
	meanWait float64 // their mean wait, in seconds
	cached   float64 // part of the requests whose shared part is cached
	speeds   []float64
	now      crlclock.Instant
	random   *rand.Rand
	routers  []*Estimator
}

const fanOut = 16 // followers of one source

func newFleet(routers int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: crlclock.Instant(time.Hour), speeds: []float64{1}}
	for i := range routers {
		e := New(Config{Self: crlid.Incarnation(fmt.Sprintf("router-%d", i)), Now: func() crlclock.Instant { return f.now }})
		for place, m := range simulatedModels {
			e.AddModel(m.key, place, len(simulatedModels))
		}
		f.routers = append(f.routers, e)
	}
	return f
}

// run simulates a time in steps of 10 ms. Each router calls its source twice a second.
func (f *fleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		for range f.poisson(longPerSecond * step.Seconds()) {
			f.request(min(6610*math.Exp(f.random.NormFloat64()-0.5), 54_600), sharedTokens)
		}
		for range f.poisson(shortPerSecond * step.Seconds()) {
			f.request(628, 198)
		}
		tick := int(time.Duration(f.now) / step)
		for i := 1; i < len(f.routers); i++ {
			if (tick+i*7)%50 == 0 {
				f.call(f.routers[i], f.routers[(i-1)/fanOut])
			}
		}
	}
}

func (f *fleet) call(follower, source *Estimator) {
	if reply := source.Reply(follower.Request(false)); reply != nil {
		follower.Learn(reply)
	}
}

func (f *fleet) poisson(mean float64) (n int) {
	for product := f.random.Float64(); product > math.Exp(-mean); n++ {
		product *= f.random.Float64()
	}
	return n
}

// request sends one request of a random router to a random engine.
func (f *fleet) request(unique float64, shared int) {
	router := f.routers[f.random.IntN(len(f.routers))]
	m, x := simulatedModels[0], f.random.Float64()
	for _, m = range simulatedModels {
		if x -= m.part; x < 0 {
			break
		}
	}
	engine := f.random.IntN(len(f.speeds))
	speed := f.speeds[engine]
	server := crlid.Server(fmt.Sprintf("engine-%d", engine))
	work := Work{Prompt: crlid.Tokens(unique) + crlid.Tokens(shared), Shared: crlid.Tokens(shared)}
	prefill := float64(work.Prompt)
	if f.random.Float64() < f.cached {
		prefill -= float64(shared)
	}
	token := m.factor * (0.0026 + 0.00012*f.random.Float64()*20) / speed
	seconds := networkSeconds + m.factor*prefill/f.rate/speed + eventTokens*token
	if f.random.Float64() < f.waiting {
		seconds += f.random.ExpFloat64() * f.meanWait
	}
	router.ObserveFirstEvent(m.key, server, work, Load{}, time.Duration(seconds*float64(time.Second)))
	router.ObserveTokens(m.key, server, Load{}, time.Duration(token*(1+0.1*f.random.ExpFloat64())*float64(time.Second)))
}

// worstError returns the largest relative error of the rates of a model at any router.
func (f *fleet) worstError(m simulatedModel) (worst float64) {
	for _, e := range f.routers {
		worst = max(worst, math.Abs(e.PromptRate(m.key)/(f.rate/m.factor)-1))
	}
	return worst
}

// Guards against estimates that keep to their initial values, take time in queues or cached parts for prefill, or differ between routers
// that send few requests themselves.
func TestRatesAreRightAfterFiveSeconds(t *testing.T) {
	for _, routers := range []int{6, 83, 295} {
		for _, rate := range []float64{48_200, 56_600, 157_000} {
			for _, queue := range []struct {
				name                      string
				waiting, meanWait, cached float64
			}{{"idle", 0, 0, 0}, {"half-waiting", 0.5, 0.3, 0}, {"half-waiting-cached", 0.5, 0.3, 1}, {"half-waiting-half-cached", 0.5, 0.3, 0.5}} {
				t.Run(fmt.Sprintf("%d/%v/%s", routers, rate, queue.name), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(4) {
						f := newFleet(routers, seed)
						f.rate, f.waiting, f.meanWait, f.cached = rate, queue.waiting, queue.meanWait, queue.cached
						f.run(5 * time.Second)
						for _, m := range simulatedModels {
							if worst := f.worstError(m); worst > 0.2 {
								t.Errorf("seed %d: rate of %v is wrong by %.0f%% at a router, want at most 20%%", seed, m.key, 100*worst)
							}
						}
					}
				})
			}
		}
	}
}

// Guards against a bound on late answers that holds the estimate near its initial value.
func TestRateFarFromTheInitialOneIsLearned(t *testing.T) {
	for _, rate := range []float64{10_000, 1_000_000} {
		f := newFleet(6, 1)
		f.rate, f.waiting, f.meanWait = rate, 0.5, 0.3
		f.run(15 * time.Second)
		// A large model's prompts take long enough to show at any rate.
		if worst := f.worstError(simulatedModels[2]); worst > 0.2 {
			t.Errorf("rate %v is wrong by %.0f%% at a router, want at most 20%%", rate, 100*worst)
		}
	}
}

// Guards against taking the speed of the fastest servers for that of the service, and against not telling servers apart.
func TestSpeedsOfServersAreLearned(t *testing.T) {
	f := newFleet(6, 1)
	f.rate = 48_200
	for i := range 30 {
		f.speeds = append(f.speeds[:i], []float64{0.6, 1, 1.6}[i%3])
	}
	f.run(20 * time.Second)
	for _, e := range f.routers {
		slow, usual, fast := e.Speed("engine", "engine-0"), e.Speed("engine", "engine-1"), e.Speed("engine", "engine-2")
		if math.Abs(slow/usual/0.6-1) > 0.2 || math.Abs(fast/usual/1.6-1) > 0.2 {
			t.Errorf("speeds are %.2f, %.2f and %.2f, want 0.6, 1 and 1.6 in proportion", slow, usual, fast)
		}
		if rate := e.PromptRate(simulatedModels[2].key) * 3 * usual; math.Abs(rate/48_200-1) > 0.2 {
			t.Errorf("a usual server's rate is %.0f, want 48200 within 20%%", rate)
		}
	}
}
