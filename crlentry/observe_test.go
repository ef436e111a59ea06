package crlentry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlreport"
)

// recordingObserver is an Observer that keeps the outcomes.
type recordingObserver struct{ seen []crlreport.Outcome }

func (o *recordingObserver) Observe(outcome crlreport.Outcome) { o.seen = append(o.seen, outcome) }

// discardSink is a Sink that accepts and discards every frame.
type discardSink struct{}

func (discardSink) Head(Head) error             { return nil }
func (discardSink) Frame(crlengine.Frame) error { return nil }

func TestObserveTimesFramesAgainstTheGoalsOfTheClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var observer recordingObserver
		s := &Service{config: ServiceConfig{Observer: &observer}}
		x := &exchange{sink: discardSink{}}
		run := s.observe(func(_ context.Context, x *exchange) *Refusal {
			x.class = crlconfig.Class{ID: "draft", BetweenTokens: 60 * time.Millisecond}
			for _, pause := range []time.Duration{300, 20, 80, 60} {
				time.Sleep(pause * time.Millisecond)
				if err := x.sink.Frame(crlengine.Frame{}); err != nil {
					t.Error(err)
				}
			}
			return nil
		})
		if refusal := run(t.Context(), x); refusal != nil {
			t.Fatal(refusal)
		}
		o := observer.seen[0]
		if o.FirstToken != 300*time.Millisecond || o.Gaps.Total != 3 || o.Gaps.Late != 1 || o.Verdict != crlreport.VerdictGood {
			t.Errorf("observed first token %v, %d gaps, %d late, %v; want 300ms, 3, 1, good", o.FirstToken, o.Gaps.Total, o.Gaps.Late, o.Verdict)
		}
	})
}

func TestObserveAttributesRefusals(t *testing.T) {
	for _, tt := range []struct {
		name string
		gone bool // the caller disconnected before the call
		code Code
		want crlreport.Verdict
	}{
		{"service failed", false, CodeBackendFailed, crlreport.VerdictBad},
		{"overloaded", false, CodeOverloaded, crlreport.VerdictBad},
		{"outcome unknown", false, CodeOutcomeUnknown, crlreport.VerdictBad},
		{"not ready", false, CodeNotReady, crlreport.VerdictBad},
		{"wrong key", false, CodeUnauthenticated, crlreport.VerdictCallerFault},
		{"withdrawn", false, CodeVersionWithdrawn, crlreport.VerdictCallerFault},
		{"caller disconnected", true, CodeAnswerBroken, crlreport.VerdictCallerFault},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var observer recordingObserver
			s := &Service{config: ServiceConfig{Observer: &observer}}
			run := s.observe(func(context.Context, *exchange) *Refusal { return refuse(tt.code, "") })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.gone {
				cancel()
			}
			if refusal := run(ctx, &exchange{}); refusal == nil {
				t.Error("got no refusal")
			}
			if got := observer.seen[0]; got.Verdict != tt.want || got.Code != tt.code.String() {
				t.Errorf("observed %v as %s, want %v", got.Verdict, got.Code, tt.want)
			}
		})
	}
}
