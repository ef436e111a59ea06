package crlcontrol

import (
	"context"
	"errors"
	"sync/atomic"
)

// maxQueued bounds the tasks that wait for the loop. Post blocks while the queue is full.
const maxQueued = 4096

// ErrEnded is returned by Post and Do when the loop's Run has returned.
var ErrEnded = errors.New("control loop ended")

// Loop runs tasks one at a time, in the order in which they were queued, on the goroutine that calls Run.
type Loop struct {
	tasks chan func()
	ended chan struct{} // closed when Run returns
}

// NewLoop returns a loop whose tasks wait until Run is called.
func NewLoop() *Loop { return &Loop{tasks: make(chan func(), maxQueued), ended: make(chan struct{})} }

// Run runs tasks until ctx ends, and returns the error of ctx. Queued tasks that have not started are dropped. It must be
// called at most once.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.ended)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case task := <-l.tasks:
			task()
		}
	}
}

// Post queues a task and returns without waiting for the task to run. While the queue is full, Post waits for a place, and
// returns the error of ctx or ErrEnded if ctx or the loop ends first. A task that is still queued when the loop ends never
// runs, even if Post returned nil.
func (l *Loop) Post(ctx context.Context, task func()) error {
	select {
	case l.tasks <- task:
		return nil
	case <-l.ended:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do queues a task and returns nil after the task has run. If ctx or the loop ends before the task has started, Do returns the
// error of ctx or ErrEnded, and the task never runs, so the task can't write to variables that the caller uses again.
func (l *Loop) Do(ctx context.Context, task func()) error {
	done := make(chan struct{})
	// claimed is set either by the loop, which then runs the task, or by the caller, which then abandons it.
	var claimed atomic.Bool
	err := l.Post(ctx, func() {
		if claimed.CompareAndSwap(false, true) {
			task()
			close(done)
		}
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-l.ended:
		err = ErrEnded
	case <-ctx.Done():
		err = ctx.Err()
	}
	if claimed.CompareAndSwap(false, true) {
		return err
	}
	<-done // The task has started. As a task must not block, the wait is short.
	return nil
}
