package crlforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// largeBodyFraction is the size above which a body counts as large, as a fraction of Config.MaxRequestBytes.
	largeBodyFraction = 1.0 / 64
	// largeBodiesFraction is the part of Config.MaxRequestBytes that large bodies may take, so that others find room beside them.
	largeBodiesFraction = 0.85
)

// errNoBodyRoom is the error of a body for which there is no room in memory.
var errNoBodyRoom = errors.New("no room for the request's body")

// readBody reads the whole body into memory, as it may be sent more than once. It also sets the request's deadline, at which
// reading fails, and refuses a body above the size limit, or for which there is no room; such a body is not read.
func (s *Service) readBody(_ context.Context, x *exchange) *Refusal {
	limit := x.table.Limits().BodyBytes
	if limit > 0 && x.request.ContentLength > limit {
		return newRefusal(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	x.setDeadline()
	// The read deadline covers the body of this request; idle connections are bounded by the HTTP server's own timeouts.
	if err := http.NewResponseController(x.writer).SetReadDeadline(x.deadline); err != nil {
		x.trace.cause = err.Error()
	}
	content, err := s.readContent(x, limit)
	switch {
	case errors.Is(err, errNoBodyRoom):
		x.trace.cause = err.Error()
		x.writer.Header().Set("Connection", "close") // The rest of the body stays unread.
		return s.notReady(x, ReasonOverloaded, overloadRetryAfter)
	case limit > 0 && int64(len(content)) > limit:
		return newRefusal(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.trace.cause = err.Error()
		x.writer.Header().Set("Connection", "close") // The rest of the body stays unread.
		return newRefusal(http.StatusRequestTimeout, ReasonBodyTimeout)
	case err != nil:
		x.trace.cause = err.Error()
		return newRefusal(http.StatusBadRequest, ReasonMalformed)
	}
	if err := http.NewResponseController(x.writer).SetReadDeadline(time.Time{}); err != nil {
		x.trace.cause = err.Error()
	}
	x.body = content
	return nil
}

// readContent reads the body, up to one byte more than a limit above 0. Room is taken for its stated length before it is read, and while it is read if it
// states none.
func (s *Service) readContent(x *exchange, limit int64) ([]byte, error) {
	if length := x.request.ContentLength; length >= 0 {
		if !s.takeBody(x, length) {
			return nil, errNoBodyRoom
		}
		content := make([]byte, length)
		_, err := io.ReadFull(x.request.Body, content)
		return content, err
	}
	var body io.Reader = x.request.Body
	if limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	content := make([]byte, 0, bytes.MinRead)
	for {
		if len(content) == cap(content) {
			if !s.takeBody(x, int64(2*cap(content))) {
				return nil, errNoBodyRoom
			}
			content = append(make([]byte, 0, 2*cap(content)), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return content, err
		}
	}
}

// bodyLimit returns how many bytes all bodies may take together: what open requests leave of a fraction of Config.MaxRequestBytes.
func (s *Service) bodyLimit(fraction float64) int64 {
	return max(int64(fraction*float64(s.bodies.limit))-s.openRequests.Load()*s.config.RequestBytes, 1)
}

// takeBody raises what is counted for the request's body to its size, and reports whether there is room for it.
func (s *Service) takeBody(x *exchange, size int64) bool {
	limit := int64(0)
	switch {
	case s.bodies.limit == 0:
	case float64(size) > largeBodyFraction*float64(s.bodies.limit):
		limit = s.bodyLimit(largeBodiesFraction)
	default:
		limit = s.bodyLimit(1)
	}
	more := max(size-freeHeldBytes, 0) - x.bodyBytes
	if !s.bodies.takeWithin(more, limit) {
		return false
	}
	x.bodyBytes += more
	return true
}
