package crlentry

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbalance"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpermit"
	"github.com/cranberrylock/cranberrylock/crlsession"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// attemptRetryAfter is the Retry-After of refusals after every attempt failed or no server had free capacity.
const attemptRetryAfter = time.Second

// dispatch sends a chat call and repeats failed attempts at other servers as long as the head of the answer has not been
// delivered. An answer that breaks later is resumed at its own server.
func (s *Service) dispatch(ctx context.Context, x *exchange) *Refusal {
	excluded := make(map[crlid.Server]bool)
	var failure error
	for sent := 0; sent < s.config.Limits.Attempts; {
		server, permit, refusal := s.acquire(ctx, x, excluded)
		if refusal != nil {
			return x.refusalAfterAttempts(ctx, refusal, failure)
		}
		err := s.sendIfAllowed(ctx, x, server, permit, crlengine.Attempt{Body: x.engineBody()})
		if err == nil {
			return nil
		}
		if errors.Is(err, errNotSent) {
			if refusal := s.waitForPermitRetry(ctx, x); refusal != nil {
				return x.refusalAfterAttempts(ctx, refusal, failure)
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

// noteMayHaveRun sets mayHaveRun if the failed attempt may have run, so that no later refusal reports the request as not run.
func (x *exchange) noteMayHaveRun(failure error) {
	var engineErr *crlengine.Error
	if errors.As(failure, &engineErr) && !engineErr.NotRun() {
		x.mayHaveRun = true
	}
}

// refusalAfterAttempts returns the refusal of a request that gets no further attempt. Its argument refusal is the reason
// and failure the error of the last attempt, nil if there was none. The result does not say "not run" if an earlier attempt
// may have run, and if no server is left it reports the failure instead.
func (x *exchange) refusalAfterAttempts(ctx context.Context, refusal *Refusal, failure error) *Refusal {
	if failure != nil && refusal.Code == CodeNoBackendServer {
		return x.failureRefusal(ctx, failure)
	}
	if x.mayHaveRun {
		refusal.Ran = RanUnknown
	}
	return refusal
}

// permitTimeout is the longest wait of a call for a permit.
const permitTimeout = 15 * time.Second

// acquire chooses a server and gets a permit for it. Before each try it checks that the newest configuration still allows
// the call. Once no server is left that might grant a permit, it waits and tries all of them again.
func (s *Service) acquire(ctx context.Context, x *exchange, excluded map[crlid.Server]bool) (crlconfig.Server, crlpermit.Permit, *Refusal) {
	skip := maps.Clone(excluded) // excluded servers, and those that granted no permit since the last wait
	for started := time.Now(); time.Since(started) < permitTimeout; {
		snapshot := s.config.Snapshots.Load()
		if refusal := s.checkDispatch(x, snapshot); refusal != nil {
			return crlconfig.Server{}, crlpermit.Permit{}, refusal
		}
		id, ok := s.config.Balancer.Pick(crlbalance.Request{
			Configuration: snapshot.Configuration, Version: x.version, Service: x.service.ID,
			Prefer: x.session.Server, Prefix: x.prefix(), Exclude: skip,
		})
		if !ok && len(skip) == len(excluded) {
			return crlconfig.Server{}, crlpermit.Permit{},
				refuse(CodeNoBackendServer, "no backend server is in service for the requested version or service").withRetryAfter(attemptRetryAfter)
		}
		if !ok {
			skip = maps.Clone(excluded)
			if refusal := s.waitForPermitRetry(ctx, x); refusal != nil {
				return crlconfig.Server{}, crlpermit.Permit{}, refusal
			}
			continue
		}
		server := snapshot.Configuration.Servers[id]
		if permit, ok := s.config.Permits.Acquire(ctx, server); ok {
			return server, permit, nil
		}
		skip[id] = true
	}
	return crlconfig.Server{}, crlpermit.Permit{},
		refuse(CodeOverloaded, "no backend server had free capacity within %s", permitTimeout).withRetryAfter(attemptRetryAfter)
}

// checkDispatch returns a refusal if the call may not be sent under the snapshot, else nil.
func (s *Service) checkDispatch(x *exchange, snapshot *crlsnapshot.Snapshot) *Refusal {
	if !snapshot.Fresh(time.Now(), s.config.Limits.Freshness) {
		return refuse(CodeNotReady, "no configuration was confirmed current within the last %s",
			s.config.Limits.Freshness).withRetryAfter(notReadyRetryAfter)
	}
	return x.checkAllowed(snapshot)
}

// waitForPermitRetry waits before the next try to get a permit. It returns a refusal if the deadline passes or the caller
// disconnects.
func (s *Service) waitForPermitRetry(ctx context.Context, x *exchange) *Refusal {
	if !x.call.Deadline.IsZero() && time.Now().After(x.call.Deadline) {
		return refuse(CodeDeadlineExceeded, "no backend server had free capacity before the deadline")
	}
	if crlclock.Sleep(ctx, s.config.Limits.PermitRetry); ctx.Err() != nil {
		return refuse(CodeDeadlineExceeded, "the caller disconnected or its deadline passed before a backend server had free capacity")
	}
	return nil
}

// sendIfAllowed sends one attempt under a permit if the newest configuration still allows it, else returns the permit
// unused.
func (s *Service) sendIfAllowed(
	ctx context.Context, x *exchange, server crlconfig.Server, permit crlpermit.Permit, attempt crlengine.Attempt,
) error {
	if !s.stillAllowed(x, server.ID) {
		s.config.Permits.Done(crlpermit.Report{Permit: permit})
		return &crlengine.Error{Server: server.ID, Fault: crlengine.FaultUnreachable, Err: errNotSent}
	}
	return s.sendWithPermit(ctx, x, server, permit, attempt)
}

// sendWithPermit sends one attempt if its permit is still valid, and returns the permit afterwards.
func (s *Service) sendWithPermit(
	ctx context.Context, x *exchange, server crlconfig.Server, permit crlpermit.Permit, attempt crlengine.Attempt,
) error {
	report := crlpermit.Report{Permit: permit}
	defer func() { s.config.Permits.Done(report) }()
	if !permit.Valid(time.Now()) {
		return &crlengine.Error{Server: server.ID, Fault: crlengine.FaultUnreachable, Err: errNotSent}
	}
	report.Sent = true
	// The attempt ends with its permit, even if the process was paused between the check above and the send.
	ctx, cancel := context.WithDeadline(ctx, permit.End)
	defer cancel()
	x.boot, x.firstToken = "", 0
	err := s.relay(ctx, x, server, attempt)
	report.Failed, report.Incomplete = isServerFailure(ctx, err), err != nil
	report.Boot, report.Latency = x.boot, x.firstToken
	return err
}

// errNotSent is the cause of an attempt that was not sent: its permit had expired, the newest configuration no longer
// allowed it, or the time to send a claimed call had passed.
var errNotSent = errors.New("not sent: the permit expired, the configuration changed or the time to send the call passed")

// stillAllowed reports whether the newest configuration allows the call and has the server in service.
func (s *Service) stillAllowed(x *exchange, server crlid.Server) bool {
	snapshot := s.config.Snapshots.Load()
	return s.checkDispatch(x, snapshot) == nil && snapshot.Configuration.InService(server)
}

// errOutOfService is the cause of attempts that were cancelled because their server was taken out of service.
var errOutOfService = errors.New("backend server was taken out of service before its answer started")

// inServiceCheckPeriod is the interval at which cancelWhenOutOfService checks that a server is in service. It is small
// compared to the 3 s after which a failure domain that was taken out of service must receive nothing new.
const inServiceCheckPeriod = 250 * time.Millisecond

// cancelWhenOutOfService starts a goroutine that calls cancelSend if the server is taken out of service, because a broken
// link may hold the request and deliver it to the server much later. The goroutine ends with ctx, or once stop is called,
// which must be done when the answer begins.
func (s *Service) cancelWhenOutOfService(ctx context.Context, cancelSend context.CancelCauseFunc, server crlid.Server) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := crlclock.NewTicker(inServiceCheckPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if !s.config.Snapshots.Load().Configuration.InService(server) {
				cancelSend(errOutOfService)
				return
			}
		}
	}()
	return cancel
}

// relay sends one attempt and delivers its frames to the sink, except for the last one, which it stores in x.final.
func (s *Service) relay(ctx context.Context, x *exchange, server crlconfig.Server, attempt crlengine.Attempt) (failure error) {
	result := crlbalance.Result{Server: server.ID, Version: x.version, Class: x.classID()}
	started := time.Now()
	s.config.Balancer.Started(server.ID)
	defer func() {
		result.Failed = isServerFailure(ctx, failure)
		s.config.Balancer.Finished(result)
	}()
	attempt.Server, attempt.Address, attempt.Version = server.ID, server.Address, x.version
	attempt.Request, attempt.Deadline, attempt.Priority = x.call.Request, x.call.Deadline, x.priority()
	sendCtx, cancelSend := context.WithCancelCause(ctx)
	defer cancelSend(nil)
	stopChecks := s.cancelWhenOutOfService(sendCtx, cancelSend, server.ID)
	answer, err := s.config.Engines.Open(sendCtx, attempt)
	stopChecks()
	if errors.Is(context.Cause(sendCtx), errOutOfService) {
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
			result.FirstToken = time.Since(started)
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

// deliverHead delivers the head of the answer to the sink, unless the sink already has it.
func (s *Service) deliverHead(x *exchange, server crlid.Server, answer *crlengine.Answer) error {
	if x.headDelivered {
		return nil
	}
	x.session.Version, x.session.Server = x.version, server
	x.stream = crlsession.Stream{
		Request: x.call.Request, Organisation: x.organisation.ID, Version: x.version,
		Server: server, EngineStream: answer.Stream, Class: x.class.ID,
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

// sessionToken returns the token of the session. It is empty for a resumed answer, whose caller has the token already.
func (s *Service) sessionToken(x *exchange) (string, error) {
	if x.session.ID == "" {
		return "", nil
	}
	return s.config.Sealer.SealSession(x.session)
}

// sinkError reports that a part of the answer could not be delivered to the caller.
type sinkError struct{ err error }

// Error implements error.
func (e *sinkError) Error() string { return "delivering the answer to the caller: " + e.err.Error() }

// Unwrap returns the error of the sink.
func (e *sinkError) Unwrap() error { return e.err }

// prefixBytes is the length of the beginning of a chat call's body whose hash steers the call to a server that may have
// the same beginning in its prefix cache.
const prefixBytes = 256

// prefix returns a hash of the first prefixBytes of a chat call's body, or 0 for plain services and for calls too short
// to benefit from a prefix cache.
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

// failureRefusal returns the refusal of a request after its last attempt failed.
func (x *exchange) failureRefusal(ctx context.Context, failure error) *Refusal {
	x.noteMayHaveRun(failure)
	refusal := refuse(CodeBackendFailed, "%v", failure).withRetryAfter(attemptRetryAfter)
	var engineErr *crlengine.Error
	if errors.As(failure, &engineErr) && engineErr.RetryAfter > 0 {
		refusal.RetryAfter = engineErr.RetryAfter
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
		refusal.Message = "the caller disconnected: " + refusal.Message
	}
	return refusal
}
