package crlentry

import (
	"context"
	"errors"
	"net/http"

	"github.com/cranberrylock/cranberrylock/crlengine"
)

// isServerFailure reports whether the failure of an attempt is attributed to the server and its version. The failure isn't
// if the call ended, the caller can't be reached, the server was taken out of service, or the request itself was invalid.
func isServerFailure(ctx context.Context, failure error) bool {
	if failure == nil || ctx.Err() != nil || errors.Is(failure, errOutOfService) {
		return false
	}
	var sink *sinkError
	if errors.As(failure, &sink) {
		return false
	}
	var engineErr *crlengine.Error
	if errors.As(failure, &engineErr) && engineErr.Fault == crlengine.FaultFailed {
		return !isCallerStatus(engineErr.Status)
	}
	return true
}

// isCallerStatus reports whether the HTTP status of an engine says that the request is invalid: 400 to 499, except the
// statuses for too many requests and for a request timeout.
func isCallerStatus(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}
