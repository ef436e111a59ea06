package crlpermit

import (
	"maps"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Parameters of batches, of the latency average and of the detection of a cold server.
const (
	maxBatch          = 8   // most permits that one call asks for, and that a limiter grants in one call (1 if the server is cold)
	minLatencyWeight  = 0.1 // weight of a new sample in the moving average of the latency, after the first samples
	slowLatencyFactor = 4   // an answer is slow if its latency is more than this many times the average
	slowAnswersToCold = 3   // slow answers in a row after which the server counts as cold
	failuresToCold    = 3   // failures in a row after which the server counts as cold
	minLatencySamples = 8   // samples that the average needs before answers are compared with it
)

// Limiter adapts the limit of one server and keeps the permits in use, at the server's home. A server starts cold. Its
// limit grows from the cold to the warm limit as attempts complete, and falls back to the cold limit when the server
// shows signs of a restart: a new boot (the ID of a start of the server), several failures in a row, or several slow
// answers in a row.
type Limiter struct {
	limits              Limits
	limit               int // number of permits that may be in use
	warm                bool
	boot                crlid.Boot
	coldSince           time.Time     // last time that the server was found to be cold
	completions         int           // completions since the limit last grew
	latency             time.Duration // moving average over the answers that weren't slow
	latencySamples      int           // number of answers in the moving average of the latency
	consecutiveSlow     int
	consecutiveFailures int
	inUse               map[PermitID]usedPermit // permits that count as used
	lastNumber          uint64                  // number of the permit granted last
}

// usedPermit is a permit that counts as used.
type usedPermit struct {
	holder    crlid.Incarnation
	expiresAt time.Time // time from which no attempt under the permit can still run
	returned  bool      // the holder returned the permit, but the server may still run the attempt
}

// abortNoticeTime is the time that a server needs to notice that an attempt was aborted.
const abortNoticeTime = 250 * time.Millisecond

// releasedSoon returns the permit marked as returned, to expire after abortNoticeTime at the latest.
func (p usedPermit) releasedSoon(now time.Time) usedPermit {
	p.returned = true
	if expiresAt := now.Add(abortNoticeTime); expiresAt.Before(p.expiresAt) {
		p.expiresAt = expiresAt
	}
	return p
}

// NewLimiter returns the limiter of a server about which nothing is known; the server counts as cold.
func NewLimiter(limits Limits, now time.Time) *Limiter {
	return &Limiter{limits: limits, coldSince: now, limit: min(limits.Cold, limits.Warm), inUse: make(map[PermitID]usedPermit)}
}

// Warm reports whether the limit has grown to the warm limit since the server was last cold.
func (l *Limiter) Warm() bool { return l.warm }

// InUse returns the number of permits that count as used.
func (l *Limiter) InUse() int { return len(l.inUse) }

// SetLimits applies limits from a new configuration.
func (l *Limiter) SetLimits(limits Limits) {
	if limits == l.limits {
		return
	}
	l.limits = limits
	l.limit = min(l.limit, limits.Warm)
	if l.warm {
		l.limit = limits.Warm
	}
}

// grant returns the numbers of at most want new permits: up to one for a cold server, up to maxBatch for a warm one. The
// permits count as used until expiresAt at the latest.
func (l *Limiter) grant(term crlid.Term, holder crlid.Incarnation, want int, expiresAt time.Time) []uint64 {
	free := l.limit - len(l.inUse)
	n := min(want, free, 1)
	if l.warm {
		// Only a quarter of the free permits, to leave some for other daemons.
		n = min(want, max(n, min(maxBatch, free/4)))
	}
	var numbers []uint64
	for range n {
		l.lastNumber++
		numbers = append(numbers, l.lastNumber)
		l.inUse[PermitID{Term: term, Number: l.lastNumber}] = usedPermit{holder: holder, expiresAt: expiresAt}
	}
	return numbers
}

// Inherit counts a permit of an earlier home as used.
func (l *Limiter) Inherit(id PermitID, holder crlid.Incarnation, expiresAt time.Time) {
	l.inUse[id] = usedPermit{holder: holder, expiresAt: expiresAt}
}

// Expire removes the permits under which no attempt can still run.
func (l *Limiter) Expire(now time.Time) {
	maps.DeleteFunc(l.inUse, func(_ PermitID, p usedPermit) bool { return !now.Before(p.expiresAt) })
}

// releaseHolder makes the permits of a holder that has ended expire once the server must have noticed.
func (l *Limiter) releaseHolder(holder crlid.Incarnation, now time.Time) {
	for id, p := range l.inUse {
		if p.holder == holder {
			l.inUse[id] = p.releasedSoon(now)
		}
	}
}

// Return releases a permit, applies the outcome of its attempt to the limit, and reports whether the server turned cold.
// A permit that isn't in use or was already returned is ignored.
func (l *Limiter) Return(id PermitID, outcome Outcome, now time.Time) (cold bool) {
	p, ok := l.inUse[id]
	if !ok || p.returned {
		return false
	}
	delete(l.inUse, id)
	if !outcome.Sent {
		return false
	}
	if outcome.Incomplete {
		l.inUse[id] = p.releasedSoon(now)
	}
	l.recordFirstBoot(outcome.Boot, now)
	if l.indicatesCold(outcome) {
		l.setCold(outcome.Boot, now)
		return true
	}
	if !outcome.Failed {
		l.grow(now)
	}
	return false
}

// ObserveBoot applies the boot that a server stated at the start of an answer and reports whether the server turned cold.
func (l *Limiter) ObserveBoot(boot crlid.Boot, now time.Time) (cold bool) {
	l.recordFirstBoot(boot, now)
	if l.boot == boot {
		return false
	}
	l.setCold(boot, now)
	return true
}

// recordFirstBoot records the first boot that is observed. The server counts as cold since then, as it may have started
// later than the limiter was created.
func (l *Limiter) recordFirstBoot(boot crlid.Boot, now time.Time) {
	if l.boot == "" && boot != "" {
		l.boot, l.coldSince = boot, now
	}
}

// Outcome is the result of an attempt, as far as it bears on the server's limit.
type Outcome struct {
	Sent       bool          `json:"s,omitempty"`
	Failed     bool          `json:"f,omitempty"`
	Incomplete bool          `json:"c,omitempty"` // the answer was not received to its end; the server may still run the attempt
	Boot       crlid.Boot    `json:"b,omitempty"`
	Latency    time.Duration `json:"l,omitempty"`
}

// indicatesCold applies the outcome to the observations and reports whether it indicates that the server restarted or is
// cold: by a new boot, or by failures or slow answers in a row.
func (l *Limiter) indicatesCold(o Outcome) bool {
	if o.Boot != "" {
		known := l.boot
		l.boot = o.Boot
		if known != "" && known != o.Boot {
			return true
		}
	}
	if o.Failed {
		l.consecutiveFailures++
		return l.consecutiveFailures >= failuresToCold
	}
	l.consecutiveFailures = 0
	return l.slowInARow(o.Latency)
}

// slowInARow reports whether slowAnswersToCold answers in a row were slow. A latency that isn't slow goes into the average.
func (l *Limiter) slowInARow(latency time.Duration) bool {
	if latency == 0 {
		return false
	}
	if l.warm && l.latencySamples >= minLatencySamples && latency > slowLatencyFactor*l.latency {
		l.consecutiveSlow++
		return l.consecutiveSlow >= slowAnswersToCold
	}
	l.consecutiveSlow = 0
	l.latencySamples++
	weight := max(minLatencyWeight, 1/float64(l.latencySamples))
	l.latency += time.Duration(weight * float64(latency-l.latency))
	return false
}

// setCold lowers the limit to the cold limit and resets the observations. Permits in use still count, even beyond the
// limit.
func (l *Limiter) setCold(boot crlid.Boot, now time.Time) {
	l.coldSince = now
	l.warm, l.limit, l.completions = false, min(l.limits.Cold, l.limits.Warm), 0
	l.consecutiveSlow, l.consecutiveFailures, l.latencySamples, l.latency = 0, 0, 0, 0
	if boot != "" {
		l.boot = boot
	}
}

// grow counts a completion. It doubles the limit once as many completions were counted as the limit allows permits.
//
// Completions at the cold limit don't show that a cold start is over, so none counts until Limits.ColdTime has passed.
// Then the cold start is over, and the limit may grow to the warm limit.
func (l *Limiter) grow(now time.Time) {
	if l.warm || now.Sub(l.coldSince) < l.limits.ColdTime {
		return
	}
	l.completions++
	if l.completions >= l.limit {
		l.completions = 0
		l.limit = min(2*l.limit, l.limits.Warm)
	}
	l.warm = l.limit >= l.limits.Warm
}
