package crlload

import (
	"math/rand/v2"
	"time"
)

// arrivals draws the arrival times of a Poisson process. It isn't safe for concurrent use.
type arrivals struct {
	random *rand.Rand
	rate   float64       // arrivals per second
	last   time.Duration // latest arrival time, counted from the start of the phase
}

// newArrivals returns the arrivals of a flow in a phase. number differs for each pair of flow and phase, so that the pairs
// have independent arrivals. Equal arguments give equal times.
func newArrivals(seed, number uint64, rate float64) *arrivals {
	return &arrivals{random: rand.New(rand.NewPCG(seed, number)), rate: rate}
}

// next returns the next arrival time, counted from the start of the phase. ok is false if the rate is 0.
func (a *arrivals) next() (at time.Duration, ok bool) {
	if a.rate <= 0 {
		return 0, false
	}
	a.last += time.Duration(a.random.ExpFloat64() / a.rate * float64(time.Second))
	return a.last, true
}
