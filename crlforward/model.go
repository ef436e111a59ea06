package crlforward

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Figures of an unloaded model engine of today's deployments, for estimates of work only.
const (
	prefillRate  = 157_000.0 // prefillRate is the prompt tokens read a second by a model of pace 1.
	batchSeconds = 0.00005   // batchSeconds is what one request adds to a step of its batch, per token.
	plainWork    = 0.03      // plainWork is the usual work of a plain service's request in seconds.
	plainFirst   = 40 * time.Millisecond
	streamFirst  = 40 * time.Millisecond // streamFirst is the time to the first event of a short prompt.
)

// escalateBelow is the confidence under which a smaller model's answer is dropped for the largest model's.
// 60 had the highest worth of 50, 60, 70 and 85 in trials on a calm day of the Register.
const escalateBelow = 60

// objectivePart of a stream's objective must be enough for the largest model's first event, or there is no escalation.
const objectivePart = 0.9

// modelPlan is which model the next send of a request asks for.
type modelPlan struct {
	models []crlid.Model
	at     int
}

func newModelPlan(x *exchange) *modelPlan { return &modelPlan{models: x.route.Models} }

// model returns the model to ask for, empty when the caller named it.
func (p *modelPlan) model() crlid.Model {
	if len(p.models) == 0 {
		return ""
	}
	return p.models[p.at]
}

// largest returns the model that escalations ask for.
func (p *modelPlan) largest() crlid.Model { return p.models[len(p.models)-1] }

// mayEscalate reports whether a larger model is left.
func (p *modelPlan) mayEscalate() bool { return p.at < len(p.models)-1 }

// escalate moves on to the largest model.
func (p *modelPlan) escalate() {
	p.at = len(p.models) - 1
}

// cost is what a send is expected to take on an unloaded server.
type cost struct {
	work      float64 // work is the server's time until the answer begins, in seconds.
	rest      float64 // rest is what the answer's tokens cost the server's other requests, in seconds.
	firstByte time.Duration
}

// estimate returns the cost of a request on a model of some pace.
func (x *exchange) estimate(pace float64) cost {
	if x.service.Slots == 0 || x.head.Prompt == 0 {
		return cost{work: plainWork, firstByte: plainFirst}
	}
	output := x.head.Output
	if x.head.Expected > 0 {
		output = min(output, x.head.Expected)
	}
	read := pace * float64(x.head.Prompt) / prefillRate
	return cost{
		work: read, rest: pace * float64(output) * batchSeconds,
		firstByte: streamFirst + time.Duration(read*float64(time.Second)),
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
	return crlfleet.Affinity{Key: parts[at].ID, Saving: affinityWeight * pace * float64(tokens) / prefillRate}
}

// paces learns how long each model takes to read a prompt, against one of pace 1.
type paces struct {
	mu    sync.Mutex // mu guards known.
	known map[crlid.Model]float64
}

const (
	smallestPace = 0.3  // smallestPace is that of the smallest model of today's deployments.
	largestPace  = 3.0  // largestPace is that of the largest model of today's deployments.
	paceQuantile = 0.2  // paceQuantile of the sends are faster than the learned pace, which leaves out waits.
	paceStep     = 0.02 // paceStep is the part of the pace by which one send moves it.
	longPrompt   = 4000 // longPrompt is the tokens from which the time to the first event is mostly reading.
)

func newPaces() *paces { return &paces{known: make(map[crlid.Model]float64)} }

// of returns the pace of a model of a route, a guess by its place among the route's models until it is learned.
func (p *paces) of(model crlid.Model, models []crlid.Model) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pace, ok := p.known[model]; ok {
		return pace
	}
	pace := 1.0
	for i, m := range models {
		if m == model && len(models) > 1 {
			pace = smallestPace + (largestPace-smallestPace)*float64(i*i)/float64((len(models)-1)*(len(models)-1))
		}
	}
	p.known[model] = pace
	return pace
}

// learn takes the time to the first event of a send.
func (p *paces) learn(model crlid.Model, prompt crlid.Tokens, first time.Duration) {
	if prompt < longPrompt || first <= streamFirst {
		return
	}
	seen := (first - streamFirst).Seconds() * prefillRate / float64(prompt)
	p.mu.Lock()
	defer p.mu.Unlock()
	pace, ok := p.known[model]
	if !ok {
		return
	}
	if seen > pace {
		p.known[model] = pace * (1 + paceStep*paceQuantile)
	} else {
		p.known[model] = pace * (1 - paceStep*(1-paceQuantile))
	}
}
