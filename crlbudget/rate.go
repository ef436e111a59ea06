package crlbudget

import "github.com/cranberrylock/cranberrylock/crlclock"

// Bucket is a token bucket: a rate with a burst. The zero Bucket is full.
type Bucket struct {
	spent     float64
	updatedAt crlclock.Instant
}

// Limit is a rate per second with the most that may be taken at once.
type Limit struct{ PerSecond, Burst float64 }

// Take takes one token, or reports that there is none.
func (b *Bucket) Take(limit Limit, now crlclock.Instant) bool {
	b.spent = max(0, b.spent-limit.PerSecond*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.spent+1 > limit.Burst {
		return false
	}
	b.spent++
	return true
}
