package crlentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlpermit"
)

// resumePause is the time before the second try to resume an answer; it doubles with each further one.
const resumeRetryDelay = 50 * time.Millisecond

// dispatchResume continues an answer that another daemon began.
//
// A stream that runs is not new work: it finishes although its version was
// withdrawn or its failure domain taken out meanwhile.
func (s *Service) dispatchResume(ctx context.Context, x *exchange) *Refusal {
	server, ok := s.config.Snapshots.Load().Configuration.Servers[x.stream.Server]
	if !ok {
		return x.streamLost("backend server %q is not configured any more", x.stream.Server)
	}
	return s.resumeAt(ctx, x, server, nil)
}

// recover resumes a broken answer at the server that runs it.
func (s *Service) resumeBroken(ctx context.Context, x *exchange, server crlconfig.Server, failure error) *Refusal {
	if callerGone(ctx, failure) {
		return x.failureRefusal(ctx, failure)
	}
	return s.resumeAt(ctx, x, server, failure)
}

func (s *Service) resumeAt(ctx context.Context, x *exchange, server crlconfig.Server, failure error) *Refusal {
	x.mayHaveRun = true
	pause := resumeRetryDelay
	for i := range s.config.Limits.Attempts {
		if i > 0 && !sleep(ctx, pause<<(i-1)) {
			break
		}
		permit, refusal := s.acquireAt(ctx, x, server)
		if refusal != nil {
			return x.withEarlierAttempts(ctx, refusal, failure)
		}
		failure = s.sendWithPermit(ctx, x, server, permit, crlengine.Attempt{Stream: x.stream.Engine, After: x.lastDelivered})
		switch {
		case failure == nil:
			return nil
		case isStreamGone(failure):
			return x.streamLost("backend server %q has no such stream any more", server.ID)
		case callerGone(ctx, failure):
			return x.failureRefusal(ctx, failure)
		}
	}
	return x.failureRefusal(ctx, failure)
}

// acquireAt returns a permit of the one server that can continue an answer.
func (s *Service) acquireAt(ctx context.Context, x *exchange, server crlconfig.Server) (crlpermit.Permit, *Refusal) {
	for began := time.Now(); time.Since(began) < permitTimeout; {
		if permit, ok := s.config.Permits.Acquire(ctx, server); ok {
			return permit, nil
		}
		if refusal := s.waitForPermitRetry(ctx, x); refusal != nil {
			return crlpermit.Permit{}, refusal
		}
	}
	return crlpermit.Permit{}, refuse(CodeOverloaded, "backend server %q had no room within %s", server.ID, permitTimeout).withRetryAfter(attemptRetryAfter)
}

// lost returns the refusal of an answer whose rest no server has.
func (*exchange) streamLost(format string, args ...any) *Refusal {
	refusal := refuse(CodeAnswerBroken, format, args...)
	refusal.Ran = RanUnknown
	return refusal
}

// forgot reports whether a server says that it has no such stream, as after a reboot.
func isStreamGone(failure error) bool {
	var answered *crlengine.Error
	return errors.As(failure, &answered) && (answered.Status == http.StatusNotFound || answered.Status == http.StatusGone)
}

// isGone reports whether nobody waits for the answer any more.
func callerGone(ctx context.Context, failure error) bool {
	var sink *sinkError
	return ctx.Err() != nil || errors.As(failure, &sink)
}

// sleep waits and reports whether ctx still stands.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}
