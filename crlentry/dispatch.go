package crlentry

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbalance"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpermit"
	"github.com/cranberrylock/cranberrylock/crlsession"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// attemptRetryAfter is when to come back after every attempt failed.
const attemptRetryAfter = time.Second

// dispatch sends a chat call, again at another server while nothing was shown.
func (s *Service) dispatch(ctx context.Context, x *exchange) *Refusal {
	excluded := make(map[crlid.Server]bool)
	var failure error
	for sent := 0; sent < s.config.Limits.Attempts; {
		server, permit, refusal := s.acquire(ctx, x, excluded)
		if refusal != nil {
			return x.withEarlierAttempts(ctx, refusal, failure)
		}
		err := s.sendIfAllowed(ctx, x, server, permit, crlengine.Attempt{Body: x.engineBody()})
		if err == nil {
			return nil
		}
		if errors.Is(err, errPermitStale) {
			if refusal := s.waitForPermitRetry(ctx, x); refusal != nil {
				return x.withEarlierAttempts(ctx, refusal, failure)
			}
			continue
		}
		x.noteMayHaveRun(err)
		if x.headDelivered {
			return s.resumeBroken(ctx, x, server, err)
		}
		failure = err
		excluded[server.ID] = true
		sent++
	}
	return x.failureRefusal(ctx, failure)
}

// noteAttempt keeps that an attempt may have run, so that no later failure is reported as not run.
func (x *exchange) noteMayHaveRun(failure error) {
	var broken *crlengine.Error
	if errors.As(failure, &broken) && !broken.NotRun() {
		x.mayHaveRun = true
	}
}

// refusedAfter returns a refusal that stops further attempts, true to what the earlier ones may have done.
func (x *exchange) withEarlierAttempts(ctx context.Context, refusal *Refusal, failure error) *Refusal {
	if failure != nil && refusal.Code == CodeNoBackendServer {
		return x.failureRefusal(ctx, failure)
	}
	if x.mayHaveRun {
		refusal.Ran = RanUnknown
	}
	return refusal
}

// permitWait bounds how long a call waits for a permit.
const permitTimeout = 15 * time.Second

// acquire returns a server with a permit, after a last look at what is in force.
func (s *Service) acquire(ctx context.Context, x *exchange, excluded map[crlid.Server]bool) (crlconfig.Server, crlpermit.Permit, *Refusal) {
	full := maps.Clone(excluded) // full adds the servers that had no room in this round.
	for began := time.Now(); time.Since(began) < permitTimeout; {
		snapshot := s.config.Snapshots.Load()
		if refusal := s.checkDispatch(x, snapshot); refusal != nil {
			return crlconfig.Server{}, crlpermit.Permit{}, refusal
		}
		id, ok := s.config.Balancer.Pick(crlbalance.Request{
			Configuration: snapshot.Configuration, Version: x.version, Service: x.service.ID,
			Prefer: x.session.Server, Prefix: x.prefix(), Exclude: full,
		})
		if !ok && len(full) == len(excluded) {
			return crlconfig.Server{}, crlpermit.Permit{}, refuse(CodeNoBackendServer, "no backend server is in service for it").withRetryAfter(attemptRetryAfter)
		}
		if !ok {
			full = maps.Clone(excluded)
			if refusal := s.waitForPermitRetry(ctx, x); refusal != nil {
				return crlconfig.Server{}, crlpermit.Permit{}, refusal
			}
			continue
		}
		server := snapshot.Configuration.Servers[id]
		if permit, ok := s.config.Permits.Acquire(ctx, server); ok {
			return server, permit, nil
		}
		full[id] = true
	}
	return crlconfig.Server{}, crlpermit.Permit{}, refuse(CodeOverloaded, "no backend server had room within %s", permitTimeout).withRetryAfter(attemptRetryAfter)
}

// mayDispatch tells whether a call may be sent under a snapshot.
func (s *Service) checkDispatch(x *exchange, snapshot *crlsnapshot.Snapshot) *Refusal {
	if !snapshot.Fresh(time.Now(), s.config.Limits.Freshness) {
		return refuse(CodeNotReady, "no configuration is proved current").withRetryAfter(notReadyRetryAfter)
	}
	return x.checkAllowed(snapshot)
}

// pause waits before another try for a permit, no longer than the call's deadline.
func (s *Service) waitForPermitRetry(ctx context.Context, x *exchange) *Refusal {
	if !x.call.Deadline.IsZero() && time.Now().After(x.call.Deadline) {
		return refuse(CodeDeadlineExceeded, "no backend server had room before the deadline")
	}
	select {
	case <-time.After(s.config.Limits.PermitRetry):
		return nil
	case <-ctx.Done():
		return refuse(CodeDeadlineExceeded, "the caller left or its deadline passed before a backend server had room")
	}
}

// attempt spends a permit on one send if the request is still allowed.
func (s *Service) sendIfAllowed(ctx context.Context, x *exchange, server crlconfig.Server, permit crlpermit.Permit, sendIfAllowed crlengine.Attempt) error {
	if !s.stillAllowed(x, server.ID) {
		s.config.Permits.Done(crlpermit.Report{Permit: permit})
		return &crlengine.Error{Server: server.ID, Fault: crlengine.FaultUnreachable, Err: errPermitStale}
	}
	return s.sendWithPermit(ctx, x, server, permit, sendIfAllowed)
}

// spend sends one attempt under a permit and gives the permit back.
func (s *Service) sendWithPermit(ctx context.Context, x *exchange, server crlconfig.Server, permit crlpermit.Permit, attempt crlengine.Attempt) error {
	report := crlpermit.Report{Permit: permit}
	defer func() { s.config.Permits.Done(report) }()
	if !permit.Valid(time.Now()) {
		return &crlengine.Error{Server: server.ID, Fault: crlengine.FaultUnreachable, Err: errPermitStale}
	}
	report.Sent = true
	// The permit bounds the attempt, also one that was paused between the check above and its send.
	ctx, cancel := context.WithDeadline(ctx, permit.End)
	defer cancel()
	x.boot, x.firstToken = "", 0
	err := s.relay(ctx, x, server, attempt)
	report.Failed, report.Incomplete = isServerFailure(ctx, err), err != nil
	report.Boot, report.Latency = x.boot, x.firstToken
	return err
}

// errPermitStale is the cause when a permit can't be used any more.
var errPermitStale = errors.New("permit expired or configuration changed before the send")

func (s *Service) stillAllowed(x *exchange, server crlid.Server) bool {
	snapshot := s.config.Snapshots.Load()
	return s.checkDispatch(x, snapshot) == nil && snapshot.Configuration.InService(server)
}

// errServerOut is the cause when a server was taken out of service before its answer began.
var errOutOfService = errors.New("server was taken out of service before its answer began")

// outPeriod is how often a send that waits for an answer looks whether its server is still in service, a small part of the
// three seconds in which a failure domain that was taken out must get nothing new.
const inServiceCheckPeriod = 250 * time.Millisecond

// endIfOut ends a send whose server is taken out of service until the answer begins: a link that was cut may hold the request
// and bring it long after.
func (s *Service) cancelWhenOutOfService(ctx context.Context, end context.CancelCauseFunc, server crlid.Server) (headed func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(inServiceCheckPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if !s.config.Snapshots.Load().Configuration.InService(server) {
				end(errOutOfService)
				return
			}
		}
	}()
	return cancel
}

// relay sends one attempt and copies its frames to the sink, all but the last.
func (s *Service) relay(ctx context.Context, x *exchange, server crlconfig.Server, attempt crlengine.Attempt) (failure error) {
	result := crlbalance.Result{Server: server.ID, Version: x.version, Class: x.classID()}
	began := time.Now()
	s.config.Balancer.Started(server.ID)
	defer func() {
		result.Failed = isServerFailure(ctx, failure)
		s.config.Balancer.Finished(result)
	}()
	attempt.Server, attempt.Address, attempt.Version = server.ID, server.Address, x.version
	attempt.Request, attempt.Deadline, attempt.Priority = x.call.Request, x.call.Deadline, x.priority()
	sending, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	headed := s.cancelWhenOutOfService(sending, cancel, server.ID)
	answer, err := s.config.Engines.Open(sending, attempt)
	headed()
	if errors.Is(context.Cause(sending), errOutOfService) {
		if err == nil {
			answer.Close()
		}
		return &crlengine.Error{Server: server.ID, Fault: crlengine.FaultBroken, Err: errOutOfService}
	}
	if err != nil {
		return err
	}
	defer answer.Close()
	x.mayHaveRun = true
	result.Boot, result.Load = answer.Boot, answer.Load
	x.boot, x.firstToken = answer.Boot, 0
	s.config.Permits.Answered(server.ID, answer.Boot)
	s.config.Balancer.Reported(server.ID, answer.Load)
	for frame, err := range answer.Frames {
		if err != nil {
			return err
		}
		if result.FirstToken == 0 && attempt.Stream == "" {
			result.FirstToken = time.Since(began)
			x.firstToken = result.FirstToken
		}
		if frame.Last {
			x.final = frame
			return s.deliverHead(x, server.ID, answer)
		}
		if err := s.deliverFrame(x, server.ID, answer, frame); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) deliverFrame(x *exchange, server crlid.Server, answer *crlengine.Answer, frame crlengine.Frame) error {
	if err := s.deliverHead(x, server, answer); err != nil {
		return err
	}
	if err := x.sink.Frame(frame); err != nil {
		return &sinkError{err: err}
	}
	x.lastDelivered = frame.Number
	return nil
}

// head gives the sink the head of the answer before the first frame.
func (s *Service) deliverHead(x *exchange, server crlid.Server, answer *crlengine.Answer) error {
	if x.headDelivered {
		return nil
	}
	x.session.Version, x.session.Server = x.version, server
	x.stream = crlsession.Stream{
		Request: x.call.Request, Organisation: x.organisation.ID, Version: x.version,
		Server: server, Engine: answer.Stream, Class: x.class.ID,
	}
	session, err := s.sessionToken(x)
	if err != nil {
		return err
	}
	stream, err := s.config.Sealer.SealStream(x.stream)
	if err != nil {
		return err
	}
	s.openBill(x)
	if err := x.sink.Head(Head{Request: x.call.Request, Version: x.version, SessionToken: session, StreamToken: stream}); err != nil {
		return &sinkError{err: err}
	}
	x.headDelivered = true
	return nil
}

// sessionToken returns the token of the session, empty on a resume, whose caller holds it already.
func (s *Service) sessionToken(x *exchange) (string, error) {
	if x.session.ID == "" {
		return "", nil
	}
	return s.config.Sealer.SealSession(x.session)
}

// sinkError reports that the caller no longer takes the answer.
type sinkError struct{ err error }

// Error describes the failure in one line.
func (e *sinkError) Error() string { return "caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *sinkError) Unwrap() error { return e.err }

// prefixBytes is the length of the beginning of a call that is taken to tell which cache would serve it.
const prefixBytes = 256

// prefix returns a hash of the beginning of a chat call, 0 when it is too short to gain from a cache.
func (x *exchange) prefix() uint64 {
	if x.service.ID != "" || len(x.call.Body) < prefixBytes {
		return 0
	}
	return xxhash.Sum64(x.call.Body[:prefixBytes])
}

func (x *exchange) priority() string {
	if x.class.Patient {
		return "patient"
	}
	return "interactive"
}

// failed returns the refusal after the last attempt failed.
func (x *exchange) failureRefusal(ctx context.Context, failure error) *Refusal {
	x.noteMayHaveRun(failure)
	refusal := refuse(CodeBackendFailed, "%v", failure).withRetryAfter(attemptRetryAfter)
	var broken *crlengine.Error
	if errors.As(failure, &broken) && broken.RetryAfter > 0 {
		refusal.RetryAfter = broken.RetryAfter
	}
	if x.headDelivered || x.call.StreamToken != "" {
		refusal.Code = CodeAnswerBroken
	}
	if x.mayHaveRun {
		refusal.Ran = RanUnknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Code, refusal.Message = CodeDeadlineExceeded, "the deadline passed: "+refusal.Message
	case ctx.Err() != nil:
		refusal.Message = "the caller left: " + refusal.Message
	}
	return refusal
}
