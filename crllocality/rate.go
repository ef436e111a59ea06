package crllocality

import (
	"math"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	fastSeconds      = 1.0             // time constant of the average that follows a change of the work sent
	slowSeconds      = 10.0            // time constant of the average used while no change is significant
	changeDeviations = 1.5             // 2 and more left a third of the share in place 2 s after the work of daemons with 4 requests a second had halved
	changeSeconds    = 3 * fastSeconds // time until the short average has followed a change by 95%
)

// rate measures the work sent per second. Few requests per second make a short average inaccurate, so that it replaces the long
// one only if it differs by more than changeDeviations times its standard deviation.
type rate struct {
	fast, slow, variance float64 // variance is that of fast
	started, updated     crlclock.Instant
	changed              crlclock.Instant // time of the latest significant difference, 0 if there was none
}

// add counts work in seconds.
func (r *rate) add(work float64, now crlclock.Instant) {
	r.advance(now)
	r.fast += work / fastSeconds
	r.slow += work / slowSeconds
	r.variance += work * work / (fastSeconds * fastSeconds)
}

func (r *rate) advance(now crlclock.Instant) {
	if r.started == 0 {
		r.started, r.updated = now, now
	}
	elapsed := now.Sub(r.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	r.fast *= math.Exp(-elapsed / fastSeconds)
	r.slow *= math.Exp(-elapsed / slowSeconds)
	r.variance *= math.Exp(-2 * elapsed / fastSeconds)
	r.updated = now
}

// mean returns the work per second, and the lower one of both averages. They are corrected for the time before the first work,
// which they don't cover.
func (r *rate) mean(now crlclock.Instant) (mean, low float64) {
	r.advance(now)
	elapsed := max(now.Sub(r.started).Seconds(), tickSeconds)
	covered := 1 - math.Exp(-elapsed/slowSeconds)
	fast, slow := r.fast/(1-math.Exp(-elapsed/fastSeconds)), r.slow/covered
	if math.Abs(fast-slow) > changeDeviations*math.Sqrt(r.variance) {
		r.changed = now
	}
	if r.changed > 0 && now.Sub(r.changed).Seconds() < changeSeconds {
		r.slow, slow = fast*covered, fast
	}
	return slow, min(fast, slow)
}
