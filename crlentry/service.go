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

// Claimer decides which daemon may send a non-idempotent call, so that at most one does.
type Claimer interface {
	Claim(ctx context.Context, claim crlclaim.Claim) (crlclaim.Verdict, error)
	Record(ctx context.Context, outcome crlclaim.Outcome) error
	Release(ctx context.Context, release crlclaim.Release) error
}

// Biller makes bills durable.
//
// Open sends peers the bill of a request whose answer is about to begin, so that they bill it as interrupted if this
// daemon crashes. Close withdraws it when the request costs nothing.
type Biller interface {
	Open(bill crlbill.Bill)
	Close(request crlid.Request)
	Commit(ctx context.Context, bill crlbill.Bill) error
}

// Permitter grants permits, each of which allows one attempt at a server.
//
// Acquire returns false if the server has no free capacity now. Done returns a permit and reports how its attempt
// ended; Answered reports the server's boot identifier as soon as its answer begins.
type Permitter interface {
	Acquire(ctx context.Context, server crlconfig.Server) (crlpermit.Permit, bool)
	Answered(server crlid.Server, boot crlid.Boot)
	Done(report crlpermit.Report)
}

// Queue admits requests. Enter returns a *crlqueue.Refusal for a request that is over the limit.
type Queue interface {
	Enter(ctx context.Context, request crlqueue.Request) (leave func(), err error)
}

// Planner chooses the model version, or the cascade of two versions, that answers a request.
//
// Plan returns false if no candidate is left. Learn updates the Planner's statistics on a version.
type Planner interface {
	Plan(request crlcascade.Request) (crlcascade.Plan, bool)
	Learn(outcome crlcascade.Outcome)
}

// Balancer chooses the backend server of each attempt.
//
// Pick returns false if no server is left to choose. The other methods report the start and the end of an attempt and
// the load that the server stated.
type Balancer interface {
	Pick(request crlbalance.Request) (crlid.Server, bool)
	Started(server crlid.Server)
	Reported(server crlid.Server, load int)
	Finished(result crlbalance.Result)
}

// Engines sends attempts to backend servers and returns a *crlengine.Error on failure.
type Engines interface {
	Open(ctx context.Context, attempt crlengine.Attempt) (*crlengine.Answer, error)
	Call(ctx context.Context, attempt crlengine.ServiceAttempt) (crlengine.ServiceAnswer, error)
}

// Limits bounds the attempts and waits of a request.
type Limits struct {
	Freshness   time.Duration // requests are refused once the configuration was last confirmed current longer ago than this
	Attempts    int           // largest number of attempts for one request, and of tries to resume one answer
	Claim       time.Duration // wait for the verdict on a claim
	Dispatch    time.Duration // time after the start of its claim within which a non-idempotent call may be sent
	Record      time.Duration // wait until an outcome or a bill is durable
	Answer      time.Duration // wait for the answer of a plain service
	Rating      time.Duration // wait for one rating
	PermitRetry time.Duration // pause between two tries to get a permit
}

// ServiceConfig configures a Service. Only Rater and Observer may be nil.
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
	Rater     Rater    // nil when answers are not rated
	Observer  Observer // nil when outcomes are not counted
	Limits    Limits
}

// Service runs callers' requests through chains of filters. It is safe for concurrent use.
type Service struct {
	config   ServiceConfig
	complete handler // chain for new chat calls
	resume   handler // chain for resumed answers
	call     handler // chain for calls of plain services
}

// NewService returns a Service and builds its chains of filters.
func NewService(config ServiceConfig) *Service {
	s := &Service{config: config}
	s.complete = chain(s.answerPlan, s.observe, s.ready, s.authenticate, s.classify, s.pin, s.queue, s.plan, s.finish, s.charge)
	s.resume = chain(s.dispatchResume, s.observe, s.ready, s.authenticate, s.openStream, s.finish, s.charge)
	s.call = chain(s.dispatchCall, s.observe, s.ready, s.authenticate, s.lookUp, s.queue, s.claim, s.charge)
	return s
}

// Complete writes the answer of a chat call to the sink. It returns nil when the answer is complete, else a refusal,
// which may follow a part of the answer. The call ends at its deadline.
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

// Call forwards a call to a plain service and returns its answer.
func (s *Service) Call(ctx context.Context, call Call) (crlengine.ServiceAnswer, *Refusal) {
	x := s.newExchange(call, nil)
	if refusal := s.call(ctx, x); refusal != nil {
		return crlengine.ServiceAnswer{}, refusal
	}
	return x.answer, nil
}

// Models returns the versions that the caller's organisation may use and that accept new sessions, ordered by identifier.
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
