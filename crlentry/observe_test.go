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

// outcomes keeps what an Observer is told.
type recordingObserver struct{ seen []crlreport.Outcome }

func (o *recordingObserver) Observe(outcome crlreport.Outcome) { o.seen = append(o.seen, outcome) }

// discard is a Sink that takes everything.
type discardSink struct{}

func (discardSink) Head(Head) error             { return nil }
func (discardSink) Frame(crlengine.Frame) error { return nil }

func TestObserveTimesFramesAgainstTheGoalsOfTheClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told recordingObserver
		s := &Service{config: ServiceConfig{Observer: &told}}
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
		o := told.seen[0]
		if o.FirstToken != 300*time.Millisecond || o.Gaps.Total != 3 || o.Gaps.Late != 1 || o.Verdict != crlreport.VerdictGood {
			t.Errorf("observed first token %v, %d gaps, %d late, %v; want 300ms, 3, 1, good", o.FirstToken, o.Gaps.Total, o.Gaps.Late, o.Verdict)
		}
	})
}

func TestObserveAttributesRefusals(t *testing.T) {
	for _, tt := range []struct {
		name string
		left bool
		code Code
		want crlreport.Verdict
	}{
		{"service failed", false, CodeBackendFailed, crlreport.VerdictBad},
		{"shed", false, CodeOverloaded, crlreport.VerdictBad},
		{"outcome unknown", false, CodeOutcomeUnknown, crlreport.VerdictBad},
		{"not ready", false, CodeNotReady, crlreport.VerdictBad},
		{"wrong key", false, CodeUnauthenticated, crlreport.VerdictCallers},
		{"withdrawn", false, CodeVersionWithdrawn, crlreport.VerdictCallers},
		{"caller left", true, CodeAnswerBroken, crlreport.VerdictCallers},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var told recordingObserver
			s := &Service{config: ServiceConfig{Observer: &told}}
			run := s.observe(func(context.Context, *exchange) *Refusal { return refuse(tt.code, "") })
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if tt.left {
				leave()
			}
			if refusal := run(ctx, &exchange{}); refusal == nil {
				t.Error("the refusal was lost")
			}
			if got := told.seen[0]; got.Verdict != tt.want || got.Code != tt.code.String() {
				t.Errorf("observed %v as %s, want %v", got.Verdict, got.Code, tt.want)
			}
		})
	}
}
