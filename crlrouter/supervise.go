package crlrouter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"

	"github.com/oklog/run"

	"github.com/cranberrylock/cranberrylock/crllog"
)

// EventTaskFailed is logged when a task ends before the drain is over.
const EventTaskFailed crllog.Event = "task-failed"

// supervisor runs the tasks of a router, which are its loops and listeners, in a group that only the drain ends. A task that
// ends sooner starts the drain, since the end of the group cuts every open request.
type supervisor struct {
	run.Group

	logger     *crllog.Logger
	ended      <-chan struct{} // closed when the group ends
	startDrain context.CancelCauseFunc
}

// Add adds a task. The group calls interrupt, which must make the task return, when it ends.
func (s *supervisor) Add(task func() error, interrupt func(error)) {
	s.Group.Add(func() error {
		err := recoverPanic(task)
		select {
		case <-s.ended:
			return err
		default:
		}
		s.logger.Event(EventTaskFailed, slog.String("cause", fmt.Sprint(err)))
		s.startDrain(&taskError{cause: err})
		<-s.ended
		return err
	}, interrupt)
}

// AddDrain adds the drain, whose end ends the group.
func (s *supervisor) AddDrain(drain func() error, interrupt func(error)) {
	s.Group.Add(drain, interrupt)
}

// taskError is the cause of a drain that a failed task started.
type taskError struct{ cause error }

// Error returns the cause in one line.
func (e *taskError) Error() string { return fmt.Sprintf("task of the router failed: %v", e.cause) }

// Unwrap returns the cause.
func (e *taskError) Unwrap() error { return e.cause }

// failure returns the error of the task that started a drain, nil if none did.
func failure(draining context.Context) error {
	if e := (*taskError)(nil); errors.As(context.Cause(draining), &e) {
		return e
	}
	return nil
}

// recoverPanic runs a task and returns a panic as its error. A panic would otherwise end the process at once; the state that it
// leaves behind is used for the time of the drain only.
func recoverPanic(task func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = fmt.Errorf("panic: %v, at %s", value, debug.Stack())
		}
	}()
	return task()
}
