package crlpermit

import (
	"maps"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Bounds of what a Book learns of its server.
const (
	maxBatch          = 8
	minLatencyWeight  = 0.1
	slowLatencyFactor = 4
	slowAnswersToCold = 3
	failuresToCold    = 3
	minLatencySamples = 8
)

// Book is the state of one server's limit at its home.
type Limiter struct {
	limits              Limits
	limit               int // limit is the number of permits that may be out.
	warm                bool
	boot                crlid.Boot
	coldSince           time.Time // cold is when the server was last taken to be cold.
	completions         int       // done counts completions since the limit last grew.
	latency             time.Duration
	latencySamples      int
	consecutiveSlow     int
	consecutiveFailures int
	inUse               map[PermitID]usedPermit
	lastNumber          uint64
}

// hold is a permit that is out.
type usedPermit struct {
	holder    crlid.Incarnation
	expiresAt time.Time // until is when no attempt under it can still run.
	returned  bool      // back is true once it was given back while its server may still run the attempt.
}

// cutLinger is the time that a server needs to notice that an attempt was given up.
const abortNoticeTime = 250 * time.Millisecond

func (h usedPermit) releasedSoon(now time.Time) usedPermit {
	h.returned = true
	if until := now.Add(abortNoticeTime); until.Before(h.expiresAt) {
		h.expiresAt = until
	}
	return h
}

// NewBook returns the book of a server of which nothing is known, so that it is cold.
func NewLimiter(limits Limits, now time.Time) *Limiter {
	return &Limiter{limits: limits, coldSince: now, limit: min(limits.Cold, limits.Warm), inUse: make(map[PermitID]usedPermit)}
}

// Warm reports whether the server bears its warm limit.
func (b *Limiter) Warm() bool { return b.warm }

// Out returns the number of permits that count as used.
func (b *Limiter) InUse() int { return len(b.inUse) }

// SetLimits takes over changed limits of the configuration.
func (b *Limiter) SetLimits(limits Limits) {
	if limits == b.limits {
		return
	}
	b.limits = limits
	b.limit = min(b.limit, limits.Warm)
	if b.warm {
		b.limit = limits.Warm
	}
}

// grant returns the numbers of at most want new permits: one from a cold server, a batch from a warm one.
func (b *Limiter) grant(term crlid.Term, holder crlid.Incarnation, want int, until time.Time) []uint64 {
	free := b.limit - len(b.inUse)
	n := min(want, free, 1)
	if b.warm {
		// A quarter of what is free leaves room for the other daemons.
		n = min(want, max(n, min(maxBatch, free/4)))
	}
	var numbers []uint64
	for range n {
		b.lastNumber++
		numbers = append(numbers, b.lastNumber)
		b.inUse[PermitID{Term: term, Number: b.lastNumber}] = usedPermit{holder: holder, expiresAt: until}
	}
	return numbers
}

// Inherit counts a permit of an earlier home as used.
func (b *Limiter) Inherit(name PermitID, holder crlid.Incarnation, until time.Time) {
	b.inUse[name] = usedPermit{holder: holder, expiresAt: until}
}

// Expire frees the permits under which no attempt can still run.
func (b *Limiter) Expire(now time.Time) {
	maps.DeleteFunc(b.inUse, func(_ PermitID, h usedPermit) bool { return !now.Before(h.expiresAt) })
}

// drop frees the permits of a holder that has ended, once the server has noticed.
func (b *Limiter) releaseHolder(holder crlid.Incarnation, now time.Time) {
	for name, h := range b.inUse {
		if h.holder == holder {
			b.inUse[name] = h.releasedSoon(now)
		}
	}
}

// Done takes a permit back, once, and reports whether the server turned cold.
func (b *Limiter) Return(name PermitID, report Outcome, now time.Time) (cold bool) {
	h, ok := b.inUse[name]
	if !ok || h.returned {
		return false
	}
	delete(b.inUse, name)
	if !report.Sent {
		return false
	}
	if report.Incomplete {
		b.inUse[name] = h.releasedSoon(now)
	}
	b.learnFirstBoot(report.Boot, now)
	if b.indicatesCold(report) {
		b.setCold(report.Boot, now)
		return true
	}
	if !report.Failed {
		b.grow(now)
	}
	return false
}

// Seen takes in the boot of a server that began to answer and reports whether the server turned cold.
func (b *Limiter) ObserveBoot(boot crlid.Boot, now time.Time) (cold bool) {
	b.learnFirstBoot(boot, now)
	if b.boot == boot {
		return false
	}
	b.setCold(boot, now)
	return true
}

// meet takes in the first boot that the book hears of, which may be younger than the book.
func (b *Limiter) learnFirstBoot(boot crlid.Boot, now time.Time) {
	if b.boot == "" && boot != "" {
		b.boot, b.coldSince = boot, now
	}
}

// Outcome is what an attempt showed of its server.
type Outcome struct {
	Sent       bool          `json:"s,omitempty"`
	Failed     bool          `json:"f,omitempty"`
	Incomplete bool          `json:"c,omitempty"` // Cut is true when the answer did not end, so that the server may not have noticed yet.
	Boot       crlid.Boot    `json:"b,omitempty"`
	Latency    time.Duration `json:"l,omitempty"`
}

// unlike reports whether the attempt shows another server than the one that was learned.
func (b *Limiter) indicatesCold(o Outcome) bool {
	if o.Boot != "" {
		known := b.boot
		b.boot = o.Boot
		if known != "" && known != o.Boot {
			return true
		}
	}
	if o.Failed {
		b.consecutiveFailures++
		return b.consecutiveFailures >= failuresToCold
	}
	b.consecutiveFailures = 0
	return b.slowInARow(o.Latency)
}

// late learns the usual latency and reports whether several in a row were far above it.
func (b *Limiter) slowInARow(latency time.Duration) bool {
	if latency == 0 {
		return false
	}
	if b.warm && b.latencySamples >= minLatencySamples && latency > slowLatencyFactor*b.latency {
		b.consecutiveSlow++
		return b.consecutiveSlow >= slowAnswersToCold
	}
	b.consecutiveSlow = 0
	b.latencySamples++
	weight := max(minLatencyWeight, 1/float64(b.latencySamples))
	b.latency += time.Duration(weight * float64(latency-b.latency))
	return false
}

// chill returns the server to the cold limit, whatever permits are out.
func (b *Limiter) setCold(boot crlid.Boot, now time.Time) {
	b.coldSince = now
	b.warm, b.limit, b.completions = false, min(b.limits.Cold, b.limits.Warm), 0
	b.consecutiveSlow, b.consecutiveFailures, b.latencySamples, b.latency = 0, 0, 0, 0
	if boot != "" {
		b.boot = boot
	}
}

// grow doubles the limit after as many completions as the limit has permits.
//
// Completions under the cold limit don't show that a cold start is over, so
// none counts before it must be. After that the server is past it, and only
// the warm limit itself is yet to be seen.
func (b *Limiter) grow(now time.Time) {
	if b.warm || now.Sub(b.coldSince) < b.limits.ColdTime {
		return
	}
	b.completions++
	if b.completions >= b.limit {
		b.completions = 0
		b.limit = min(2*b.limit, b.limits.Warm)
	}
	b.warm = b.limit >= b.limits.Warm
}
