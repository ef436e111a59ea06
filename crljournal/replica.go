package crljournal

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Fold is state that follows from the entries of a stream alone.
type Fold interface {
	// Apply folds one entry that is no repeat; now is the log's time, which never goes back.
	Apply(entry LoggedEntry, now time.Time)
	// Save returns the state in a form that Restore reads.
	Save() ([]byte, error)
	// Restore replaces the state.
	Restore(state []byte) error
	// Reset empties the state.
	Reset()
}

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	Fold    Fold
	Horizon time.Duration // Horizon is how long after its newest entry a writer may still repeat one.
}

// Replica is one daemon's copy of a fold, with what it knows of its own completeness.
//
// It is a pure state machine: batches go in, and all replicas that folded the
// same entries hold the same state, whether by entries or by a checkpoint.
type Replica struct {
	config         ReplicaConfig
	dedup          *Deduplicator
	next           crlid.Offset
	logTime        time.Time // now is the newest log time of an entry.
	completeSince  time.Time // since is when completeness begins, zero from the stream's first entry on.
	currentAsOf    time.Time // fresh is the local time up to which the replica is known to be complete.
	lastCheckpoint time.Time // checkpointed is the log's time of the newest checkpoint seen.
}

// NewReplica returns a replica that stands before the stream's first entry.
func NewReplica(config ReplicaConfig) *Replica {
	return &Replica{config: config, dedup: newDeduplicator(config.Horizon)}
}

// savedReplica is the content of a checkpoint.
type savedReplica struct {
	Next    crlid.Offset                        `cbor:"1,keyasint"`
	Now     time.Time                           `cbor:"2,keyasint"`
	Since   time.Time                           `cbor:"3,keyasint"`
	Writers map[crlid.Incarnation]highWaterMark `cbor:"4,keyasint"`
	Fold    []byte                              `cbor:"5,keyasint"`
}

// Fold folds a batch; entries before the replica's offset change nothing.
func (r *Replica) Fold(batch Batch) {
	switch {
	case batch.Checkpoint != nil:
		r.restore(*batch.Checkpoint)
	case batch.Gap:
		r.reset(batch)
	}
	for _, e := range batch.Entries {
		r.apply(e)
	}
	r.next = max(r.next, batch.Next)
	if batch.CaughtUp() && batch.Next == r.next {
		r.currentAsOf = batch.ReadStart
	}
}

// Complete reports whether the replica holds every entry since a time.
func (r *Replica) CompleteSince(since time.Time) bool { return !since.Before(r.completeSince) }

// Fresh returns the local time up to which the replica is known to hold every entry.
func (r *Replica) CurrentAsOf() time.Time { return r.currentAsOf }

// Now returns the newest log time that the replica folded.
func (r *Replica) LogTime() time.Time { return r.logTime }

// Checkpoint restates the replica.
func (r *Replica) Checkpoint() (Checkpoint, error) {
	fold, err := r.config.Fold.Save()
	if err != nil {
		return Checkpoint{}, fmt.Errorf("save fold at %d: %w", r.next, err)
	}
	state, err := encoding.Marshal(savedReplica{
		Next: r.next, Now: r.logTime, Since: r.completeSince, Writers: r.dedup.writers, Fold: fold,
	})
	if err != nil {
		return Checkpoint{}, fmt.Errorf("save replica at %d: %w", r.next, err)
	}
	return Checkpoint{Through: r.next - 1, State: state}, nil
}

// CheckpointDue reports whether the newest checkpoint is older than age at time now.
//
// A stream without new entries needs one too, since its old ones expire.
func (r *Replica) CheckpointDue(now time.Time, age time.Duration) bool {
	return r.next > 0 && now.Sub(r.lastCheckpoint) > age
}

func (r *Replica) apply(entry LoggedEntry) {
	if entry.Position.Offset < r.next {
		return
	}
	if entry.Time.After(r.logTime) {
		r.logTime = entry.Time
	}
	if r.lastCheckpoint.IsZero() {
		r.lastCheckpoint = entry.Time
	}
	if entry.Kind == KindCheckpoint {
		r.lastCheckpoint = r.logTime
		return
	}
	if !r.dedup.addIfNewAt(entry.Writer, entry.Sequence, r.logTime) {
		return
	}
	r.config.Fold.Apply(entry, r.logTime)
}

// restore takes over a checkpoint unless it is older than what the replica holds.
func (r *Replica) restore(checkpoint Checkpoint) {
	if checkpoint.Through < r.next {
		return
	}
	var saved savedReplica
	err := cbor.Unmarshal(checkpoint.State, &saved)
	if err == nil {
		err = r.config.Fold.Restore(saved.Fold)
	}
	if err != nil {
		// A checkpoint that can't be read is no base to decide on; the tail finds the next one.
		klog.Errorf("journal: checkpoint through %d: %v", checkpoint.Through, err)
		r.config.Fold.Reset()
		r.completeSince, r.next = time.Now(), checkpoint.Through+1
		return
	}
	r.next, r.logTime, r.completeSince = checkpoint.Through+1, saved.Now, saved.Since
	r.dedup = newDeduplicator(r.config.Horizon)
	if saved.Writers != nil {
		r.dedup.writers = saved.Writers
	}
	r.lastCheckpoint = r.logTime
}

// reset begins anew after records were lost that no checkpoint restates.
func (r *Replica) reset(batch Batch) {
	r.config.Fold.Reset()
	r.dedup = newDeduplicator(r.config.Horizon)
	r.completeSince = batch.ReadStart
	if len(batch.Entries) > 0 {
		r.completeSince = batch.Entries[0].Time
	}
	klog.Warningf("journal: records of %s are lost without a checkpoint; the fold is complete since %s", batch.Stream, r.completeSince)
}
