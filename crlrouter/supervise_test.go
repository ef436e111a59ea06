package crlrouter

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// TestOpenRequestsOutliveAFailedTask guards against a router that cuts every open request because one of its loops or listeners
// ended. It must drain as on a stop signal: fail readiness probes, complete the open requests, and return the error.
func TestOpenRequestsOutliveAFailedTask(t *testing.T) {
	closeListener := func(address string) func(*pipeRouter) {
		return func(p *pipeRouter) { _ = p.listeners[address].Close() }
	}
	var panicking atomic.Bool
	onReload := func() {
		if panicking.Load() {
			panic("reload is broken")
		}
	}
	for _, c := range []struct {
		name string
		fail func(p *pipeRouter)
		want string // part of the error that Run returns
	}{
		{"peers' listener", closeListener(peersAddress), net.ErrClosed.Error()},
		{"readiness listener", closeListener(readinessAddress), net.ErrClosed.Error()},
		{"metrics listener", closeListener(metricsAddress), net.ErrClosed.Error()},
		{"callers' listener", closeListener(callersAddress), net.ErrClosed.Error()},
		{"panic in a loop", func(*pipeRouter) { panicking.Store(true) }, "reload is broken"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer panicking.Store(false)
				p := runOnPipes(t.Context(), onReload)
				c.fail(p)
				time.Sleep(settingsPollInterval)
				if open := p.service.OpenRequests(); open != 1 || p.ready() {
					t.Errorf("after the failure: %d open requests, ready %v; want 1 and not ready", open, p.ready())
				}
				time.Sleep(drainAcceptDuration)
				if got := p.finishRequest(); got.status != http.StatusServiceUnavailable {
					t.Errorf("open request: answer %d, error %v; want the router's answer %d", got.status, got.err, http.StatusServiceUnavailable)
				}
				start := time.Now()
				if err := <-p.ended; err == nil || !strings.Contains(err.Error(), c.want) {
					t.Errorf("Run returned %v, want an error with %q", err, c.want)
				}
				if took := time.Since(start); took > time.Second {
					t.Errorf("Run returned %s after the last request was answered, want at most 1s", took)
				}
			})
		})
	}
}

// TestAStopSignalIsNoFailure guards against a stopped router that exits as if it had failed, because a task ended during the drain.
func TestAStopSignalIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := runOnPipes(ctx, func() {})
		cancel()
		time.Sleep(time.Second)
		_ = p.listeners[peersAddress].Close()
		time.Sleep(time.Second)
		if got := p.finishRequest(); got.status != http.StatusServiceUnavailable {
			t.Errorf("open request: answer %d, error %v; want the router's answer %d", got.status, got.err, http.StatusServiceUnavailable)
		}
		if err := <-p.ended; err != nil {
			t.Errorf("Run returned %v, want nil", err)
		}
	})
}

// TestGraceTimeEndsAfterTheCallersListenerFailed guards against a drain that cuts the requests that are open at its end without an
// answer, because the listener that it closes was closed when it failed.
func TestGraceTimeEndsAfterTheCallersListenerFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// net/http closes the listener after an error that isn't temporary.
		errNoBuffers := &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
		p := runOnPipes(t.Context(), func() {})
		p.store.put("servers", "i-1", "v1")
		time.Sleep(2 * time.Second)
		p.listeners[callersAddress].Fail(t.Context(), errNoBuffers)
		if got := p.finishRequest(); got.status < http.StatusInternalServerError {
			t.Errorf("request whose server never answers: answer %d, error %v; want a refusal", got.status, got.err)
		}
		if err := <-p.ended; !errors.Is(err, errNoBuffers) {
			t.Errorf("Run returned %v, want %v", err, errNoBuffers)
		}
	})
}
