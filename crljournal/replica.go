package crljournal

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Fold is state that is derived from the entries of a stream alone.
type Fold interface {
	// Apply applies one entry, which is not a repeat; now is the log's time, which never decreases.
	Apply(entry LoggedEntry, now time.Time)
	// Save returns the encoded state, for Restore.
	Save() ([]byte, error)
	// Restore replaces the state with a saved one.
	Restore(state []byte) error
	// Reset discards the state.
	Reset()
}

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	Fold    Fold
	Horizon time.Duration // longest time after a writer's newest entry at which a repeat of one of its entries is still recognised
}

// Replica is one daemon's copy of a fold. It applies batches to the fold and tracks which part of the stream the fold covers.
//
// It is a state machine without I/O, and not safe for concurrent use. All replicas that have applied the same entries hold the
// same state, whether they read the entries themselves or a checkpoint.
type Replica struct {
	config         ReplicaConfig
	dedup          *Deduplicator
	next           crlid.Offset // offset of the first record that is not applied
	logTime        time.Time    // the latest log time of an entry
	completeSince  time.Time    // time from which on no entry is missing; zero if none is missing from the start of the stream
	currentAsOf    time.Time    // local time up to which the replica is known to hold every entry
	lastCheckpoint time.Time    // log time of the newest checkpoint in the stream, or of the first entry seen if there was none
}

// NewReplica returns a replica that expects the first entry of the stream next.
func NewReplica(config ReplicaConfig) *Replica {
	return &Replica{config: config, dedup: newDeduplicator(config.Horizon)}
}

// savedReplica is the content of a checkpoint.
type savedReplica struct {
	Next    crlid.Offset                        `cbor:"1,keyasint"`
	Now     time.Time                           `cbor:"2,keyasint"` // the replica's logTime: latest log time of an entry
	Since   time.Time                           `cbor:"3,keyasint"` // the replica's completeSince: time from which on no entry is missing
	Writers map[crlid.Incarnation]highWaterMark `cbor:"4,keyasint"`
	Fold    []byte                              `cbor:"5,keyasint"`
}

// Fold applies a batch. Entries that the replica already holds have no effect.
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

// CompleteSince reports whether the replica has applied every entry from start up to CurrentAsOf.
func (r *Replica) CompleteSince(start time.Time) bool { return !start.Before(r.completeSince) }

// CurrentAsOf returns the local time up to which the replica is known to hold every entry, zero if it never caught up.
func (r *Replica) CurrentAsOf() time.Time { return r.currentAsOf }

// LogTime returns the latest log time of an applied entry.
func (r *Replica) LogTime() time.Time { return r.logTime }

// Checkpoint returns the state of the replica, from which another replica can start.
func (r *Replica) Checkpoint() (Checkpoint, error) {
	fold, err := r.config.Fold.Save()
	if err != nil {
		return Checkpoint{}, fmt.Errorf("save state of fold at offset %d: %w", r.next, err)
	}
	state, err := encoding.Marshal(savedReplica{
		Next: r.next, Now: r.logTime, Since: r.completeSince, Writers: r.dedup.writers, Fold: fold,
	})
	if err != nil {
		return Checkpoint{}, fmt.Errorf("encode checkpoint at offset %d: %w", r.next, err)
	}
	return Checkpoint{Through: r.next - 1, State: state}, nil
}

// CheckpointDue reports whether the newest checkpoint is older than age at time now.
//
// A stream without new entries needs checkpoints too, since the log drops old ones.
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

// restore replaces the state with a checkpoint, or with an empty fold if the checkpoint is unreadable. It does nothing if the
// replica is already past the checkpoint.
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
		// Continue after the unreadable checkpoint with an empty fold that counts as complete only from now on. Later checkpoints in the
		// stream are not applied: the tail delivers one only if the log has dropped the record that it is to read next.
		klog.Errorf("journal: restore checkpoint through offset %d: %v", checkpoint.Through, err)
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

// reset discards the state after records were lost that no checkpoint covers.
func (r *Replica) reset(batch Batch) {
	r.config.Fold.Reset()
	r.dedup = newDeduplicator(r.config.Horizon)
	r.completeSince = batch.ReadStart
	if len(batch.Entries) > 0 {
		r.completeSince = batch.Entries[0].Time
	}
	klog.Warningf("journal: the log dropped records of %s that no checkpoint covers; the fold is complete only since %s",
		batch.Stream, r.completeSince)
}
