package crlforward

import (
	"net/http"
	"time"
)

// Refusal is an answer of the system's own in place of a backend server's.
type Refusal struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // RetryAfter is when the caller should come back, 0 when that is of no use.
}

// Error describes the refusal in one line.
func (r *Refusal) Error() string { return r.Reason }

// Reasons of refusals, as they stand in logs and in answers.
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

func (r *Refusal) withRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// unavailable refuses a request that has not run and says when to come back.
func unavailable(reason string, after time.Duration) *Refusal {
	return newRefusal(http.StatusServiceUnavailable, reason).withRetryAfter(after)
}
