package crlmember

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// MethodPromise asks a member to promise that, for a guarded lease, it appends no roster that follows a term.
const MethodPromise crlpeer.Method = "promise-roster"

// Promise is both the request to append no roster that follows a term and its reply.
type Promise struct {
	Term    crlid.Term `json:"term"`
	Granted bool       `json:"given,omitempty"` // set in the reply if the member promised to append no such roster
}

// Submitter queues entries to be appended to the log.
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
	Period   time.Duration // time between two steps of the proposer
	// OnConfirm is called on the loop once the roster is known to have been the newest at the given time of this daemon's clock.
	OnConfirm func(roster Roster, at time.Time)
}

// Registrar follows the rosters in the log and appends new ones. Its fields belong to the loop.
type Registrar struct {
	config        RegistrarConfig
	fold          *Fold
	proposer      *Proposer
	confirmedAt   time.Time // when the last read began that reached the end of the stream
	hasGap        bool      // whether retention deleted records before the fold had applied them
	appendPending bool      // whether the log has yet to acknowledge an append of this daemon
}

// NewRegistrar returns a Registrar without a roster; it appends none before Run is called.
func NewRegistrar(config RegistrarConfig) *Registrar {
	return &Registrar{config: config, fold: NewFold(), proposer: NewProposer(config.Proposer)}
}

// Roster returns the newest roster. It must be called on the loop.
func (r *Registrar) Roster() Roster { return r.fold.Roster() }

// LogUnreachable reports whether no read of the roster stream reached its end within the last half lease. It must be called on
// the loop.
func (r *Registrar) LogUnreachable(now time.Time) bool {
	return now.Sub(r.confirmedAt) >= r.config.Proposer.Lease/2
}

// Restore applies the roster of a checkpoint, which makes up for records that retention deleted. It must be called on the loop.
func (r *Registrar) Restore(roster Roster) {
	r.fold.Restore(roster)
	r.recordLogged()
	r.hasGap = false
}

// Deliver applies a batch of the roster stream. It confirms the roster if the batch reaches the end of the stream, unless records
// are missing because retention deleted them.
func (r *Registrar) Deliver(ctx context.Context, batch crljournal.Batch) error {
	return r.config.Loop.Do(ctx, func() {
		r.hasGap = r.hasGap || batch.Gap
		for _, e := range batch.Entries {
			if r.fold.Apply(e) {
				r.recordLogged()
				klog.Infof("member: roster of term %d in force, with %d members", r.fold.Roster().Term, len(r.fold.Roster().Members))
			}
		}
		if batch.CaughtUp() && !r.hasGap {
			r.confirmedAt = batch.ReadStart
			r.config.OnConfirm(r.fold.Roster(), batch.ReadStart)
		}
	})
}

// recordLogged passes the runs that the roster names to the table, which then can record their end.
func (r *Registrar) recordLogged() {
	roster := r.fold.Roster()
	for _, m := range slices.Concat(roster.Members, roster.Former) {
		r.config.Table.RecordLogged(m, time.Now())
	}
}

// Serve handles a peer's request for a promise.
func (r *Registrar) Serve(ctx context.Context, request Promise) (Promise, error) {
	err := r.config.Loop.Do(ctx, func() { request.Granted = r.proposer.Promise(request.Term, r.view(), time.Now()) })
	return request, err
}

// Run appends rosters, and during outages of the log extends the lease of the current one, until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	ticker := crlclock.NewTicker(r.config.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		unreachable := false
		var roster Roster
		err := r.config.Loop.Do(ctx, func() {
			r.step(ctx)
			unreachable = r.LogUnreachable(time.Now())
			roster = r.fold.Roster()
		})
		if err != nil {
			return err
		}
		if unreachable && roster.Has(r.config.Proposer.Self) {
			r.extendLease(ctx, roster)
		}
	}
}

// view returns the state from which the proposer decides.
func (r *Registrar) view() View {
	return View{
		Roster: r.fold.Roster(), ConfirmedAt: r.confirmedAt, Present: r.config.Table.Members(),
		HasEnded: r.config.Table.HasEnded, AppendPending: r.appendPending,
	}
}

// step submits the record that the proposer decided on, if any. It runs on the loop.
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
		klog.Errorf("member: submitting a new roster to the log failed: %v", err)
		return
	}
	r.appendPending = true
	go r.awaitAppend(ctx, ticket)
}

// awaitAppend clears appendPending once the log has acknowledged the append; until then the record may still reach the log.
func (r *Registrar) awaitAppend(ctx context.Context, ticket crljournal.Ticket) {
	select {
	case <-ticket.Done():
		_ = r.config.Loop.Do(ctx, func() { r.appendPending = false })
	case <-ctx.Done():
	}
}

// extendLease confirms the roster without the log, provided that every member, this one included, promises to append no other.
func (r *Registrar) extendLease(ctx context.Context, roster Roster) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Proposer.Lease/2)
	defer cancel()
	sentAt := time.Now()
	granted := make([]bool, len(roster.Members))
	var calls sync.WaitGroup
	for i, m := range roster.Members {
		calls.Go(func() { granted[i] = r.askPromise(ctx, m, roster.Term) })
	}
	calls.Wait()
	for _, ok := range granted {
		if !ok {
			return
		}
	}
	_ = r.config.Loop.Do(ctx, func() {
		if r.fold.Roster().Term == roster.Term {
			r.config.OnConfirm(roster, sentAt)
		}
	})
}

// askPromise reports whether the member promised to append no roster that follows the term.
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
