package crlengine

import (
	"context"
	"io"
	"iter"
	"sync/atomic"
	"time"
)

// Bounds of what is read of an answer after its last frame.
const (
	tailTimeout = time.Second
	tailBytes   = 64 << 10
)

// answerBody ends an answer: a broken one by cancelling it, a whole one so that its connection can be used again.
type answerBody struct {
	body     io.ReadCloser
	cancel   context.CancelFunc
	complete atomic.Bool // whole is true once the last frame arrived.
}

// watch notes the last frame of an answer.
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

// close returns at once; the end of a whole answer is read in the background.
func (b *answerBody) close() {
	if !b.complete.Load() {
		b.cancel()
		_ = b.body.Close()
		return
	}
	go b.drain()
}

func (b *answerBody) drain() {
	late := time.AfterFunc(tailTimeout, b.cancel)
	defer late.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(b.body, tailBytes))
	_ = b.body.Close()
	b.cancel()
}
