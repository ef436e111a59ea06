package crlforward

import (
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpace"
)

// Figures of unloaded servers that are no model engines.
const (
	plainWorkSeconds = 0.03                  // usual server time of a request
	plainFirstByte   = 40 * time.Millisecond // usual time to the first byte of an answer
)

// escalateBelowConfidence is the confidence (0 to 100) below which a smaller model's answer is replaced by the largest
// model's. Of 50, 60, 70 and 85, 60 gave the highest total value of answers under light load.
const escalateBelowConfidence = 60

// objectiveFraction is the fraction of a route's latency objective within which the largest model's first event must be
// expected, or the request is not escalated. A fallback answer is sent when that fraction has passed without an event.
const objectiveFraction = 0.9

// modelPlan selects the model for the next send of a request.
type modelPlan struct {
	models []crlid.Model // smallest first; empty when the caller named the model
	index  int           // index in models of the model for the next send
}

func newModelPlan(x *exchange) *modelPlan { return &modelPlan{models: x.route.Models} }

// model returns the model for the next send, empty when the caller named it.
func (p *modelPlan) model() crlid.Model {
	if len(p.models) == 0 {
		return ""
	}
	return p.models[p.index]
}

// largest returns the model that an escalated request is sent to.
func (p *modelPlan) largest() crlid.Model { return p.models[len(p.models)-1] }

// canEscalate reports whether a larger model than the selected one is left.
func (p *modelPlan) canEscalate() bool { return p.index < len(p.models)-1 }

// escalate selects the largest model for the next send.
func (p *modelPlan) escalate() {
	p.index = len(p.models) - 1
}

// cost is the estimated cost of a send to an unloaded server.
type cost struct {
	workSeconds   float64       // server time until the answer begins
	decodeSeconds float64       // time by which the answer's tokens delay the server's other requests
	firstByte     time.Duration // time until the caller gets the first byte
}

// estimate returns the cost of a request to a model. The model has no effect on a request that does not go to a model engine, or that
// has no stated prompt length.
func (s *Service) estimate(x *exchange, model crlid.Model, plan *modelPlan) cost {
	if !x.isPaced() {
		return cost{workSeconds: plainWorkSeconds, firstByte: plainFirstByte}
	}
	output := x.head.MaxAnswerTokens
	if x.head.ExpectedAnswerTokens > 0 {
		output = min(output, x.head.ExpectedAnswerTokens)
	}
	work := crlpace.Work{Prompt: x.head.PromptTokens, Output: output}
	p := s.config.Pace.Predict(s.paceKey(x, model, plan), "", work, crlpace.Load{})
	return cost{workSeconds: p.PromptSeconds, decodeSeconds: p.DelaySeconds, firstByte: p.FirstEvent}
}

// affinityWeight multiplies the prompt reading time that a server with a cached prompt prefix saves. It is above 1 because
// the time saved also serves the server's other requests.
const affinityWeight = 2

// affinity describes the longest prefix of the prompt that other requests may share: its last part identifies it, and the
// saving is the time that a server with the prefix cached saves, times affinityWeight.
func (s *Service) affinity(x *exchange, model crlid.Model, plan *modelPlan) crlfleet.Affinity {
	parts := x.head.Parts
	if !x.route.Affinity || len(parts) == 0 {
		return crlfleet.Affinity{}
	}
	var seconds float64
	if tokens := sharedTokens(parts); x.isPaced() {
		seconds = s.config.Pace.Predict(s.paceKey(x, model, plan), "", crlpace.Work{Prompt: tokens}, crlpace.Load{}).PromptSeconds
	} else {
		seconds = crlpace.InitialPromptSeconds(tokens, slices.Index(plan.models, model), len(plan.models))
	}
	return crlfleet.Affinity{Key: parts[lastShared(parts)].ID, Saving: affinityWeight * seconds}
}

// lastShared returns the index of the last part that other requests may have in common. The last part of a prompt belongs to the
// request or its session alone, so the shared prefix ends with the part before it.
func lastShared(parts []Part) int { return max(len(parts)-2, 0) }

// sharedTokens returns the length of the longest prefix that other requests may have in common.
func sharedTokens(parts []Part) (tokens crlid.Tokens) {
	for _, part := range parts[:min(lastShared(parts)+1, len(parts))] {
		tokens += part.Tokens
	}
	return tokens
}
