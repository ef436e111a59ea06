package crlentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlpermit"
)

// resumeRetryDelay is the wait before the second try to resume an answer. It doubles with each further try.
const resumeRetryDelay = 50 * time.Millisecond

// dispatchResume continues an answer by the stream token of its caller; another daemon may have started the answer.
//
// A running stream is not new work: it continues even if its version has been withdrawn or its failure domain has been
// taken out of service meanwhile.
func (s *Service) dispatchResume(ctx context.Context, x *exchange) *Refusal {
	server, ok := s.config.Snapshots.Load().Configuration.Servers[x.stream.Server]
	if !ok {
		return x.streamLost("backend server %q is no longer configured", x.stream.Server)
	}
	return s.resumeAt(ctx, x, server, nil)
}

// resumeBroken resumes an answer that broke after its head was delivered, unless the call has ended.
func (s *Service) resumeBroken(ctx context.Context, x *exchange, server crlconfig.Server, failure error) *Refusal {
	if callEnded(ctx, failure) {
		return x.failureRefusal(ctx, failure)
	}
	return s.resumeAt(ctx, x, server, failure)
}

// resumeAt tries to resume the answer after its last delivered frame. Only the server that generates the answer has the
// rest of it, so every try goes there.
func (s *Service) resumeAt(ctx context.Context, x *exchange, server crlconfig.Server, failure error) *Refusal {
	x.mayHaveRun = true
	delay := resumeRetryDelay
	for i := range s.config.Limits.Attempts {
		if i > 0 {
			if crlclock.Sleep(ctx, delay<<(i-1)); ctx.Err() != nil {
				break
			}
		}
		permit, refusal := s.acquireAt(ctx, x, server)
		if refusal != nil {
			return x.refusalAfterAttempts(ctx, refusal, failure)
		}
		failure = s.sendWithPermit(ctx, x, server, permit, crlengine.Attempt{Stream: x.stream.EngineStream, After: x.lastDelivered})
		switch {
		case failure == nil:
			return nil
		case isStreamGone(failure):
			return x.streamLost("backend server %q no longer has the stream", server.ID)
		case callEnded(ctx, failure):
			return x.failureRefusal(ctx, failure)
		}
	}
	return x.failureRefusal(ctx, failure)
}

// acquireAt waits for a permit for the given server.
func (s *Service) acquireAt(ctx context.Context, x *exchange, server crlconfig.Server) (crlpermit.Permit, *Refusal) {
	for started := time.Now(); time.Since(started) < permitTimeout; {
		if permit, ok := s.config.Permits.Acquire(ctx, server); ok {
			return permit, nil
		}
		if refusal := s.waitForPermitRetry(ctx, x); refusal != nil {
			return crlpermit.Permit{}, refusal
		}
	}
	return crlpermit.Permit{},
		refuse(CodeOverloaded, "backend server %q had no free capacity within %s", server.ID, permitTimeout).withRetryAfter(attemptRetryAfter)
}

// streamLost returns the refusal of an answer whose remaining frames no server has.
func (*exchange) streamLost(format string, args ...any) *Refusal {
	refusal := refuse(CodeAnswerBroken, format, args...)
	refusal.Ran = RanUnknown
	return refusal
}

// isStreamGone reports whether the server answered that it does not have the stream, for example after a reboot.
func isStreamGone(failure error) bool {
	var engineErr *crlengine.Error
	return errors.As(failure, &engineErr) && (engineErr.Status == http.StatusNotFound || engineErr.Status == http.StatusGone)
}

// callEnded reports whether the call was cancelled, its deadline passed or its caller can't be reached.
func callEnded(ctx context.Context, failure error) bool {
	var sink *sinkError
	return ctx.Err() != nil || errors.As(failure, &sink)
}
