package crlforward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
)

// stream is how far the answer of a streamed request is.
type stream struct {
	started   bool  // begun is set once the head of an answer went to the caller.
	lastEvent int64 // last is the newest event that the caller has.
}

// eventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// relay copies the events of a stream to the caller as they arrive.
func (s *Service) relayStream(ctx context.Context, x *exchange, response *http.Response, head AnswerHead, plan *modelPlan) (verdict, crlfleet.Outcome) {
	if !head.Signed {
		x.trace.cause = "success without a signature"
		return s.retryVerdict(x), crlfleet.OutcomeFailed
	}
	if s.shouldEscalate(x, head, plan) {
		x.trace.confidence = head.Confidence
		x.readFallback(response)
		return verdictEscalate, crlfleet.OutcomeAnswered
	}
	events := bufio.NewReader(response.Body)
	first := !x.stream.started
	flush := http.NewResponseController(x.writer)
	for {
		event, err := readEvent(events)
		if err != nil && !errors.Is(err, io.EOF) {
			return s.brokenStream(ctx, x, err)
		}
		id, numbered := eventID(event)
		if numbered && id <= x.stream.lastEvent {
			if err != nil {
				return verdictAnswered, crlfleet.OutcomeAnswered
			}
			continue
		}
		if numbered && !first && id != x.stream.lastEvent+1 {
			return s.brokenStream(ctx, x, errGap)
		}
		if !x.stream.started {
			if x.fallbackTimer != nil && !x.fallbackTimer.Stop() {
				return verdictFinal, crlfleet.OutcomeNeutral // The kept answer is given instead.
			}
			x.trace.confidence = head.Confidence
			x.writeHead(response)
		}
		if len(event) > 0 {
			if _, writeErr := x.writer.Write(event); writeErr != nil {
				return verdictFinal, crlfleet.OutcomeNeutral
			}
			if numbered {
				x.stream.lastEvent = id
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

const (
	maxFallbackTokens   = 40                    // keepTokens is the length up to which an answer is over within keepTime on the smallest model.
	fallbackReadTimeout = 60 * time.Millisecond // keepTime is a small part of the objectives of one second and more.
	maxFallbackBytes    = 16 << 10
)

// keep reads a short answer to its end before it is dropped for a larger model's, so that it can still be given when the
// larger model doesn't begin within the objective. The server is done with it then, so that no two work on the request.
func (x *exchange) readFallback(response *http.Response) {
	expected := x.head.Output
	if x.head.Expected > 0 {
		expected = min(expected, x.head.Expected)
	}
	if expected == 0 || expected > maxFallbackTokens || x.route.Objective == 0 {
		return
	}
	stop := time.AfterFunc(fallbackReadTimeout, func() { _ = response.Body.Close() })
	defer stop.Stop()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxFallbackBytes+1))
	if err != nil || len(body) > maxFallbackBytes {
		return // The answer isn't whole, and only a whole one can be given later.
	}
	x.fallback = &reply{status: response.StatusCode, header: response.Header, body: body}
}

// giveKept gives the answer that was kept, if there is one and nothing was given yet.
func (x *exchange) writeFallback() bool {
	if x.fallback == nil || x.stream.started {
		return false
	}
	x.fallback.write(x.writer)
	x.trace.status = x.fallback.status
	return true
}

var errGap = errors.New("the stream goes on at another event than the next")

// begin gives the caller the head of the answer.
func (x *exchange) writeHead(response *http.Response) {
	copyHeader(x.writer.Header(), response.Header)
	x.writer.WriteHeader(response.StatusCode)
	x.stream.started = true
	x.trace.status = response.StatusCode
}

// brokenStream judges a stream that ended before its end.
func (s *Service) brokenStream(ctx context.Context, x *exchange, err error) (verdict, crlfleet.Outcome) {
	x.trace.cause = err.Error()
	if endedLocally(ctx) {
		return verdictFinal, crlfleet.OutcomeNeutral
	}
	return s.retryVerdict(x), failureOutcome(ctx)
}

// readEvent returns the next event with its empty line; at the end of the stream, what is left with io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for len(event) < maxEventBytes {
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
