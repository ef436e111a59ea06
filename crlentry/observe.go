package crlentry

import (
	"context"
	"net/http"
	"time"

	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlreport"
)

// Observer counts the outcomes of requests. It is called on the goroutine of each request.
type Observer interface {
	Observe(outcome crlreport.Outcome)
}

// observe reports the outcome of a call and the times between its frames to the Observer.
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
			// The caller disconnected or its deadline passed, which is not counted as a failure of the service.
			outcome.Verdict = crlreport.VerdictCallerFault
		}
		s.config.Observer.Observe(outcome)
		return refusal
	}
}

// timedSink forwards an answer to another Sink and measures the times between its frames.
type timedSink struct {
	Sink
	exchange        *exchange
	started         time.Time
	lastFrameAt     time.Time
	firstFrameAfter time.Duration
	gaps            crlreport.GapCounts
}

// Frame implements Sink.
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

// verdict attributes a refusal to the caller or to the service. A nil refusal stands for a complete answer.
func (r *Refusal) verdict() crlreport.Verdict {
	switch {
	case r == nil:
		return crlreport.VerdictGood
	case r.Code == CodeOutcomeUnknown, r.Status() >= http.StatusInternalServerError, r.Status() == http.StatusTooManyRequests:
		return crlreport.VerdictBad
	default:
		return crlreport.VerdictCallerFault
	}
}
