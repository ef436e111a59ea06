package crlpeer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestCallsEndAtTheirDeadlineWhileAPeerReadsNothing guards against calls that wait beyond their deadline behind one that can't be
// written, because the peer doesn't read from the connection.
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
		start := time.Now()
		for range cap(failures) {
			go func() { failures <- client.Call(t.Context(), "peer", "heartbeat", struct{}{}, nil) }()
		}
		for range cap(failures) {
			var callError *Error
			if err := <-failures; !errors.As(err, &callError) {
				t.Fatalf("call to a peer that reads nothing failed with %v, want an *Error", err)
			}
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Fatalf("three concurrent calls took %s, want at most 2s for a timeout of 1s each", took)
		}
	})
}

// TestErrorOfACallStatesWhatArrived guards against logs in which a reply that came too late looks like one that never came.
func TestErrorOfACallStatesWhatArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		go func() {
			buffer := make([]byte, 1<<10)
			_, _ = far.Read(buffer)
			_, _ = far.Write([]byte(`{"jsonrpc":"2.0","id":0,"result":"unfinished`))
		}()
		client := NewClient(ClientConfig{
			ConnectTimeout: time.Second, CallTimeout: time.Second,
			Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil },
		})
		defer client.Close()
		err := client.Call(t.Context(), "peer", "heartbeat", struct{}{}, nil)
		const want = "call to peer peer, method heartbeat: context deadline exceeded after 44 bytes"
		if err == nil || err.Error() != want {
			t.Errorf("call whose reply began and did not end: got error %v, want %s", err, want)
		}
	})
}
