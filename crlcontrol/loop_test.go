package crlcontrol

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
)

func TestDoReturnsErrEndedAfterTheLoopEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := NewLoop()
		ctx, cancel := context.WithCancel(t.Context())
		ran := make(chan error, 1)
		go func() { ran <- loop.Run(ctx) }()
		if err := loop.Do(t.Context(), func() {}); err != nil {
			t.Fatalf("Do on a running loop: %v", err)
		}
		cancel()
		if err := <-ran; !errors.Is(err, context.Canceled) {
			t.Errorf("Run: %v", err)
		}
		if err := loop.Do(context.Background(), func() {}); !errors.Is(err, ErrEnded) {
			t.Errorf("Do on an ended loop: %v, want %v", err, ErrEnded)
		}
	})
}

func TestDoNeverRunsAnAbandonedTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLoop()
		ctx, cancel := context.WithCancel(t.Context())
		var result error
		ran := false
		go func() { result = l.Do(ctx, func() { ran = true }) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		go func() { _ = l.Run(t.Context()) }()
		synctest.Wait()
		if ran || !errors.Is(result, context.Canceled) {
			t.Errorf("ran %t, result %v", ran, result)
		}
	})
}

// TestDoWaitsForATaskThatBegan ends the context while the task runs; the race detector watches its variable.
func TestDoWaitsForAStartedTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLoop()
		go func() { _ = l.Run(t.Context()) }()
		ctx, cancel := context.WithCancel(t.Context())
		began, release := make(chan struct{}), make(chan struct{})
		go func() {
			<-began
			cancel()
			synctest.Wait()
			close(release)
		}()
		value := 0
		err := l.Do(ctx, func() {
			close(began)
			<-release
			value = 1
		})
		if err != nil || value != 1 {
			t.Errorf("value %d, %v: the task had begun and was not waited for", value, err)
		}
	})
}
