package crlbudget

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// RetryConfig configures a Retry.
type RetryBudgetConfig struct {
	Ratio  float64        // Ratio is the extra sends allowed for each request in a window.
	Slack  float64        // Slack is the extra sends that all daemons may make beyond that in a window.
	Window time.Duration  // Window is the length of the sliding window.
	Share  func() float64 // Share is this daemon's part of the slack, from 0 to 1.
}

// Retry bounds the sends beyond the first of each request, for each service.
//
// Each service has a bucket of extra sends. A request fills it by two thirds of
// the ratio; it holds at most the daemon's part of the slack and a third of the
// ratio for each request of the last window. So a daemon's sends in any window
// are bounded by what it was asked in that window and the one before, and the
// sum over all daemons by Ratio times the larger of both windows, plus Slack,
// whatever way callers take between the daemons.
type RetryBudget struct {
	config   RetryBudgetConfig
	mu       sync.Mutex // mu guards services.
	services map[crlid.Service]*serviceBudget
}

// Parts of the ratio; their sum must be 1 or the bound doesn't hold.
const (
	fillFraction   = 2.0 / 3 // filledPart leaves room for the two in five streams that smaller models leave to larger ones.
	windowFraction = 1.0 / 3 // bankedPart covers the streams of a server that crashes, which break all at once.
)

// account is the bucket of one service and its requests of the last window.
type serviceBudget struct {
	available float64
	slot      int64
	requests  [windowSlots]float64
}

// buckets is the number of parts that a window is counted in.
const windowSlots = 20

// NewRetry returns a budget of which nothing is spent.
func NewRetryBudget(config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, services: make(map[crlid.Service]*serviceBudget)}
}

// Request counts a request of a service.
func (r *RetryBudget) RecordRequest(service crlid.Service, now crlclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.serviceBudget(service, now)
	a.requests[a.slot%windowSlots]++
	a.available = min(a.available+fillFraction*r.config.Ratio, r.capacity(a))
}

// Margins keep part of the budget for sends that matter more.
const (
	UsableAfterFailure = 1.0  // MarginNone is for sends after a failure.
	UsableForCascade   = 0.75 // MarginCascade leaves a quarter of the bucket to failures; half held back 17% of the cascades of a first second.
)

// Spend takes one extra send of a service, or reports that there is none left below the margin.
func (r *RetryBudget) Spend(service crlid.Service, margin float64, now crlclock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.serviceBudget(service, now)
	limit := r.capacity(a)
	a.available = min(a.available, limit)
	// A cascade may take the only send that a small part of the slack has room for.
	if kept := max(0, min((1-margin)*limit, limit-1)); a.available-1 < kept {
		return false
	}
	a.available--
	return true
}

// limit returns what the bucket may hold.
func (r *RetryBudget) capacity(a *serviceBudget) float64 {
	// The oldest bucket of the window is replaced step by step and doesn't count, so that no request counts too long.
	requests := -a.requests[(a.slot+1)%windowSlots]
	for _, n := range a.requests {
		requests += n
	}
	return r.config.Slack*r.config.Share() + windowFraction*r.config.Ratio*requests
}

// account returns the account of a service, of which requests older than the window are forgotten.
func (r *RetryBudget) serviceBudget(service crlid.Service, now crlclock.Instant) *serviceBudget {
	a, ok := r.services[service]
	if !ok {
		a = &serviceBudget{available: r.config.Slack * r.config.Share()}
		r.services[service] = a
	}
	at := int64(now) * windowSlots / int64(r.config.Window)
	if a.slot < at-windowSlots {
		a.slot = at - windowSlots
	}
	for a.slot < at {
		a.slot++
		a.requests[a.slot%windowSlots] = 0
	}
	return a
}
