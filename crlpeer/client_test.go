package crlpeer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestCallsHeedTheirDeadlineWhileAPeerReadsNothing shows that a call that can't be written does not hold others.
func TestCallsEndAtTheirDeadlineWhileAPeerReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		client := NewClient(ClientConfig{
			ConnectTimeout: time.Second, CallTimeout: time.Second,
			Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil },
		})
		defer client.Close()
		failures := make(chan error, 3)
		began := time.Now()
		for range cap(failures) {
			go func() { failures <- client.Call(t.Context(), "peer", "heartbeat", struct{}{}, nil) }()
		}
		for range cap(failures) {
			var failure *Error
			if err := <-failures; !errors.As(err, &failure) {
				t.Fatalf("call to a peer that reads nothing: %v", err)
			}
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Fatalf("calls took %s of a limit of 1s each", took)
		}
	})
}
