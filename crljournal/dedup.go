package crljournal

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Deduplicator detects repeated entries of one stream.
//
// A Writer sends a batch only after the log has acknowledged the previous one, so the first copies of a writer's entries
// appear in the stream in ascending sequence. An entry whose sequence number does not exceed the highest one seen of its
// writer is therefore a repeat, however late it reaches the log.
type Deduplicator struct {
	horizon   time.Duration
	writers   map[crlid.Incarnation]highWaterMark
	lastSweep time.Time // by the log's time
}

// highWaterMark identifies the newest entry of one writer.
type highWaterMark struct {
	Sequence uint64    `cbor:"1,keyasint"`
	Time     time.Time `cbor:"2,keyasint"` // log time of the entry
}

// NewDeduplicator returns an empty Deduplicator that never evicts a writer.
func NewDeduplicator() *Deduplicator { return newDeduplicator(0) }

// newDeduplicator returns an empty Deduplicator that evicts a writer whose newest entry is older than horizon, 0 for never.
func newDeduplicator(horizon time.Duration) *Deduplicator {
	return &Deduplicator{horizon: horizon, writers: make(map[crlid.Incarnation]highWaterMark)}
}

// AddIfNew records the sequence number of a writer and reports whether the entry is new, that is, not a repeat.
func (d *Deduplicator) AddIfNew(writer crlid.Incarnation, sequence uint64) bool {
	return d.addIfNewAt(writer, sequence, time.Time{})
}

// addIfNewAt is AddIfNew at the log's time now, which must not decrease from call to call.
func (d *Deduplicator) addIfNewAt(writer crlid.Incarnation, sequence uint64, now time.Time) bool {
	d.sweep(now)
	seen, ok := d.writers[writer]
	if ok && !d.expired(seen, now) && sequence <= seen.Sequence {
		return false
	}
	d.writers[writer] = highWaterMark{Sequence: sequence, Time: now}
	return true
}

func (d *Deduplicator) expired(seen highWaterMark, now time.Time) bool {
	return d.horizon > 0 && now.Sub(seen.Time) > d.horizon
}

// sweepsPerHorizon is how many times per horizon expired writers are removed. It affects memory use only: expired writers
// are ignored even before they are removed.
const sweepsPerHorizon = 8

func (d *Deduplicator) sweep(now time.Time) {
	if d.horizon == 0 || now.Sub(d.lastSweep) < d.horizon/sweepsPerHorizon {
		return
	}
	d.lastSweep = now
	for writer, seen := range d.writers {
		if d.expired(seen, now) {
			delete(d.writers, writer)
		}
	}
}
