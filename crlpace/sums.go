package crlpace

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// Indices of sums. Each is a sum over observations, times their weights.
const (
	promptWeight = iota // of long prompts
	promptUnique        // unique tokens of long prompts, in units
	promptShared        // shared tokens of long prompts, in units
	promptSeconds
	uniqueUnique
	uniqueShared
	sharedShared
	uniqueSeconds
	sharedSeconds
	shortWeight // of shorter prompts
	shortTokens // all tokens of shorter prompts, in units
	shortSeconds
	tokenWeight // of observed times per token
	tokenRunning
	tokenSeconds
	runningRunning
	runningSeconds
	sumCount
)

// sums holds what was observed of one service and model.
type sums [sumCount]float64

func (s *sums) add(other *sums) {
	for i := range s {
		s[i] += other[i]
	}
}

func (s *sums) scale(factor float64) {
	for i := range s {
		s[i] *= factor
	}
}

// uniqueSpread returns the weighted sum of the squares by which the unique parts of long prompts differ from their mean.
func (s *sums) uniqueSpread() float64 {
	if s[promptWeight] == 0 {
		return 0
	}
	return max(0, s[uniqueUnique]-s[promptUnique]*s[promptUnique]/s[promptWeight])
}

const (
	maxWeight  = 100_000.0 // above any sum of weights that a fleet reaches within decayTime
	maxRunning = 100_000   // running requests
	// roundingError is the part of a sum of squares by which rounding to 32 bits may make it too small for its mean.
	roundingError = 1e-4
)

// plausible reports whether sums can come from observations.
func (s *sums) plausible() bool {
	for _, v := range s {
		if !isFinite(v) {
			return false
		}
	}
	// A mean time per token may be negative where the effect of running requests was subtracted.
	longest, largest := maxTime.Seconds(), maxTokens/unit*10
	return groupPlausible(s[promptWeight], s[promptUnique], s[uniqueUnique], s[promptSeconds], s[uniqueSeconds], largest, longest) &&
		groupPlausible(s[promptWeight], s[promptShared], s[sharedShared], s[promptSeconds], s[sharedSeconds], largest, longest) &&
		s[uniqueShared] >= 0 && s[uniqueShared]*s[uniqueShared] <= s[uniqueUnique]*s[sharedShared]*(1+roundingError) &&
		s[shortWeight] >= 0 && s[shortWeight] <= maxWeight && within(s[shortTokens], s[shortWeight]*largest) && within(s[shortSeconds], s[shortWeight]*longest) &&
		groupPlausible(s[tokenWeight], s[tokenRunning], s[runningRunning], max(s[tokenSeconds], 0), max(s[runningSeconds], 0), maxRunning+1, longest) &&
		s[tokenSeconds] >= -s[tokenWeight]*longest
}

// groupPlausible reports whether the sums of a weight, a variable, its square, the seconds and their product are possible.
func groupPlausible(weight, variable, squares, seconds, product, largest, longest float64) bool {
	return weight >= 0 && weight <= maxWeight && within(variable, weight*largest) && within(squares, variable*largest) &&
		variable*variable <= weight*squares*(1+roundingError) && within(seconds, weight*longest) && within(product, variable*longest)
}

func within(value, limit float64) bool { return value >= 0 && value <= limit*(1+roundingError) }

// decayTime is the time constant with which observations lose weight. Within it, one long prompt a second from all daemons still gives a
// line, and a change of the servers shows.
const decayTime = 15 * time.Second

// decayFactor returns what is left of a weight after a time.
func decayFactor(age, constant time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / constant.Seconds())
}

// decaying is sums that lose weight with time.
type decaying struct {
	sums    sums
	updated crlclock.Instant
}

func (d *decaying) at(now crlclock.Instant) sums {
	s := d.sums
	s.scale(decayFactor(now.Sub(d.updated), decayTime))
	return s
}

func (d *decaying) add(sample sums, now crlclock.Instant) {
	d.sums = d.at(now)
	d.sums.add(&sample)
	d.updated = now
}
