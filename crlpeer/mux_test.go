package crlpeer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
)

// newPipeClient returns a client whose connections the listener accepts.
func newPipeClient(l *crlfake.Listener) *Client {
	return NewClient(ClientConfig{ConnectTimeout: 5 * time.Second, CallTimeout: 20 * time.Second, Dial: l.DialContext})
}

// TestServeGoesOnAfterAFailedAccept guards against a mux that ends, and with it the daemon and every open request, because a
// connection could not be accepted for a moment, as when the process has no free descriptor.
func TestServeGoesOnAfterAFailedAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mux := NewMux()
		answer := make(chan struct{})
		mux.Register("wait", Typed(func(context.Context, struct{}) (string, error) { <-answer; return "waited", nil }))
		mux.Register("ask", Typed(func(context.Context, struct{}) (string, error) { return "answered", nil }))
		listener := crlfake.NewListener()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- mux.Serve(ctx, listener) }()
		before, after := newPipeClient(listener), newPipeClient(listener)
		defer before.Close()
		defer after.Close()
		open := make(chan error, 1)
		go func() { open <- before.Call(t.Context(), "peer", "wait", struct{}{}, new(string)) }()
		synctest.Wait()

		listener.Fail(ctx, crlfake.ErrNoDescriptor)
		var result string
		if err := after.Call(t.Context(), "peer", "ask", struct{}{}, &result); err != nil || result != "answered" {
			t.Errorf("call on a connection after the failed accept: got %q, error %v, want an answer", result, err)
		}
		close(answer)
		if err := <-open; err != nil {
			t.Errorf("call that was open at the failed accept: %v", err)
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve ended with %v, want the end of its context", err)
		}
	})
}

// TestServePausesWhileAcceptFails guards against a mux that takes all of the CPU while connections can't be accepted, and one
// that doesn't end with its context meanwhile.
func TestServePausesWhileAcceptFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := crlfake.NewListener()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- NewMux().Serve(ctx, listener) }()
		var accepts atomic.Int32
		go func() {
			for ctx.Err() == nil {
				listener.Fail(ctx, crlfake.ErrNoDescriptor)
				accepts.Add(1)
			}
		}()
		time.Sleep(time.Minute)
		// 8 pauses of 5 ms to 640 ms, then one of 1 s each.
		if got := accepts.Load(); got < 60 || got > 70 {
			t.Errorf("%d attempts to accept in a minute of failures, want 60 to 70", got)
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve ended with %v, want the end of its context", err)
		}
	})
}

// TestServeEndsWithItsListener guards against a mux that retries for ever on a listener that is closed.
func TestServeEndsWithItsListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := crlfake.NewListener()
		ended := make(chan error, 1)
		go func() { ended <- NewMux().Serve(t.Context(), listener) }()
		_ = listener.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Errorf("Serve ended with %v, want %v", err, net.ErrClosed)
		}
	})
}
