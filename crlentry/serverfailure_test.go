package crlentry

import (
	"context"
	"errors"
	"testing"

	"github.com/cranberrylock/cranberrylock/crlengine"
)

func TestIsServerFailure(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name    string
		gone    bool // the caller disconnected
		failure error
		want    bool
	}{
		{"answered", false, nil, false},
		{"caller disconnected", true, &crlengine.Error{Fault: crlengine.FaultBroken}, false},
		{"caller's connection broke", false, &sinkError{err: errors.New("closed")}, false},
		{"invalid request", false, &crlengine.Error{Fault: crlengine.FaultFailed, Status: 400}, false},
		{"too many requests", false, &crlengine.Error{Fault: crlengine.FaultFailed, Status: 429}, true},
		{"internal error", false, &crlengine.Error{Fault: crlengine.FaultFailed, Status: 500}, true},
		{"wrong version", false, &crlengine.Error{Fault: crlengine.FaultWrongVersion}, true},
		{"broken answer", false, &crlengine.Error{Fault: crlengine.FaultBroken}, true},
	} {
		ctx := t.Context()
		if c.gone {
			ctx = cancelled
		}
		if got := isServerFailure(ctx, c.failure); got != c.want {
			t.Errorf("%s: server failure %v, want %v", c.name, got, c.want)
		}
	}
}
