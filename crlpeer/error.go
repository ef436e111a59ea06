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
}

// Error returns the peer's address, the method and the cause in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("call to peer %s, method %s: %v", e.Address, e.Method, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refused reports whether the connection was refused, which shows that no process listens at the peer's address.
func (e *Error) Refused() bool { return errors.Is(e.Err, syscall.ECONNREFUSED) }
