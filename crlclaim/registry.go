package crlclaim

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Loop runs tasks on the goroutine that owns control state.
type Loop interface {
	Do(ctx context.Context, task func()) error
	Post(ctx context.Context, task func()) error
}

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	Loop         Loop
	Writer       *crljournal.Writer
	Incarnation  crlid.Incarnation // Incarnation is that of Writer.
	Lifetime     time.Duration     // Lifetime is how long a key stands.
	MaxStaleness time.Duration     // Staleness is the oldest view of the log that decides claims.
}

// writerHorizon is how long a repeated append is recognised.
const dedupHorizon = 48 * time.Hour

// clockAllowance bounds how far the log's clock may be from a daemon's.
const maxClockSkew = time.Minute

// Registry carries claims and outcomes to the log and follows their verdicts.
type Registry struct {
	config  RegistryConfig
	replica *crljournal.Replica
	fold    *Fold
	waiters map[waiterKey]*waiter
}

type waiterKey struct {
	writer   crlid.Incarnation
	sequence uint64
}

// waiter is a claim of this daemon whose verdict is awaited.
type waiter struct {
	claim   Claim
	ticket  crljournal.Ticket
	verdict chan Verdict // verdict is closed when the fold lost sight of the claim.
	failure error
}

// NewRegistry returns a registry without claims.
func NewRegistry(config RegistryConfig) *Registry {
	fold := NewFold()
	return &Registry{
		config: config, fold: fold, waiters: make(map[waiterKey]*waiter),
		replica: crljournal.NewReplica(crljournal.ReplicaConfig{Fold: fold, Horizon: dedupHorizon}),
	}
}

// Deliver folds a batch of the claims stream.
func (r *Registry) Deliver(ctx context.Context, batch crljournal.Batch) error {
	return r.config.Loop.Do(ctx, func() {
		r.replica.Fold(batch)
		if batch.Checkpoint != nil || batch.Gap {
			r.cancelWaiters()
		}
		for _, d := range r.fold.DrainVerdicts() {
			r.handleVerdict(d)
		}
	})
}

// Checkpoint restates the claims if the newest checkpoint is older than age.
func (r *Registry) Checkpoint(ctx context.Context, age time.Duration) (crljournal.Checkpoint, bool, error) {
	var checkpoint crljournal.Checkpoint
	var due bool
	var err error
	failed := r.config.Loop.Do(ctx, func() {
		if due = r.ready() && r.replica.CheckpointDue(time.Now(), age); due {
			checkpoint, err = r.replica.Checkpoint()
		}
	})
	if failed != nil {
		return crljournal.Checkpoint{}, false, failed
	}
	return checkpoint, due, err
}

// Claim appends a claim and returns the fold's verdict.
//
// With ErrUnavailable nothing was appended. With ErrUndecided the claim may
// stand on the log until this daemon releases it: it will not be used.
func (r *Registry) Claim(ctx context.Context, claim Claim) (Verdict, error) {
	claim.Lifetime = r.config.Lifetime
	w := &waiter{claim: claim, verdict: make(chan Verdict, 1)}
	if err := r.config.Loop.Do(ctx, func() { r.submit(ctx, w) }); err != nil {
		return Verdict{}, r.abandon(ctx, w)
	}
	if w.failure != nil {
		return Verdict{}, w.failure
	}
	select {
	case v, ok := <-w.verdict:
		if !ok {
			return Verdict{}, ErrUndecided
		}
		return v, nil
	case <-ctx.Done():
		return Verdict{}, r.abandon(ctx, w)
	}
}

// submit appends a claim if this daemon may decide it; it runs on the loop.
func (r *Registry) submit(ctx context.Context, w *waiter) {
	if ctx.Err() != nil || !r.ready() {
		w.failure = ErrUnavailable
		return
	}
	ticket, err := r.config.Writer.Submit(KindClaim, w.claim)
	if err != nil {
		w.failure = fmt.Errorf("%w: %w", ErrUnavailable, err)
		return
	}
	w.ticket = ticket
	r.waiters[waiterKey{writer: ticket.Writer, sequence: ticket.Sequence}] = w
}

// ready reports whether the fold is complete for a key's lifetime and current; it runs on the loop.
func (r *Registry) ready() bool {
	return r.complete() && time.Since(r.replica.CurrentAsOf()) <= r.config.MaxStaleness
}

func (r *Registry) complete() bool {
	return r.replica.CompleteSince(time.Now().Add(-r.config.Lifetime - maxClockSkew))
}

// abandonTimeout bounds the wait of a caller that gives up for the loop.
const abandonTimeout = time.Second

// abandon gives up a claim and returns ErrUnavailable if it surely never reaches the log, else ErrUndecided.
//
// Tasks of the loop run in the order in which they were posted, so this one
// finds the claim whether or not the caller saw its submission. Should the
// claim win later, decided releases it.
func (r *Registry) abandon(ctx context.Context, w *waiter) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	result := make(chan error, 1)
	err := r.config.Loop.Post(ctx, func() { result <- r.removeWaiter(w) })
	if err != nil {
		return ErrUndecided
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ErrUndecided
	}
}

// forget removes a waiter and what it submitted, as far as that is possible; it runs on the loop.
func (r *Registry) removeWaiter(w *waiter) error {
	if w.failure != nil || w.ticket.Sequence == 0 {
		return ErrUnavailable
	}
	key := waiterKey{writer: w.ticket.Writer, sequence: w.ticket.Sequence}
	if _, waits := r.waiters[key]; waits {
		delete(r.waiters, key)
		if r.config.Writer.Withdraw(w.ticket) {
			return ErrUnavailable
		}
		return ErrUndecided
	}
	if v, ok := <-w.verdict; ok {
		r.releaseUnused(v)
	}
	return ErrUndecided
}

// loseSight ends every wait after the fold skipped entries; it runs on the loop.
func (r *Registry) cancelWaiters() {
	for key, w := range r.waiters {
		delete(r.waiters, key)
		close(w.verdict)
		if s, ok := r.fold.State(w.claim.Key); ok && s.Claim.Request == w.claim.Request {
			r.releaseUnused(Verdict{Decision: DecisionWon, State: s})
		}
	}
}

// decided hands a verdict to its waiter; a claim of this daemon that nobody waits for is released.
func (r *Registry) handleVerdict(d EntryVerdict) {
	if d.Writer != r.config.Incarnation {
		return
	}
	key := waiterKey{writer: d.Writer, sequence: d.Sequence}
	w, ok := r.waiters[key]
	if !ok {
		r.releaseUnused(d.Verdict)
		return
	}
	delete(r.waiters, key)
	if !r.complete() {
		// A verdict on an incomplete fold is none: an older claim of the key may be missing.
		close(w.verdict)
		return
	}
	w.verdict <- d.Verdict
}

// releaseUnused releases a claim that was won and will not be used.
//
// A fold that is not complete releases nothing, since what it takes for a won claim may have lost.
func (r *Registry) releaseUnused(verdict Verdict) {
	if verdict.Decision != DecisionWon || !r.complete() {
		return
	}
	release := Release{Key: verdict.State.Claim.Key, Claim: verdict.State.Position}
	if _, err := r.config.Writer.Submit(KindRelease, release); err != nil {
		klog.Warningf("claim: release of an unused claim failed: %v", err)
	}
}

// Standing returns what the fold holds for a key.
func (r *Registry) State(ctx context.Context, key Key) (KeyState, bool, error) {
	var standing KeyState
	var ok bool
	// The task may still run after a failed Do, so what it writes is read only after it ran.
	if err := r.config.Loop.Do(ctx, func() { standing, ok = r.fold.State(key) }); err != nil {
		return KeyState{}, false, err
	}
	return standing, ok, nil
}

// Record appends the outcome of a claimed request and waits for the log's acknowledgement.
func (r *Registry) Record(ctx context.Context, outcome Outcome) error {
	return r.append(ctx, KindOutcome, outcome)
}

// Release appends that a claimed request did not run and waits for the log's acknowledgement.
func (r *Registry) Release(ctx context.Context, release Release) error {
	return r.append(ctx, KindRelease, release)
}

func (r *Registry) append(ctx context.Context, kind crljournal.Kind, body any) error {
	ticket, err := r.config.Writer.Submit(kind, body)
	if err != nil {
		return err
	}
	return ticket.Wait(ctx)
}
