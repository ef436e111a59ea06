package crlentry

import (
	"context"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlcascade"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Rater rates answers between 0 and 1.
type Rater interface {
	Rate(ctx context.Context, request crlplatform.RatingRequest) (crlid.Quality, error)
}

// spending is what one finished attempt used.
type attemptUsage struct {
	version crlid.Version
	usage   crlengine.Usage
}

// answerPlan runs the exchange's plan: one version, or a cascade that shows nothing until the first answer stands.
func (s *Service) answerPlan(ctx context.Context, x *exchange) *Refusal {
	if x.plan.Second == "" {
		return s.answerSingle(ctx, x)
	}
	first, rating, stands := s.answerFirst(ctx, x)
	if stands {
		return s.deliverBuffered(ctx, x, first)
	}
	if ctx.Err() != nil {
		return refuse(CodeBackendFailed, "the caller left before the answer").withRan(RanUnknown)
	}
	held := x.saveProgress()
	x.restartWith(x.plan.Second)
	refusal := s.answerSecond(ctx, x, rating)
	if refusal == nil || x.headDelivered || first == nil {
		return refusal
	}
	// A poor answer is better than none.
	x.restoreProgress(held)
	return s.deliverBuffered(ctx, x, first)
}

// answerSingle answers by one version and has the answer rated afterwards if the plan asks for it.
func (s *Service) answerSingle(ctx context.Context, x *exchange) *Refusal {
	record := &recordingSink{Sink: x.sink}
	if x.plan.Rate {
		x.sink = record
	}
	outcome, refusal := s.dispatchTimed(ctx, x)
	x.sink = record.Sink
	if refusal != nil {
		return refusal
	}
	s.reportOutcome(ctx, x, outcome, record)
	return nil
}

// answerFirst holds back the first version's answer and reports whether its rating lets it stand.
func (s *Service) answerFirst(ctx context.Context, x *exchange) (held *bufferedAnswer, rating crlid.Quality, stands bool) {
	sink := x.sink
	held = &bufferedAnswer{}
	x.sink = held
	outcome, refusal := s.dispatchTimed(ctx, x)
	x.sink = sink
	if refusal != nil {
		return nil, 0, false
	}
	rating, ok := s.rate(ctx, x, &outcome, held.text.String()+x.final.Text)
	s.config.Planner.Learn(outcome)
	return held, rating, ok && rating >= x.plan.Threshold
}

// answerSecond escalates; its answer goes to the caller as it comes.
func (s *Service) answerSecond(ctx context.Context, x *exchange, rating crlid.Quality) *Refusal {
	record := &recordingSink{Sink: x.sink}
	if x.plan.Rate {
		x.sink = record
	}
	outcome, refusal := s.dispatchTimed(ctx, x)
	x.sink = record.Sink
	if refusal != nil {
		return refusal
	}
	outcome.EscalatedFrom, outcome.EscalatedFromRating = x.plan.First, rating
	s.reportOutcome(ctx, x, outcome, record)
	return nil
}

// timed dispatches the exchange and returns what the answer cost and how long it took.
func (s *Service) dispatchTimed(ctx context.Context, x *exchange) (crlcascade.Outcome, *Refusal) {
	began := time.Now()
	if refusal := s.dispatch(ctx, x); refusal != nil {
		return crlcascade.Outcome{}, refusal
	}
	used := attemptUsage{version: x.version, usage: x.final.Usage}
	x.usages = append(x.usages, used)
	return crlcascade.Outcome{
		Class: x.class.ID, Version: x.version, Cost: x.cost(used), FirstToken: x.firstToken, Duration: time.Since(began),
	}, nil
}

// showHeld gives the caller an answer that was held back.
func (s *Service) deliverBuffered(ctx context.Context, x *exchange, held *bufferedAnswer) *Refusal {
	if err := held.replay(x.sink); err != nil {
		return x.failureRefusal(ctx, &sinkError{err: err})
	}
	return nil
}

// rate asks for a rating and writes it into the outcome; ok is false when there is none in time.
func (s *Service) rate(ctx context.Context, x *exchange, outcome *crlcascade.Outcome, answer string) (rating crlid.Quality, ok bool) {
	if s.config.Rater == nil {
		return 0, false
	}
	rateCtx, cancel := context.WithTimeout(ctx, s.config.Limits.Rating)
	defer cancel()
	rating, err := s.config.Rater.Rate(rateCtx, crlplatform.RatingRequest{
		Request: x.call.Request, Version: outcome.Version, Prompt: string(x.call.Body), Answer: answer,
	})
	if err != nil {
		klog.V(1).Infof("entry: answer of %s is not rated: %v", x.call.Request, err)
		if ctx.Err() == nil {
			s.config.Planner.Learn(crlcascade.Outcome{RatingFailed: true})
		}
		return 0, false
	}
	outcome.Rated, outcome.Rating = true, rating
	return rating, true
}

// rateLater learns from a shown answer, after its rating if the plan asks for one; the caller does not wait for it.
func (s *Service) reportOutcome(ctx context.Context, x *exchange, outcome crlcascade.Outcome, record *recordingSink) {
	if !x.plan.Rate || s.config.Rater == nil {
		s.config.Planner.Learn(outcome)
		return
	}
	ctx, answer := context.WithoutCancel(ctx), record.text.String()+x.final.Text
	go func() {
		s.rate(ctx, x, &outcome, answer)
		s.config.Planner.Learn(outcome)
	}()
}

// progress is what an exchange knows of the answer that it would show.
type progress struct {
	version       crlid.Version
	lastDelivered crlid.Frame
	headDelivered bool
	final         crlengine.Frame
}

func (x *exchange) saveProgress() progress {
	return progress{version: x.version, lastDelivered: x.lastDelivered, headDelivered: x.headDelivered, final: x.final}
}

func (x *exchange) restoreProgress(p progress) {
	x.version, x.lastDelivered, x.headDelivered, x.final = p.version, p.lastDelivered, p.headDelivered, p.final
}

// restart begins an answer of another version, of which nothing was shown.
func (x *exchange) restartWith(version crlid.Version) { x.restoreProgress(progress{version: version}) }

// heldAnswer keeps an answer until it is known to stand.
type bufferedAnswer struct {
	head   Head
	frames []crlengine.Frame
	text   strings.Builder
}

// Head keeps the head.
func (h *bufferedAnswer) Head(head Head) error {
	h.head = head
	return nil
}

// Frame keeps a frame.
func (h *bufferedAnswer) Frame(frame crlengine.Frame) error {
	h.frames = append(h.frames, frame)
	h.text.WriteString(frame.Text)
	return nil
}

func (h *bufferedAnswer) replay(sink Sink) error {
	if err := sink.Head(h.head); err != nil {
		return err
	}
	for _, frame := range h.frames {
		if err := sink.Frame(frame); err != nil {
			return err
		}
	}
	return nil
}

// recordingSink passes an answer on and keeps its text.
type recordingSink struct {
	Sink
	text strings.Builder
}

// Frame passes a frame on and keeps its text.
func (r *recordingSink) Frame(frame crlengine.Frame) error {
	r.text.WriteString(frame.Text)
	return r.Sink.Frame(frame)
}
