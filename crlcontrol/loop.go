package crlcontrol

import (
	"context"
	"errors"
	"sync/atomic"
)

// queuedTasks bounds the tasks that wait for the loop.
const maxQueued = 4096

// ErrEnded is returned for a task of a loop whose Run has returned.
var ErrEnded = errors.New("control loop ended")

// Loop runs tasks one after the other on the goroutine that calls Run.
type Loop struct {
	tasks chan func()
	ended chan struct{}
}

// NewLoop returns a loop whose tasks wait until Run is called.
func NewLoop() *Loop { return &Loop{tasks: make(chan func(), maxQueued), ended: make(chan struct{})} }

// Run runs tasks until ctx ends; it is called once.
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

// Post queues a task and returns without waiting for it, or the error of ctx or ErrEnded when either ends first.
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

// Do runs a task and returns after it ran, or the error of ctx or ErrEnded when either ends before the task began;
// then the task never runs, so that what it shares with its caller is not written behind the caller's back.
func (l *Loop) Do(ctx context.Context, task func()) error {
	done := make(chan struct{})
	var taken atomic.Bool // taken is set by the first of the loop, which runs the task, and the caller, who gives it up.
	err := l.Post(ctx, func() {
		if taken.CompareAndSwap(false, true) {
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
	if taken.CompareAndSwap(false, true) {
		return err
	}
	<-done // The task began, and a task never waits.
	return nil
}
