package crlplatform

import "fmt"

// Error reports a failed call to a platform service.
type Error struct {
	Service      string // Service is the platform service that was called.
	Action       string // Action is what was tried.
	Status       int    // Status is the HTTP status, 0 when no reply arrived.
	MaybeApplied bool   // Applied is true when the action may have taken effect.
	Trimmed      bool   // Trimmed is true when a read began before the first kept record.
	TooLarge     bool   // TooLarge is true when the service refused the size of the request.
	Err          error  // Err is the cause, nil when the service itself refused.
}

// Error describes the failure in one line.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Service, e.Action, e.Err)
	}
	return fmt.Sprintf("%s: %s: status %d", e.Service, e.Action, e.Status)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
