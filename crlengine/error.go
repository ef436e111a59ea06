package crlengine

import (
	"fmt"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=Fault -trimprefix=Fault -transform=kebab -json -text -output=fault_enumer.go

// Fault classifies the failure of an attempt.
type Fault int

// The kinds of failure of an attempt.
const (
	FaultUnreachable  Fault = iota // nothing of the attempt was sent
	FaultRefused                   // the server stated that it did not run the attempt
	FaultFailed                    // the server answered with an error status
	FaultBroken                    // the connection failed, or the answer ended early or was invalid; the attempt may have run
	FaultWrongVersion              // another version than the requested one answered
)

// Error reports a failed attempt.
type Error struct {
	Server     crlid.Server
	Fault      Fault
	Status     int           // HTTP status, 0 if none arrived or the status isn't the failure
	RetryAfter time.Duration // time of the server's Retry-After header, 0 if it has none
	Err        error         // cause, nil if the status is the failure
}

// Error returns the server, the fault and its cause or status in one line.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("backend server %s: %s: %v", e.Server, e.Fault, e.Err)
	}
	return fmt.Sprintf("backend server %s: %s: status %d", e.Server, e.Fault, e.Status)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the server surely did not run the attempt.
func (e *Error) NotRun() bool { return e.Fault == FaultUnreachable || e.Fault == FaultRefused }
