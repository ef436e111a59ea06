package crlfleet

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	suspectAfterFailures = 3                // suspectAfter is the number of failures in a row that make a server rest.
	suspectFailureShare  = 0.4              // suspectShare is the share of failures that makes a server rest.
	suspectMinAnswers    = 6.0              // suspectAmong is the number of recent answers from which the share counts.
	minBackoff           = 2 * time.Second  // firstRest is a server's first rest; each further one doubles.
	maxBackoff           = 16 * time.Second // longestRest bounds the rests.
	maxSuspectShare      = 0.5              // maxSuspects is the part of a service's servers that may rest at once.
	answerDecay          = 0.9              // fade is the weight of what was seen before the newest answer.
	newestWeight         = 0.2              // slowWeight is the weight of the newest latency.
	maxLatencyFactor     = 8.0              // longestFactor bounds how slow one answer can make a server look.
)

// average is an exponentially weighted mean.
type average struct{ value, weight float64 }

func (a *average) add(value float64) {
	a.value = a.value*(1-newestWeight) + value*newestWeight
	a.weight = a.weight*(1-newestWeight) + newestWeight
}

func (a *average) mean(prior float64) float64 {
	if a == nil || a.weight == 0 {
		return prior
	}
	return (a.value + prior*newestWeight) / (a.weight + newestWeight)
}

// health is what the daemon's own requests showed of a server.
type health struct {
	consecutiveFailures int
	failures            float64
	answers             float64
	backoffs            int
	backoffUntil        crlclock.Instant
	wait                float64 // wait is the newest wait beyond what was expected, in seconds, smoothed.
	waitedAt            crlclock.Instant
	latency             average // latency is the time to the first byte over what was expected.
}

// failed takes a failure and reports whether the server should rest now.
func (h *health) recordFailure() bool {
	h.consecutiveFailures++
	h.failures = h.failures*answerDecay + 1
	h.answers = h.answers*answerDecay + 1
	return h.consecutiveFailures >= suspectAfterFailures || h.answers >= suspectMinAnswers*(1-1/suspectMinAnswers) && h.failures > suspectFailureShare*h.answers
}

func (h *health) recordAnswer() {
	h.consecutiveFailures = 0
	h.failures *= answerDecay
	h.answers = h.answers*answerDecay + 1
}

// rest sends the server to rest for a time that grows with each rest in a row.
func (h *health) backOff(now crlclock.Instant) time.Duration {
	length := min(minBackoff<<min(h.backoffs, 8), maxBackoff)
	h.backoffs++
	h.backoffUntil = now.Add(length)
	h.consecutiveFailures, h.failures, h.answers = 0, 0, 0
	return length
}

// waited takes a wait beyond what was expected.
func (h *health) recordWait(wait time.Duration, now crlclock.Instant) {
	const weight = 0.5 // weight of the newest wait, since a queue changes within a second.
	h.wait = h.decayedWait(now)*(1-weight) + wait.Seconds()*weight
	h.waitedAt = now
}

// recentWait returns the waits seen lately, less the longer ago they were.
func (h *health) decayedWait(now crlclock.Instant) float64 {
	return h.wait * math.Exp(-now.Sub(h.waitedAt).Seconds()/waitDecaySeconds)
}
