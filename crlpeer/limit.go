package crlpeer

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// LargeReplyBytes is the size from which a reply counts as large. Confirmations and a few records are smaller; a configuration is larger and
	// would be sent again in full if the call that brings it ended.
	LargeReplyBytes = 16 << 10
	// progressBytes is what a large reply must bring within the time for which it may stall: less than a segment of TCP, and more than a source sends
	// that passes on single bytes.
	progressBytes = 1 << 10
)

// ReplyLimit limits one call of a [Client].
type ReplyLimit struct {
	Total time.Duration // time after which the call ends unless a large reply is arriving
	Stall time.Duration // time without progress after which a call with a large reply ends, once Total is over
}

// WithReplyLimit returns a context for one call of a [Client], which ends after the limit, with [context.DeadlineExceeded] as its cause, unless
// a large reply is arriving then. Such a call goes on while it makes progress, under the client's own time-outs. stop must be called at the end of its use.
func WithReplyLimit(parent context.Context, limit ReplyLimit) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	w := new(replyWatch)
	var timer *time.Timer
	var seen int64 // bytes that had arrived at the latest check
	check := func() {
		received, idle := w.progress()
		if received < LargeReplyBytes || received < seen+progressBytes || idle >= limit.Stall {
			cancel(context.DeadlineExceeded)
			return
		}
		seen = received
		timer.Reset(limit.Stall - idle)
	}
	// check uses timer, so the timer must not fire before it is set.
	timer = time.AfterFunc(longestStall, check)
	timer.Reset(max(limit.Total, time.Nanosecond))
	return context.WithValue(ctx, replyWatchKey{}, w), func() {
		timer.Stop()
		cancel(nil)
	}
}

// replyWatchKey is the key of a context's replyWatch.
type replyWatchKey struct{}

// replyWatch counts the bytes that have arrived since a call began.
type replyWatch struct {
	socket atomic.Pointer[countingConn] // nil until the call has a connection
	before atomic.Int64                 // bytes that the connection had brought when the call began
}

// progress returns the number of bytes that have arrived since the call began, and the time since the latest of them.
func (w *replyWatch) progress() (received int64, idle time.Duration) {
	socket := w.socket.Load()
	if socket == nil {
		return 0, 0
	}
	latest := time.Unix(0, socket.lastRead.Load())
	return socket.received.Load() - w.before.Load(), time.Since(latest)
}

// watchReply makes the limit of ctx, if it has one, count the bytes that the connection brings from now on.
func (c *countingConn) watchReply(ctx context.Context, received int64) {
	if w, ok := ctx.Value(replyWatchKey{}).(*replyWatch); ok {
		w.before.Store(received)
		w.socket.Store(c)
	}
}
