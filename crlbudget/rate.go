package crlbudget

import "github.com/cranberrylock/cranberrylock/crlclock"

// Bucket is a token bucket. The zero Bucket is full. A Bucket is not safe for concurrent use.
type Bucket struct {
	spent     float64 // tokens taken and not refilled yet, as of updatedAt
	updatedAt crlclock.Instant
}

// Limit is a rate in tokens per second, and the largest number of tokens that may be taken at once.
type Limit struct{ PerSecond, Burst float64 }

// Take takes one token and reports whether there was one. The limit may differ between calls; now must not decrease from one
// call to the next.
func (b *Bucket) Take(limit Limit, now crlclock.Instant) bool {
	b.spent = max(0, b.spent-limit.PerSecond*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.spent+1 > limit.Burst {
		return false
	}
	b.spent++
	return true
}
