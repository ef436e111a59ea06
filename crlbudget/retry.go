package crlbudget

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// RetryBudgetConfig configures a RetryBudget.
type RetryBudgetConfig struct {
	Ratio  float64        // extra sends allowed per request in a window
	Slack  float64        // extra sends beyond the ratio that all daemons together may make in a window
	Window time.Duration  // length of the sliding window
	Share  func() float64 // returns this daemon's share of Slack, from 0 to 1
}

// RetryBudget bounds the extra sends of each service: the sends beyond the first one of each request. It is safe for
// concurrent use.
//
// Each service has a bucket of extra sends. A request adds two thirds of Ratio
// to it. The bucket holds at most the daemon's share of Slack plus a third of
// Ratio for each request of the last window. The extra sends of a daemon in
// any window are thereby bounded by its requests in that window and in the one
// before. The sum over all daemons is at most Slack plus Ratio times the
// requests in the larger of both windows, however callers move between daemons.
type RetryBudget struct {
	config   RetryBudgetConfig
	mu       sync.Mutex // guards services
	services map[crlid.Service]*serviceBudget
}

// Fractions of the ratio. Their sum must be 1, or the bound doesn't hold.
const (
	// fillFraction of Ratio is added to the bucket by each request. It allows for the escalations of two in five streams.
	fillFraction = 2.0 / 3
	// windowFraction of Ratio is added to the bucket's capacity by each request of the last window. It allows for a crash of a
	// server, which breaks all its streams at once.
	windowFraction = 1.0 / 3
)

// serviceBudget is the bucket of one service, with the service's requests in the last window.
type serviceBudget struct {
	available float64              // extra sends left in the bucket
	slot      int64                // number of the newest slot of the window, counted from the origin of the clock
	requests  [windowSlots]float64 // number of requests in each slot, by the slot's number modulo windowSlots
}

// windowSlots is the number of slots of equal length in which the requests of a window are counted.
const windowSlots = 20

// NewRetryBudget returns a budget that has counted no requests. Each service starts with this daemon's share of Slack.
func NewRetryBudget(config RetryBudgetConfig) *RetryBudget {
	return &RetryBudget{config: config, services: make(map[crlid.Service]*serviceBudget)}
}

// RecordRequest counts a request of a service. It must be called once for a request, not for each send.
func (r *RetryBudget) RecordRequest(service crlid.Service, now crlclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.serviceBudget(service, now)
	b.requests[b.slot%windowSlots]++
	b.available = min(b.available+fillFraction*r.config.Ratio, r.capacity(b))
}

// Fractions of the bucket that an extra send may use; the rest is reserved for more important sends.
const (
	UsableAfterFailure = 1.0 // part of the bucket that a send after a failure may use
	// UsableForEscalation is for sends to a larger model. It reserves a quarter of the bucket for sends after a failure;
	// reserving half of it blocked 17% of the escalations in the first second.
	UsableForEscalation = 0.75
)

// Spend takes one extra send of a service from the budget and reports whether the usable fraction of the bucket had one left.
func (r *RetryBudget) Spend(service crlid.Service, usable float64, now crlclock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.serviceBudget(service, now)
	limit := r.capacity(b)
	b.available = min(b.available, limit)
	// The reserve is limited so that an escalation may take one send from a full bucket, also when the daemon's share of Slack
	// is so small that the bucket holds little more than one.
	if reserved := max(0, min((1-usable)*limit, limit-1)); b.available-1 < reserved {
		return false
	}
	b.available--
	return true
}

// capacity returns the largest number of extra sends that the bucket may hold.
func (r *RetryBudget) capacity(b *serviceBudget) float64 {
	// The oldest slot, which is the next to be cleared, is left out so that no request counts for longer than a window.
	requests := -b.requests[(b.slot+1)%windowSlots]
	for _, n := range b.requests {
		requests += n
	}
	return r.config.Slack*r.config.Share() + windowFraction*r.config.Ratio*requests
}

// serviceBudget returns the budget of a service, from which the requests that are older than the window have been dropped.
func (r *RetryBudget) serviceBudget(service crlid.Service, now crlclock.Instant) *serviceBudget {
	b, ok := r.services[service]
	if !ok {
		b = &serviceBudget{available: r.config.Slack * r.config.Share()}
		r.services[service] = b
	}
	slot := int64(now) * windowSlots / int64(r.config.Window)
	if b.slot < slot-windowSlots {
		b.slot = slot - windowSlots
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%windowSlots] = 0
	}
	return b
}
