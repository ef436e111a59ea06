package crlcontrol

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
)

// TestDoReturnsErrEndedAfterTheLoopEnded guards against Do waiting forever for a loop that no longer runs tasks.
func TestDoReturnsErrEndedAfterTheLoopEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLoop()
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() { result <- l.Run(ctx) }()
		if err := l.Do(t.Context(), func() {}); err != nil {
			t.Fatalf("Do on a running loop returned %v, want nil", err)
		}
		cancel()
		if err := <-result; !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v, want context.Canceled", err)
		}
		if err := l.Do(context.Background(), func() {}); !errors.Is(err, ErrEnded) {
			t.Errorf("Do on an ended loop returned %v, want %v", err, ErrEnded)
		}
	})
}

// TestDoNeverRunsAnAbandonedTask guards against a task running after Do has returned the error of its context, when its
// caller may use the task's variables again.
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
			t.Errorf("task ran: %t, Do returned %v; want false and context.Canceled", ran, result)
		}
	})
}

// TestDoWaitsForAStartedTask guards against Do returning before its task has ended, if ctx ends while the task runs. value is
// then wrong, and the race detector reports the task's write to it.
func TestDoWaitsForAStartedTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLoop()
		go func() { _ = l.Run(t.Context()) }()
		ctx, cancel := context.WithCancel(t.Context())
		started, release := make(chan struct{}), make(chan struct{})
		go func() {
			<-started
			cancel()
			synctest.Wait()
			close(release)
		}()
		value := 0
		err := l.Do(ctx, func() {
			close(started)
			<-release
			value = 1
		})
		if err != nil || value != 1 {
			t.Errorf("value %d, Do returned %v; want 1 and nil once the started task has ended", value, err)
		}
	})
}
