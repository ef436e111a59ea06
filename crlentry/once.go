package crlentry

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlbalance"
	"github.com/cranberrylock/cranberrylock/crlclaim"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpermit"
)

// inProgressRetryAfter is the Retry-After of a repeated call while the first one may still be running.
const inProgressRetryAfter = time.Second

// maxStoredAnswerBytes is the size up to which an answer is stored for repeated calls. Only the digest of a larger answer
// is stored.
const maxStoredAnswerBytes = 4 << 10

// claim runs a non-idempotent call only if this daemon wins the claim on its idempotency key. A call that loses gets the
// stored answer of the winner, or a refusal. Idempotent calls pass unclaimed.
func (s *Service) claim(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		if x.service.Idempotent {
			return next(ctx, x)
		}
		// Round strips the monotonic clock, which may stop while the VM is paused; the wall clock then counts the pause too.
		x.sendBy = time.Now().Add(s.config.Limits.Dispatch).Round(0)
		claimCtx, cancel := context.WithTimeout(ctx, s.config.Limits.Claim)
		defer cancel()
		verdict, err := s.config.Claims.Claim(claimCtx, crlclaim.Claim{
			Key:         crlclaim.Key{Organisation: x.organisation.ID, Key: x.call.IdempotencyKey},
			Fingerprint: x.fingerprint(), Request: x.call.Request, Deadline: x.sendBy,
		})
		if err != nil {
			return claimFailed(err)
		}
		if verdict.Decision != crlclaim.DecisionWon {
			return s.answerRepeat(x, verdict)
		}
		return s.runClaimed(ctx, x, next, verdict.State)
	}
}

// claimFailed returns the refusal of a call whose claim got no verdict.
//
// The refusal says "not run" only if the claim never reaches the log. A claim that may reach it is released as soon as it
// is folded, but until then it blocks a retry with the same key. If this daemon stops before the release, no retry can
// run, so the refusal must not promise that one can.
func claimFailed(err error) *Refusal {
	refusal := refuse(CodeLogUnavailable, "%v; retry with the same idempotency key", err).withRetryAfter(notReadyRetryAfter)
	if !errors.Is(err, crlclaim.ErrUnavailable) {
		refusal.Ran = RanUnknown
	}
	return refusal
}

// runClaimed runs a call whose claim was won and appends its outcome to the log, or releases the claim if it did not run.
func (s *Service) runClaimed(ctx context.Context, x *exchange, next handler, standing crlclaim.KeyState) *Refusal {
	// The call must not be cancelled halfway: its outcome is recorded even if the caller disconnects.
	ctx = context.WithoutCancel(ctx)
	refusal := next(ctx, x)
	ctx, cancel := context.WithTimeout(ctx, s.config.Limits.Record)
	defer cancel()
	if refusal != nil && refusal.Ran == RanNotRun {
		return s.release(ctx, x, refusal, standing)
	}
	outcome := crlclaim.Outcome{Key: standing.Claim.Key, Claim: standing.Position, Phase: crlclaim.PhaseUnknown}
	if refusal == nil {
		outcome.Phase = crlclaim.PhaseDone
		outcome.Status, outcome.ContentType = x.answer.Status, x.answer.ContentType
		outcome.Answer, outcome.Digest = storedAnswer(x.answer.Body)
	}
	if err := s.config.Claims.Record(ctx, outcome); err != nil {
		klog.Warningf("entry: recording the outcome of request %s: not acknowledged by the log yet: %v", x.call.Request, err)
	}
	return refusal
}

// release releases the claim of a call that did not run. The refusal says "not run" only if the release is durable, so
// that a retry can claim the key.
func (s *Service) release(ctx context.Context, x *exchange, refusal *Refusal, standing crlclaim.KeyState) *Refusal {
	err := s.config.Claims.Release(ctx, crlclaim.Release{Key: standing.Claim.Key, Claim: standing.Position})
	if err == nil {
		return refusal
	}
	klog.Warningf("entry: releasing the claim of request %s: not acknowledged by the log yet: %v", x.call.Request, err)
	unreleased := *refusal
	unreleased.Ran = RanUnknown
	unreleased.Message += "; its idempotency key may not be released yet, retry with the same key"
	return unreleased.withRetryAfter(notReadyRetryAfter)
}

// storedAnswer returns the body to store with an outcome, or the SHA-256 digest of a body larger than maxStoredAnswerBytes.
func storedAnswer(body []byte) (answer, digest []byte) {
	if len(body) <= maxStoredAnswerBytes {
		return body, nil
	}
	sum := sha256.Sum256(body)
	return nil, sum[:]
}

// answerRepeat answers a call whose claim was not won.
func (s *Service) answerRepeat(x *exchange, verdict crlclaim.Verdict) *Refusal {
	standing := verdict.State
	switch {
	case verdict.Decision == crlclaim.DecisionLate:
		return refuse(CodeLogUnavailable, "the claim reached the log after its deadline").withRetryAfter(notReadyRetryAfter)
	case verdict.Decision == crlclaim.DecisionConflict:
		return refuse(CodeKeyConflict, "the idempotency key was used for a different request")
	case standing.Phase == crlclaim.PhaseDone:
		return x.replay(standing.Outcome)
	case standing.Phase == crlclaim.PhaseClaimed && time.Now().Before(standing.Claim.Deadline.Add(s.config.Limits.Answer)):
		return &Refusal{
			Code: CodeInProgress, Ran: RanUnknown, RetryAfter: inProgressRetryAfter,
			Message: "a request with the same idempotency key is in progress",
		}
	}
	return &Refusal{Code: CodeOutcomeUnknown, Ran: RanUnknown, Message: "the request may have run and will not be sent again"}
}

// replay answers a repeated call with the stored answer of the first one. If that answer was too large to store, it
// returns a refusal that says that the request ran.
func (x *exchange) replay(o crlclaim.Outcome) *Refusal {
	if o.Digest != nil {
		return &Refusal{
			Code: CodeAnswerNotKept, Ran: RanDone,
			Message: fmt.Sprintf("the request ran with status %d; its answer was too large to store, SHA-256 %x", o.Status, o.Digest),
		}
	}
	x.answer = crlengine.ServiceAnswer{Status: o.Status, ContentType: o.ContentType, Body: o.Answer}
	return nil
}

// dispatchCall sends a call to a plain service. A call to an idempotent service is repeated at other servers after any
// failure, another call only while every failed attempt surely did not run.
func (s *Service) dispatchCall(ctx context.Context, x *exchange) *Refusal {
	excluded := make(map[crlid.Server]bool)
	var failure error
	for range s.config.Limits.Attempts {
		server, permit, refusal := s.acquireBeforeSendBy(ctx, x, excluded)
		if refusal != nil && failure != nil {
			break
		}
		if refusal != nil {
			return refusal
		}
		failure = s.callServer(ctx, x, server, permit)
		x.noteMayHaveRun(failure)
		var broken *crlengine.Error
		if failure == nil || !x.service.Idempotent && errors.As(failure, &broken) && !broken.NotRun() {
			break
		}
		excluded[server.ID] = true
	}
	if failure != nil {
		return x.failureRefusal(ctx, failure)
	}
	return nil
}

// acquireBeforeSendBy calls acquire and gives up when a claimed call may no longer be sent.
func (s *Service) acquireBeforeSendBy(ctx context.Context, x *exchange, excluded map[crlid.Server]bool) (crlconfig.Server, crlpermit.Permit, *Refusal) {
	if x.sendBy.IsZero() {
		return s.acquire(ctx, x, excluded)
	}
	ctx, cancel := context.WithDeadline(ctx, x.sendBy)
	defer cancel()
	return s.acquire(ctx, x, excluded)
}

// callServer sends one call under a permit and returns the permit afterwards.
func (s *Service) callServer(ctx context.Context, x *exchange, server crlconfig.Server, permit crlpermit.Permit) error {
	report := crlpermit.Report{Permit: permit}
	result := crlbalance.Result{Server: server.ID, Failed: true}
	s.config.Balancer.Started(server.ID)
	defer func() {
		s.config.Permits.Done(report)
		s.config.Balancer.Finished(result)
	}()
	now := time.Now()
	late := !x.sendBy.IsZero() && !now.Before(x.sendBy)
	if late || !permit.Valid(now) || !s.stillAllowed(x, server.ID) {
		return &crlengine.Error{Server: server.ID, Fault: crlengine.FaultUnreachable, Err: errNotSent}
	}
	report.Sent = true
	ctx, cancel := context.WithTimeout(ctx, s.config.Limits.Answer)
	defer cancel()
	ctx, cancelPermit := context.WithDeadline(ctx, permit.End)
	defer cancelPermit()
	answer, err := s.config.Engines.Call(ctx, crlengine.ServiceAttempt{
		Server: server.ID, Address: server.Address, Service: x.service.ID, Request: x.call.Request,
		Key: x.call.IdempotencyKey, ContentType: x.call.ContentType, Body: x.call.Body, AtMostOnce: !x.service.Idempotent, SendBy: x.sendBy,
	})
	report.Failed = err != nil
	report.Incomplete = err != nil
	if err != nil {
		return err
	}
	report.Boot, result.Boot, result.Failed = answer.Boot, answer.Boot, false
	x.answer = answer
	return nil
}

// fingerprint returns a SHA-256 over the service, the content type and the body, which must be the same in every call with
// the same idempotency key.
func (x *exchange) fingerprint() [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(x.service.ID), []byte(x.call.ContentType), x.call.Body} {
		sum := sha256.Sum256(part)
		_, _ = h.Write(sum[:])
	}
	return [32]byte(h.Sum(nil))
}
