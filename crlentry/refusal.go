package crlentry

import (
	"fmt"
	"net/http"
	"time"
)

//go:generate go tool enumer -type=Code -trimprefix=Code -transform=kebab -json -text -output=code_enumer.go
//go:generate go tool enumer -type=Ran -trimprefix=Ran -transform=kebab -json -text -output=ran_enumer.go

// Code is the stable name of a reason to refuse.
type Code int

// The reasons to refuse a request.
const (
	CodeMalformedRequest Code = iota
	CodeTooLarge
	CodeUnauthenticated
	CodeNotAllowed
	CodeUnknownClass
	CodeUnknownService
	CodeSessionTokenRefused
	CodeStreamTokenRefused
	CodeVersionWithdrawn
	CodeNoHealthyVersion
	CodeNoBackendServer
	CodeOverloaded
	CodeDeadlineExceeded
	CodeNotReady
	CodeDraining
	CodeIdempotencyKeyRequired
	CodeKeyConflict
	CodeInProgress
	CodeOutcomeUnknown
	CodeLogUnavailable
	CodeBackendFailed
	CodeAnswerBroken
	CodeAnswerNotKept
)

// Ran says whether a refused request ran.
type Ran int

// What may be said of a refused request.
const (
	RanNotRun  Ran = iota // RanNotRun means that nothing ran and a retry is safe.
	RanDone               // RanDone means that the request ran.
	RanUnknown            // RanUnknown means that the request may have run.
)

// Refusal is the final answer of a request that got no other.
type Refusal struct {
	Code       Code
	Ran        Ran
	Message    string
	RetryAfter time.Duration // RetryAfter is when to come back, 0 when a retry won't help.
}

// Error describes the refusal in one line.
func (r *Refusal) Error() string { return fmt.Sprintf("%s (%s): %s", r.Code, r.Ran, r.Message) }

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	switch r.Code {
	case CodeMalformedRequest, CodeUnknownClass, CodeIdempotencyKeyRequired:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnauthenticated, CodeSessionTokenRefused, CodeStreamTokenRefused:
		return http.StatusUnauthorized
	case CodeNotAllowed:
		return http.StatusForbidden
	case CodeUnknownService:
		return http.StatusNotFound
	case CodeKeyConflict:
		return http.StatusUnprocessableEntity
	case CodeInProgress, CodeOutcomeUnknown, CodeAnswerNotKept:
		return http.StatusConflict
	case CodeVersionWithdrawn:
		return http.StatusGone
	case CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case CodeBackendFailed, CodeAnswerBroken:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse returns a refusal of a request that did not run.
func refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanNotRun, Message: fmt.Sprintf(format, args...)}
}

// after sets when the caller should come back.
func (r *Refusal) withRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// ran sets whether the refused request ran.
func (r *Refusal) withRan(withRan Ran) *Refusal {
	r.Ran = withRan
	return r
}
