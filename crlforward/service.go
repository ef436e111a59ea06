package crlforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlrollout"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// State is what holds for a request on its arrival.
type State struct {
	Table       *crlroute.Table // Table is nil until the first configuration is known.
	ConfirmedAt crlclock.Instant
}

// Config configures a Service.
type Config struct {
	Dialect            Dialect
	State              func() State // State returns the newest configuration and when it was last proved to be the newest.
	Fleet              *crlfleet.Fleet
	Rollouts           *crlrollout.Tracker
	Retries            *crlbudget.RetryBudget
	Transport          http.RoundTripper
	Probe              Probe // Probe looks for servers that are silent; nil for a connection by TCP.
	Log                *crllog.Logger
	Metrics            *Metrics
	Now                crlclock.Clock
	MaxConfirmationAge time.Duration // ProofAge is the oldest proof under which a request with a key is sent.
	SessionTimeout     time.Duration // Session is how long after a request the next one still belongs to its session.
	MaxOpenRequests    int           // InFlight bounds the requests that are held at once.
}

// Service carries requests; it is an http.Handler.
type Service struct {
	config       Config
	sessions     *sessions
	timeFactors  *timeFactors
	probes       *probes
	openRequests atomic.Int64
	draining     atomic.Bool
	closed       atomic.Bool
}

// New returns a service.
func New(config Config) *Service {
	return &Service{config: config, sessions: newSessions(config.SessionTimeout), timeFactors: newTimeFactors(), probes: newProbes(config.Probe)}
}

// Drain makes every further answer close its connection.
func (s *Service) Drain() { s.draining.Store(true) }

// Close refuses every further request, for those that would not end before the process does.
func (s *Service) Close() { s.closed.Store(true) }

// Draining reports whether Drain was called.
func (s *Service) Draining() bool { return s.draining.Load() }

// Open returns the number of requests that are held.
func (s *Service) OpenRequests() int { return int(s.openRequests.Load()) }

// Answers to callers that come too early.
const (
	notReadyRetryAfter    = 500 * time.Millisecond // notReadyRetryAfter is half of what a daemon needs to read a configuration.
	unconfirmedRetryAfter = time.Second            // proofRetryAfter gives the store's client one more try.
	drainingRetryAfter    = 50 * time.Millisecond  // drainingRetryAfter is short because other daemons take the request at once.
	overloadRetryAfter    = time.Second            // overloadRetryAfter is about the time in which a batch of short streams ends.
)

// exchange is one request on its way through the filters.
type exchange struct {
	request       *http.Request
	writer        http.ResponseWriter
	path          string
	arrived       time.Time
	head          Head
	body          []byte
	table         *crlroute.Table
	route         *crlroute.Route
	service       *crlroute.Service
	caller        crlroute.Organisation
	deadline      time.Time // deadline is the end of the caller's wait or the route's timeout, whichever is first.
	rolloutPlan   crlrollout.Plan
	lastVersion   crlid.Version // last is the version of the session's request before.
	sends         int
	reached       bool // reached is set once a server may have got the request.
	retryPaid     bool // paid is set while the next send is taken from the budget of repeats.
	mayHaveRun    bool // mayRun is set once a server may have begun to work on the request.
	tried         map[crlid.Server]bool
	lastFailure   *reply      // failure is the newest failure that a server answered with.
	fallback      *reply      // kept is the whole answer of a smaller model, dropped for a larger one's.
	fallbackTimer *time.Timer // late ends a send in favour of the kept answer, nil when there is none.
	stream        stream
	trace         trace
}

// ServeHTTP carries one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{request: r, writer: w, arrived: time.Now(), tried: make(map[crlid.Server]bool)}
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.closed.Load() {
		s.refuse(x, unavailable(ReasonDraining, drainingRetryAfter))
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	refusal := s.admit(ctx, x)
	if refusal == nil {
		refusal = s.forward(ctx, x)
	}
	if refusal != nil {
		s.refuse(x, refusal)
		return
	}
	s.finishAnswered(x)
}

// admit runs the filters that come before the first send.
func (s *Service) admit(ctx context.Context, x *exchange) *Refusal {
	for _, filter := range []func(context.Context, *exchange) *Refusal{
		s.readHead, s.findRoute, s.authenticate, s.checkConfirmation, s.readBody, s.chooseService,
	} {
		if refusal := filter(ctx, x); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (s *Service) readHead(_ context.Context, x *exchange) *Refusal {
	head, err := s.config.Dialect.DecodeRequest(x.request.Header)
	x.head = head
	if err != nil {
		x.trace.cause = err.Error()
		return newRefusal(http.StatusBadRequest, ReasonMalformed)
	}
	return nil
}

func (s *Service) findRoute(_ context.Context, x *exchange) *Refusal {
	state := s.config.State()
	if state.Table == nil {
		return unavailable(ReasonNoConfiguration, notReadyRetryAfter)
	}
	x.table = state.Table
	x.path, _, _ = strings.Cut(x.request.RequestURI, "?")
	x.route = x.table.Match(x.request.Host, x.path)
	if x.route == nil {
		return newRefusal(http.StatusNotFound, ReasonNoRoute)
	}
	return nil
}

func (s *Service) authenticate(_ context.Context, x *exchange) *Refusal {
	if x.route.Open || !x.table.RequiresKeys() {
		return nil
	}
	caller, ok := x.table.Organisation(x.head.Key)
	if !ok {
		return newRefusal(http.StatusUnauthorized, ReasonUnknownKey)
	}
	x.caller = caller
	return nil
}

// prove refuses work under a key that may have been taken away without this daemon hearing of it.
func (s *Service) checkConfirmation(_ context.Context, x *exchange) *Refusal {
	if x.route.Open || !x.table.RequiresKeys() {
		return nil
	}
	if age := s.config.Now().Sub(s.config.State().ConfirmedAt); age > s.config.MaxConfirmationAge {
		x.trace.confirmationAge = age
		return unavailable(ReasonUnconfirmed, unconfirmedRetryAfter)
	}
	return nil
}

func (s *Service) readBody(_ context.Context, x *exchange) *Refusal {
	limit := x.table.Limits().BodyBytes
	if limit > 0 && x.request.ContentLength > limit {
		return newRefusal(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	x.setDeadline()
	// Reading ends with the wait of the caller; the server's own timeouts bound idle connections.
	if err := http.NewResponseController(x.writer).SetReadDeadline(x.deadline); err != nil {
		x.trace.cause = err.Error()
	}
	var body io.Reader = x.request.Body
	if limit > 0 {
		body = io.LimitReader(x.request.Body, limit+1)
	}
	content, err := io.ReadAll(body)
	if limit > 0 && int64(len(content)) > limit {
		return newRefusal(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	if err != nil {
		x.trace.cause = err.Error()
		return newRefusal(http.StatusBadRequest, ReasonMalformed)
	}
	if err := http.NewResponseController(x.writer).SetReadDeadline(time.Time{}); err != nil {
		x.trace.cause = err.Error()
	}
	x.body = content
	return nil
}

// longestWait bounds a request whose caller and route name no end.
const longestWait = 5 * time.Minute

func (x *exchange) setDeadline() {
	wait := longestWait
	if x.route.Timeout > 0 {
		wait = min(wait, x.route.Timeout)
	}
	if x.head.Deadline > 0 {
		wait = min(wait, x.head.Deadline)
	}
	x.deadline = x.arrived.Add(wait)
}

// schedule finds the service and what a roll-out there means for the request.
func (s *Service) chooseService(_ context.Context, x *exchange) *Refusal {
	if int(s.openRequests.Load()) > s.config.MaxOpenRequests {
		return unavailable(ReasonOverloaded, overloadRetryAfter)
	}
	hash := xxhash.Sum64String(string(x.head.Request))
	name, ok := x.route.Pick(hash)
	if x.service = x.table.Service(name); !ok || x.service == nil {
		return unavailable(ReasonNoServer, overloadRetryAfter)
	}
	x.stream.lastEvent = x.head.After
	s.config.Retries.RecordRequest(x.service.Name, s.config.Now())
	return nil
}

// session returns the key of the request's session; a request without one is a session of its own.
func (x *exchange) session() sessionKey {
	name := x.head.Session
	if name == "" {
		name = crlid.Session(x.head.Request)
	}
	return sessionKey{service: x.service.Name, session: name}
}

// refuse writes an answer of the system's own.
func (s *Service) refuse(x *exchange, refusal *Refusal) {
	x.trace.outcome = refusal.Reason
	if x.stream.started {
		x.trace.outcome = "broken-" + refusal.Reason
		s.finish(x, 0)
		// The caller must not take what it has for the whole answer.
		panic(http.ErrAbortHandler)
	}
	status := refusal.Status
	if x.head.Request == "" {
		// The request was refused before its head was read, which is of use in the log only.
		x.head, _ = s.config.Dialect.DecodeRequest(x.request.Header)
	}
	if x.lastFailure != nil && refusal.Status >= http.StatusInternalServerError && refusal.Reason != ReasonRouteTimeout {
		x.trace.outcome = "server-failure"
		x.lastFailure.write(x.writer)
		s.finish(x, x.lastFailure.status)
		return
	}
	header := x.writer.Header()
	if refusal.RetryAfter > 0 {
		s.config.Dialect.RetryAfter(header, refusal.RetryAfter)
	}
	if status == http.StatusRequestEntityTooLarge || status == http.StatusBadRequest {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	x.writer.WriteHeader(status)
	if _, err := io.WriteString(x.writer, refusal.Reason+"\n"); err != nil {
		x.trace.cause = err.Error()
	}
	s.finish(x, status)
}

func (s *Service) finishAnswered(x *exchange) {
	x.trace.outcome = "answered"
	s.finish(x, x.trace.status)
}

// causeOf tells why a context ended, as a reason.
func endReason(ctx context.Context, x *exchange) string {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded) && x.routeTimeoutFirst():
		return ReasonRouteTimeout
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return ReasonDeadline
	default:
		return ReasonCallerLeft
	}
}

func (x *exchange) routeTimeoutFirst() bool {
	return x.route.Timeout > 0 && (x.head.Deadline == 0 || x.route.Timeout <= x.head.Deadline)
}
