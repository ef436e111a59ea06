package crlforward

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// freeHeldBytes is the part of each plain answer, and of each request's body, that is held without being counted. It fits into the memory that is
// reckoned for an open request.
const freeHeldBytes = 16 << 10

// heldBytes counts the bytes of plain answers and events, or of requests' bodies, that are held, beyond freeHeldBytes of each.
type heldBytes struct {
	limit int64 // 0 for none
	used  atomic.Int64
}

// take counts n more bytes, unless they would exceed the limit.
func (h *heldBytes) take(n int64) bool { return h.takeWithin(n, h.limit) }

// takeWithin counts n more bytes, unless all together would then exceed a limit above 0.
func (h *heldBytes) takeWithin(n, limit int64) bool {
	if h.used.Add(n) > limit && limit > 0 && n > 0 {
		h.used.Add(-n)
		return false
	}
	return true
}

// readHeld reads a plain answer into memory, up to maxHeldReplyBytes or what is left of Config.MaxHeldBytes. complete reports whether it ends there.
// What is read counts until the end of the request, as its caller may read it slowly.
func (s *Service) readHeld(x *exchange, body io.Reader) (content []byte, complete bool, err error) {
	content = make([]byte, 0, bytes.MinRead)
	for {
		if len(content) == cap(content) {
			larger := min(2*cap(content), maxHeldReplyBytes+1)
			if len(content) > maxHeldReplyBytes || !s.takeHeld(x, cap(content), larger) {
				return content, false, nil
			}
			content = append(make([]byte, 0, larger), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, true, nil
		}
		if err != nil {
			return content, false, err
		}
	}
}

// takeHeld counts a buffer of an answer that becomes larger or smaller, and reports whether there is room for it.
func (s *Service) takeHeld(x *exchange, before, after int) bool {
	more := int64(max(after, freeHeldBytes) - max(before, freeHeldBytes))
	if !s.held.take(more) {
		return false
	}
	x.heldBytes += more
	return true
}

// releaseHeld ends the count of what was held for a request.
func (s *Service) releaseHeld(x *exchange) {
	s.held.used.Add(-x.heldBytes)
	s.bodies.used.Add(-x.bodyBytes)
	x.heldBytes, x.bodyBytes = 0, 0
}
