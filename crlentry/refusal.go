package crlentry

import (
	"fmt"
	"net/http"
	"time"
)

//go:generate go tool enumer -type=Code -trimprefix=Code -transform=kebab -json -text -output=code_enumer.go
//go:generate go tool enumer -type=Ran -trimprefix=Ran -transform=kebab -json -text -output=ran_enumer.go

// Code is the reason for a refusal. Its text is part of the interface to callers and stays the same between releases.
type Code int

// The reasons for a refusal.
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

// Ran says whether a refused request ran at a backend server.
type Ran int

// The values of Ran.
const (
	RanNotRun  Ran = iota // nothing ran, so a retry is safe
	RanDone               // the request ran to its end
	RanUnknown            // the request may have run
)

// Refusal is the error of a request that got no complete answer. It is sent to the caller.
type Refusal struct {
	Code       Code
	Ran        Ran
	Message    string
	RetryAfter time.Duration // time to wait before a retry, 0 when a retry won't help
}

// Error implements error.
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

// refuse returns a refusal with Ran set to RanNotRun and no RetryAfter.
func refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: RanNotRun, Message: fmt.Sprintf(format, args...)}
}

// withRetryAfter sets RetryAfter and returns r.
func (r *Refusal) withRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// withRan sets Ran and returns r.
func (r *Refusal) withRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}
