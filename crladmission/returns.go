package crladmission

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	minRetryAfter = 50 * time.Millisecond
	// maxRetryShare is the part of the time left up to which callers honour a Retry-After.
	maxRetryShare = 1.0 / 3
	// overloadReturnShare is the part of the measured drain that is planned for callers who return after an overload, as new requests need the
	// rest.
	overloadReturnShare = 0.5
	// outageReturnShare is the same after an outage of the router's configuration, relative to the rate of requests before. The servers are idle then.
	outageReturnShare = 1.0
	// clampSpread is the part of the longest Retry-After over which callers are spread who would return later than they can.
	clampSpread = 0.5
)

// returns plans when callers return after a rejection. It is a virtual queue that is served by rank, and in each rank callers who were
// rejected before come first. The zero value is empty.
type returns struct {
	waiting [classes]float64 // callers who were told to return and have not been served yet, by class
	at      crlclock.Instant
	spread  float64 // position of the newest clamped caller in its spread, in [0, 1)
}

// class returns the index of a caller in waiting. Lower classes are served first.
func class(rank int, returned bool) int {
	if returned {
		return 2 * rank
	}
	return 2*rank + 1
}

// serve removes the callers who have been served since the last call, at a rate in callers per second.
func (r *returns) serve(rate float64, now crlclock.Instant) {
	served := rate * max(now.Sub(r.at), 0).Seconds()
	r.at = max(r.at, now)
	for i := range r.waiting {
		part := min(served, r.waiting[i])
		r.waiting[i] -= part
		served -= part
	}
}

// goldenRatio is the fractional part of the golden ratio; its multiples modulo 1 spread evenly at any count.
const goldenRatio = 0.6180339887498949

// reserve returns the time after which a caller should return: first, plus the time in which those before it are served at a rate in callers
// per second. A rate of 0 or less stands for one that is not known; then callers are spread over first itself.
func (r *returns) reserve(class int, rate float64, first, left time.Duration, now crlclock.Instant) time.Duration {
	r.spread += goldenRatio
	r.spread -= float64(int(r.spread))
	longest := max(time.Duration(maxRetryShare*float64(max(left, 0))), minRetryAfter)
	if rate <= 0 {
		return clamp(first+time.Duration(r.spread*float64(first)), longest, r.spread)
	}
	r.serve(rate, now)
	before := 0.0
	for _, n := range r.waiting[:class+1] {
		before += n
	}
	r.waiting[class]++
	seconds := min(before/rate, maxReturnSeconds)
	return clamp(first+time.Duration(seconds*float64(time.Second)), longest, r.spread)
}

// maxReturnSeconds bounds a planned return before it is converted to a Duration.
const maxReturnSeconds = 3600

// clamp limits a Retry-After to the range that callers honour. Those above it are spread, so that they don't all return at its end.
func clamp(after, longest time.Duration, spread float64) time.Duration {
	if after > longest {
		after = time.Duration(float64(longest) * (1 - clampSpread*spread))
	}
	return max(after, minRetryAfter)
}
