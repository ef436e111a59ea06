package crlforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crladmission"
	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlpace"
	"github.com/cranberrylock/cranberrylock/crlquarantine"
	"github.com/cranberrylock/cranberrylock/crlrollout"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// State is the daemon's view of the configuration when a request arrives.
type State struct {
	Table       *crlroute.Table  // nil until the first configuration is loaded
	AppliedAt   crlclock.Instant // when this daemon applied Table
	ConfirmedAt crlclock.Instant // when the configuration was last confirmed to be the newest
}

// Config configures a Service.
type Config struct {
	Dialect    Dialect
	State      func() State // returns the newest known configuration; called for each request
	Fleet      *crlfleet.Fleet
	Rollouts   *crlrollout.Tracker
	Admission  func() bool             // whether admission control applies; nil for always
	Quarantine *crlquarantine.Registry // what crashes servers; nil for one that only this Service feeds
	Retries    *crlbudget.RetryBudget
	Pace       *crlpace.Estimator // learns the costs of requests to model engines; nil for one that only this Service feeds
	Transport  http.RoundTripper
	Probe      Probe         // checks unresponsive servers; nil opens a TCP connection
	Domain     crlid.Domain  // failure domain of this daemon
	Peers      func() []Peer // returns the other routers that requests may be handed over to; nil for none
	// PlacePeers returns those of them that have places at one of the brittle servers of a service, empty if none is known; nil stands for Peers.
	PlacePeers         func(crlid.Service) []Peer
	Log                *crllog.Logger
	Metrics            *Metrics
	Now                crlclock.Clock
	MaxConfirmationAge time.Duration // time since State.ConfirmedAt above which requests that need an API key are refused
	// MaxDenialAge is the time since State.ConfirmedAt above which a request is not denied for an unknown route or API key, as a configuration
	// that must be in force by then may allow it; 0 for no limit.
	MaxDenialAge    time.Duration
	SessionTimeout  time.Duration // time without a request after which a session has ended
	MaxOpenRequests int           // limit of requests being handled, above which further ones are refused
	// MaxHeldBytes limits what is held of plain answers for all callers together; 0 for no limit. An answer that exceeds it is relayed as it
	// arrives, so that it can't be replaced by another server's.
	MaxHeldBytes int64
	// MaxRequestBytes limits what open requests take together, with their bodies; further ones are refused. 0 stands for no limit.
	MaxRequestBytes int64
	RequestBytes    int64 // what an open request takes beside its body, and with a small one
}

// Service forwards requests to backend servers. It is an http.Handler.
type Service struct {
	config       Config
	sessions     *sessions
	probes       *probes
	reachability *reachability
	handovers    *handovers
	admission    *crladmission.Controller
	held         heldBytes
	bodies       heldBytes
	crowd        serverCrowd
	openRequests atomic.Int64
	lastArrival  atomic.Int64 // time of the newest request, in nanoseconds since the Unix epoch
	draining     atomic.Bool
	closed       atomic.Bool
	abort        context.CancelFunc
	onAbort      func(func()) (remove func() bool) // registers a function that abort calls
}

// New returns a service, which needs no further start.
func New(config Config) *Service {
	if config.Quarantine == nil {
		config.Quarantine = crlquarantine.New(crlquarantine.Config{Now: config.Now})
	}
	if config.Pace == nil {
		config.Pace = crlpace.New(crlpace.Config{Self: crlid.NewIncarnation(), Now: config.Now})
	}
	s := &Service{
		config: config, sessions: newSessions(config.SessionTimeout), probes: newProbes(config.Probe),
		handovers: newHandovers(config.Now), admission: newAdmission(config.Fleet), held: heldBytes{limit: config.MaxHeldBytes},
		bodies: heldBytes{limit: config.MaxRequestBytes}, crowd: serverCrowd{ended: make(map[crlid.Server]crlclock.Instant)},
	}
	s.reachability = &reachability{
		now: config.Now, addresses: config.Fleet.Addresses, probe: s.probes.probe, log: config.Log, failed: make(map[string]bool),
	}
	open, abort := context.WithCancel(context.Background())
	s.abort = abort
	s.onAbort = func(end func()) (remove func() bool) { return context.AfterFunc(open, end) }
	return s
}

// Drain makes every answer that begins from now on close its connection. Requests are still forwarded.
func (s *Service) Drain() { s.draining.Store(true) }

// Close makes the service refuse every request that arrives from now on, and every one that was not sent yet, because its body is still arriving, it is
// held or no server could be reached. It is for the last part of a shutdown, when new requests would not end before the process does. Requests that a
// server may have run continue.
func (s *Service) Close() { s.closed.Store(true) }

// errAborted is the cause with which Abort ends the contexts of requests.
var errAborted = errors.New("daemon stops")

// Abort ends all open requests. A request that has got no part of an answer gets a complete one: its fallback answer or a refusal
// that tells whether it may have run.
func (s *Service) Abort() { s.abort() }

// Draining reports whether Drain was called.
func (s *Service) Draining() bool { return s.draining.Load() }

// OpenRequests returns the number of requests being handled.
func (s *Service) OpenRequests() int { return int(s.openRequests.Load()) }

// BodyBytes returns how many bytes of requests' bodies are held, beyond a small part of each.
func (s *Service) BodyBytes() int64 { return s.bodies.used.Load() }

// HeldBytes returns how many bytes of plain answers are held, beyond a small part of each.
func (s *Service) HeldBytes() int64 { return s.held.used.Load() }

// LastArrival returns the time at which the newest request arrived.
func (s *Service) LastArrival() time.Time { return time.Unix(0, s.lastArrival.Load()) }

// Retry-After values of refusals.
const (
	notReadyRetryAfter    = 500 * time.Millisecond // half of the time that a daemon needs to read a configuration
	unconfirmedRetryAfter = time.Second            // leaves time for one more request to the store for confirmation
	drainingRetryAfter    = 50 * time.Millisecond  // short, as other daemons accept the request at once
	overloadRetryAfter    = time.Second            // about the time in which a batch of short streams ends
)

// exchange holds the state of one request from its arrival to its end. Only the request's own goroutine uses it.
type exchange struct {
	request       *http.Request
	writer        http.ResponseWriter
	target        target
	arrived       time.Time
	head          Head
	body          []byte
	table         *crlroute.Table
	tableAge      time.Duration    // time from the application of table to the request's arrival
	confirmedAt   crlclock.Instant // when table was last confirmed to be the newest
	route         *crlroute.Route
	service       *crlroute.Service
	caller        crlroute.Organisation   // the zero value if the request needs no API key
	deadline      time.Time               // the caller's deadline or the end of the route's timeout, whichever is first
	rolloutPlan   crlrollout.Plan         // roll-out plan of the newest send
	lastVersion   crlid.Version           // version that the session's previous request ran on
	sends         int                     // sends so far
	waits         int                     // times that it waited for a server or the retry budget
	failedDials   int                     // sends of the started stream that opened no connection; not counted in sends
	reached       bool                    // whether a server may have received the request, here or over another router
	connected     bool                    // whether this router has opened a connection to a server for the request
	retryPaid     bool                    // whether the retry budget was charged for the next send
	ends          []*serverEnd            // servers that ended under the request, as far as this daemon can tell
	endedLast     bool                    // whether the latest of ends has ended the latest run of the request
	completed     bool                    // whether an answer to the request is complete, from here or over another router
	parts         []crlquarantine.Suspect // see sharedParts
	whole         crlquarantine.Suspect   // see wholeRequest
	runs          int                     // sends after which a server may have started to execute the request
	tried         map[crlid.Server]bool   // servers that the request was sent to
	peers         map[string]bool         // addresses of routers that the request was handed over to
	runsBefore    int                     // runs when another router handed the request over
	grantedRuns   int                     // runs, in all, that the router which handed the request over allows
	handedOver    bool                    // whether another router handed the request over to this one
	lastFailure   *reply                  // last answer with a 5xx status
	fallback      *reply                  // complete answer of a smaller model, sent if the larger model does not answer
	fallbackTimer *time.Timer             // ends a send in time for the fallback; nil without one
	admission     admission
	heldBytes     int64 // counted in Service.held
	bodyBytes     int64 // counted in Service.bodies
	stream        stream
	trace         trace
}

// ServeHTTP forwards one request and writes the answer or a refusal. It panics with http.ErrAbortHandler when an answer was
// partly sent and can't be completed.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(*exchange) {})
}

// serve forwards one request. prepare sets what is known of it beforehand.
func (s *Service) serve(w http.ResponseWriter, r *http.Request, prepare func(*exchange)) {
	x := &exchange{
		request: r, writer: &drainingWriter{ResponseWriter: w, service: s}, arrived: time.Now(), tried: make(map[crlid.Server]bool),
		peers: make(map[string]bool),
	}
	prepare(x)
	s.lastArrival.Store(x.arrived.UnixNano())
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	defer s.releaseHeld(x)
	if s.closed.Load() {
		s.refuse(x, unavailable(ReasonDraining, drainingRetryAfter))
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer s.onAbort(func() { cancel(errAborted) })()
	refusal := s.admit(ctx, x)
	if refusal == nil {
		refusal = s.forward(ctx, x)
		s.recordEnds(x)
	}
	if refusal != nil {
		s.refuse(x, refusal)
		return
	}
	s.finishAnswered(x)
}

// drainingWriter asks the caller to close the connection after an answer whose header is written while the service drains.
type drainingWriter struct {
	http.ResponseWriter
	service *Service
}

// WriteHeader writes the header of the answer.
func (w *drainingWriter) WriteHeader(status int) {
	if w.service.Draining() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *drainingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// admit runs the filters that come before the first send, and returns the refusal of the first one that refuses.
func (s *Service) admit(ctx context.Context, x *exchange) *Refusal {
	for _, filter := range []func(context.Context, *exchange) *Refusal{
		s.readHead, s.findRoute, s.authenticate, s.checkConfirmation, s.checkOverload, s.readBody, s.chooseService,
	} {
		if refusal := filter(ctx, x); refusal != nil {
			return refusal
		}
	}
	return nil
}

// readHead parses the request's target and headers.
func (s *Service) readHead(_ context.Context, x *exchange) *Refusal {
	head, err := s.config.Dialect.DecodeRequest(x.request.Header)
	head.boundTokens()
	x.head = head
	if err == nil {
		x.target, err = readTarget(x.request)
	}
	if err != nil {
		x.trace.cause = err.Error()
		return newRefusal(http.StatusBadRequest, ReasonMalformed)
	}
	return nil
}

// findRoute selects the route by host and path.
func (s *Service) findRoute(_ context.Context, x *exchange) *Refusal {
	state := s.config.State()
	if state.Table == nil {
		return s.notReady(x, ReasonNoConfiguration, notReadyRetryAfter)
	}
	now := s.config.Now()
	x.table, x.tableAge, x.confirmedAt = state.Table, now.Sub(state.AppliedAt), state.ConfirmedAt
	if age := now.Sub(state.ConfirmedAt); s.config.MaxDenialAge > 0 && age > s.config.MaxDenialAge {
		x.trace.confirmationAge = age
	}
	x.route = x.table.Match(x.request.Host, x.target.path)
	if x.route == nil {
		return s.deny(x, newRefusal(http.StatusNotFound, ReasonNoRoute))
	}
	return nil
}

// deny returns the denial of a request, or asks the caller to retry if the configuration that it follows from may have been replaced.
func (s *Service) deny(x *exchange, denial *Refusal) *Refusal {
	age := s.config.Now().Sub(x.confirmedAt)
	x.trace.confirmationAge = age
	if s.config.MaxDenialAge == 0 || age <= s.config.MaxDenialAge {
		return denial
	}
	return s.notReady(x, ReasonUnconfirmed, unconfirmedRetryAfter)
}

// authenticate finds the organisation that the caller's API key belongs to, unless the route or the table needs no key.
func (s *Service) authenticate(_ context.Context, x *exchange) *Refusal {
	if x.route.Public || !x.table.RequiresKeys() {
		return nil
	}
	caller, ok := x.table.Organisation(x.head.Key)
	if !ok {
		return s.deny(x, newRefusal(http.StatusUnauthorized, ReasonUnknownKey))
	}
	x.caller = caller
	return nil
}

// checkConfirmation refuses a request that needs an API key when the configuration was not recently confirmed to be the newest:
// the key may have been revoked without this daemon's knowledge.
func (s *Service) checkConfirmation(_ context.Context, x *exchange) *Refusal {
	if x.route.Public || !x.table.RequiresKeys() {
		return nil
	}
	if age := s.config.Now().Sub(x.confirmedAt); age > s.config.MaxConfirmationAge {
		x.trace.confirmationAge = age
		return s.notReady(x, ReasonUnconfirmed, unconfirmedRetryAfter)
	}
	return nil
}

// checkOverload refuses the request if too many are open, or if those that are open leave no room for it. Its body takes memory, so it is not read before.
func (s *Service) checkOverload(_ context.Context, x *exchange) *Refusal {
	if int(s.openRequests.Load()) > s.config.MaxOpenRequests || s.bodies.limit > 0 && s.bodies.used.Load() > s.bodyLimit(1) {
		return s.notReady(x, ReasonOverloaded, overloadRetryAfter)
	}
	return nil
}

// longestWait bounds the time to the deadline of every request, also where the caller and the route set no limit.
const longestWait = 5 * time.Minute

// setDeadline sets the deadline, counted from the request's arrival, to the earliest of the route's timeout, the caller's deadline
// and longestWait.
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

// chooseService selects one of the route's services by weight. The choice depends on the request id alone, so a repeated request
// gets the same service.
func (s *Service) chooseService(_ context.Context, x *exchange) *Refusal {
	hash := xxhash.Sum64String(string(x.head.Request))
	name, ok := x.route.Pick(hash)
	if x.service = x.table.Service(name); !ok || x.service == nil {
		return unavailable(ReasonNoServer, overloadRetryAfter)
	}
	x.stream.lastEvent = x.head.LastEvent
	if !x.handedOver { // The router that the caller sent it to has recorded it.
		s.config.Retries.RecordRequest(x.service.Name, s.config.Now())
	}
	return nil
}

// sessionKey returns the key of the request's session. A request outside any session is treated as the only one of a session.
func (x *exchange) sessionKey() sessionKey {
	name := x.head.Session
	if name == "" {
		name = crlid.Session(x.head.Request)
	}
	return sessionKey{service: x.service.Name, session: name}
}

// refuse ends a request without a success answer: it writes the refusal, or the last failure of a backend server if there is
// one. If part of an answer was already sent, it aborts the connection.
func (s *Service) refuse(x *exchange, refusal *Refusal) {
	x.trace.outcome = refusal.Reason
	if x.stream.started {
		x.trace.outcome = "broken-" + refusal.Reason
		s.finish(x, 0)
		// Without the abort, the caller would take the part that it has for the complete answer.
		panic(http.ErrAbortHandler)
	}
	status := refusal.Status
	if x.head.Request == "" {
		// The request was refused before its headers were parsed. They are parsed now for the log line only.
		x.head, _ = s.config.Dialect.DecodeRequest(x.request.Header)
	}
	if x.lastFailure != nil && refusal.Status >= http.StatusInternalServerError && refusal.Reason != ReasonRouteTimeout {
		x.trace.outcome = "server-failure"
		x.lastFailure.write(x.writer)
		s.finish(x, x.lastFailure.status)
		return
	}
	header := x.writer.Header()
	if x.handedOver {
		header.Set(headerRefusal, refusal.Reason)
	}
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

// finishAnswered ends a request whose answer the caller has.
func (s *Service) finishAnswered(x *exchange) {
	x.trace.outcome = "answered"
	s.finish(x, x.trace.status)
}

// endReason returns why the context of a request ended, as the reason of a refusal.
func endReason(ctx context.Context, x *exchange) string {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded) && x.routeTimeoutFirst():
		return ReasonRouteTimeout
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(context.Cause(ctx), errAborted):
		return ReasonDraining
	default:
		return ReasonCallerLeft
	}
}

// routeTimeoutFirst reports whether the route's timeout is not later than the caller's deadline.
func (x *exchange) routeTimeoutFirst() bool {
	return x.route.Timeout > 0 && (x.head.Deadline == 0 || x.route.Timeout <= x.head.Deadline)
}
