package crlforward

import (
	"net/http"
	"time"
)

// Refusal is an answer that the router itself gives in place of a backend server's.
type Refusal struct {
	Status     int
	Reason     string        // one of the Reason constants
	RetryAfter time.Duration // time after which the caller should retry, 0 for none
}

// Error returns the reason of the refusal.
func (r *Refusal) Error() string { return r.Reason }

// Reasons of refusals, as logs and answers show them.
const (
	ReasonMalformed       = "malformed-request"
	ReasonTooLarge        = "body-too-large"
	ReasonNoConfiguration = "no-configuration"
	ReasonNoRoute         = "no-route"
	ReasonUnknownKey      = "unknown-key"
	ReasonUnconfirmed     = "configuration-not-proved"
	ReasonDraining        = "draining"
	ReasonOverloaded      = "overloaded"
	ReasonNoServer        = "no-backend-server"
	ReasonNoBudget        = "retry-budget-spent"
	ReasonAttempts        = "attempts-spent"
	ReasonOutcomeUnknown  = "outcome-unknown"
	ReasonRouteTimeout    = "route-timeout"
	ReasonDeadline        = "deadline"
	ReasonCallerLeft      = "caller-left"
)

func newRefusal(status int, reason string) *Refusal { return &Refusal{Status: status, Reason: reason} }

// withRetryAfter sets the time after which the caller should retry, and returns r.
func (r *Refusal) withRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// unavailable returns a refusal with status 503, for a request that no server has run and that the caller should retry.
func unavailable(reason string, after time.Duration) *Refusal {
	return newRefusal(http.StatusServiceUnavailable, reason).withRetryAfter(after)
}
