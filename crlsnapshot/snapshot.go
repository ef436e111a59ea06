package crlsnapshot

import (
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Snapshot is the part of the control state that requests need. It must not be modified once published.
type Snapshot struct {
	Offset        crlid.Offset              // log offset of Configuration
	Configuration *crlconfig.Configuration  // nil before the first configuration arrives
	ConfirmedAt   time.Time                 // latest time at which Configuration was confirmed to be the newest
	Term          crlid.Term                // term of the newest confirmed roster
	Shares        map[crlid.Version]float64 // share of new requests, from 0 to 1, that a version may get; 1 if absent
}

// Fresh reports whether there is a configuration that was confirmed to be the newest within the limit before now.
func (s *Snapshot) Fresh(now time.Time, limit time.Duration) bool {
	return s.Configuration != nil && now.Sub(s.ConfirmedAt) <= limit
}

// Holder publishes the newest snapshot. Load may be called concurrently with everything, Update only by one goroutine at
// a time, which is the control loop.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// NewHolder returns a Holder whose snapshot has no configuration.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&Snapshot{Offset: crlid.NoOffset, Term: crlid.NoTerm})
	return h
}

// Load returns the newest snapshot.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Update passes a copy of the newest snapshot to change and publishes the result. change must replace maps and the
// Configuration, not write into them, as published snapshots share them.
func (h *Holder) Update(change func(*Snapshot)) {
	next := *h.current.Load()
	change(&next)
	h.current.Store(&next)
}
