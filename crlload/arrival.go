package crlload

import (
	"math/rand/v2"
	"time"
)

// arrivals draws the moments of a Poisson process.
type arrivals struct {
	random *rand.Rand
	rate   float64 // rate is the number of arrivals per second.
	last   time.Duration
}

// newArrivals returns the arrivals of a flow; equal seeds and numbers give equal moments.
func newArrivals(seed, number uint64, rate float64) *arrivals {
	return &arrivals{random: rand.New(rand.NewPCG(seed, number)), rate: rate}
}

// next returns the next moment, counted from the start; ok is false for a rate of 0.
func (a *arrivals) next() (at time.Duration, ok bool) {
	if a.rate <= 0 {
		return 0, false
	}
	a.last += time.Duration(a.random.ExpFloat64() / a.rate * float64(time.Second))
	return a.last, true
}
