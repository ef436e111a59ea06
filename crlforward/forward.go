package crlforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	// noServerRetryAfter is about the time that a server needs from its start to its announcement.
	noServerRetryAfter = time.Second
	// pauseSpread is the time over which callers are told to return after the end of a pause.
	pauseSpread = 300 * time.Millisecond
)

// forward sends a request until it has an answer, must not be sent again, or has passed its deadline.
// A fallback answer, if one was read, takes the place of a refusal.
func (s *Service) forward(ctx context.Context, x *exchange) *Refusal {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	defer s.endAdmission(ctx, x)
	refusal := s.sendUntilFinal(ctx, x)
	if refusal != nil && x.writeFallback() {
		x.trace.cause = refusal.Reason + " at the larger model; sent the smaller model's answer"
		return nil
	}
	return refusal
}

// sendUntilFinal sends the request to one server after another until it has an answer or must not be sent again. If this VM opens no connection to
// servers, other routers take the place of servers. The returned refusal is nil when the caller got an answer.
func (s *Service) sendUntilFinal(ctx context.Context, x *exchange) *Refusal {
	plan := newModelPlan(x)
	for {
		if ctx.Err() != nil {
			return x.finalRefusal(endReason(ctx, x))
		}
		if refusal := s.checkAdmission(ctx, x, plan); refusal != nil {
			return refusal
		}
		v, refusal := s.sendNext(ctx, x, plan)
		if refusal != nil {
			if x.waitForServer(ctx, refusal) {
				continue
			}
			return refusal
		}
		switch v {
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

// sendNext sends the request to the next server or router, or returns the refusal that ends it instead.
func (s *Service) sendNext(ctx context.Context, x *exchange, plan *modelPlan) (verdict, *Refusal) {
	if refusal := s.checkQuarantine(x); refusal != nil {
		return verdictFinal, refusal
	}
	if s.closed.Load() && x.runs == x.runsBefore && !x.stream.started {
		return verdictFinal, x.finalRefusal(ReasonDraining) // Sent now, it might still run when the process ends.
	}
	refusal := s.checkNextSend(x)
	cutOff := s.reachability.isCutOff(ctx)
	if cutOff && (refusal == nil || refusal.Reason == ReasonAttempts) {
		if v, final, ok := s.tryHandover(ctx, x, s.config.Peers); ok {
			return v, final
		}
	}
	if cutOff && x.handedOver && !x.stream.started {
		return verdictFinal, x.finalRefusal(ReasonCutOff)
	}
	var pick *crlfleet.Pick
	if refusal == nil {
		var err error
		if pick, err = s.pick(x, plan); err == nil {
			return s.send(ctx, x, pick, plan), nil
		}
		refusal = x.noServerRefusal(err)
	}
	unreached := x.sends > x.runsBefore && !x.connected
	if unreached || refusal.Reason == ReasonNoPlace {
		// No server can have the request, but a router with other links, or with places at the servers, may serve it.
		peers := s.config.Peers
		if !unreached {
			peers = s.placePeers(x)
		}
		if v, final, ok := s.tryHandover(ctx, x, peers); ok {
			return v, final
		}
		if x.handedOver && unreached {
			refusal.Reason = ReasonUnreachable
		}
	}
	return verdictFinal, refusal
}

const (
	// serverWait bounds the time that a started stream waits for a server and the retry budget, in all. Callers take a stream for
	// broken after a pause of 2 s or more.
	serverWait         = time.Second
	serverWaitInterval = 50 * time.Millisecond // time between two looks for a server
)

// waitForServer waits before a started stream, for which there is no server or budget just now, looks again, and reports whether it
// may. Any other request ends with its refusal at once, so that its caller can turn to another daemon.
func (x *exchange) waitForServer(ctx context.Context, refusal *Refusal) bool {
	if !x.stream.started || refusal.Reason == ReasonAttempts || x.waits >= int(serverWait/serverWaitInterval) {
		return false
	}
	x.waits++
	crlclock.Sleep(ctx, serverWaitInterval)
	return true
}

// checkNextSend returns a refusal when one more send would exceed the route's attempts or the service's retry budget.
func (s *Service) checkNextSend(x *exchange) *Refusal {
	if x.sends == 0 && x.runs == 0 {
		return nil
	}
	if !x.hasAttempts() {
		return x.finalRefusal(ReasonAttempts)
	}
	return s.payRepeat(x)
}

// payRepeat charges the service's retry budget for the next send or handover if that may repeat work, and returns a refusal if nothing is left.
//
// A send that reached no server repeats no work, so the charge that it took from the retry budget covers the next send.
func (s *Service) payRepeat(x *exchange) *Refusal {
	if !x.reached || x.retryPaid {
		return nil
	}
	if x.retryPaid = s.config.Retries.Spend(x.service.Name, crlbudget.UsableAfterFailure, s.config.Now()); !x.retryPaid {
		return x.finalRefusal(ReasonNoBudget)
	}
	return nil
}

const (
	startedSendsFactor = 2 // bounds the sends of a started stream that reach a server, as a multiple of its route's attempts
	maxFailedDials     = 5 // failed dials after which a started stream is cut off; with growing time-outs they take 4.5 s
)

// hasAttempts reports whether the route allows one more send. Sends that a server may have run, here or at another router, never exceed the route's
// attempts. Failed dials count as well until the caller has part of a stream: the caller of a stream that is cut off can't be told that nothing ran.
func (x *exchange) hasAttempts() bool {
	if x.runs >= x.runLimit() {
		return false
	}
	if x.stream.started {
		return x.sends < startedSendsFactor*x.route.Attempts && x.failedDials < maxFailedDials
	}
	return x.sends < x.route.Attempts
}

// runLimit returns how often the request may run in all: as often as its route allows, or as the router that handed it over does.
func (x *exchange) runLimit() int {
	if x.handedOver {
		return min(x.route.Attempts, x.grantedRuns)
	}
	return x.route.Attempts
}

// finalRefusal returns the refusal of a request that is not sent again. Only when no server can have run the request does
// the refusal ask the caller to retry.
func (x *exchange) finalRefusal(reason string) *Refusal {
	switch {
	case x.runs > 0 && (reason == ReasonRouteTimeout || reason == ReasonDeadline):
		return newRefusal(http.StatusGatewayTimeout, reason)
	case x.runs > 0:
		return newRefusal(http.StatusBadGateway, reason)
	case reason == ReasonDraining:
		return unavailable(reason, drainingRetryAfter)
	default:
		return unavailable(reason, overloadRetryAfter)
	}
}

// noServerRefusal returns the refusal of a request for which the fleet has no server. The reason is overload when the only
// servers left have as many requests as they may get, because they are cold (recently started), state
// a limit or have asked for a pause.
func (x *exchange) noServerRefusal(err error) *Refusal {
	reason, retryAfter := ReasonNoServer, noServerRetryAfter
	var paused *crlfleet.PausedError
	switch {
	case errors.As(err, &paused):
		// The callers that come back are spread, as they would otherwise all return to the first server whose pause ends.
		reason, retryAfter = ReasonOverloaded, paused.Left+rand.N(pauseSpread)
	case errors.Is(err, crlfleet.ErrRateLimit):
		reason = ReasonOverloaded
	case errors.Is(err, crlfleet.ErrNoPlace):
		reason = ReasonNoPlace
	}
	refusal := x.finalRefusal(reason)
	if refusal.RetryAfter > 0 {
		refusal.RetryAfter = retryAfter
	}
	return refusal
}

// pick chooses the server of the next send among the versions that a roll-out of the service allows. While the
// roll-out pins sessions, a session runs on the target version only if its last request ran there.
func (s *Service) pick(x *exchange, plan *modelPlan) (*crlfleet.Pick, error) {
	x.rolloutPlan = s.config.Rollouts.Plan(x.service.Name, s.config.Now(), s.config.Fleet.Capacity)
	key := x.sessionKey()
	if x.sends == 0 {
		x.lastVersion = s.sessions.version(key)
	}
	// In the last step, requests that must not run twice avoid the versions that are about to be stopped.
	onTarget := x.rolloutPlan.Prefers(xxhash.Sum64String(string(key.session)), x.lastVersion) ||
		x.rolloutPlan.LastStep && !x.route.Repeatable()
	pinned := x.rolloutPlan.PinSessions && x.lastVersion != ""
	cost := s.estimate(x, plan.model(), plan)
	var few map[crlid.Version]int
	if x.rolloutPlan.TargetServers > 0 {
		few = map[crlid.Version]int{x.rolloutPlan.Target: x.rolloutPlan.TargetServers}
	}
	return s.config.Fleet.Pick(crlfleet.Need{
		Service: x.service.Name, ColdRate: x.service.ColdRate, Exclude: x.tried, FewServers: few,
		Work: cost.workSeconds, WorkAfter: cost.decodeSeconds, ExpectedFirstByte: cost.firstByte, Affinity: s.affinity(x, plan.model(), plan),
		Engine: x.service.Slots > 0, Tokens: x.head.PromptTokens + x.head.MaxAnswerTokens, MemoryTokens: x.service.MemoryTokens,
		Allows: func(v crlid.Version) bool {
			return x.rolloutPlan.Allows(v) && (!pinned || v == x.lastVersion || v != x.rolloutPlan.Target)
		},
		Prefers: func(v crlid.Version) bool {
			return x.rolloutPlan.Target == "" || (v == x.rolloutPlan.Target) == onTarget
		},
	})
}
