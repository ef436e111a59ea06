package crlconfig

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Loop runs tasks one after the other on the goroutine that owns the daemon's control state.
type Loop interface {
	// Do returns after the task has run, or with an error if it could not run.
	Do(ctx context.Context, task func()) error
}

// StoreConfig configures a Store.
type StoreConfig struct {
	Loop   Loop
	Writer *crljournal.Writer // appends publications to Stream
	// OnChange is called on the loop when another configuration is served, or the one served was confirmed current again.
	// confirmedAt is the latest time at which the served configuration was known to be current.
	OnChange func(served Accepted, confirmedAt time.Time)
}

// Store serves the newest accepted configuration that the log or a peer has shown. The served offset never decreases.
//
// The configuration of the fold and the served one may differ: a configuration from a peer is served at once, but only the
// fold decides publications, so that all daemons decide alike. Methods are safe for concurrent use.
type Store struct {
	config      StoreConfig
	fold        *Fold
	replica     *crljournal.Replica       // applies the stream to fold
	served      Accepted                  // configuration served; served, confirmedAt and waiters change only on the loop
	confirmedAt time.Time                 // latest time at which served is known to have been current
	waiters     map[string][]chan Verdict // callers of Publish that wait, by the publication's ID
}

// dedupHorizon is how long a repeated append is recognised as a repeat.
const dedupHorizon = 48 * time.Hour

// NewStore returns a store that serves no configuration.
func NewStore(config StoreConfig) *Store {
	fold := NewFold()
	return &Store{
		config: config, fold: fold, served: Accepted{Offset: crlid.NoOffset}, waiters: make(map[string][]chan Verdict),
		replica: crljournal.NewReplica(crljournal.ReplicaConfig{Fold: fold, Horizon: dedupHorizon}),
	}
}

// Deliver applies a batch of the configuration stream and notifies the callers of Publish whose publication it decides.
//
// A batch that ends before the head of the stream does not change what is served, since a record after the batch may hold a newer
// configuration. The head is the offset after the newest record.
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

// Checkpoint returns a checkpoint of the fold if one is due, that is, if the newest one is older than age. No checkpoint is due
// while the fold is incomplete.
func (s *Store) Checkpoint(ctx context.Context, age time.Duration) (checkpoint crljournal.Checkpoint, due bool, err error) {
	loopErr := s.config.Loop.Do(ctx, func() {
		if due = !s.fold.Incomplete() && s.replica.CheckpointDue(time.Now(), age); due {
			checkpoint, err = s.replica.Checkpoint()
		}
	})
	if loopErr != nil {
		return crljournal.Checkpoint{}, false, loopErr
	}
	return checkpoint, due, err
}

// Publish appends a publication to the log and waits for the fold's verdict on it.
//
// After an error the publication may still be decided; publishing it again under the same ID returns that verdict.
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
		return Verdict{}, fmt.Errorf("append publication %s: %w", publication.ID, err)
	}
	select {
	case v := <-waiter:
		return v, nil
	case <-ctx.Done():
		return Verdict{}, fmt.Errorf("wait for the verdict on publication %s: %w", publication.ID, ctx.Err())
	}
}

// Served returns the configuration that is served. Its Configuration is nil while there is none.
func (s *Store) Served(ctx context.Context) (Accepted, error) {
	var served Accepted
	err := s.config.Loop.Do(ctx, func() { served = s.served })
	return served, err
}

// Adopt serves an accepted configuration that a peer returned, if it is newer than the one served.
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

// Confirm records that the configuration with the offset was current at a time, as a PeerPoll showed. It has no effect if
// another configuration is served by now.
func (s *Store) Confirm(ctx context.Context, offset crlid.Offset, at time.Time) error {
	return s.config.Loop.Do(ctx, func() {
		if offset == s.served.Offset {
			s.confirm(at)
		}
	})
}

// confirm records a time at which the served configuration was current, unless a later one is known, and calls OnChange. It
// runs on the loop.
func (s *Store) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	s.config.OnChange(s.served, s.confirmedAt)
}

// removeWaiter removes the channel of a call of Publish that returns, so that no verdict is sent to it any more.
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

// notifyWaiters sends each decided verdict to the callers of Publish that wait for it. It runs on the loop.
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
