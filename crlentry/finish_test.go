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

// order records in which order bills and frames were handed out; it is a Biller and a Sink.
type eventRecorder struct {
	events []string
	lost   bool // lost makes every commit fail.
}

func (o *eventRecorder) Open(crlbill.Bill)   { o.events = append(o.events, "open") }
func (o *eventRecorder) Close(crlid.Request) { o.events = append(o.events, "close") }
func (o *eventRecorder) Head(Head) error     { return nil }

func (o *eventRecorder) Commit(_ context.Context, bill crlbill.Bill) error {
	o.events = append(o.events, fmt.Sprintf("commit prompt=%d answer=%d cost=%d interrupted=%t", bill.Prompt, bill.Answer, bill.Cost, bill.Interrupted))
	if o.lost {
		return context.DeadlineExceeded
	}
	return nil
}

func (o *eventRecorder) Frame(crlengine.Frame) error {
	o.events = append(o.events, "last frame")
	return nil
}

func TestChargeBillsBeforeTheLastFrameAndBillsInterruptedAnswers(t *testing.T) {
	final := crlengine.Frame{Last: true, Usage: crlengine.Usage{Prompt: 7, Completion: 5}}
	for name, c := range map[string]struct {
		service crlid.Service
		status  int
		noted   bool
		headed  bool
		lost    bool // lost makes the bill neither durable on the log nor at peers.
		refusal *Refusal
		want    []string
	}{
		"whole answer, bill lost":    {noted: true, headed: true, lost: true, want: []string{"open", "commit prompt=7 answer=5 cost=24 interrupted=false"}},
		"service, bill lost":         {service: "filing", status: 200, lost: true, want: []string{"commit prompt=0 answer=0 cost=3 interrupted=false", "last frame"}},
		"whole answer":               {noted: true, headed: true, want: []string{"open", "commit prompt=7 answer=5 cost=24 interrupted=false", "last frame"}},
		"refused before the head":    {refusal: refuse(CodeNoBackendServer, "none"), want: nil},
		"refused after a hidden try": {noted: true, refusal: &Refusal{Code: CodeBackendFailed, Ran: RanUnknown}, want: []string{"open", "close"}},
		"broken after the head":      {noted: true, headed: true, refusal: &Refusal{Code: CodeAnswerBroken}, want: []string{"open", "commit prompt=2 answer=0 cost=4 interrupted=true"}},
		"service that answered":      {service: "filing", status: 200, want: []string{"commit prompt=0 answer=0 cost=3 interrupted=false", "last frame"}},
		"service that refused":       {service: "filing", status: 409, want: []string{"last frame"}},
		"service that may have run":  {service: "filing", refusal: &Refusal{Code: CodeBackendFailed, Ran: RanUnknown}, want: nil},
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
			if c.noted {
				s.openBill(x)
				s.openBill(x)
			}
			x.final, x.headDelivered, x.answer.Status = final, c.headed, c.status
			return c.refusal
		}, s.finish, s.charge)
		refusal := handle(context.Background(), x)
		if held := c.lost && c.service == ""; refusal != c.refusal && !held || held && (refusal == nil || refusal.Code != CodeAnswerBroken) {
			t.Errorf("%s: refusal %v", name, refusal)
		}
		if fmt.Sprint(recorded.events) != fmt.Sprint(c.want) {
			t.Errorf("%s: %q, want %q", name, recorded.events, c.want)
		}
	}
}
