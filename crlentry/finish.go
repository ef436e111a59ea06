package crlentry

import (
	"context"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// finish gives the sink the last frame once everything inside is done.
func (s *Service) finish(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		if refusal := next(ctx, x); refusal != nil {
			return refusal
		}
		if err := x.sink.Frame(x.final); err != nil {
			klog.V(1).Infof("entry: caller of %s left before the last frame: %v", x.call.Request, err)
		}
		return nil
	}
}

// charge makes the bill of an answered request durable; an error that a plain service answered costs nothing.
//
// A request that shows nothing is not billed. Peers get to know of a request
// with its head, so that they never bill one that was refused.
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

// note tells peers of a request that is about to show something, once.
func (s *Service) openBill(x *exchange) {
	if x.billOpened {
		return
	}
	x.billOpened = true
	s.config.Bills.Open(x.interruptedBill())
}

// unlessDurable holds back the last frame of a chat answer whose bill might be lost; the caller may resume it.
//
// The answer of a plain service is not held back: its caller could not get it another time.
func (*Service) requireDurableBill(x *exchange, err error) *Refusal {
	if err == nil || x.service.ID != "" {
		return nil
	}
	return &Refusal{
		Code: CodeAnswerBroken, Ran: RanUnknown, RetryAfter: notReadyRetryAfter,
		Message: "the end of the answer waits for its bill: resume the stream",
	}
}

func (s *Service) commit(ctx context.Context, bill crlbill.Bill) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.Limits.Record)
	defer cancel()
	err := s.config.Bills.Commit(ctx, bill)
	if err != nil {
		klog.Warningf("entry: bill of %s is neither on the log nor held by peers yet: %v", bill.Request, err)
	}
	return err
}

// bytesPerToken estimates the tokens of a prompt that no engine counted.
const bytesPerToken = 4

// interrupted returns the bill of a chat call whose answer is not whole: its prompt, by an estimate.
func (x *exchange) interruptedBill() crlbill.Bill {
	prompt := crlid.Tokens(len(x.call.Body) / bytesPerToken)
	return crlbill.Bill{
		Request: x.call.Request, Organisation: x.organisation.ID, Version: x.version, Interrupted: true,
		Prompt: prompt, Cost: x.snapshot.Configuration.Versions[x.version].CostPerToken * crlid.MicroCost(prompt),
	}
}

// price returns the bill of an answered request.
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

// cost returns the price of one attempt's tokens.
func (x *exchange) cost(used attemptUsage) crlid.MicroCost {
	perToken := x.snapshot.Configuration.Versions[used.version].CostPerToken
	return perToken * crlid.MicroCost(used.usage.Prompt+used.usage.Completion)
}
