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

// Rater rates the quality of answers between 0 and 1.
type Rater interface {
	Rate(ctx context.Context, request crlplatform.RatingRequest) (crlid.Quality, error)
}

// attemptUsage is the token count of one completed attempt.
type attemptUsage struct {
	version crlid.Version
	usage   crlengine.Usage
}

// answerPlan runs the plan of the exchange: a single version, or a cascade of two.
//
// In a cascade the first answer is buffered until it is rated. It is delivered if its rating reaches the threshold, else
// the second version answers.
func (s *Service) answerPlan(ctx context.Context, x *exchange) *Refusal {
	if x.plan.Second == "" {
		return s.answerSingle(ctx, x)
	}
	first, rating, accepted := s.answerFirst(ctx, x)
	if accepted {
		return s.deliverBuffered(ctx, x, first)
	}
	if ctx.Err() != nil {
		return refuse(CodeBackendFailed,
			"the caller disconnected or its deadline passed before the answer was delivered").withRan(RanUnknown)
	}
	firstProgress := x.saveProgress()
	x.restartWith(x.plan.Second)
	refusal := s.answerSecond(ctx, x, rating)
	if refusal == nil || x.headDelivered || first == nil {
		return refusal
	}
	// The second version failed. The first answer, though rated below the threshold or not rated, is better than none.
	x.restoreProgress(firstProgress)
	return s.deliverBuffered(ctx, x, first)
}

// answerSingle answers with one version. If the plan asks for it, the answer is rated afterwards.
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

// answerFirst buffers the answer of the first version and reports whether its rating reaches the threshold of the plan.
// buffered is nil if the first version failed.
func (s *Service) answerFirst(ctx context.Context, x *exchange) (buffered *bufferedAnswer, rating crlid.Quality, accepted bool) {
	sink := x.sink
	buffered = &bufferedAnswer{}
	x.sink = buffered
	outcome, refusal := s.dispatchTimed(ctx, x)
	x.sink = sink
	if refusal != nil {
		return nil, 0, false
	}
	rating, ok := s.rate(ctx, x, &outcome, buffered.text.String()+x.final.Text)
	s.config.Planner.Learn(outcome)
	return buffered, rating, ok && rating >= x.plan.Threshold
}

// answerSecond answers with the second version of a cascade and delivers the frames as they arrive. firstRating is the
// rating of the first answer.
func (s *Service) answerSecond(ctx context.Context, x *exchange, firstRating crlid.Quality) *Refusal {
	record := &recordingSink{Sink: x.sink}
	if x.plan.Rate {
		x.sink = record
	}
	outcome, refusal := s.dispatchTimed(ctx, x)
	x.sink = record.Sink
	if refusal != nil {
		return refusal
	}
	outcome.EscalatedFrom, outcome.EscalatedFromRating = x.plan.First, firstRating
	s.reportOutcome(ctx, x, outcome, record)
	return nil
}

// dispatchTimed dispatches the exchange and returns the cost and the latency of the answer.
func (s *Service) dispatchTimed(ctx context.Context, x *exchange) (crlcascade.Outcome, *Refusal) {
	started := time.Now()
	if refusal := s.dispatch(ctx, x); refusal != nil {
		return crlcascade.Outcome{}, refusal
	}
	used := attemptUsage{version: x.version, usage: x.final.Usage}
	x.usages = append(x.usages, used)
	return crlcascade.Outcome{
		Class: x.class.ID, Version: x.version, Cost: x.cost(used), FirstToken: x.firstToken, Duration: time.Since(started),
	}, nil
}

// deliverBuffered delivers a buffered answer, except for its last frame, which the filter finish delivers.
func (s *Service) deliverBuffered(ctx context.Context, x *exchange, buffered *bufferedAnswer) *Refusal {
	if err := buffered.replay(x.sink); err != nil {
		return x.failureRefusal(ctx, &sinkError{err: err})
	}
	return nil
}

// rate asks for a rating of the answer and stores it in the outcome. It returns false if there is no Rater, the rating
// fails or none arrives within Limits.Rating. The Planner is notified of a failed rating unless the call itself ended.
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
		klog.V(1).Infof("entry: rating the answer of version %s to request %s: %v", outcome.Version, x.call.Request, err)
		if ctx.Err() == nil {
			s.config.Planner.Learn(crlcascade.Outcome{RatingFailed: true})
		}
		return 0, false
	}
	outcome.Rated, outcome.Rating = true, rating
	return rating, true
}

// reportOutcome reports a delivered answer to the Planner, after its rating if the plan asks for one. The rating runs on
// another goroutine, and the caller does not wait for it.
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

// progress is the part of an exchange that describes how far the answer of one version has got.
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

// restartWith resets the progress to an answer of the given version of which nothing was delivered.
func (x *exchange) restartWith(version crlid.Version) { x.restoreProgress(progress{version: version}) }

// bufferedAnswer is a Sink that keeps an answer until its rating decides whether it is delivered.
type bufferedAnswer struct {
	head   Head
	frames []crlengine.Frame
	text   strings.Builder
}

// Head implements Sink.
func (b *bufferedAnswer) Head(head Head) error {
	b.head = head
	return nil
}

// Frame implements Sink.
func (b *bufferedAnswer) Frame(frame crlengine.Frame) error {
	b.frames = append(b.frames, frame)
	b.text.WriteString(frame.Text)
	return nil
}

func (b *bufferedAnswer) replay(sink Sink) error {
	if err := sink.Head(b.head); err != nil {
		return err
	}
	for _, frame := range b.frames {
		if err := sink.Frame(frame); err != nil {
			return err
		}
	}
	return nil
}

// recordingSink forwards an answer to another Sink and keeps a copy of its text for the Rater.
type recordingSink struct {
	Sink
	text strings.Builder
}

// Frame implements Sink.
func (r *recordingSink) Frame(frame crlengine.Frame) error {
	r.text.WriteString(frame.Text)
	return r.Sink.Frame(frame)
}
