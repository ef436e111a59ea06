package crlentry

import (
	"context"
	"math/rand/v2"

	"github.com/cranberrylock/cranberrylock/crlcascade"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlsession"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// pin opens the session token of a call and pins the call to the version of its session. A call without a token starts a
// session, whose version is chosen later by plan.
func (s *Service) pin(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		if x.call.SessionToken == "" {
			x.session = crlsession.Session{ID: crlid.NewSession(), Organisation: x.organisation.ID}
			return next(ctx, x)
		}
		session, err := s.config.Sealer.OpenSession(x.call.SessionToken)
		if err != nil || session.Organisation != x.organisation.ID {
			return refuse(CodeSessionTokenRefused, "the session token is not valid for this organisation")
		}
		x.session, x.version, x.pinned = session, session.Version, true
		if refusal := x.checkAllowed(x.snapshot); refusal != nil {
			return refusal
		}
		return next(ctx, x)
	}
}

// plan chooses the version or the cascade for a call that is not pinned to a version.
func (s *Service) plan(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		if x.pinned {
			return next(ctx, x)
		}
		candidates := x.candidates()
		if len(candidates) == 0 {
			return refuse(CodeNotAllowed, "the organisation may not use any live version of %q", x.call.Wanted)
		}
		plan, ok := s.config.Planner.Plan(crlcascade.Request{
			Organisation: x.organisation.ID, Class: x.class, Candidates: selectByShare(candidates, x.snapshot), Streamed: x.call.Streamed,
		})
		if !ok {
			return refuse(CodeNoHealthyVersion, "no version that the organisation may use is healthy").withRetryAfter(notReadyRetryAfter)
		}
		x.plan, x.version = plan, plan.First
		return next(ctx, x)
	}
}

// selectByShare selects a candidate that is limited to a share of the traffic with that share as the probability, and each
// other candidate always. If none is selected, it returns all candidates.
func selectByShare(candidates []crlconfig.Version, snapshot *crlsnapshot.Snapshot) []crlconfig.Version {
	if len(snapshot.Shares) == 0 {
		return candidates
	}
	var selected []crlconfig.Version
	for _, v := range candidates {
		if share, limited := snapshot.Shares[v.ID]; !limited || rand.Float64() < share {
			selected = append(selected, v)
		}
	}
	if len(selected) == 0 {
		return candidates
	}
	return selected
}

// classID returns the class of the exchange. A resumed answer has it from its stream token.
func (x *exchange) classID() crlid.Class {
	if x.class.ID == "" {
		return x.stream.Class
	}
	return x.class.ID
}

// checkAllowed returns a refusal if the configuration of the snapshot no longer allows the call. A pinned call is allowed
// on a version that is retiring, any other call only on a live one.
func (x *exchange) checkAllowed(snapshot *crlsnapshot.Snapshot) *Refusal {
	c := snapshot.Configuration
	if x.service.ID != "" {
		return x.checkServiceAllowed(c)
	}
	if !c.Allows(x.organisation.ID, x.version) {
		return refuse(CodeNotAllowed, "the organisation may not use version %q", x.version)
	}
	if x.pinned && !c.AcceptsSessionCalls(x.version) || !x.pinned && !c.AcceptsRequestsWithoutSession(x.version) {
		return refuse(CodeVersionWithdrawn, "version %q accepts no new requests", x.version)
	}
	return nil
}

func (x *exchange) checkServiceAllowed(c *crlconfig.Configuration) *Refusal {
	if !c.Organisations[x.organisation.ID].Services[x.service.ID] {
		return refuse(CodeNotAllowed, "the organisation may not use service %q", x.service.ID)
	}
	return nil
}

// openStream opens the stream token of a resumed call and restores the state of its answer.
func (s *Service) openStream(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		stream, err := s.config.Sealer.OpenStream(x.call.StreamToken)
		if err != nil || stream.Organisation != x.organisation.ID {
			return refuse(CodeStreamTokenRefused, "the stream token is not valid for this organisation")
		}
		x.stream, x.version, x.pinned = stream, stream.Version, true
		x.call.Request = stream.Request
		x.lastDelivered = x.call.After
		refusal := next(ctx, x)
		if refusal != nil && refusal.Ran == RanNotRun {
			refusal.Ran = RanUnknown // The original request ran, even if this call sent nothing.
		}
		return refusal
	}
}
