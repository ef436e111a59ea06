package crlplatform

import "fmt"

// Error reports a failed call to a service of the platform.
type Error struct {
	Service      string // the service that was called, such as log or store
	Action       string // the call that failed, with the stream, topic or path
	Status       int    // HTTP status of a refusal, otherwise 0
	MaybeApplied bool   // the call may have taken effect in spite of the failure
	Trimmed      bool   // a read began before the first retained record
	TooLarge     bool   // the service refused the request because of its size
	Err          error  // cause, nil when the service refused the call by its status
}

// Error returns the service, the call, and the cause or the HTTP status.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Service, e.Action, e.Err)
	}
	return fmt.Sprintf("%s: %s: status %d", e.Service, e.Action, e.Status)
}

// Unwrap returns the cause, nil when the service refused the call by its status.
func (e *Error) Unwrap() error { return e.Err }
