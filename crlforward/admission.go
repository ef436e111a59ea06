package crlforward

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crladmission"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// admission is the state of a request's admission.
type admission struct {
	checked  bool // whether the decision was made or is not needed
	request  crladmission.Request
	decision crladmission.Decision // the newest one other than to send the request at once
	held     time.Duration         // time for which the request was held
	ticket   crladmission.Ticket
	begun    bool // whether ticket is in use
	smaller  bool // whether the larger model was ruled out for the sake of more urgent requests
}

// newAdmission returns the controller of a service's admission.
func newAdmission(fleet *crlfleet.Fleet) *crladmission.Controller {
	return crladmission.New(crladmission.Config{Servers: func(service crlid.Service) int {
		_, servers := fleet.Capacity(service, "")
		return servers
	}})
}

// admits reports whether admission control applies to a request: to those of a model engine with a latency objective, which this router got
// from the caller and which no server has been sent.
func (x *exchange) admits() bool {
	return (x.service.Slots > 0 || x.service.MemoryTokens > 0) && x.route.Objective > 0 && !x.handedOver && x.sends == 0 && len(x.peers) == 0 &&
		!x.stream.started
}

// hasAdmission reports whether admission control applies to this deployment.
func (s *Service) hasAdmission() bool { return s.config.Admission == nil || s.config.Admission() }

// checkAdmission decides once on a request before its first send, and holds or refuses it accordingly.
func (s *Service) checkAdmission(ctx context.Context, x *exchange, plan *modelPlan) *Refusal {
	a := &x.admission
	if a.checked {
		return nil
	}
	a.checked = true
	if !x.handedOver {
		s.admission.RecordArrival(s.config.Now())
	}
	if !s.hasAdmission() || !x.admits() {
		return nil
	}
	a.request = s.admissionRequest(x, plan)
	d := s.admission.Decide(a.request, 0, s.config.Now())
	if d.Action == crladmission.ActionWait {
		a.decision = d
		s.config.Metrics.countDecision(d.Action.String() + "-" + d.Cause.String())
		start := time.Now()
		crlclock.Sleep(ctx, d.Wait)
		a.held = time.Since(start)
		if ctx.Err() != nil {
			return x.finalRefusal(endReason(ctx, x))
		}
		a.request = s.admissionRequest(x, plan)
		d = s.admission.Decide(a.request, a.held, s.config.Now())
	}
	if d.Action == crladmission.ActionReject {
		a.decision = d
		s.config.Metrics.countDecision(d.Action.String() + "-" + d.Cause.String())
		return unavailable(ReasonOverloaded, d.RetryAfter)
	}
	s.config.Metrics.countDecision(d.Action.String())
	a.begun = true
	s.admission.Begin(&a.ticket, a.request, s.config.Now())
	return nil
}

// admissionRequest describes a request for the decision on its admission.
func (s *Service) admissionRequest(x *exchange, plan *modelPlan) crladmission.Request {
	cost := s.estimate(x, plan.model(), plan)
	return crladmission.Request{
		Service: x.service.Name, Organisation: x.caller.Name, ID: xxhash.Sum64String(string(x.head.Request)), Rank: x.priority(),
		Begin: cost.firstByte.Seconds(), Cost: cost.workSeconds + cost.decodeSeconds, ExpectedWait: s.config.Fleet.ExpectedWait(x.service.Name, cost.workSeconds),
		Objective: x.route.Objective, Elapsed: time.Since(x.arrived), Left: time.Until(x.deadline),
		InProgress: x.head.Resumes || x.head.Session != "" && s.sessions.version(x.sessionKey()) != "",
	}
}

// beginSend counts a send of a request and records the server.
func (s *Service) beginSend(x *exchange, server crlid.Server) {
	x.sends++
	x.tried[server] = true
	if x.admission.begun {
		s.admission.RecordServer(&x.admission.ticket, server)
	}
}

// recordBegun records that a server has begun an answer to a request.
func (s *Service) recordBegun(x *exchange) {
	if x.admission.begun {
		s.admission.RecordFirstEvent(&x.admission.ticket, s.config.Now())
	}
}

// endAdmission records the end of a request, in case no server has begun an answer.
func (s *Service) endAdmission(ctx context.Context, x *exchange) {
	if !x.admission.begun {
		return
	}
	t := &x.admission.ticket
	if reason := endReason(ctx, x); ctx.Err() != nil && x.runs > 0 && (reason == ReasonDeadline || reason == ReasonRouteTimeout) {
		s.admission.RecordDeadline(t, s.config.Now())
		return
	}
	s.admission.Cancel(t, s.config.Now())
}

// allowsLargerModel reports whether a larger model may be used for a request: not while more urgent requests of its service wait for too
// long.
func (s *Service) allowsLargerModel(x *exchange) bool {
	if !s.hasAdmission() {
		return true
	}
	allowed := s.admission.AllowsLarger(x.service.Name, x.priority(), s.config.Now())
	if !allowed {
		x.admission.smaller = true
		s.config.Metrics.countDecision("smaller-model")
	}
	return allowed
}

// notReady refuses a request that this router can't take or decide on yet. The callers return one after the other.
func (s *Service) notReady(x *exchange, reason string, first time.Duration) *Refusal {
	if !s.hasAdmission() {
		return unavailable(reason, first)
	}
	rank, left := lowestPriority, longestWait
	if x.route != nil {
		rank = x.route.Priority
		if x.route.Timeout > 0 {
			left = min(left, x.route.Timeout)
		}
	}
	if x.head.Deadline > 0 {
		left = min(left, x.head.Deadline)
	}
	after := s.admission.RetryAfter(xxhash.Sum64String(string(x.head.Request)), rank, first, left-time.Since(x.arrived), s.config.Now())
	return unavailable(reason, after)
}

// admissionTrace describes a decision on a request in its log line. Times are in milliseconds.
type admissionTrace struct {
	Action       string  `json:"action"`
	Cause        string  `json:"cause"`
	Rank         int     `json:"rank"`
	Left         int64   `json:"left-ms"`
	ExpectedWait int64   `json:"expected-wait-ms"`
	Held         int64   `json:"held-ms"`
	RetryAfter   int64   `json:"retry-after-ms"`
	Returned     bool    `json:"returned"`
	Observations int     `json:"observations"`
	Late         int     `json:"late"`
	Servers      int     `json:"servers"`
	ShortestWait int64   `json:"shortest-wait-ms"`
	EvidenceAge  int64   `json:"evidence-age-ms"`
	Kept         float64 `json:"kept"`
}

// attributes returns what the log line of a request says about its admission, nothing if it was sent at once.
func (a *admission) attributes() []slog.Attr {
	var attributes []slog.Attr
	if a.smaller {
		attributes = append(attributes, slog.Bool("smaller-model", true))
	}
	d := a.decision
	if d.Action == crladmission.ActionSend {
		return attributes
	}
	return append(attributes, slog.Any("admission", admissionTrace{
		Action: d.Action.String(), Cause: d.Cause.String(), Rank: a.request.Rank, Left: a.request.Left.Milliseconds(),
		ExpectedWait: a.request.ExpectedWait.Milliseconds(), Held: a.held.Milliseconds(), RetryAfter: d.RetryAfter.Milliseconds(),
		Returned: d.Returned, Observations: d.Evidence.Observations, Late: d.Evidence.Late, Servers: d.Evidence.Servers,
		ShortestWait: d.Evidence.ShortestWait.Milliseconds(), EvidenceAge: d.Evidence.NewestAge.Milliseconds(), Kept: d.Evidence.Kept,
	}))
}
