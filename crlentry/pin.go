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

// pin fixes the version of a call that belongs to a session.
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

// plan chooses the version of a call that no session fixes.
func (s *Service) plan(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		if x.pinned {
			return next(ctx, x)
		}
		candidates := x.candidates()
		if len(candidates) == 0 {
			return refuse(CodeNotAllowed, "the organisation may use no live version of %q", x.call.Wanted)
		}
		plan, ok := s.config.Planner.Plan(crlcascade.Request{
			Organisation: x.organisation.ID, Class: x.class, Candidates: selectByShare(candidates, x.snapshot), Streamed: x.call.Streamed,
		})
		if !ok {
			return refuse(CodeNoHealthyVersion, "no allowed version is healthy").withRetryAfter(notReadyRetryAfter)
		}
		x.plan, x.version = plan, plan.First
		return next(ctx, x)
	}
}

// healthy returns the candidates that may get this request by their shares, or all when none may.
func selectByShare(candidates []crlconfig.Version, snapshot *crlsnapshot.Snapshot) []crlconfig.Version {
	if len(snapshot.Shares) == 0 {
		return candidates
	}
	var chosen []crlconfig.Version
	for _, v := range candidates {
		if share, limited := snapshot.Shares[v.ID]; !limited || rand.Float64() < share {
			chosen = append(chosen, v)
		}
	}
	if len(chosen) == 0 {
		return candidates
	}
	return chosen
}

// classID returns the class of the exchange, which a resumed answer carries in its token.
func (x *exchange) classID() crlid.Class {
	if x.class.ID == "" {
		return x.stream.Class
	}
	return x.class.ID
}

// recheck tells whether the exchange may still be sent under a newer snapshot.
func (x *exchange) checkAllowed(snapshot *crlsnapshot.Snapshot) *Refusal {
	c := snapshot.Configuration
	if x.service.ID != "" {
		return x.checkServiceAllowed(c)
	}
	if !c.Allows(x.organisation.ID, x.version) {
		return refuse(CodeNotAllowed, "the organisation may not use version %q", x.version)
	}
	if x.pinned && !c.TakesSession(x.version) || !x.pinned && !c.TakesNew(x.version) {
		return refuse(CodeVersionWithdrawn, "version %q takes no new work", x.version)
	}
	return nil
}

func (x *exchange) checkServiceAllowed(c *crlconfig.Configuration) *Refusal {
	if !c.Organisations[x.organisation.ID].Services[x.service.ID] {
		return refuse(CodeNotAllowed, "the organisation may not use service %q", x.service.ID)
	}
	return nil
}

// openStream opens the token of an answer to resume.
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
			refusal.Ran = RanUnknown // The answer's request ran before, whatever became of this resume.
		}
		return refusal
	}
}
