package crlforward

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Figures of an unloaded model engine of today's deployments, for estimates of work only.
const (
	prefillRate  = 157_000.0 // prefillRate is the prompt tokens read a second.
	tokenSeconds = 0.0036    // tokenSeconds is the time of one step, which makes one token of each request of a batch.
	batchShare   = 0.02      // batchShare is the part of a step that one request of a batch costs the others.
	plainWork    = 0.03      // plainWork is the usual work of a plain service's request in seconds.
	plainFirst   = 40 * time.Millisecond
	streamFirst  = 60 * time.Millisecond
)

// escalateBelow is the confidence under which a smaller model's answer is dropped for the largest model's.
// 60 had the highest worth of 50, 60, 70 and 85 in trials on a calm day of the Register.
const escalateBelow = 60

// modelPlan is which model the next send of a request asks for.
type modelPlan struct {
	models []crlid.Model
	at     int
	paid   bool // paid is set when the next send was already taken from the budget.
}

func (s *Service) newModelPlan(x *exchange) *modelPlan {
	return &modelPlan{models: x.route.Models}
}

// model returns the model to ask for, empty when the caller named it.
func (p *modelPlan) model() crlid.Model {
	if len(p.models) == 0 {
		return ""
	}
	return p.models[p.at]
}

// mayEscalate reports whether a larger model is left.
func (p *modelPlan) mayEscalate() bool { return p.at < len(p.models)-1 }

// escalate moves on to the largest model; the budget has been asked before.
func (p *modelPlan) escalate() {
	p.at = len(p.models) - 1
	p.paid = true
}

// cost is what a send is expected to take on an unloaded server.
type cost struct {
	work      float64 // work is in seconds of the server.
	firstByte time.Duration
}

func (p *modelPlan) cost(x *exchange) cost {
	if x.service.Slots == 0 || x.head.Prompt == 0 {
		return cost{work: plainWork, firstByte: plainFirst}
	}
	output := x.head.Output
	if x.head.Expected > 0 {
		output = min(output, x.head.Expected)
	}
	read := float64(x.head.Prompt) / prefillRate
	return cost{
		work:      read + float64(output)*tokenSeconds*batchShare,
		firstByte: streamFirst + time.Duration(read*float64(time.Second)),
	}
}
