package crlentry

import (
	"context"
	"fmt"
	"testing"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// eventRecorder is a Biller and a Sink that records the order of bills and frames.
type eventRecorder struct {
	events []string
	lost   bool // makes Commit fail
}

func (r *eventRecorder) Open(crlbill.Bill)   { r.events = append(r.events, "open") }
func (r *eventRecorder) Close(crlid.Request) { r.events = append(r.events, "close") }
func (r *eventRecorder) Head(Head) error     { return nil }

func (r *eventRecorder) Commit(_ context.Context, bill crlbill.Bill) error {
	r.events = append(r.events, fmt.Sprintf("commit prompt=%d answer=%d cost=%d interrupted=%t",
		bill.Prompt, bill.Answer, bill.Cost, bill.Interrupted))
	if r.lost {
		return context.DeadlineExceeded
	}
	return nil
}

func (r *eventRecorder) Frame(crlengine.Frame) error {
	r.events = append(r.events, "last frame")
	return nil
}

func TestChargeBillsBeforeTheLastFrameAndBillsInterruptedAnswers(t *testing.T) {
	final := crlengine.Frame{Last: true, Usage: crlengine.Usage{Prompt: 7, Completion: 5}}
	for name, c := range map[string]struct {
		service       crlid.Service
		status        int
		opened        bool // the head was about to be delivered
		headDelivered bool
		lost          bool // the bill can't be made durable
		refusal       *Refusal
		want          []string
	}{
		"complete answer, bill not durable": {
			opened: true, headDelivered: true, lost: true,
			want: []string{"open", "commit prompt=7 answer=5 cost=24 interrupted=false"},
		},
		"service, bill not durable": {
			service: "filing", status: 200, lost: true,
			want: []string{"commit prompt=0 answer=0 cost=3 interrupted=false", "last frame"},
		},
		"complete answer": {
			opened: true, headDelivered: true,
			want: []string{"open", "commit prompt=7 answer=5 cost=24 interrupted=false", "last frame"},
		},
		"refused before the head": {refusal: refuse(CodeNoBackendServer, "none"), want: nil},
		"refused after a failed attempt": {
			opened: true, refusal: &Refusal{Code: CodeBackendFailed, Ran: RanUnknown},
			want: []string{"open", "close"},
		},
		"broken after the head": {
			opened: true, headDelivered: true, refusal: &Refusal{Code: CodeAnswerBroken},
			want: []string{"open", "commit prompt=2 answer=0 cost=4 interrupted=true"},
		},
		"service that answered": {
			service: "filing", status: 200,
			want: []string{"commit prompt=0 answer=0 cost=3 interrupted=false", "last frame"},
		},
		"service that refused":      {service: "filing", status: 409, want: []string{"last frame"}},
		"service that may have run": {service: "filing", refusal: &Refusal{Code: CodeBackendFailed, Ran: RanUnknown}, want: nil},
	} {
		recorded := &eventRecorder{lost: c.lost}
		s := &Service{config: ServiceConfig{Bills: recorded}}
		x := &exchange{
			call: Call{Body: []byte("8 bytes.")}, sink: recorded, version: "v", service: crlconfig.Service{ID: c.service, Cost: 3},
			snapshot: &crlsnapshot.Snapshot{Configuration: &crlconfig.Configuration{
				Versions: map[crlid.Version]crlconfig.Version{"v": {CostPerToken: 2}},
			}},
		}
		handle := chain(func(_ context.Context, x *exchange) *Refusal {
			if c.opened {
				s.openBill(x)
				s.openBill(x)
			}
			x.final, x.headDelivered, x.answer.Status = final, c.headDelivered, c.status
			return c.refusal
		}, s.finish, s.charge)
		refusal := handle(context.Background(), x)
		withheld := c.lost && c.service == "" // the last frame is withheld, as the bill is not durable
		if refusal != c.refusal && !withheld || withheld && (refusal == nil || refusal.Code != CodeAnswerBroken) {
			t.Errorf("%s: refusal %v", name, refusal)
		}
		if fmt.Sprint(recorded.events) != fmt.Sprint(c.want) {
			t.Errorf("%s: %q, want %q", name, recorded.events, c.want)
		}
	}
}
