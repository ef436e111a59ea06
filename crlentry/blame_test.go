package crlentry

import (
	"context"
	"errors"
	"testing"

	"github.com/cranberrylock/cranberrylock/crlengine"
)

func TestIsServerFailure(t *testing.T) {
	left, leave := context.WithCancel(t.Context())
	leave()
	for _, c := range []struct {
		name    string
		left    bool
		failure error
		want    bool
	}{
		{"answered", false, nil, false},
		{"caller left", true, &crlengine.Error{Fault: crlengine.FaultBroken}, false},
		{"caller's connection broke", false, &sinkError{err: errors.New("closed")}, false},
		{"malformed prompt", false, &crlengine.Error{Fault: crlengine.FaultFailed, Status: 400}, false},
		{"too many requests", false, &crlengine.Error{Fault: crlengine.FaultFailed, Status: 429}, true},
		{"internal error", false, &crlengine.Error{Fault: crlengine.FaultFailed, Status: 500}, true},
		{"wrong version", false, &crlengine.Error{Fault: crlengine.FaultWrongVersion}, true},
		{"broken answer", false, &crlengine.Error{Fault: crlengine.FaultBroken}, true},
	} {
		ctx := t.Context()
		if c.left {
			ctx = left
		}
		if got := isServerFailure(ctx, c.failure); got != c.want {
			t.Errorf("%s: blames the server %v, want %v", c.name, got, c.want)
		}
	}
}
