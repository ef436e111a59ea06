package crlforward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"
)

const (
	// completeTimeout is the time from the first byte of a head, of an event or of a failure's body within which the rest must arrive. Each
	// fits into few packets, so that a longer time shows a server whose bytes have no end. A saturated link with lost packets takes less.
	completeTimeout = 2 * time.Second
	maxInterimHeads = 5 // interim answers (status 1xx) after which a send ends
)

// errIncomplete is the cause with which a send ends whose server began a head and did not complete it in time.
var errIncomplete = errors.New("head of the answer has begun but not ended")

// watchHead adds functions to a trace that cancel the send with errIncomplete when the head of its answer is not complete in time. stop
// must be called once the head has arrived or the send has failed.
func watchHead(trace *httptrace.ClientTrace, cancel context.CancelCauseFunc) (stop func()) {
	timer := time.AfterFunc(longestWait, func() { cancel(errIncomplete) })
	interim := 0
	trace.GotFirstResponseByte = func() { timer.Reset(completeTimeout) }
	trace.Got1xxResponse = func(code int, _ textproto.MIMEHeader) error {
		timer.Reset(longestWait) // The server may work on the request before the next head begins.
		if interim++; interim > maxInterimHeads {
			return fmt.Errorf("more than %d interim answers, the last one with status %d", maxInterimHeads, code)
		}
		return nil
	}
	return func() { timer.Stop() }
}

// errInsideEvent ends a send whose stream ends where no event does, which is where its server broke it off.
var errInsideEvent = errors.New("stream ended inside an event or before the first")

// eventReader reads the events of a stream. It closes the stream when an event that has begun is not complete in time.
type eventReader struct {
	events *bufio.Reader
	timer  *time.Timer
	late   atomic.Bool // whether the timer has closed the stream
	framed bool        // whether the answer has a length or chunks; any other ends with its connection, whatever the reason
	count  int         // events so far
	buffer []byte      // of the latest event
	// service and exchange count what the buffer takes beyond freeHeldBytes.
	service  *Service
	exchange *exchange
}

// errNoEventRoom is the error of a stream with an event for which there is no room in memory.
var errNoEventRoom = errors.New("no room for an event of the stream")

// newEventReader returns a reader of the events of a request's answer. stop must be called at the end of its use.
func (s *Service) newEventReader(x *exchange, response *http.Response) (r *eventReader, stop func()) {
	body := response.Body
	// The timer runs only while an event is incomplete.
	r = &eventReader{events: bufio.NewReader(body), framed: isFramed(response), service: s, exchange: x}
	r.timer = time.AfterFunc(longestWait, func() {
		r.late.Store(true)
		_ = body.Close()
	})
	r.timer.Stop()
	return r, func() {
		r.timer.Stop()
		r.drop()
	}
}

// isFramed reports whether an answer has a length or chunks.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// endedHere reports whether an error of next is due to this router, which has no room or no more time for an event, and not to the end of the connection.
func (r *eventReader) endedHere(err error) bool {
	return r.late.Load() || errors.Is(err, errNoEventRoom)
}

// next returns the next event, which is valid until the following call, io.EOF at the end of the stream, or errInsideEvent if it ends where it can't be complete.
func (r *eventReader) next() ([]byte, error) {
	event, err := r.read()
	switch {
	case err == nil:
		r.count++
	case errors.Is(err, io.EOF) && (len(event) > 0 || r.count == 0 && !r.framed):
		return nil, errInsideEvent
	}
	return event, err
}

// read returns what readEvent does, within completeTimeout once the event has begun.
func (r *eventReader) read() ([]byte, error) {
	if _, err := r.events.Peek(1); err != nil {
		return nil, err
	}
	r.timer.Reset(completeTimeout)
	defer r.timer.Stop()
	if cap(r.buffer) > freeHeldBytes {
		r.drop()
	}
	event, err := readEvent(r.events, r.buffer[:0], r.grow)
	return event, err
}

// grow makes room for n more bytes in the buffer, which holds the part of the event that was read.
func (r *eventReader) grow(event []byte, n int) ([]byte, error) {
	if len(event)+n <= cap(r.buffer) {
		return event, nil
	}
	larger := max(2*cap(r.buffer), len(event)+n, bytes.MinRead)
	if !r.service.takeHeld(r.exchange, cap(r.buffer), larger) {
		return nil, errNoEventRoom
	}
	r.buffer = append(make([]byte, 0, larger), event...)
	return r.buffer, nil
}

// drop gives up the buffer and what it counts.
func (r *eventReader) drop() {
	if cap(r.buffer) > 0 {
		r.service.takeHeld(r.exchange, cap(r.buffer), 0)
	}
	r.buffer = nil
}
