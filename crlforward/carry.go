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
func (s *Service) forward(ctx context.Context, x *exchange) *Refusal {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	refusal := s.sendUntilFinal(ctx, x)
	if refusal != nil && x.writeFallback() {
		x.trace.cause = refusal.Reason + " at a larger model"
		return nil
	}
	return refusal
}

// attempt makes sends until one is final.
func (s *Service) sendUntilFinal(ctx context.Context, x *exchange) *Refusal {
	plan := newModelPlan(x)
	for {
		if ctx.Err() != nil {
			return x.finalRefusal(endReason(ctx, x))
		}
		if refusal := s.checkNextSend(x); refusal != nil {
			return refusal
		}
		pick, err := s.pick(x, plan)
		if err != nil {
			return x.noServerRefusal(err)
		}
		switch s.send(ctx, x, pick, plan) {
		case verdictAnswered:
			return nil
		case verdictAgain:
		case verdictEscalate:
			plan.escalate()
		case verdictFinal:
			if ctx.Err() != nil {
				return x.finalRefusal(endReason(ctx, x))
			}
			return x.finalRefusal(ReasonOutcomeUnknown)
		}
	}
}

// mayCarryOn tells whether one more send is within the attempts and the shared budget.
//
// Sends that reached no server are no repeats: what they took from the budget serves the next send.
func (s *Service) checkNextSend(x *exchange) *Refusal {
	if x.sends == 0 {
		return nil
	}
	if x.sends >= x.route.Attempts {
		return x.finalRefusal(ReasonAttempts)
	}
	if !x.reached || x.retryPaid {
		return nil
	}
	if x.retryPaid = s.config.Retries.Spend(x.service.Name, crlbudget.UsableAfterFailure, s.config.Now()); !x.retryPaid {
		return x.finalRefusal(ReasonNoBudget)
	}
	return nil
}

// ended returns the refusal that is true of a request whose sends are over.
func (x *exchange) finalRefusal(reason string) *Refusal {
	switch {
	case x.mayHaveRun && (reason == ReasonRouteTimeout || reason == ReasonDeadline):
		return newRefusal(http.StatusGatewayTimeout, reason)
	case x.mayHaveRun:
		return newRefusal(http.StatusBadGateway, reason)
	default:
		return unavailable(reason, overloadRetryAfter)
	}
}

func (x *exchange) noServerRefusal(err error) *Refusal {
	reason := ReasonNoServer
	if errors.Is(err, crlfleet.ErrCold) {
		reason = ReasonOverloaded
	}
	refusal := x.finalRefusal(reason)
	if refusal.RetryAfter > 0 {
		refusal.RetryAfter = noServerRetryAfter
	}
	return refusal
}

// pick chooses the server of the next send.
func (s *Service) pick(x *exchange, plan *modelPlan) (*crlfleet.Pick, error) {
	x.rolloutPlan = s.config.Rollouts.Plan(x.service.Name, s.config.Now(), s.config.Fleet.Capacity)
	key := x.session()
	if x.sends == 0 {
		x.lastVersion = s.sessions.version(key)
	}
	target := x.rolloutPlan.Prefers(xxhash.Sum64String(string(key.session)), x.lastVersion)
	pinned := x.rolloutPlan.PinSessions && x.lastVersion != ""
	pace := s.timeFactors.of(plan.model(), plan.models)
	cost := x.estimate(pace)
	return s.config.Fleet.Pick(crlfleet.Need{
		Service: x.service.Name, ColdRate: x.service.ColdRate, Exclude: x.tried, Work: cost.workSeconds, WorkAfter: cost.decodeSeconds, Expected: cost.firstByte,
		Affinity: x.affinity(pace),
		Allows: func(v crlid.Version) bool {
			return x.rolloutPlan.Allows(v) && (!pinned || v == x.lastVersion || v != x.rolloutPlan.Target)
		},
		Prefers: func(v crlid.Version) bool { return x.rolloutPlan.Target == "" || (v == x.rolloutPlan.Target) == target },
	})
}
