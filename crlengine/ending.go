package crlengine

import (
	"context"
	"io"
	"iter"
	"sync/atomic"
	"time"
)

// Limits on reading the rest of an answer after its last frame. Beyond them, its connection is closed instead of reused.
const (
	tailTimeout = time.Second
	tailBytes   = 64 << 10
)

// answerBody closes the body of an answer. The request of an incomplete answer is cancelled. The body of a complete one is
// read to its end, so that its connection can be reused.
type answerBody struct {
	body     io.ReadCloser
	cancel   context.CancelFunc
	complete atomic.Bool // whether the last frame arrived
}

// trackLastFrame returns an iterator over the same frames that sets complete when the last one arrives.
func (b *answerBody) trackLastFrame(frames iter.Seq2[Frame, error]) iter.Seq2[Frame, error] {
	return func(yield func(Frame, error) bool) {
		for frame, err := range frames {
			if err == nil && frame.Last {
				b.complete.Store(true)
			}
			if !yield(frame, err) {
				return
			}
		}
	}
}

// close returns at once. The rest of a complete answer is read in the background.
func (b *answerBody) close() {
	if !b.complete.Load() {
		b.cancel()
		_ = b.body.Close()
		return
	}
	go b.drain()
}

// drain reads the rest of the body for at most tailTimeout and up to tailBytes, then closes it.
func (b *answerBody) drain() {
	timeout := time.AfterFunc(tailTimeout, b.cancel)
	defer timeout.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(b.body, tailBytes))
	_ = b.body.Close()
	b.cancel()
}
