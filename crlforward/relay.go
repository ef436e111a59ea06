package crlforward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/cranberrylock/cranberrylock/crlfleet"
)

// stream is how far the answer of a streamed request is.
type stream struct {
	begun bool  // begun is set once the head of an answer went to the caller.
	last  int64 // last is the newest event that the caller has.
}

// eventBytes bounds one event of a stream.
const eventBytes = 1 << 20

// relay copies the events of a stream to the caller as they arrive.
func (s *Service) relay(ctx context.Context, x *exchange, response *http.Response, head AnswerHead, plan *modelPlan) (verdict, crlfleet.Outcome) {
	if !head.Signed {
		x.trace.cause = "success without a signature"
		return s.repeat(x), crlfleet.OutcomeFailed
	}
	if s.escalates(x, head, plan) {
		x.trace.confidence = head.Confidence
		return verdictEscalate, crlfleet.OutcomeAnswered
	}
	events := bufio.NewReader(response.Body)
	first := !x.stream.begun
	flush := http.NewResponseController(x.writer)
	for {
		event, err := readEvent(events)
		if err != nil && !errors.Is(err, io.EOF) {
			return s.brokenStream(ctx, x, err)
		}
		id, numbered := eventID(event)
		if numbered && id <= x.stream.last {
			if err != nil {
				return verdictAnswered, crlfleet.OutcomeAnswered
			}
			continue
		}
		if numbered && !first && id != x.stream.last+1 {
			return s.brokenStream(ctx, x, errGap)
		}
		if !x.stream.begun {
			x.trace.confidence = head.Confidence
			x.begin(response)
		}
		if len(event) > 0 {
			if _, writeErr := x.writer.Write(event); writeErr != nil {
				return verdictFinal, crlfleet.OutcomeNeutral
			}
			if numbered {
				x.stream.last = id
			}
		}
		if err != nil {
			return verdictAnswered, crlfleet.OutcomeAnswered
		}
		if flushErr := flush.Flush(); flushErr != nil {
			return verdictFinal, crlfleet.OutcomeNeutral
		}
	}
}

var errGap = errors.New("the stream goes on at another event than the next")

// begin gives the caller the head of the answer.
func (x *exchange) begin(response *http.Response) {
	copyHeader(x.writer.Header(), response.Header)
	x.writer.WriteHeader(response.StatusCode)
	x.stream.begun = true
	x.trace.status = response.StatusCode
}

// brokenStream judges a stream that ended before its end.
func (s *Service) brokenStream(ctx context.Context, x *exchange, err error) (verdict, crlfleet.Outcome) {
	x.trace.cause = err.Error()
	if ctx.Err() != nil {
		return verdictFinal, crlfleet.OutcomeNeutral
	}
	return s.repeat(x), crlfleet.OutcomeFailed
}

// readEvent returns the next event with its empty line; at the end of the stream, what is left with io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for len(event) < eventBytes {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
	return nil, errors.New("an event of the stream is too large")
}

var idField = []byte("id:")

// eventID returns the number of an event; ok is false when it has none.
func eventID(event []byte) (id int64, ok bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, idField)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
