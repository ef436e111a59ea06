package crlpeer

import (
	"context"
	"sync/atomic"
	"time"
)

// largeReplyBytes is the size from which a reply counts as large. Confirmations and a few records are smaller; a configuration is larger and
// would be sent again in full if the call that brings it ended.
const largeReplyBytes = 16 << 10

// WithReplyLimit returns a context for one call of a [Client], which ends after the limit, with [context.DeadlineExceeded] as its cause, unless
// a large reply is arriving then. Such a call goes on under the client's own time-outs. stop must be called at the end of its use.
func WithReplyLimit(parent context.Context, limit time.Duration) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	w := new(replyWatch)
	timer := time.AfterFunc(max(limit, time.Nanosecond), func() {
		if w.received() < largeReplyBytes {
			cancel(context.DeadlineExceeded)
		}
	})
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

// received returns the number of bytes that have arrived since the call began.
func (w *replyWatch) received() int64 {
	socket := w.socket.Load()
	if socket == nil {
		return 0
	}
	return socket.received.Load() - w.before.Load()
}

// watchReply makes the limit of ctx, if it has one, count the bytes that the connection brings from now on.
func (c *countingConn) watchReply(ctx context.Context, received int64) {
	if w, ok := ctx.Value(replyWatchKey{}).(*replyWatch); ok {
		w.before.Store(received)
		w.socket.Store(c)
	}
}
