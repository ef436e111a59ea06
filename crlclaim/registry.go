package crlclaim

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Loop runs tasks one after the other, in the order in which they were queued, on the goroutine that owns the state of the
// Registry. Do waits until the task has run; if Do fails, the task never runs. Post does not wait for the task.
type Loop interface {
	Do(ctx context.Context, task func()) error
	Post(ctx context.Context, task func()) error
}

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	Loop         Loop
	Writer       *crljournal.Writer
	Incarnation  crlid.Incarnation // incarnation under which Writer appends entries
	Lifetime     time.Duration     // time after the newest claim of a key for which the key stays claimed
	MaxStaleness time.Duration     // maximum age of the local copy of the claims at which claims are accepted
}

// dedupHorizon is the time after a writer's newest entry for which a repeated append of its entries is recognised.
const dedupHorizon = 48 * time.Hour

// maxClockSkew is the greatest difference between the log's clock and a daemon's that is allowed for.
const maxClockSkew = time.Minute

// Registry appends claims, outcomes and releases to the log, and waits for the verdicts on claims.
type Registry struct {
	config  RegistryConfig
	replica *crljournal.Replica // feeds fold with the entries of Stream
	fold    *Fold
	waiters map[waiterKey]*waiter // submitted claims that wait for their verdicts
}

// waiterKey identifies the log entry of a claim.
type waiterKey struct {
	writer   crlid.Incarnation
	sequence uint64
}

// waiter is a claim of this daemon that waits for its verdict.
type waiter struct {
	claim   Claim
	ticket  crljournal.Ticket
	verdict chan Verdict // closed without a value if the fold may have missed the claim
	failure error        // why the claim was not submitted
}

// NewRegistry returns a registry without claims.
func NewRegistry(config RegistryConfig) *Registry {
	fold := NewFold()
	return &Registry{
		config: config, fold: fold, waiters: make(map[waiterKey]*waiter),
		replica: crljournal.NewReplica(crljournal.ReplicaConfig{Fold: fold, Horizon: dedupHorizon}),
	}
}

// Deliver applies a batch of Stream and hands the verdicts to the callers that wait for them.
func (r *Registry) Deliver(ctx context.Context, batch crljournal.Batch) error {
	return r.config.Loop.Do(ctx, func() {
		r.replica.Fold(batch)
		if batch.Checkpoint != nil || batch.Gap {
			r.cancelWaiters()
		}
		for _, v := range r.fold.DrainVerdicts() {
			r.handleVerdict(v)
		}
	})
}

// Checkpoint returns a checkpoint of the claims and true if the newest one in the stream is older than age.
func (r *Registry) Checkpoint(ctx context.Context, age time.Duration) (crljournal.Checkpoint, bool, error) {
	var checkpoint crljournal.Checkpoint
	var due bool
	var err error
	loopErr := r.config.Loop.Do(ctx, func() {
		if due = r.ready() && r.replica.CheckpointDue(time.Now(), age); due {
			checkpoint, err = r.replica.Checkpoint()
		}
	})
	if loopErr != nil {
		return crljournal.Checkpoint{}, false, loopErr
	}
	return checkpoint, due, err
}

// Claim appends a claim and waits for the verdict on it. It sets the lifetime of the claim.
//
// On ErrUnavailable nothing was appended. On ErrUndecided the claim may hold its key until this daemon releases it; this daemon
// does not send the request under it.
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

// submit appends a claim if this daemon can decide claims now. It must run on the loop.
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

// ready reports whether the fold is complete and current. It must run on the loop.
func (r *Registry) ready() bool {
	return r.complete() && time.Since(r.replica.CurrentAsOf()) <= r.config.MaxStaleness
}

// complete reports whether the fold has missed no entry of the last lifetime of a key. It must run on the loop.
func (r *Registry) complete() bool {
	return r.replica.CompleteSince(time.Now().Add(-r.config.Lifetime - maxClockSkew))
}

// abandonTimeout bounds how long a caller that gives up on a claim waits for the loop.
const abandonTimeout = time.Second

// abandon gives up on a claim. It returns ErrUnavailable if the claim certainly never reaches the log, and ErrUndecided if not.
//
// When abandon is called, submit has either run or, if Loop.Do failed, will never run. So removeWaiter sees whether the claim was
// submitted. If the claim wins later, handleVerdict releases it.
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

// removeWaiter removes a waiter and withdraws its claim if it was not sent yet. If the claim has already won, it is released. It
// must run on the loop. The result is that of abandon.
func (r *Registry) removeWaiter(w *waiter) error {
	if w.failure != nil || w.ticket.Sequence == 0 {
		return ErrUnavailable
	}
	key := waiterKey{writer: w.ticket.Writer, sequence: w.ticket.Sequence}
	if _, waiting := r.waiters[key]; waiting {
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

// cancelWaiters ends all waits without a verdict, after the fold skipped entries. A claim that holds its key by the new state is
// released. It must run on the loop.
func (r *Registry) cancelWaiters() {
	for key, w := range r.waiters {
		delete(r.waiters, key)
		close(w.verdict)
		if state, ok := r.fold.State(w.claim.Key); ok && state.Claim.Request == w.claim.Request {
			r.releaseUnused(Verdict{Decision: DecisionWon, State: state})
		}
	}
}

// handleVerdict sends a verdict to its waiter. A winning claim of this daemon that has no waiter is released.
func (r *Registry) handleVerdict(v EntryVerdict) {
	if v.Writer != r.config.Incarnation {
		return
	}
	key := waiterKey{writer: v.Writer, sequence: v.Sequence}
	w, ok := r.waiters[key]
	if !ok {
		r.releaseUnused(v.Verdict)
		return
	}
	delete(r.waiters, key)
	if !r.complete() {
		// The verdict of an incomplete fold is not valid: an older claim of the key may be missing.
		close(w.verdict)
		return
	}
	w.verdict <- v.Verdict
}

// releaseUnused releases the claim if it won; it will not be used. It must run on the loop.
//
// Nothing is released while the fold is incomplete, because a claim that seems to have won may in fact have lost.
func (r *Registry) releaseUnused(verdict Verdict) {
	if verdict.Decision != DecisionWon || !r.complete() {
		return
	}
	release := Release{Key: verdict.State.Claim.Key, Claim: verdict.State.Position}
	if _, err := r.config.Writer.Submit(KindRelease, release); err != nil {
		klog.Warningf("claim: submit release of unused claim of request %s failed: %v", verdict.State.Claim.Request, err)
	}
}

// State returns the state of a key, and false if the key is not claimed or has expired.
func (r *Registry) State(ctx context.Context, key Key) (KeyState, bool, error) {
	var state KeyState
	var ok bool
	// If Do fails, its task never runs, so state and ok are not set.
	if err := r.config.Loop.Do(ctx, func() { state, ok = r.fold.State(key) }); err != nil {
		return KeyState{}, false, err
	}
	return state, ok, nil
}

// Record appends the outcome of a claimed request and waits until the log has acknowledged it.
func (r *Registry) Record(ctx context.Context, outcome Outcome) error {
	return r.append(ctx, KindOutcome, outcome)
}

// Release appends a release and waits until the log has acknowledged it. The request must certainly not have run.
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
