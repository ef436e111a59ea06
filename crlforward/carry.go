package crlforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// noServerRetryAfter is about the time in which a server that started is announced.
const noServerRetryAfter = time.Second

// carry sends a request until it has an answer, it may not be sent again, or its time is over.
func (s *Service) carry(ctx context.Context, x *exchange) *Refusal {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	refusal := s.attempt(ctx, x)
	if refusal != nil && x.giveKept() {
		x.trace.cause = refusal.Reason + " at a larger model"
		return nil
	}
	return refusal
}

// attempt makes sends until one is final.
func (s *Service) attempt(ctx context.Context, x *exchange) *Refusal {
	plan := newModelPlan(x)
	for {
		if ctx.Err() != nil {
			return x.ended(causeOf(ctx, x))
		}
		if refusal := s.mayCarryOn(x); refusal != nil {
			return refusal
		}
		pick, err := s.pick(x, plan)
		if err != nil {
			return x.noServer(err)
		}
		switch s.send(ctx, x, pick, plan) {
		case verdictAnswered:
			return nil
		case verdictAgain:
		case verdictEscalate:
			plan.escalate()
		case verdictFinal:
			if ctx.Err() != nil {
				return x.ended(causeOf(ctx, x))
			}
			return x.ended(ReasonOutcomeUnknown)
		}
	}
}

// mayCarryOn tells whether one more send is within the attempts and the shared budget.
//
// Sends that reached no server are no repeats: what they took from the budget serves the next send.
func (s *Service) mayCarryOn(x *exchange) *Refusal {
	if x.sends == 0 {
		return nil
	}
	if x.sends >= x.route.Attempts {
		return x.ended(ReasonAttempts)
	}
	if !x.reached || x.paid {
		return nil
	}
	if x.paid = s.config.Retries.Spend(x.service.Name, crlbudget.UsableAfterFailure, s.config.Now()); !x.paid {
		return x.ended(ReasonNoBudget)
	}
	return nil
}

// ended returns the refusal that is true of a request whose sends are over.
func (x *exchange) ended(reason string) *Refusal {
	switch {
	case x.mayRun && (reason == ReasonRouteTimeout || reason == ReasonDeadline):
		return refuse(http.StatusGatewayTimeout, reason)
	case x.mayRun:
		return refuse(http.StatusBadGateway, reason)
	default:
		return unavailable(reason, overloadRetryAfter)
	}
}

func (x *exchange) noServer(err error) *Refusal {
	reason := ReasonNoServer
	if errors.Is(err, crlfleet.ErrCold) {
		reason = ReasonOverloaded
	}
	refusal := x.ended(reason)
	if refusal.RetryAfter > 0 {
		refusal.RetryAfter = noServerRetryAfter
	}
	return refusal
}

// pick chooses the server of the next send.
func (s *Service) pick(x *exchange, plan *modelPlan) (*crlfleet.Pick, error) {
	x.plan = s.config.Rollouts.Plan(x.service.Name, s.config.Now(), s.config.Fleet.Capacity)
	key := x.session()
	if x.sends == 0 {
		x.last = s.sessions.version(key)
	}
	target := x.plan.Prefers(xxhash.Sum64String(string(key.session)), x.last)
	pinned := x.plan.PinSessions && x.last != ""
	pace := s.paces.of(plan.model(), plan.models)
	cost := x.estimate(pace)
	return s.config.Fleet.Pick(crlfleet.Need{
		Service: x.service.Name, ColdRate: x.service.ColdRate, Exclude: x.tried, Work: cost.work, WorkAfter: cost.rest, Expected: cost.firstByte,
		Affinity: x.affinity(pace),
		Allows: func(v crlid.Version) bool {
			return x.plan.Allows(v) && (!pinned || v == x.last || v != x.plan.Target)
		},
		Prefers: func(v crlid.Version) bool { return x.plan.Target == "" || (v == x.plan.Target) == target },
	})
}
