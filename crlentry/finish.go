package crlentry

import (
	"context"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// finish delivers the last frame of an answer after all inner filters have succeeded, so that the bill is durable before
// the caller has the complete answer.
func (s *Service) finish(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		if refusal := next(ctx, x); refusal != nil {
			return refusal
		}
		if err := x.sink.Frame(x.final); err != nil {
			klog.V(1).Infof("entry: delivering the last frame of request %s: %v", x.call.Request, err)
		}
		return nil
	}
}

// charge makes the bill of a request durable after it ended.
//
// A chat answer that broke after its head is billed as interrupted. A request of which nothing was delivered isn't
// billed, nor is a call that a plain service answered with an error status. Peers are notified of a request only when its
// head is delivered, so that they never bill one that was refused.
func (s *Service) charge(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		refusal := next(ctx, x)
		switch {
		case refusal == nil && x.answer.Status < http.StatusBadRequest:
			return s.requireDurableBill(x, s.commit(ctx, x.finalBill()))
		case refusal != nil && x.headDelivered:
			_ = s.commit(ctx, x.interruptedBill())
		case x.billOpened:
			s.config.Bills.Close(x.call.Request)
		}
		return refusal
	}
}

// openBill notifies peers of a request just before its head is delivered, so that they bill it as interrupted if this
// daemon crashes. Further calls do nothing.
func (s *Service) openBill(x *exchange) {
	if x.billOpened {
		return
	}
	x.billOpened = true
	s.config.Bills.Open(x.interruptedBill())
}

// requireDurableBill returns a refusal if the bill of a chat answer could not be made durable. The last frame is then
// withheld, and the caller can resume the answer.
//
// The answer of a plain service is not withheld, because its caller could not get it again.
func (*Service) requireDurableBill(x *exchange, err error) *Refusal {
	if err == nil || x.service.ID != "" {
		return nil
	}
	return &Refusal{
		Code: CodeAnswerBroken, Ran: RanUnknown, RetryAfter: notReadyRetryAfter,
		Message: "the bill of the answer is not durable yet, so its last frame is withheld: resume the stream",
	}
}

// commit makes a bill durable within Limits.Record, even if the caller has disconnected. After an error the Biller keeps trying.
func (s *Service) commit(ctx context.Context, bill crlbill.Bill) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.Limits.Record)
	defer cancel()
	err := s.config.Bills.Commit(ctx, bill)
	if err != nil {
		klog.Warningf("entry: bill of request %s is not yet durable on the log or held by peers: %v", bill.Request, err)
	}
	return err
}

// bytesPerToken is a rough average by which the tokens of a prompt are estimated when no engine has counted them.
const bytesPerToken = 4

// interruptedBill returns the bill of a chat call whose answer is incomplete: it charges the estimated tokens of the prompt.
func (x *exchange) interruptedBill() crlbill.Bill {
	prompt := crlid.Tokens(len(x.call.Body) / bytesPerToken)
	return crlbill.Bill{
		Request: x.call.Request, Organisation: x.organisation.ID, Version: x.version, Interrupted: true,
		Prompt: prompt, Cost: x.snapshot.Configuration.Versions[x.version].CostPerToken * crlid.MicroCost(prompt),
	}
}

// finalBill returns the bill of an answered request. The cost of a cascade includes both answers, also the one that was
// not delivered.
func (x *exchange) finalBill() crlbill.Bill {
	bill := crlbill.Bill{Request: x.call.Request, Organisation: x.organisation.ID}
	if x.service.ID != "" {
		bill.Service, bill.Cost = x.service.ID, x.service.Cost
		return bill
	}
	usage := x.final.Usage
	bill.Version = x.version
	bill.Prompt, bill.Answer = crlid.Tokens(usage.Prompt), crlid.Tokens(usage.Completion)
	for _, used := range x.usages {
		bill.Cost += x.cost(used)
	}
	if len(x.usages) == 0 {
		bill.Cost = x.cost(attemptUsage{version: x.version, usage: usage})
	}
	return bill
}

// cost returns the price of the prompt and answer tokens of one attempt.
func (x *exchange) cost(used attemptUsage) crlid.MicroCost {
	perToken := x.snapshot.Configuration.Versions[used.version].CostPerToken
	return perToken * crlid.MicroCost(used.usage.Prompt+used.usage.Completion)
}
