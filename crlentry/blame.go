package crlentry

import (
	"context"
	"errors"
	"net/http"

	"github.com/cranberrylock/cranberrylock/crlengine"
)

// blamesServer reports whether the failure of an attempt speaks against the server and its version: not one of the
// caller, who left or sent what no server would take.
func isServerFailure(ctx context.Context, failure error) bool {
	if failure == nil || ctx.Err() != nil || errors.Is(failure, errOutOfService) {
		return false
	}
	var sink *sinkError
	if errors.As(failure, &sink) {
		return false
	}
	var answered *crlengine.Error
	if errors.As(failure, &answered) && answered.Fault == crlengine.FaultFailed {
		return !isCallerStatus(answered.Status)
	}
	return true
}

func isCallerStatus(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}
