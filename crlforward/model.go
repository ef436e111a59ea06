package crlforward

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Figures of unloaded servers of present deployments. They serve only to estimate the cost of a send.
const (
	prefillTokensPerSecond = 157_000.0 // prompt tokens that a model with time factor 1 reads in a second; see timeFactors
	// batchSecondsPerToken is the time by which a request to a model with time factor 1 delays each step of its server's batch. A
	// step yields one token.
	batchSecondsPerToken = 0.00005
	plainWorkSeconds     = 0.03                  // usual server time of a request that does not go to a model engine
	plainFirstByte       = 40 * time.Millisecond // usual time to the first byte of an answer that does not come from a model engine
	streamFirstByte      = 40 * time.Millisecond // time to the first event of an answer to a short prompt
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

// estimate returns the cost of a request to a model with the given time factor. The factor has no effect on a request that
// does not go to a model engine, or that has no stated prompt length.
func (x *exchange) estimate(factor float64) cost {
	if x.service.Slots == 0 || x.head.PromptTokens == 0 {
		return cost{workSeconds: plainWorkSeconds, firstByte: plainFirstByte}
	}
	output := x.head.MaxAnswerTokens
	if x.head.ExpectedAnswerTokens > 0 {
		output = min(output, x.head.ExpectedAnswerTokens)
	}
	readSeconds := factor * float64(x.head.PromptTokens) / prefillTokensPerSecond
	return cost{
		workSeconds: readSeconds, decodeSeconds: factor * float64(output) * batchSecondsPerToken,
		firstByte: streamFirstByte + time.Duration(readSeconds*float64(time.Second)),
	}
}

// affinityWeight multiplies the prompt reading time that a server with a cached prompt prefix saves. It is above 1 because
// the time saved also serves the server's other requests.
const affinityWeight = 2

// affinity describes the longest prefix of the prompt that other requests may share: its last part identifies it, and the
// saving is the time that a server with the prefix cached saves, times affinityWeight.
func (x *exchange) affinity(factor float64) crlfleet.Affinity {
	parts := x.head.Parts
	if !x.route.Affinity || len(parts) == 0 {
		return crlfleet.Affinity{}
	}
	// The last part belongs to the request or its session alone; the shared prefix ends with the part before it.
	last := max(len(parts)-2, 0)
	var tokens crlid.Tokens
	for _, part := range parts[:last+1] {
		tokens += part.Tokens
	}
	return crlfleet.Affinity{Key: parts[last].ID, Saving: affinityWeight * factor * float64(tokens) / prefillTokensPerSecond}
}

// timeFactors estimates each model's time factor: the time that the model takes to read a prompt, relative to a model that
// reads prefillTokensPerSecond. A larger model has a larger factor.
type timeFactors struct {
	mu      sync.Mutex // guards byModel
	byModel map[crlid.Model]float64
}

const (
	smallestModelFactor = 0.3  // time factor of the smallest model in present deployments
	largestModelFactor  = 3.0  // time factor of the largest model in present deployments
	factorQuantile      = 0.2  // quantile of the observed time factors that an estimate approaches; a low one excludes the time in queues
	factorStep          = 0.02 // upper bound of the relative change of an estimated time factor by one send
	longPromptTokens    = 4000 // prompt length from which the time to the first event is mostly spent on reading the prompt
)

func newTimeFactors() *timeFactors { return &timeFactors{byModel: make(map[crlid.Model]float64)} }

// factor returns the time factor of a model. The first call for a model sets an initial estimate by the model's place among
// the route's models, or 1 if the route has just one or lists none.
func (t *timeFactors) factor(model crlid.Model, models []crlid.Model) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if factor, ok := t.byModel[model]; ok {
		return factor
	}
	factor := 1.0
	for i, m := range models {
		if m == model && len(models) > 1 {
			factor = smallestModelFactor + (largestModelFactor-smallestModelFactor)*float64(i*i)/float64((len(models)-1)*(len(models)-1))
		}
	}
	t.byModel[model] = factor
	return factor
}

// observe updates a model's estimate with the time from a send to its first byte. It ignores short prompts, and models that
// have no initial estimate yet.
func (t *timeFactors) observe(model crlid.Model, prompt crlid.Tokens, firstByte time.Duration) {
	if prompt < longPromptTokens || firstByte <= streamFirstByte {
		return
	}
	observed := (firstByte - streamFirstByte).Seconds() * prefillTokensPerSecond / float64(prompt)
	t.mu.Lock()
	defer t.mu.Unlock()
	factor, ok := t.byModel[model]
	if !ok {
		return
	}
	if observed > factor {
		t.byModel[model] = factor * (1 + factorStep*factorQuantile)
	} else {
		t.byModel[model] = factor * (1 - factorStep*(1-factorQuantile))
	}
}
