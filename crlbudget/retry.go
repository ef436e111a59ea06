package crlbudget

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// buckets is the number of parts that a window is counted in.
const buckets = 20

// RetryConfig configures a Retry.
type RetryConfig struct {
	Ratio  float64       // Ratio is the extra sends allowed for each request in a window.
	Slack  float64       // Slack is the extra sends that all daemons may make beyond that in a window.
	Window time.Duration // Window is the length of the sliding window.
	Share  func() float64
}

// Retry bounds the sends beyond the first of each request, for each service.
type Retry struct {
	config   RetryConfig
	mu       sync.Mutex // mu guards services.
	services map[crlid.Service]*window
}

// window counts requests and extra sends in the last buckets, and one bucket more so that every span is covered.
type window struct {
	at       int64
	requests [buckets + 1]float64
	extras   [buckets + 1]float64
}

// NewRetry returns a budget of which nothing is spent.
func NewRetry(config RetryConfig) *Retry {
	return &Retry{config: config, services: make(map[crlid.Service]*window)}
}

// Request counts a request of a service.
func (r *Retry) Request(service crlid.Service, now crlclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service, now)
	w.requests[w.at%(buckets+1)]++
}

// Margins keep part of the budget for sends that matter more.
const (
	MarginNone    = 1.0 // MarginNone is for sends after a failure.
	MarginCascade = 0.8 // MarginCascade leaves a fifth of the budget to failures.
)

// Spend takes one extra send of a service, or reports that there is none left below the margin.
func (r *Retry) Spend(service crlid.Service, margin float64, now crlclock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service, now)
	var requests, extras float64
	for i := range w.requests {
		requests += w.requests[i]
		extras += w.extras[i]
	}
	// The requests of the bucket that leaves the window next don't count, so that the bound holds for every span.
	requests -= w.requests[(w.at+1)%(buckets+1)]
	if extras+1 > margin*(r.config.Ratio*requests+r.config.Slack*r.config.Share()) {
		return false
	}
	w.extras[w.at%(buckets+1)]++
	return true
}

func (r *Retry) window(service crlid.Service, now crlclock.Instant) *window {
	w, ok := r.services[service]
	if !ok {
		w = &window{}
		r.services[service] = w
	}
	at := int64(now) * buckets / int64(r.config.Window)
	if w.at < at-buckets-1 {
		w.at = at - buckets - 1
	}
	for w.at < at {
		w.at++
		w.requests[w.at%(buckets+1)], w.extras[w.at%(buckets+1)] = 0, 0
	}
	return w
}
