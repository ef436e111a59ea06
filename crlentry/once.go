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

// inProgressRetryAfter is when to ask again for a call that another daemon runs.
const inProgressRetryAfter = time.Second

// maxRecordedAnswer is the size in bytes up to which an answer is kept for repeats; of a larger one a digest is.
const maxStoredAnswerBytes = 4 << 10

// claim lets a non-idempotent call pass only if this daemon won its claim.
func (s *Service) claim(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		if x.service.Idempotent {
			return next(ctx, x)
		}
		// Without its monotonic part the time also covers a pause of the whole VM.
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
		return s.runClaimed(ctx, x, next, verdict.Standing)
	}
}

// undecided returns the refusal of a call whose claim got no verdict.
//
// "Not run" is kept for a claim that never reaches the log. Any other is
// released as soon as it is folded; until then a retry would find it standing,
// and if this daemon dies first no retry can run, so it is not promised.
func claimFailed(err error) *Refusal {
	refusal := refuse(CodeLogUnavailable, "%v; ask again with the same key", err).withRetryAfter(notReadyRetryAfter)
	if !errors.Is(err, crlclaim.ErrUnavailable) {
		refusal.Ran = RanUnknown
	}
	return refusal
}

// runClaimed runs a call whose claim was won and records what became of it.
func (s *Service) runClaimed(ctx context.Context, x *exchange, next handler, standing crlclaim.Standing) *Refusal {
	// The call may not be abandoned halfway: its outcome is recorded even if the caller leaves.
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
		klog.Warningf("entry: outcome of %s is not acknowledged yet: %v", x.call.Request, err)
	}
	return refusal
}

// release frees the key of a call that did not run; "not run" is said only once a retry can claim the key.
func (s *Service) release(ctx context.Context, x *exchange, refusal *Refusal, standing crlclaim.Standing) *Refusal {
	err := s.config.Claims.Release(ctx, crlclaim.Release{Key: standing.Claim.Key, Claim: standing.Position})
	if err == nil {
		return refusal
	}
	klog.Warningf("entry: release of %s is not acknowledged yet: %v", x.call.Request, err)
	held := *refusal
	held.Ran = RanUnknown
	held.Message += "; its key is not known to be free again, ask again with it"
	return held.withRetryAfter(notReadyRetryAfter)
}

// recorded returns an answer in the form in which its outcome keeps it.
func storedAnswer(body []byte) (answer, digest []byte) {
	if len(body) <= maxStoredAnswerBytes {
		return body, nil
	}
	sum := sha256.Sum256(body)
	return nil, sum[:]
}

// repeated answers a call whose claim was not won.
func (s *Service) answerRepeat(x *exchange, verdict crlclaim.Verdict) *Refusal {
	standing := verdict.Standing
	switch {
	case verdict.Decision == crlclaim.DecisionLate:
		return refuse(CodeLogUnavailable, "the claim reached the log too late").withRetryAfter(notReadyRetryAfter)
	case verdict.Decision == crlclaim.DecisionConflict:
		return refuse(CodeKeyConflict, "the idempotency key stands for another request")
	case standing.Phase == crlclaim.PhaseDone:
		return x.replay(standing.Outcome)
	case standing.Phase == crlclaim.PhaseClaimed && time.Now().Before(standing.Claim.Deadline.Add(s.config.Limits.Answer)):
		return &Refusal{
			Code: CodeInProgress, Ran: RanUnknown, RetryAfter: inProgressRetryAfter,
			Message: "the request is in progress",
		}
	}
	return &Refusal{Code: CodeOutcomeUnknown, Ran: RanUnknown, Message: "the request may have run and is never sent again"}
}

// replay gives a repeated call the recorded answer, or says that it ran if the answer was too large to keep.
func (x *exchange) replay(o crlclaim.Outcome) *Refusal {
	if o.Digest != nil {
		return &Refusal{
			Code: CodeAnswerNotKept, Ran: RanDone,
			Message: fmt.Sprintf("the request ran with status %d; its answer was too large to keep, SHA-256 %x", o.Status, o.Digest),
		}
	}
	x.answer = crlengine.ServiceAnswer{Status: o.Status, ContentType: o.ContentType, Body: o.Answer}
	return nil
}

// dispatchCall sends a call to a plain service, once if it may not be repeated.
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

// acquireInTime is acquire within the time in which a claimed call may be sent.
func (s *Service) acquireBeforeSendBy(ctx context.Context, x *exchange, excluded map[crlid.Server]bool) (crlconfig.Server, crlpermit.Permit, *Refusal) {
	if x.sendBy.IsZero() {
		return s.acquire(ctx, x, excluded)
	}
	ctx, cancel := context.WithDeadline(ctx, x.sendBy)
	defer cancel()
	return s.acquire(ctx, x, excluded)
}

// callServer spends a permit on one call.
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
		return &crlengine.Error{Server: server.ID, Fault: crlengine.FaultUnreachable, Err: errPermitStale}
	}
	report.Sent = true
	ctx, cancel := context.WithTimeout(ctx, s.config.Limits.Answer)
	defer cancel()
	ctx, cancelPermit := context.WithDeadline(ctx, permit.End)
	defer cancelPermit()
	answer, err := s.config.Engines.Call(ctx, crlengine.ServiceAttempt{
		Server: server.ID, Address: server.Address, Service: x.service.ID, Request: x.call.Request,
		Key: x.call.IdempotencyKey, ContentType: x.call.ContentType, Body: x.call.Body, Once: !x.service.Idempotent, SendBy: x.sendBy,
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

// fingerprint returns a SHA-256 over what a repeated call must have in common.
func (x *exchange) fingerprint() [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(x.service.ID), []byte(x.call.ContentType), x.call.Body} {
		sum := sha256.Sum256(part)
		_, _ = h.Write(sum[:])
	}
	return [32]byte(h.Sum(nil))
}
