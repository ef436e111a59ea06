package crlforward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlrollout"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

//go:generate go run github.com/dmarkham/enumer -type=verdict -trimprefix=verdict -transform=kebab -text -output=verdict_enumer.go

// verdict is how a send leaves the request.
type verdict int

const (
	verdictAnswered verdict = iota // verdictAnswered requests have their answer.
	verdictAgain                   // verdictAgain requests may be sent to another server.
	verdictEscalate                // verdictEscalate requests are sent again, to the largest model.
	verdictFinal                   // verdictFinal requests may not be sent again.
)

// replyBytes bounds the part of a plain answer that is held back until the answer is whole.
const maxHeldReplyBytes = 1 << 20

// reply is a whole answer of a backend server.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range connectionHeaders {
		to.Del(name)
	}
}

func (r *reply) write(w http.ResponseWriter) {
	copyHeader(w.Header(), r.header)
	w.WriteHeader(r.status)
	// A caller that left gets nothing; the server notices that by itself.
	_, _ = w.Write(r.body)
}

// send makes one attempt and relays its answer where that is final.
func (s *Service) send(ctx context.Context, x *exchange, pick *crlfleet.Pick, plan *modelPlan) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if x.fallback != nil {
		// The answer that was kept is given in time when this one doesn't begin.
		x.fallbackTimer = time.AfterFunc(time.Duration(objectiveFraction*float64(x.route.Objective))-time.Since(x.arrived), func() { cancel(nil) })
		defer x.fallbackTimer.Stop()
	}
	result := crlfleet.Result{Outcome: crlfleet.OutcomeNeutral}
	defer func() { pick.Done(result) }()
	x.sends++
	x.tried[pick.Server] = true
	began := time.Now()
	response, connected, err := s.roundTrip(ctx, cancel, x, pick, plan)
	result.FirstByte = time.Since(began)
	if err != nil {
		return s.handleNoResponse(ctx, x, pick, plan, &result, err, connected)
	}
	defer response.Body.Close()
	head := s.config.Dialect.DecodeAnswer(response.StatusCode, response.Header)
	x.recordSend(pick, plan.model(), response.StatusCode, result.FirstByte, "")
	if head.NotRun {
		result.Outcome, result.FirstByte = crlfleet.OutcomeFull, 0
		if response.StatusCode == http.StatusMisdirectedRequest {
			result.Outcome = crlfleet.OutcomeMoved
		}
		return verdictAgain
	}
	x.mayHaveRun = true
	pick.RecordFirstByte(result.FirstByte)
	s.sessions.record(x.session(), pick.Version)
	if head.Request != x.head.Request {
		result.Outcome = crlfleet.OutcomeFailed
		return s.retryVerdict(x)
	}
	var v verdict
	if response.StatusCode < http.StatusMultipleChoices && x.route.Kind == crlroute.KindStream {
		v, result.Outcome = s.relayStream(ctx, x, response, head, plan)
	} else {
		v, result.Outcome = s.relayPlain(ctx, x, response, head)
	}
	s.timeFactors.observe(plan.model(), x.head.Prompt, result.FirstByte)
	s.reportToRollouts(x, pick, result)
	return v
}

// roundTrip sends the request and returns the head of the answer, or whether the server may have got the request.
func (s *Service) roundTrip(ctx context.Context, cancel context.CancelCauseFunc, x *exchange, pick *crlfleet.Pick, plan *modelPlan) (
	response *http.Response, connected bool, err error,
) {
	var hasConnection atomic.Bool
	request := s.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { hasConnection.Store(true) },
	}), x, pick, plan)
	var watch *watchdog
	if x.route.Repeatable() {
		watch = s.probes.newWatchdog(ctx, cancel, pick.Address)
	}
	response, err = s.config.Transport.RoundTrip(request)
	connected = err == nil || hasConnection.Load()
	if connected {
		x.reached, x.retryPaid = true, false
	}
	if err == nil && watch != nil {
		response.Body = &watchedBody{ReadCloser: response.Body, watchdog: watch}
	}
	return response, connected, err
}

func (s *Service) newRequest(ctx context.Context, x *exchange, pick *crlfleet.Pick, plan *modelPlan) *http.Request {
	header := x.request.Header.Clone()
	for _, name := range connectionHeaders {
		header.Del(name)
	}
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // An empty value keeps net/http from adding its own.
	}
	s.config.Dialect.EncodeAttempt(header, Attempt{
		Server: pick.Server, Organisation: x.caller.Name, Model: plan.model(), Deadline: time.Until(x.deadline),
		After: x.stream.lastEvent, Resumes: x.head.Resumes || x.stream.lastEvent > 0, Urgency: x.urgency(),
	})
	request := &http.Request{
		Method: x.request.Method, Host: x.request.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		// An opaque URL goes out byte for byte.
		URL: &url.URL{Scheme: "http", Host: pick.Address, Opaque: x.request.RequestURI},
	}
	if len(x.body) > 0 {
		// Without GetBody, net/http never sends a request again by itself.
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	return request.WithContext(ctx)
}

// leastUrgent is the last rank that servers know.
const lowestUrgency = 9

// urgency ranks the request at its server: the organisation's rank goes before the route's.
func (x *exchange) urgency() int {
	if x.service.Slots == 0 {
		return -1
	}
	rank := x.route.Priority
	if x.caller.Ranked {
		rank = x.caller.Priority
	}
	return min(max(rank, 0), lowestUrgency)
}

// unanswered judges a send that got no head of an answer.
func (s *Service) handleNoResponse(ctx context.Context, x *exchange, pick *crlfleet.Pick, plan *modelPlan, result *crlfleet.Result, err error, connected bool) verdict {
	x.recordSend(pick, plan.model(), 0, 0, err.Error())
	waited := result.FirstByte
	result.FirstByte = 0
	if connected {
		pick.RecordFirstByte(waited) // What it waited so far is the least that its server lets requests wait.
		x.mayHaveRun = true
	}
	if endedLocally(ctx) {
		return verdictFinal
	}
	if !connected {
		result.Outcome = crlfleet.OutcomeUnreachable
		return verdictAgain
	}
	result.Outcome = failureOutcome(ctx)
	s.reportToRollouts(x, pick, *result)
	return s.retryVerdict(x)
}

// repeat is the verdict on a failure of a request that may have run.
func (s *Service) retryVerdict(x *exchange) verdict {
	if x.route.Repeatable() {
		return verdictAgain
	}
	return verdictFinal
}

// collect reads a plain answer whole and delivers it, unless it is a failure that another server may do better.
func (s *Service) relayPlain(ctx context.Context, x *exchange, response *http.Response, head AnswerHead) (verdict, crlfleet.Outcome) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHeldReplyBytes+1))
	if err != nil {
		if endedLocally(ctx) {
			return verdictFinal, crlfleet.OutcomeNeutral
		}
		x.trace.cause = err.Error()
		return s.retryVerdict(x), failureOutcome(ctx)
	}
	answer := &reply{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode < http.StatusMultipleChoices && !head.Signed {
		x.trace.cause = "success without a signature"
		return s.retryVerdict(x), crlfleet.OutcomeFailed
	}
	if response.StatusCode >= http.StatusInternalServerError {
		x.lastFailure = answer
		if x.route.Repeatable() && x.sends < x.route.Attempts {
			return verdictAgain, crlfleet.OutcomeFailed
		}
		return verdictFinal, crlfleet.OutcomeFailed
	}
	x.trace.status = answer.status
	if len(body) > maxHeldReplyBytes {
		return s.relayOversized(x, answer, response)
	}
	answer.write(x.writer)
	return verdictAnswered, crlfleet.OutcomeAnswered
}

// pass delivers an answer that is too large to be held back.
func (s *Service) relayOversized(x *exchange, answer *reply, response *http.Response) (verdict, crlfleet.Outcome) {
	answer.write(x.writer)
	x.stream.started = true
	if _, err := io.Copy(x.writer, response.Body); err != nil {
		x.trace.cause = err.Error()
		return verdictFinal, crlfleet.OutcomeFailed
	}
	return verdictAnswered, crlfleet.OutcomeAnswered
}

// slowFactor is how much later than usual an answer of a new version counts as bad.
const slowFactor = 5

// observe gives what a send showed to the roll-outs of the service.
func (s *Service) reportToRollouts(x *exchange, pick *crlfleet.Pick, result crlfleet.Result) {
	if x.rolloutPlan.Target == "" || result.Outcome == crlfleet.OutcomeNeutral {
		return
	}
	bad := result.Outcome != crlfleet.OutcomeAnswered || result.FirstByte > slowFactor*pick.Expected+time.Second
	if s.config.Rollouts.Observe(crlrollout.Observation{Service: x.service.Name, Version: pick.Version, Bad: bad}) {
		s.logVersionMarkedBad(x, pick)
	}
}

// escalates decides whether an answer is dropped for a larger model's.
func (s *Service) shouldEscalate(x *exchange, head AnswerHead, plan *modelPlan) bool {
	if !plan.canEscalate() || x.stream.started || x.sends >= x.route.Attempts || !x.route.Repeatable() ||
		head.Confidence == NoConfidence || head.Confidence >= escalateBelowConfidence {
		return false
	}
	pace := s.timeFactors.of(plan.largest(), plan.models)
	first := x.estimate(pace).firstByte + s.config.Fleet.ExpectedWait(x.service.Name)
	if x.route.Objective > 0 && time.Since(x.arrived)+first > time.Duration(objectiveFraction*float64(x.route.Objective)) {
		return false
	}
	x.retryPaid = s.config.Retries.Spend(x.service.Name, crlbudget.UsableForCascade, s.config.Now())
	return x.retryPaid
}
