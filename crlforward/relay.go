package crlforward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlquarantine"
)

// stream records how much of its answer the caller of a request has got.
type stream struct {
	started   bool  // whether the caller got the head of an answer
	lastEvent int64 // number of the last event that the caller has
}

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// relayStream copies the events of a stream to the caller as they arrive. In a stream that continues another server's,
// events that the caller has are skipped, and an event number other than the next one ends the send.
func (s *Service) relayStream(
	ctx context.Context, x *exchange, pick *crlfleet.Pick, response *http.Response, head AnswerHead, plan *modelPlan, comparison *comparison,
) (verdict, crlfleet.Outcome) {
	if !head.Signed {
		x.trace.cause = "backend server's success answer has no signature"
		return s.retryVerdict(x), crlfleet.OutcomeFailed
	}
	if s.shouldEscalate(x, head, plan) {
		return s.escalate(ctx, x, pick, response, head)
	}
	events, stop := s.newEventReader(x, response)
	defer stop()
	defer comparison.endStream()
	part := continuation{stream: &x.stream, fresh: !x.stream.started, begun: !x.stream.started}
	controller := http.NewResponseController(x.writer)
	for {
		event, err := events.next()
		if err != nil && !errors.Is(err, io.EOF) {
			if !events.endedHere(err) {
				s.recordBreak(ctx, x, pick, part.moment(events.count))
			}
			return s.handleBrokenStream(ctx, x, err)
		}
		if events.count == 1 && err == nil {
			s.recordStart(x)
		}
		comparison.countEvent(err == nil)
		id, numbered := eventID(event)
		if relay, partErr := part.judge(event, id, numbered); partErr != nil {
			return s.handleBrokenStream(ctx, x, partErr)
		} else if !relay {
			continue
		}
		if !x.stream.started {
			if x.fallbackTimer != nil && !x.fallbackTimer.Stop() {
				return verdictFinal, crlfleet.OutcomeNeutral // The timer has fired, so the fallback answer is sent instead of this one.
			}
			x.trace.confidence = head.Confidence
			x.writeHead(response)
		}
		if len(event) > 0 {
			if _, writeErr := x.writer.Write(event); writeErr != nil {
				return x.callerFailed(writeErr)
			}
			if numbered {
				x.stream.lastEvent = id
			}
		}
		if err != nil {
			s.recordCompletion(x, x.sharedParts())
			return verdictAnswered, crlfleet.OutcomeAnswered
		}
		if flushErr := controller.Flush(); flushErr != nil {
			return x.callerFailed(flushErr)
		}
	}
}

// continuation judges the events of an answer that may have to go on with a stream of which the caller has a part.
type continuation struct {
	stream *stream
	fresh  bool // whether the caller had nothing when the answer began
	begun  bool // whether the answer has shown that it goes on with the caller's stream
}

// judge reports whether the caller is to get an event, and returns an error if it is no part of the caller's stream. Events that the caller has are left
// out, and so are comments before the first numbered event of an answer that goes on with a stream. An event without a number may come later only.
func (c *continuation) judge(event []byte, id int64, numbered bool) (relay bool, err error) {
	c.begun = c.begun || numbered
	switch {
	case numbered && id <= c.stream.lastEvent:
		return false, nil
	case numbered && !c.fresh && id != c.stream.lastEvent+1:
		return false, errGap
	case numbered || len(event) == 0 || !c.stream.started:
		return true, nil
	case !isEvent(event) || !c.begun && !isComment(event):
		return false, errNoEvent
	default:
		return c.begun, nil
	}
}

// moment returns how far the stream has come when a number of events of the answer have arrived. That an answer begins elsewhere doesn't refute the crash of a
// server that went on with a stream.
func (c *continuation) moment(events int) crlquarantine.Moment {
	if events == 0 && c.fresh && c.stream.lastEvent == 0 {
		return crlquarantine.MomentHead
	}
	return crlquarantine.MomentBody
}

// callerFailed ends a request whose caller can't be written to.
func (x *exchange) callerFailed(err error) (verdict, crlfleet.Outcome) {
	x.trace.cause = err.Error()
	return verdictFinal, crlfleet.OutcomeNeutral
}

// escalate drops the answer of a smaller model, except for what may serve in place of the larger one's.
func (s *Service) escalate(
	ctx context.Context, x *exchange, pick *crlfleet.Pick, response *http.Response, head AnswerHead,
) (verdict, crlfleet.Outcome) {
	x.trace.confidence = head.Confidence
	if x.readFallback(response) {
		s.recordBreak(ctx, x, pick, crlquarantine.MomentHead)
		return verdictEscalate, failureOutcome(ctx)
	}
	return verdictEscalate, crlfleet.OutcomeAnswered
}

const (
	maxFallbackTokens   = 40                    // the smallest model completes an answer of this length within fallbackReadTimeout
	fallbackReadTimeout = 60 * time.Millisecond // a small fraction of the latency objectives, which are 1 s or more
	maxFallbackBytes    = 16 << 10              // a larger answer does not serve as the fallback
)

// readFallback reads a short answer to its end before the request is escalated to a larger model, so that it can be sent if
// the larger model does not start to answer within the latency objective. Reading to the end also ensures that no two
// servers work on the request at once. It reports whether the server broke the answer off before its first event.
func (x *exchange) readFallback(response *http.Response) (broken bool) {
	expected := x.head.MaxAnswerTokens
	if x.head.ExpectedAnswerTokens > 0 {
		expected = min(expected, x.head.ExpectedAnswerTokens)
	}
	if expected == 0 || expected > maxFallbackTokens || x.route.Objective == 0 {
		return false
	}
	stop := time.AfterFunc(fallbackReadTimeout, func() { _ = response.Body.Close() })
	body, err := io.ReadAll(io.LimitReader(response.Body, maxFallbackBytes+1))
	inTime := stop.Stop()
	if err != nil || len(body) > maxFallbackBytes || endsInsideEvent(body) || len(body) == 0 && !isFramed(response) {
		// Only a complete answer can serve as the fallback.
		return inTime && !hasEvent(body)
	}
	x.fallback = &reply{status: response.StatusCode, header: response.Header, body: body}
	return false
}

// writeFallback sends the fallback answer to the caller and returns true, if there is one and the caller got nothing yet.
func (x *exchange) writeFallback() bool {
	if x.fallback == nil || x.stream.started {
		return false
	}
	x.fallback.write(x.writer)
	x.trace.status = x.fallback.status
	return true
}

// errGap ends a send whose stream skips events that the caller does not have.
var errGap = errors.New("continued stream does not start at the event after the last one relayed")

// errNoEvent ends a send whose stream has bytes that are no event, or no part of the caller's stream: an error of the server, for example.
var errNoEvent = errors.New("stream has bytes that are no part of it")

// writeHead sends the status and headers of an answer to the caller.
func (x *exchange) writeHead(response *http.Response) {
	copyHeader(x.writer.Header(), response.Header)
	x.writer.WriteHeader(response.StatusCode)
	x.stream.started = true
	x.trace.status = response.StatusCode
}

// handleBrokenStream records why a stream was cut off, and returns the verdict on the request and the outcome for its server.
func (s *Service) handleBrokenStream(ctx context.Context, x *exchange, err error) (verdict, crlfleet.Outcome) {
	x.trace.cause = err.Error()
	if endedLocally(ctx) {
		return verdictFinal, crlfleet.OutcomeNeutral
	}
	if errors.Is(err, errNoEventRoom) {
		return s.retryVerdict(x), crlfleet.OutcomeNeutral // Other streams have the room, so this says nothing about the server.
	}
	return s.retryVerdict(x), failureOutcome(ctx)
}

// readEvent returns the next event, including the empty line that ends it. At the end of the stream it returns the
// remaining bytes with io.EOF. grow makes room for n more bytes in the part of the event that was read.
func readEvent(r *bufio.Reader, event []byte, grow func(event []byte, n int) ([]byte, error)) ([]byte, error) {
	for len(event) < maxEventBytes {
		line, err := r.ReadSlice('\n')
		larger, growErr := grow(event, len(line))
		if growErr != nil {
			return nil, growErr
		}
		event = append(larger, line...)
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
	return nil, errors.New("stream event is larger than 1 MiB")
}

// endsInsideEvent reports whether the text of a stream ends where no event does.
func endsInsideEvent(text []byte) bool {
	events := bufio.NewReader(bytes.NewReader(text))
	for {
		if event, err := readEvent(events, nil, growFreely); err != nil {
			return len(event) > 0
		}
	}
}

// growFreely makes room for bytes that are counted elsewhere.
func growFreely(event []byte, n int) ([]byte, error) { return slices.Grow(event, n), nil }

// hasEvent reports whether the text of a stream has a complete event.
func hasEvent(text []byte) bool {
	_, err := readEvent(bufio.NewReader(bytes.NewReader(text)), nil, growFreely)
	return err == nil
}

// isEvent reports whether a text of lines that ends with an empty one is an event: fields whose names are of small letters and dashes, and comments.
func isEvent(text []byte) bool {
	for line := range bytes.Lines(text) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, isField := bytes.Cut(line, []byte(":"))
		if len(line) > 0 && !isField || len(bytes.Trim(name, "abcdefghijklmnopqrstuvwxyz-")) > 0 {
			return false
		}
	}
	return true
}

// isComment reports whether an event has only comments.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

var idField = []byte("id:")

// eventID returns the number in an event's id field; ok is false if the field is missing or not a number.
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
