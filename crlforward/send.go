package crlforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cranberrylock/cranberrylock/crlanswer"
	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlquarantine"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

//go:generate go run github.com/dmarkham/enumer -type=verdict -trimprefix=verdict -transform=kebab -text -output=verdict_enumer.go

// verdict is what to do with a request after a send.
type verdict int

const (
	verdictAnswered verdict = iota // the caller has the answer
	verdictAgain                   // the request may be sent to another server
	verdictEscalate                // the request must be sent again, to the largest model
	verdictFinal                   // the request must not be sent again
)

// maxHeldReplyBytes is the size up to which a plain answer is held back until it is complete. A larger one is relayed as it
// arrives.
const maxHeldReplyBytes = 1 << 20

// reply is an answer of a backend server, with its body read into memory.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", headerRuns, headerRunLimit, headerRefusal,
}

// copyHeader copies all headers but connectionHeaders. Both headers then share the slices of values.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range connectionHeaders {
		to.Del(name)
	}
}

// write sends the answer to a caller.
func (r *reply) write(w http.ResponseWriter) {
	copyHeader(w.Header(), r.header)
	w.WriteHeader(r.status)
	// The error of a caller that disconnected is ignored: the HTTP server closes the connection.
	_, _ = w.Write(r.body)
}

// send sends the request to one server and relays the answer unless the request should be sent again. It reports the outcome
// to the fleet and the roll-outs.
func (s *Service) send(ctx context.Context, x *exchange, pick *crlfleet.Pick, plan *modelPlan) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if x.fallback != nil && !x.stream.started {
		// Ends the send in time for the fallback answer, if this server does not start to answer.
		x.fallbackTimer = time.AfterFunc(time.Duration(objectiveFraction*float64(x.route.Objective))-time.Since(x.arrived), func() { cancel(nil) })
		defer x.fallbackTimer.Stop()
	}
	result := crlfleet.Result{Outcome: crlfleet.OutcomeNeutral}
	defer func() { pick.Done(result) }()
	s.beginSend(x, pick.Server)
	endedBefore, start := x.endedLast, time.Now()
	response, connected, err := s.attempt(ctx, cancel, x, pick, plan)
	result.FirstByte = time.Since(start)
	if err != nil {
		return s.handleNoResponse(ctx, x, pick, plan, &result, err, connected)
	}
	defer response.Body.Close()
	head := s.config.Dialect.DecodeAnswer(response.StatusCode, response.Header)
	x.recordSend(pick, plan.model(), response.StatusCode, result.FirstByte, "")
	// Any other answer may be that of another server, or of another time.
	isOwn := head.Request == x.head.Request || head.Request == ""
	if isOwn && response.StatusCode != http.StatusMisdirectedRequest {
		pick.RecordStatement(head.Statement)
	}
	if head.NotRun && isOwn {
		x.endedLast = endedBefore
		result.Outcome, result.FirstByte = crlfleet.OutcomeFull, 0
		if response.StatusCode == http.StatusMisdirectedRequest {
			result.Outcome = crlfleet.OutcomeMoved
		}
		return verdictAgain
	}
	x.runs++
	pick.RecordFirstByte(result.FirstByte)
	s.recordBegun(x)
	comparison := s.newComparison(x, pick, plan, start)
	comparison.recordFirstByte(result.FirstByte)
	s.sessions.record(x.sessionKey(), pick.Version)
	if head.Request != x.head.Request {
		result.Outcome = crlfleet.OutcomeFailed
		return s.retryVerdict(x)
	}
	var v verdict
	if response.StatusCode < http.StatusMultipleChoices && x.route.Kind == crlroute.KindStream {
		v, result.Outcome = s.relayStream(ctx, x, pick, response, head, plan, comparison)
	} else {
		v, result.Outcome = s.relayPlain(ctx, x, pick, response, head)
	}
	comparison.recordOutcome(result)
	return v
}

// attempt makes a round trip to a server.
func (s *Service) attempt(ctx context.Context, cancel context.CancelCauseFunc, x *exchange, pick *crlfleet.Pick, plan *modelPlan) (
	response *http.Response, connected bool, err error,
) {
	response, connected, err = s.roundTrip(ctx, cancel, x, pick.Address, s.reachability.recordConnected, s.encodeAttempt(x, pick, plan))
	x.connected = x.connected || connected
	return response, connected, err
}

// roundTrip sends the request to the server or router at an address and returns the head of the answer. connected reports whether a connection was
// opened, so that the receiver may have the request; onConnect is called when it is. encode sets the headers for the receiver, and again once there is a
// connection: they state the time that is left when the request is written. A watchdog ends the send of a repeatable request when its
// receiver becomes unreachable.
func (s *Service) roundTrip(
	ctx context.Context, cancel context.CancelCauseFunc, x *exchange, address string, onConnect func(), encode func(http.Header),
) (response *http.Response, connected bool, err error) {
	var wd *watchdog
	if x.route.Repeatable() {
		wd = s.probes.newWatchdog(ctx, cancel, address)
	}
	ctx = withDialTimeout(ctx, x.dialTimeout())
	header := x.forwardedHeader()
	encode(header)
	var hasConnection atomic.Bool
	clientTrace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			hasConnection.Store(true)
			onConnect()
			encode(header) // The transport calls this in the goroutine of the round trip, before it writes the request.
			if wd != nil {
				wd.setConnection(info.Conn)
			}
		},
	}
	defer watchHead(clientTrace, cancel)()
	response, err = s.config.Transport.RoundTrip(x.newRequest(crlanswer.WithTrace(ctx, clientTrace), address, header))
	connected = err == nil || hasConnection.Load()
	if connected {
		x.reached, x.retryPaid, x.endedLast = true, false, false
	}
	if err == nil && wd != nil {
		wd.endWait()
		response.Body = &watchedBody{ReadCloser: response.Body, watchdog: wd}
	}
	return response, connected, err
}

// dialTimeout returns the longest time for opening the connection of the next send. A request of which the caller has nothing goes
// to another server soon. A started stream has fewer choices, so it allows more time with each failed dial.
func (x *exchange) dialTimeout() time.Duration {
	return min(dialTimeout<<x.failedDials, maxDialTimeout)
}

// encodeAttempt returns the function that sets the headers of a send to a backend server.
func (s *Service) encodeAttempt(x *exchange, pick *crlfleet.Pick, plan *modelPlan) func(http.Header) {
	return func(header http.Header) {
		s.config.Dialect.EncodeAttempt(header, Attempt{
			Server: pick.Server, Organisation: x.caller.Name, Model: plan.model(), Deadline: time.Until(x.deadline),
			LastEvent: x.stream.lastEvent, Resumes: x.head.Resumes || x.stream.lastEvent > 0, Priority: x.priority(),
		})
	}
}

// forwardedHeader returns a copy of the caller's headers, without those that apply to its connection alone.
func (x *exchange) forwardedHeader() http.Header {
	header := x.request.Header.Clone()
	for _, name := range connectionHeaders {
		header.Del(name)
	}
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // An empty value keeps net/http from adding its default.
	}
	return header
}

// newRequest returns the request to the server or router at an address, with the body, path and query of the caller's.
func (x *exchange) newRequest(ctx context.Context, address string, header http.Header) *http.Request {
	request := &http.Request{
		Method: x.request.Method, Host: x.request.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: x.target.url(address),
	}
	if len(x.body) > 0 {
		// GetBody stays unset, so that net/http never repeats the request by itself.
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	return request.WithContext(ctx)
}

// lowestPriority is the highest rank number, and thus the least urgent, that backend servers accept.
const lowestPriority = 9

// priority returns the request's rank at its server: the organisation's if it has one, else the route's; negative for a
// service without slots, which does not rank requests.
func (x *exchange) priority() int {
	if x.service.Slots == 0 {
		return -1
	}
	rank := x.route.Priority
	if x.caller.HasPriority {
		rank = x.caller.Priority
	}
	return min(max(rank, 0), lowestPriority)
}

// handleNoResponse sets the result of a send that failed before the head of an answer arrived, and returns the verdict.
func (s *Service) handleNoResponse(
	ctx context.Context, x *exchange, pick *crlfleet.Pick, plan *modelPlan, result *crlfleet.Result, err error, connected bool,
) verdict {
	x.recordSend(pick, plan.model(), 0, 0, err.Error())
	waited := result.FirstByte
	result.FirstByte = 0
	if connected {
		pick.RecordFirstByte(waited) // The time waited so far is a lower bound of the server's waiting time.
		x.runs++
	}
	comparison := s.newComparison(x, pick, plan, time.Now().Add(-waited))
	if endedLocally(ctx) {
		if connected {
			comparison.recordWait(waited)
		}
		return verdictFinal
	}
	if !connected {
		if result.Outcome = dialOutcome(err); result.Outcome == crlfleet.OutcomeUnreachable {
			s.reachability.recordFailed(pick.Address)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.crowd.record(pick.Server, s.config.Now())
		}
		if x.stream.started {
			// The dial may have failed because of this VM's own link, so the server stays a candidate.
			delete(x.tried, pick.Server)
			x.sends--
			x.failedDials++
		}
		return verdictAgain
	}
	s.recordBreak(ctx, x, pick, crlquarantine.MomentBefore)
	result.Outcome = failureOutcome(ctx)
	comparison.recordOutcome(*result)
	return s.retryVerdict(x)
}

// dialOutcome returns the outcome that a failed dial has for its server's health. A lack of descriptors, ports or buffers on this VM
// says nothing about the server.
func dialOutcome(err error) crlfleet.Outcome {
	for _, local := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, local) {
			return crlfleet.OutcomeNeutral
		}
	}
	return crlfleet.OutcomeUnreachable
}

// retryVerdict returns the verdict on a failed request that a server may have run: only a repeatable one is sent again.
func (s *Service) retryVerdict(x *exchange) verdict {
	if x.route.Repeatable() {
		return verdictAgain
	}
	return verdictFinal
}

// relayPlain relays a plain answer: one that is not a stream, or that has no success status. The caller gets nothing of it
// before it is complete or longer than maxHeldReplyBytes, so that the request can be sent to another server after an
// incomplete answer, a 5xx status or a success without a signature. An answer to a send that should have gone on with a started
// stream is dropped.
func (s *Service) relayPlain(
	ctx context.Context, x *exchange, pick *crlfleet.Pick, response *http.Response, head AnswerHead,
) (verdict, crlfleet.Outcome) {
	if x.stream.started {
		x.trace.cause = "backend server did not go on with the stream"
		return s.retryVerdict(x), crlfleet.OutcomeFailed
	}
	if response.StatusCode < http.StatusMultipleChoices && !head.Signed {
		x.trace.cause = "backend server's success answer has no signature" // Its body is not read, as it may have no end.
		return s.retryVerdict(x), crlfleet.OutcomeFailed
	}
	if response.StatusCode >= http.StatusInternalServerError {
		defer time.AfterFunc(completeTimeout, func() { _ = response.Body.Close() }).Stop()
	}
	body, complete, err := s.readHeld(x, response.Body)
	if err != nil {
		if endedLocally(ctx) {
			return verdictFinal, crlfleet.OutcomeNeutral
		}
		x.trace.cause = err.Error()
		s.recordBreak(ctx, x, pick, crlquarantine.MomentBody)
		return s.retryVerdict(x), failureOutcome(ctx)
	}
	answer := &reply{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		if complete { // The caller would take a part for the whole.
			x.lastFailure = answer
		}
		if x.route.Repeatable() && x.hasAttempts() {
			return verdictAgain, crlfleet.OutcomeFailed
		}
		return verdictFinal, crlfleet.OutcomeFailed
	}
	x.trace.status = answer.status
	if !complete {
		return s.relayOversized(ctx, x, pick, answer, response)
	}
	s.recordPlainCompletion(x, response)
	answer.write(x.writer)
	return verdictAnswered, crlfleet.OutcomeAnswered
}

// recordPlainCompletion records that a plain answer is complete. A server may reject a request without reading its prompt, and one for a stream without
// running it.
func (s *Service) recordPlainCompletion(x *exchange, response *http.Response) {
	switch {
	case x.route.Kind == crlroute.KindStream || response.StatusCode >= http.StatusInternalServerError:
	case response.StatusCode >= http.StatusMultipleChoices:
		s.recordCompletion(x, nil)
	default:
		s.recordCompletion(x, x.sharedParts())
	}
}

// relayOversized sends the part of an answer that was read and then the rest as it arrives. From then on the request can't
// be sent to another server.
func (s *Service) relayOversized(
	ctx context.Context, x *exchange, pick *crlfleet.Pick, answer *reply, response *http.Response,
) (verdict, crlfleet.Outcome) {
	answer.write(x.writer)
	x.stream.started = true
	rest := &failingReader{Reader: response.Body}
	if _, err := io.Copy(x.writer, rest); err != nil {
		x.trace.cause = err.Error()
		if rest.err != nil {
			s.recordBreak(ctx, x, pick, crlquarantine.MomentBody)
		}
		return verdictFinal, crlfleet.OutcomeFailed
	}
	s.recordPlainCompletion(x, response)
	return verdictAnswered, crlfleet.OutcomeAnswered
}

// failingReader keeps the error with which its reader failed.
type failingReader struct {
	io.Reader
	err error
}

// Read reads into b.
func (r *failingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// shouldEscalate reports whether an answer of low confidence is to be replaced by the largest model's: the request may be
// repeated, the larger model is expected to start within the latency objective, and the retry budget allows it.
func (s *Service) shouldEscalate(x *exchange, head AnswerHead, plan *modelPlan) bool {
	if !plan.canEscalate() || x.stream.started || !x.hasAttempts() || !x.route.Repeatable() ||
		head.Confidence == NoConfidence || head.Confidence >= escalateBelowConfidence || !s.allowsLargerModel(x) {
		return false
	}
	cost := s.estimate(x, plan.largest(), plan)
	expected := cost.firstByte + s.config.Fleet.ExpectedWait(x.service.Name, cost.workSeconds)
	if x.route.Objective > 0 && time.Since(x.arrived)+expected > time.Duration(objectiveFraction*float64(x.route.Objective)) {
		return false
	}
	x.retryPaid = s.config.Retries.Spend(x.service.Name, crlbudget.UsableForEscalation, s.config.Now())
	return x.retryPaid
}
