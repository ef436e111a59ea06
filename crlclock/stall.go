package crlclock

import (
	"context"
	"time"
)

// WithStallTimeout returns a context that ends, with [context.DeadlineExceeded] as its cause, when nothing has arrived for a time: first for
// the given one, and then for timeout after each call of [Progress] with the context or one derived from it. stop must be called at the
// end of its use.
func WithStallTimeout(parent context.Context, first, timeout time.Duration) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &stallWatch{timeout: timeout, timer: time.AfterFunc(max(first, time.Nanosecond), func() { cancel(context.DeadlineExceeded) })}
	return context.WithValue(ctx, stallKey{}, w), func() {
		w.timer.Stop()
		cancel(nil)
	}
}

// Progress records that a part of what the context's holder waits for has arrived. Without a context of [WithStallTimeout] it does nothing.
func Progress(ctx context.Context) {
	if w, ok := ctx.Value(stallKey{}).(*stallWatch); ok {
		w.timer.Reset(w.timeout)
	}
}

// stallKey is the key of a context's stallWatch.
type stallKey struct{}

// stallWatch ends a context when its timer fires.
type stallWatch struct {
	timeout time.Duration
	timer   *time.Timer
}
