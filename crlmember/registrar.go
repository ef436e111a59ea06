package crlmember

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// MethodPromise asks a member to append no roster after a term for a lease.
const MethodPromise crlpeer.Method = "promise-roster"

// Promise asks for a promise, and its reply says whether it was given.
type Promise struct {
	Term    crlid.Term `json:"term"`
	Granted bool       `json:"given,omitempty"`
}

// Submitter queues entries for the log.
type Submitter interface {
	Submit(kind crljournal.Kind, body any) (crljournal.Ticket, error)
}

// RegistrarConfig configures a Registrar.
type RegistrarConfig struct {
	Loop     Loop
	Peers    Caller
	Table    *Table
	Writer   Submitter
	Proposer ProposerConfig
	Period   time.Duration // Period is the time between two decisions.
	// OnConfirm runs on the loop when the roster was the newest at a moment in this daemon's clock.
	OnConfirm func(roster Roster, at time.Time)
}

// Registrar folds the rosters of the log and appends their successors.
type Registrar struct {
	config        RegistrarConfig
	fold          *Fold
	proposer      *Proposer
	confirmedAt   time.Time // confirmed is when the last read began that found no later roster.
	hasGap        bool      // gap is true when retention removed records that the fold lacks.
	appendPending bool
}

// NewRegistrar returns a registrar before the first roster.
func NewRegistrar(config RegistrarConfig) *Registrar {
	return &Registrar{config: config, fold: NewFold(), proposer: NewProposer(config.Proposer)}
}

// Roster returns the newest roster; it is called on the loop.
func (r *Registrar) Roster() Roster { return r.fold.Roster() }

// LogOut reports whether no read of the roster stream succeeded for half a lease; it is called on the loop.
func (r *Registrar) LogUnreachable(now time.Time) bool {
	return now.Sub(r.confirmedAt) >= r.config.Proposer.Lease/2
}

// Restore takes over the roster of a checkpoint; it is called on the loop.
func (r *Registrar) Restore(roster Roster) {
	r.fold.Restore(roster)
	r.recordLogged()
	r.hasGap = false
}

// Deliver folds a batch of the roster stream.
func (r *Registrar) Deliver(ctx context.Context, batch crljournal.Batch) error {
	return r.config.Loop.Do(ctx, func() {
		r.hasGap = r.hasGap || batch.Gap
		for _, e := range batch.Entries {
			if r.fold.Apply(e) {
				r.recordLogged()
				klog.Infof("member: term %d has %d members", r.fold.Roster().Term, len(r.fold.Roster().Members))
			}
		}
		if batch.CaughtUp() && !r.hasGap {
			r.confirmedAt = batch.Asked
			r.config.OnConfirm(r.fold.Roster(), batch.Asked)
		}
	})
}

// claim tells the table which runs the log names.
func (r *Registrar) recordLogged() {
	roster := r.fold.Roster()
	for _, m := range slices.Concat(roster.Members, roster.Former) {
		r.config.Table.RecordLogged(m, time.Now())
	}
}

// Serve answers a request for a promise.
func (r *Registrar) Serve(ctx context.Context, request Promise) (Promise, error) {
	err := r.config.Loop.Do(ctx, func() { request.Granted = r.proposer.Promise(request.Term, r.view(), time.Now()) })
	return request, err
}

// Run appends rosters and keeps the lease through outages until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.config.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		out := false
		var roster Roster
		err := r.config.Loop.Do(ctx, func() {
			r.step(ctx)
			out = r.LogUnreachable(time.Now())
			roster = r.fold.Roster()
		})
		if err != nil {
			return err
		}
		if out && roster.Has(r.config.Proposer.Self) {
			r.extendLease(ctx, roster)
		}
	}
}

func (r *Registrar) view() View {
	return View{
		Roster: r.fold.Roster(), ConfirmedAt: r.confirmedAt, Present: r.config.Table.Members(),
		HasEnded: r.config.Table.HasEnded, AppendPending: r.appendPending,
	}
}

// step appends the record that the proposer decided on, if any; it runs on the loop.
func (r *Registrar) step(ctx context.Context) {
	if r.hasGap {
		return
	}
	record, ok := r.proposer.Step(r.view(), time.Now())
	if !ok {
		return
	}
	ticket, err := r.config.Writer.Submit(KindRecord, record)
	if err != nil {
		klog.Errorf("member: roster not appended: %v", err)
		return
	}
	r.appendPending = true
	go r.awaitAppend(ctx, ticket)
}

// await ends the pending state only once the log acknowledged the append: until then it may land late.
func (r *Registrar) awaitAppend(ctx context.Context, ticket crljournal.Ticket) {
	select {
	case <-ticket.Done():
		_ = r.config.Loop.Do(ctx, func() { r.appendPending = false })
	case <-ctx.Done():
	}
}

// extend confirms the roster without the log if every member, this one too, promises to append no other.
func (r *Registrar) extendLease(ctx context.Context, roster Roster) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Proposer.Lease/2)
	defer cancel()
	sent := time.Now()
	given := make([]bool, len(roster.Members))
	var calls sync.WaitGroup
	for i, m := range roster.Members {
		calls.Go(func() { given[i] = r.askPromise(ctx, m, roster.Term) })
	}
	calls.Wait()
	for _, g := range given {
		if !g {
			return
		}
	}
	_ = r.config.Loop.Do(ctx, func() {
		if r.fold.Roster().Term == roster.Term {
			r.config.OnConfirm(roster, sent)
		}
	})
}

func (r *Registrar) askPromise(ctx context.Context, member Member, term crlid.Term) bool {
	var reply Promise
	var err error
	if member.Same(r.config.Proposer.Self) {
		reply, err = r.Serve(ctx, Promise{Term: term})
	} else {
		err = r.config.Peers.Call(ctx, member.Address, MethodPromise, Promise{Term: term}, &reply)
	}
	return err == nil && reply.Granted
}
