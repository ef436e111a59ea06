package crlrouter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlconn"
)

const (
	initialTableTimeout  = time.Second     // how long callers' connections wait for the first configuration, which sets their limits
	defaultIdleTimeout   = time.Minute     // idle timeout until a configuration sets one
	defaultHeaderTimeout = 3 * time.Second // header timeout until a configuration sets one
	// drainAcceptDuration gives the load balancer time for two failed readiness probes. A request that is accepted later than
	// 3 s after the stop signal must not be cut off, so the router refuses all requests somewhat earlier.
	drainAcceptDuration = 2500 * time.Millisecond
	shutdownMargin      = 400 * time.Millisecond // reserved at the end of the grace time for the process to exit
	abortDuration       = 300 * time.Millisecond // reserved before shutdownMargin for answering the requests that are aborted
	transitTime         = 500 * time.Millisecond // longest time that a request is under way to the router on a saturated link
	// maxRefuseDuration bounds the time after acceptDuration in which a router stays only to refuse requests. Longer, callers
	// are better off if it restarts.
	maxRefuseDuration = time.Second
	drainPollInterval = 20 * time.Millisecond
	// callerStallTimeout is the time without progress after which an answer is aborted whose caller doesn't read it. Callers take a stream for
	// broken after a pause of 2 s or more, and a saturated link with lost packets recovers sooner.
	callerStallTimeout = 5 * time.Second
)

// callerServer serves callers' requests.
type callerServer struct {
	router      *Router
	http        *http.Server
	listener    net.Listener
	connections *crlconn.Tracker
	closing     atomic.Bool // whether drain closes the listener
}

func (r *Router) newCallerServer(listener net.Listener) *callerServer {
	s := &callerServer{router: r, http: &http.Server{Handler: r.service, DisableGeneralOptionsHandler: true}}
	s.connections = crlconn.New(crlconn.Config{OnUnanswered: r.logUnanswered, StallTimeout: callerStallTimeout, OnStalled: r.logStalled}, s.http)
	s.listener = s.connections.Listener(listener)
	return s
}

// serve accepts callers' connections until drain closes the listener, and then waits for the end of ctx. It takes the limits from
// the first configuration if that arrives within initialTableTimeout, and keeps them.
func (s *callerServer) serve(ctx context.Context) error {
	table := &s.router.orders.current
	for waited := time.Duration(0); table.Load() == nil && waited < initialTableTimeout; waited += initialPollInterval {
		crlclock.Sleep(ctx, initialPollInterval)
	}
	s.http.IdleTimeout, s.http.ReadHeaderTimeout = defaultIdleTimeout, defaultHeaderTimeout
	if current := table.Load(); current != nil {
		limits := current.table.Limits()
		s.http.MaxHeaderBytes = limits.HeaderBytes
		if limits.IdleTimeout > 0 {
			s.http.IdleTimeout = limits.IdleTimeout
		}
		if limits.HeaderTimeout > 0 {
			s.http.ReadHeaderTimeout = limits.HeaderTimeout
		}
	}
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !s.closing.Load() {
		return fmt.Errorf("serve callers' requests: %w", err)
	}
	<-ctx.Done() // The listener is closed, but open requests continue until the drain ends.
	return ctx.Err()
}

var errDrained = errors.New("drained")

// drain waits for the end of ctx. It then goes on accepting requests for acceptDuration, until the load balancer has
// noticed the failed readiness probes. From then on it refuses further ones until the open ones are complete, and until none has
// arrived for transitTime or maxRefuseDuration has passed. Requests that are still open near the end of the grace time are aborted, which answers those that got nothing of an
// answer yet.
func (s *callerServer) drain(ctx context.Context) error {
	r := s.router
	select {
	case <-ctx.Done():
	case <-r.stop:
		return errDrained
	}
	start := time.Now()
	r.service.Drain()
	r.config.Logger.Event(EventDrain, slog.Int("open-requests", r.service.OpenRequests()))
	untilAbort := r.newestGrace() - shutdownMargin - abortDuration
	accept := acceptDuration(untilAbort)
	time.Sleep(accept)
	r.service.Close()
	abortAt := start.Add(untilAbort)
	stillArriving := func() bool {
		return time.Since(start) < accept+maxRefuseDuration && time.Since(r.service.LastArrival()) < transitTime
	}
	for time.Now().Before(abortAt) && (r.service.OpenRequests() > 0 || stillArriving()) {
		time.Sleep(drainPollInterval)
	}
	s.closing.Store(true)
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		r.config.Logger.Event(EventAcceptFailed, slog.String("listen", r.config.Settings.Listen), slog.String("cause", err.Error()))
	}
	beforeAbort, cancel := context.WithDeadline(context.WithoutCancel(ctx), abortAt)
	defer cancel()
	if s.connections.Drain(beforeAbort) == nil {
		return errDrained
	}
	r.config.Logger.Event(EventAbort, slog.Int("open-requests", r.service.OpenRequests()))
	r.service.Abort()
	afterAbort, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortDuration)
	defer cancel()
	if err := s.connections.Drain(afterAbort); err != nil {
		return fmt.Errorf("%w with connections cut off: %w", errDrained, err)
	}
	return errDrained
}

// acceptDuration returns how long a draining router goes on accepting requests when it aborts those that are open after untilAbort: at most half of that, so
// that requests have as long to end as they had to arrive.
func acceptDuration(untilAbort time.Duration) time.Duration {
	return min(drainAcceptDuration, max(untilAbort, 0)/2)
}

// logStalled logs a connection whose answer was aborted because its caller doesn't read it.
func (r *Router) logStalled(c crlconn.Stalled) {
	r.config.Logger.Event(EventStalled, slog.String("caller", c.Remote), slog.Duration("connection-age-ms", c.Age),
		slog.Int64("sent-bytes", c.WrittenBytes))
}

// logUnanswered logs that a caller's connection was closed without an answer to its request.
func (r *Router) logUnanswered(c crlconn.Closed) {
	r.config.Logger.Event(EventUnanswered, slog.String("caller", c.Remote), slog.Bool("draining", r.service.Draining()),
		slog.Duration("connection-age-ms", c.Age), slog.Int("connection-answers", c.Answers),
		slog.Int64("request-bytes", c.ReadBytes), slog.Duration("waited-ms", c.Waited))
}
