package crlentry

import (
	"context"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbalance"
	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlcascade"
	"github.com/cranberrylock/cranberrylock/crlclaim"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpermit"
	"github.com/cranberrylock/cranberrylock/crlqueue"
	"github.com/cranberrylock/cranberrylock/crlsession"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// Claimer decides which daemon runs a non-idempotent call.
type Claimer interface {
	Claim(ctx context.Context, claim crlclaim.Claim) (crlclaim.Verdict, error)
	Record(ctx context.Context, outcome crlclaim.Outcome) error
	Release(ctx context.Context, release crlclaim.Release) error
}

// Biller makes bills durable; requests that begin are opened, so that they are billed should the daemon die.
type Biller interface {
	Open(bill crlbill.Bill)
	Close(request crlid.Request)
	Commit(ctx context.Context, bill crlbill.Bill) error
}

// Permitter grants the right to send one attempt to a server.
type Permitter interface {
	Acquire(ctx context.Context, server crlconfig.Server) (crlpermit.Permit, bool)
	Answered(server crlid.Server, boot crlid.Boot)
	Done(report crlpermit.Report)
}

// Queue admits requests and refuses with a *crlqueue.Refusal.
type Queue interface {
	Enter(ctx context.Context, ticket crlqueue.Request) (leave func(), err error)
}

// Planner chooses the version or cascade that answers.
type Planner interface {
	Plan(request crlcascade.Request) (crlcascade.Plan, bool)
	Learn(outcome crlcascade.Outcome)
}

// Balancer chooses the backend server.
type Balancer interface {
	Pick(request crlbalance.Request) (crlid.Server, bool)
	Started(server crlid.Server)
	Reported(server crlid.Server, load int)
	Finished(result crlbalance.Result)
}

// Engines sends attempts and returns *crlengine.Error on failure.
type Engines interface {
	Open(ctx context.Context, attempt crlengine.Attempt) (*crlengine.Answer, error)
	Call(ctx context.Context, attempt crlengine.ServiceAttempt) (crlengine.ServiceAnswer, error)
}

// Limits bounds what a request may take.
type Limits struct {
	Freshness   time.Duration // Freshness is the oldest proof of the configuration that takes new work.
	Attempts    int           // Attempts bounds the sends of an idempotent request.
	Claim       time.Duration // Claim bounds the wait for the verdict on a claim.
	Dispatch    time.Duration // Dispatch is how long after its claim a call may be sent.
	Record      time.Duration // Record bounds the wait for the log with an outcome or a bill.
	Answer      time.Duration // Answer bounds a call of a plain service.
	Rating      time.Duration // Rating bounds the wait for one rating.
	PermitRetry time.Duration // PermitRetry is the pause before another try for a permit.
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Snapshots *crlsnapshot.Holder
	Sealer    *crlsession.Sealer
	Claims    Claimer
	Bills     Biller
	Permits   Permitter
	Queue     Queue
	Planner   Planner
	Balancer  Balancer
	Engines   Engines
	Rater     Rater    // Rater is nil when answers are not rated.
	Observer  Observer // Observer is nil when nothing is counted.
	Limits    Limits
}

// Service runs callers' requests through the filter chain.
type Service struct {
	config   ServiceConfig
	complete handler
	resume   handler
	call     handler
}

// NewService returns a service with the chains of filters built.
func NewService(config ServiceConfig) *Service {
	s := &Service{config: config}
	s.complete = chain(s.answerPlan, s.observe, s.ready, s.authenticate, s.classify, s.pin, s.queue, s.plan, s.finish, s.charge)
	s.resume = chain(s.dispatchResume, s.observe, s.ready, s.authenticate, s.openStream, s.finish, s.charge)
	s.call = chain(s.dispatchCall, s.observe, s.ready, s.authenticate, s.lookUp, s.queue, s.claim, s.charge)
	return s
}

// Complete answers a chat call into the sink and returns a refusal, or nil once the answer is whole.
func (s *Service) Complete(ctx context.Context, call Call, sink Sink) *Refusal {
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	x := s.newExchange(call, sink)
	if call.StreamToken != "" {
		return s.resume(ctx, x)
	}
	return s.complete(ctx, x)
}

// Call answers a call of a plain service.
func (s *Service) Call(ctx context.Context, call Call) (crlengine.ServiceAnswer, *Refusal) {
	x := s.newExchange(call, nil)
	if refusal := s.call(ctx, x); refusal != nil {
		return crlengine.ServiceAnswer{}, refusal
	}
	return x.answer, nil
}

// Models returns the versions that the caller's organisation may use and that take new work.
func (s *Service) Models(ctx context.Context, call Call) ([]crlconfig.Version, *Refusal) {
	x := s.newExchange(call, nil)
	var versions []crlconfig.Version
	list := chain(func(_ context.Context, x *exchange) *Refusal {
		versions = x.candidates()
		return nil
	}, s.ready, s.authenticate)
	return versions, list(ctx, x)
}

func (s *Service) newExchange(call Call, sink Sink) *exchange {
	return &exchange{call: call, snapshot: s.config.Snapshots.Load(), sink: sink}
}
