package crlfleet

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	suspectAfter  = 3                // suspectAfter is the number of failures in a row that make a server rest.
	suspectShare  = 0.4              // suspectShare is the share of failures that makes a server rest.
	suspectAmong  = 6.0              // suspectAmong is the number of recent answers from which the share counts.
	firstRest     = 2 * time.Second  // firstRest is a server's first rest; each further one doubles.
	longestRest   = 16 * time.Second // longestRest bounds the rests.
	maxSuspects   = 0.5              // maxSuspects is the part of a service's servers that may rest at once.
	fade          = 0.9              // fade is the weight of what was seen before the newest answer.
	slowWeight    = 0.2              // slowWeight is the weight of the newest latency.
	longestFactor = 8.0              // longestFactor bounds how slow one answer can make a server look.
)

// average is an exponentially weighted mean.
type average struct{ value, weight float64 }

func (a *average) add(value float64) {
	a.value = a.value*(1-slowWeight) + value*slowWeight
	a.weight = a.weight*(1-slowWeight) + slowWeight
}

func (a *average) mean(prior float64) float64 {
	if a == nil || a.weight == 0 {
		return prior
	}
	return (a.value + prior*slowWeight) / (a.weight + slowWeight)
}

// health is what the daemon's own requests showed of a server.
type health struct {
	inRow      int
	failures   float64
	answers    float64
	rests      int
	restsUntil crlclock.Instant
	wait       float64 // wait is the newest wait beyond what was expected, in seconds, smoothed.
	waitedAt   crlclock.Instant
	latency    average // latency is the time to the first byte over what was expected.
}

// failed takes a failure and reports whether the server should rest now.
func (h *health) failed() bool {
	h.inRow++
	h.failures = h.failures*fade + 1
	h.answers = h.answers*fade + 1
	return h.inRow >= suspectAfter || h.answers >= suspectAmong*(1-1/suspectAmong) && h.failures > suspectShare*h.answers
}

func (h *health) answered() {
	h.inRow = 0
	h.failures *= fade
	h.answers = h.answers*fade + 1
}

// rest sends the server to rest for a time that grows with each rest in a row.
func (h *health) rest(now crlclock.Instant) time.Duration {
	length := min(firstRest<<min(h.rests, 8), longestRest)
	h.rests++
	h.restsUntil = now.Add(length)
	h.inRow, h.failures, h.answers = 0, 0, 0
	return length
}

// waited takes a wait beyond what was expected.
func (h *health) waited(wait time.Duration, now crlclock.Instant) {
	const weight = 0.5 // weight of the newest wait, since a queue changes within a second.
	h.wait = h.recentWait(now)*(1-weight) + wait.Seconds()*weight
	h.waitedAt = now
}

// recentWait returns the waits seen lately, less the longer ago they were.
func (h *health) recentWait(now crlclock.Instant) float64 {
	return h.wait * math.Exp(-now.Sub(h.waitedAt).Seconds()/waitMemory)
}
