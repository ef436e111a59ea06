package crlpeer

import (
	"errors"
	"fmt"
	"syscall"
)

// Error is the failure of a call to a peer: no connection, no reply in time, or an error reply.
type Error struct {
	Address string
	Method  string
	Err     error // the cause
	// Received is the number of bytes that came on the connection during the call, also of replies to other calls.
	Received int64
}

// Error returns the peer's address, the method and the cause in one line, and how many bytes had come if there were any.
func (e *Error) Error() string {
	if e.Received > 0 {
		return fmt.Sprintf("call to peer %s, method %s: %v after %d bytes", e.Address, e.Method, e.Err, e.Received)
	}
	return fmt.Sprintf("call to peer %s, method %s: %v", e.Address, e.Method, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refused reports whether the connection was refused, which shows that no process listens at the peer's address.
func (e *Error) Refused() bool { return errors.Is(e.Err, syscall.ECONNREFUSED) }
