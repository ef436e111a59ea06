package crlforward

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Figures of an unloaded model engine of today's deployments, for estimates of work only.
const (
	prefillTokensPerSecond = 157_000.0 // prefillRate is the prompt tokens read a second by a model of pace 1.
	batchSecondsPerToken   = 0.00005   // batchSeconds is what one request adds to a step of its batch, per token.
	plainWorkSeconds       = 0.03      // plainWork is the usual work of a plain service's request in seconds.
	plainFirstByte         = 40 * time.Millisecond
	streamFirstByte        = 40 * time.Millisecond // streamFirst is the time to the first event of a short prompt.
)

// escalateBelow is the confidence under which a smaller model's answer is dropped for the largest model's.
// 60 had the highest worth of 50, 60, 70 and 85 in trials on a calm day of the Register.
const escalateBelowConfidence = 60

// objectivePart of a stream's objective must be enough for the largest model's first event, or there is no escalation.
const objectiveFraction = 0.9

// modelPlan is which model the next send of a request asks for.
type modelPlan struct {
	models []crlid.Model
	index  int
}

func newModelPlan(x *exchange) *modelPlan { return &modelPlan{models: x.route.Models} }

// model returns the model to ask for, empty when the caller named it.
func (p *modelPlan) model() crlid.Model {
	if len(p.models) == 0 {
		return ""
	}
	return p.models[p.index]
}

// largest returns the model that escalations ask for.
func (p *modelPlan) largest() crlid.Model { return p.models[len(p.models)-1] }

// mayEscalate reports whether a larger model is left.
func (p *modelPlan) canEscalate() bool { return p.index < len(p.models)-1 }

// escalate moves on to the largest model.
func (p *modelPlan) escalate() {
	p.index = len(p.models) - 1
}

// cost is what a send is expected to take on an unloaded server.
type cost struct {
	workSeconds   float64 // work is the server's time until the answer begins, in seconds.
	decodeSeconds float64 // rest is what the answer's tokens cost the server's other requests, in seconds.
	firstByte     time.Duration
}

// estimate returns the cost of a request on a model of some pace.
func (x *exchange) estimate(pace float64) cost {
	if x.service.Slots == 0 || x.head.Prompt == 0 {
		return cost{workSeconds: plainWorkSeconds, firstByte: plainFirstByte}
	}
	output := x.head.Output
	if x.head.Expected > 0 {
		output = min(output, x.head.Expected)
	}
	read := pace * float64(x.head.Prompt) / prefillTokensPerSecond
	return cost{
		workSeconds: read, decodeSeconds: pace * float64(output) * batchSecondsPerToken,
		firstByte: streamFirstByte + time.Duration(read*float64(time.Second)),
	}
}

// affinityWeight values reading that is saved above the caller's own wait, since it makes room for others.
const affinityWeight = 2

// affinity returns the part of the prompt that requests share most, and what a server gains that holds it.
func (x *exchange) affinity(pace float64) crlfleet.Affinity {
	parts := x.head.Parts
	if !x.route.Affinity || len(parts) == 0 {
		return crlfleet.Affinity{}
	}
	// The last part belongs to the request or its session alone; the one before it is the most special shared one.
	at := max(len(parts)-2, 0)
	var tokens crlid.Tokens
	for _, part := range parts[:at+1] {
		tokens += part.Tokens
	}
	return crlfleet.Affinity{Key: parts[at].ID, Saving: affinityWeight * pace * float64(tokens) / prefillTokensPerSecond}
}

// paces learns how long each model takes to read a prompt, against one of pace 1.
type timeFactors struct {
	mu      sync.Mutex // mu guards known.
	byModel map[crlid.Model]float64
}

const (
	smallestModelFactor = 0.3  // smallestPace is that of the smallest model of today's deployments.
	largestModelFactor  = 3.0  // largestPace is that of the largest model of today's deployments.
	factorQuantile      = 0.2  // paceQuantile of the sends are faster than the learned pace, which leaves out waits.
	factorStep          = 0.02 // paceStep is the part of the pace by which one send moves it.
	longPromptTokens    = 4000 // longPrompt is the tokens from which the time to the first event is mostly reading.
)

func newTimeFactors() *timeFactors { return &timeFactors{byModel: make(map[crlid.Model]float64)} }

// of returns the pace of a model of a route, a guess by its place among the route's models until it is learned.
func (p *timeFactors) of(model crlid.Model, models []crlid.Model) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pace, ok := p.byModel[model]; ok {
		return pace
	}
	pace := 1.0
	for i, m := range models {
		if m == model && len(models) > 1 {
			pace = smallestModelFactor + (largestModelFactor-smallestModelFactor)*float64(i*i)/float64((len(models)-1)*(len(models)-1))
		}
	}
	p.byModel[model] = pace
	return pace
}

// learn takes the time to the first event of a send.
func (p *timeFactors) observe(model crlid.Model, prompt crlid.Tokens, first time.Duration) {
	if prompt < longPromptTokens || first <= streamFirstByte {
		return
	}
	seen := (first - streamFirstByte).Seconds() * prefillTokensPerSecond / float64(prompt)
	p.mu.Lock()
	defer p.mu.Unlock()
	pace, ok := p.byModel[model]
	if !ok {
		return
	}
	if seen > pace {
		p.byModel[model] = pace * (1 + factorStep*factorQuantile)
	} else {
		p.byModel[model] = pace * (1 - factorStep*(1-factorQuantile))
	}
}
