package crlforward

import (
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpace"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// isPaced reports whether the time that the request takes is learned: it goes to a model engine and states its prompt's length.
func (x *exchange) isPaced() bool { return x.service.Slots > 0 && x.head.PromptTokens > 0 }

// paceKey returns what the estimates of a request to a model are kept under. A model that the caller named has estimates of its own
// if the configuration lists it, so that callers can't add any number of them.
func (s *Service) paceKey(x *exchange, model crlid.Model, plan *modelPlan) crlpace.Key {
	key := crlpace.Key{Service: x.service.Name, Model: model}
	if model == "" && slices.ContainsFunc(x.service.Models, func(m crlroute.ModelCost) bool { return m.Model == x.head.Model }) {
		key.Model = x.head.Model
	}
	s.config.Pace.AddModel(key, slices.Index(plan.models, model), len(plan.models))
	return key
}

// paceSample measures the events of one send's answer for the estimates. The zero value measures nothing.
type paceSample struct {
	estimator   *crlpace.Estimator // nil for an answer that isn't measured
	key         crlpace.Key
	server      crlid.Server
	work        crlpace.Work
	sentAt      time.Time
	firstEvent  time.Time
	beforeLast  time.Time // time of the event before the newest one
	lastEvent   time.Time
	eventTokens crlid.Tokens
	events      int // number of events so far, at most paceEvents
}

// newPaceSample returns the sample of a send. Nothing is measured of a stream that continues another one, as its server also has to process the answer so far.
func (s *Service) newPaceSample(x *exchange, pick *crlfleet.Pick, plan *modelPlan, sentAt time.Time) paceSample {
	if !x.isPaced() || x.head.Resumes || x.stream.lastEvent > 0 || x.exceedsMemory() {
		return paceSample{}
	}
	shared := sharedTokens(x.head.Parts)
	if x.head.Session != "" && x.lastVersion != "" {
		// The server of the session's last request may also have the session's own part.
		shared = 0
		for _, part := range x.head.Parts {
			shared += part.Tokens
		}
	}
	return paceSample{
		estimator: s.config.Pace, key: s.paceKey(x, plan.model(), plan), server: pick.Server,
		work: crlpace.Work{Prompt: x.head.PromptTokens, Shared: shared}, sentAt: sentAt, eventTokens: x.service.EventTokens,
	}
}

// exceedsMemory reports whether the stated prompt is longer than a server has memory for, so that its length must be wrong.
func (x *exchange) exceedsMemory() bool {
	return x.service.MemoryTokens > 0 && x.head.PromptTokens > x.service.MemoryTokens
}

// countEvent records that an event arrived.
func (p *paceSample) countEvent() {
	if p.estimator == nil || p.events == paceEvents {
		return
	}
	p.beforeLast, p.lastEvent = p.lastEvent, time.Now()
	if p.events++; p.events == 1 {
		p.firstEvent = p.lastEvent
		p.estimator.ObserveFirstEvent(p.key, p.server, p.work, crlpace.Load{}, p.firstEvent.Sub(p.sentAt))
	}
	if p.events == paceEvents {
		p.record(paceEvents-1, p.lastEvent)
	}
}

// end records the time per token of an answer with few events, without the last one: that may have fewer tokens, or none.
func (p *paceSample) end() {
	if p.estimator != nil && p.events > 2 && p.events < paceEvents {
		p.record(p.events-2, p.beforeLast)
	}
}

// record records the time per token of the given number of events after the first, up to a time.
func (p *paceSample) record(events int, last time.Time) {
	if p.eventTokens <= 0 {
		return
	}
	perToken := last.Sub(p.firstEvent) / time.Duration(events) / time.Duration(p.eventTokens)
	p.estimator.ObserveTokens(p.key, p.server, crlpace.Load{}, perToken)
}
