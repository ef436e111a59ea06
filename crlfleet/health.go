package crlfleet

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	suspectAfterFailures = 3               // consecutive failures that start a backoff
	suspectFailureShare  = 0.4             // share of failures among recent sends above which a backoff starts
	suspectMinSends      = 6.0             // suspectFailureShare applies once recentSends is at least one less than this
	minBackoff           = 2 * time.Second // a server's first backoff time; each further one is twice as long, up to maxBackoff
	maxBackoff           = 16 * time.Second
	maxSuspectShare      = 0.5 // largest share of a service's servers that may be in a backoff time at once
	recentDecay          = 0.9 // factor by which each send reduces the weight of the sends before it
	newestWeight         = 0.2 // weight of the newest value in an average
	maxLatencyFactor     = 8.0 // largest multiple of the expected latency that one slow answer adds to an average
)

// average is an exponentially weighted moving average.
type average struct{ value, weight float64 }

func (a *average) add(value float64) {
	a.value = a.value*(1-newestWeight) + value*newestWeight
	a.weight = a.weight*(1-newestWeight) + newestWeight
}

// mean returns the average, in which prior has the weight of one new value. It returns prior if a is nil or empty.
func (a *average) mean(prior float64) float64 {
	if a == nil || a.weight == 0 {
		return prior
	}
	return (a.value + prior*newestWeight) / (a.weight + newestWeight)
}

// health is what this daemon's requests showed about a server.
type health struct {
	consecutiveFailures int
	recentFailures      float64 // the failed ones among recentSends, with the same decay
	recentSends         float64 // number of failed and successful sends, decayed by recentDecay with each newer one
	backoffs            int     // number of backoffs since the last successful send
	backoffUntil        crlclock.Instant
	wait                float64 // smoothed time to the first byte beyond the expected one, in seconds, as of waitedAt
	waitedAt            crlclock.Instant
	latency             average // time to the first byte as a multiple of the expected one
}

// recordFailure counts a failed send and reports whether the server should back off.
func (h *health) recordFailure() bool {
	h.consecutiveFailures++
	h.recentFailures = h.recentFailures*recentDecay + 1
	h.recentSends = h.recentSends*recentDecay + 1
	return h.consecutiveFailures >= suspectAfterFailures ||
		h.recentSends >= suspectMinSends*(1-1/suspectMinSends) && h.recentFailures > suspectFailureShare*h.recentSends
}

// recordAnswer counts a successful send.
func (h *health) recordAnswer() {
	h.consecutiveFailures = 0
	h.recentFailures *= recentDecay
	h.recentSends = h.recentSends*recentDecay + 1
}

// backOff starts a backoff time and returns its length, which doubles with each backoff until a send succeeds.
func (h *health) backOff(now crlclock.Instant) time.Duration {
	length := min(minBackoff<<min(h.backoffs, 8), maxBackoff) // The shift is bounded so that it can't overflow.
	h.backoffs++
	h.backoffUntil = now.Add(length)
	h.consecutiveFailures, h.recentFailures, h.recentSends = 0, 0, 0
	return length
}

// recordWait adds an observed time to the first byte beyond the expected one to the smoothed wait.
func (h *health) recordWait(wait time.Duration, now crlclock.Instant) {
	const weight = 0.5 // weight of the newest wait in the smoothed one; high because a queue changes within a second
	h.wait = h.decayedWait(now)*(1-weight) + wait.Seconds()*weight
	h.waitedAt = now
}

// decayedWait returns the smoothed wait in seconds, which decays exponentially with its age.
func (h *health) decayedWait(now crlclock.Instant) float64 {
	return h.wait * math.Exp(-now.Sub(h.waitedAt).Seconds()/waitDecaySeconds)
}
