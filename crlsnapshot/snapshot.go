package crlsnapshot

import (
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Snapshot is the control state at one moment; it never changes once published.
type Snapshot struct {
	Offset        crlid.Offset             // Offset is that of the configuration in force.
	Configuration *crlconfig.Configuration // Configuration is nil before the first.
	ConfirmedAt   time.Time                // Proof is the newest time at which the configuration was proved current.
	Term          crlid.Term
	Shares        map[crlid.Version]float64 // Shares holds the part of the new work of the versions that may not get all.
}

// Fresh reports whether the configuration was proved current within the limit.
func (s *Snapshot) Fresh(now time.Time, limit time.Duration) bool {
	return s.Configuration != nil && now.Sub(s.ConfirmedAt) <= limit
}

// Holder publishes snapshots; the control loop alone updates it.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// NewHolder returns a holder of a snapshot without a configuration.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&Snapshot{Offset: crlid.NoOffset, Term: crlid.NoTerm})
	return h
}

// Load returns the newest snapshot.
func (h *Holder) Load() *Snapshot { return h.current.Load() }

// Update publishes a changed copy of the newest snapshot.
func (h *Holder) Update(change func(*Snapshot)) {
	next := *h.current.Load()
	change(&next)
	h.current.Store(&next)
}
