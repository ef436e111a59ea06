package crlconfig

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Loop runs tasks on the goroutine that owns control state.
type Loop interface {
	Do(ctx context.Context, task func()) error
}

// StoreConfig configures a Store.
type StoreConfig struct {
	Loop   Loop
	Writer *crljournal.Writer
	// Changed runs on the loop when another configuration is served or its proof is newer.
	OnChange func(served Accepted, proof time.Time)
}

// Store serves the newest accepted configuration that the log or a peer showed.
//
// What the fold holds and what is served are kept apart: a configuration from
// a peer is served at once, but the fold alone decides publications, so that
// all daemons decide alike. The offset served never falls.
type Store struct {
	config      StoreConfig
	fold        *Fold
	replica     *crljournal.Replica
	served      Accepted
	confirmedAt time.Time
	waiters     map[string][]chan Verdict
}

// writerHorizon is how long a repeated append is recognised.
const dedupHorizon = 48 * time.Hour

// NewStore returns a store that serves no configuration.
func NewStore(config StoreConfig) *Store {
	fold := NewFold()
	return &Store{
		config: config, fold: fold, served: Accepted{Offset: crlid.NoOffset}, waiters: make(map[string][]chan Verdict),
		replica: crljournal.NewReplica(crljournal.ReplicaConfig{Fold: fold, Horizon: dedupHorizon}),
	}
}

// Deliver folds a batch of the configuration stream.
//
// Nothing is served from a batch that ends before the head, since a newer
// configuration may follow.
func (s *Store) Deliver(ctx context.Context, batch crljournal.Batch) error {
	return s.config.Loop.Do(ctx, func() {
		s.replica.Fold(batch)
		s.notifyWaiters()
		if !batch.CaughtUp() {
			return
		}
		if s.fold.InForce().Offset > s.served.Offset {
			s.served = s.fold.InForce()
		}
		if !s.fold.Incomplete() {
			s.confirm(batch.ReadStart)
		}
	})
}

// Checkpoint restates the fold if the newest checkpoint is older than age.
func (s *Store) Checkpoint(ctx context.Context, age time.Duration) (checkpoint crljournal.Checkpoint, due bool, err error) {
	failed := s.config.Loop.Do(ctx, func() {
		if due = !s.fold.Incomplete() && s.replica.CheckpointDue(time.Now(), age); due {
			checkpoint, err = s.replica.Checkpoint()
		}
	})
	if failed != nil {
		return crljournal.Checkpoint{}, false, failed
	}
	return checkpoint, due, err
}

// Publish appends a publication and returns the fold's verdict on it.
//
// With an error the publication may still be decided later; publishing it
// again under the same ID returns that verdict.
func (s *Store) Publish(ctx context.Context, publication Publication) (Verdict, error) {
	waiter := make(chan Verdict, 1)
	var decided bool
	var verdict Verdict
	err := s.config.Loop.Do(ctx, func() {
		if verdict, decided = s.fold.Verdict(publication.ID); !decided {
			s.waiters[publication.ID] = append(s.waiters[publication.ID], waiter)
		}
	})
	if err != nil || decided {
		return verdict, err
	}
	defer s.removeWaiter(context.WithoutCancel(ctx), publication.ID, waiter)
	if _, err := s.config.Writer.Submit(KindPublication, publication); err != nil {
		return Verdict{}, fmt.Errorf("publish %s: %w", publication.ID, err)
	}
	select {
	case v := <-waiter:
		return v, nil
	case <-ctx.Done():
		return Verdict{}, fmt.Errorf("publish %s: %w", publication.ID, ctx.Err())
	}
}

// Served returns the configuration that is served.
func (s *Store) Served(ctx context.Context) (Accepted, error) {
	var served Accepted
	err := s.config.Loop.Do(ctx, func() { served = s.served })
	return served, err
}

// Adopt serves a configuration that a peer holds if it is newer than the one served.
func (s *Store) Adopt(ctx context.Context, offset crlid.Offset, content []byte) error {
	accepted, err := parseAccepted(offset, content)
	if err != nil {
		return fmt.Errorf("adopt configuration %d: %w", offset, err)
	}
	return s.config.Loop.Do(ctx, func() {
		if offset > s.served.Offset {
			s.served = accepted
			s.config.OnChange(s.served, s.confirmedAt)
		}
	})
}

// Prove takes a peer's proof that the configuration with the offset was current at a time.
func (s *Store) Confirm(ctx context.Context, offset crlid.Offset, proof time.Time) error {
	return s.config.Loop.Do(ctx, func() {
		if offset == s.served.Offset {
			s.confirm(proof)
		}
	})
}

// prove publishes a proof unless a newer one is known; it runs on the loop.
func (s *Store) confirm(proof time.Time) {
	if proof.After(s.confirmedAt) {
		s.confirmedAt = proof
	}
	s.config.OnChange(s.served, s.confirmedAt)
}

// abandon forgets a waiter whose caller left.
func (s *Store) removeWaiter(ctx context.Context, id string, waiter chan Verdict) {
	_ = s.config.Loop.Do(ctx, func() {
		kept := s.waiters[id][:0]
		for _, w := range s.waiters[id] {
			if w != waiter {
				kept = append(kept, w)
			}
		}
		s.waiters[id] = kept
		if len(kept) == 0 {
			delete(s.waiters, id)
		}
	})
}

func (s *Store) notifyWaiters() {
	for id, waiters := range s.waiters {
		v, ok := s.fold.Verdict(id)
		if !ok {
			continue
		}
		for _, w := range waiters {
			w <- v
		}
		delete(s.waiters, id)
	}
}
