package crlentry

import (
	"context"
	"net/http"
	"time"

	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlreport"
)

// Observer counts what became of requests.
type Observer interface {
	Observe(outcome crlreport.Outcome)
}

// observe tells the observer what became of a call; frames are timed on the call's own goroutine.
func (s *Service) observe(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		if s.config.Observer == nil {
			return next(ctx, x)
		}
		timed := &timedSink{Sink: x.sink, exchange: x, started: time.Now()}
		if x.sink != nil {
			x.sink = timed
		}
		refusal := next(ctx, x)
		outcome := timed.outcome(refusal)
		if refusal != nil && ctx.Err() != nil {
			// A caller who left is not the service's failure.
			outcome.Verdict = crlreport.VerdictCallers
		}
		s.config.Observer.Observe(outcome)
		return refusal
	}
}

// timedSink times the frames on their way to a sink.
type timedSink struct {
	Sink
	exchange        *exchange
	started         time.Time
	lastFrameAt     time.Time
	firstFrameAfter time.Duration
	gaps            crlreport.GapCounts
}

// Frame passes one frame on.
func (t *timedSink) Frame(frame crlengine.Frame) error {
	now := time.Now()
	if t.lastFrameAt.IsZero() {
		t.firstFrameAfter = now.Sub(t.started)
	} else {
		t.gaps.Add(now.Sub(t.lastFrameAt), t.exchange.class.BetweenTokens)
	}
	t.lastFrameAt = now
	return t.Sink.Frame(frame)
}

func (t *timedSink) outcome(refusal *Refusal) crlreport.Outcome {
	x := t.exchange
	outcome := crlreport.Outcome{
		Time: time.Now(), Organisation: x.organisation.ID, Class: x.class, Service: x.service.ID,
		Verdict: refusal.verdict(), Code: "ok", Ran: RanDone.String(), Gaps: t.gaps,
	}
	if x.call.StreamToken == "" {
		outcome.FirstToken = t.firstFrameAfter
	}
	if outcome.Class.ID == "" {
		outcome.Class.ID = x.stream.Class
	}
	if refusal != nil {
		outcome.Code, outcome.Ran = refusal.Code.String(), refusal.Ran.String()
	}
	return outcome
}

// verdict says whether the caller or the service is at fault; a nil refusal is an answer.
func (r *Refusal) verdict() crlreport.Verdict {
	switch {
	case r == nil:
		return crlreport.VerdictGood
	case r.Code == CodeOutcomeUnknown, r.Status() >= http.StatusInternalServerError, r.Status() == http.StatusTooManyRequests:
		return crlreport.VerdictBad
	default:
		return crlreport.VerdictCallers
	}
}
