package crljournal

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Deduplicator tells first entries from repeats over the writers of one stream.
//
// A Writer sends a batch only after the log acknowledged the one before it, so
// first entries of a writer appear in ascending sequence: one that is not above
// the highest seen is a repeat, however late it lands.
type Deduplicator struct {
	horizon   time.Duration
	writers   map[crlid.Incarnation]highWaterMark
	lastSweep time.Time // swept is the log's time of the last sweep.
}

// highWater is the newest entry of one writer.
type highWaterMark struct {
	Sequence uint64    `cbor:"1,keyasint"`
	Time     time.Time `cbor:"2,keyasint"` // Time is the log's time of the entry.
}

// NewDeduplicator returns a Deduplicator that has seen nothing and forgets no writer.
func NewDeduplicator() *Deduplicator { return newDeduplicator(0) }

// newDeduplicator returns one that forgets a writer whose newest entry is older than horizon, 0 for never.
func newDeduplicator(horizon time.Duration) *Deduplicator {
	return &Deduplicator{horizon: horizon, writers: make(map[crlid.Incarnation]highWaterMark)}
}

// First marks the sequence number of a writer as seen and reports whether it was new.
func (d *Deduplicator) AddIfNew(writer crlid.Incarnation, sequence uint64) bool {
	return d.addIfNewAt(writer, sequence, time.Time{})
}

// firstAt is First at the log's time now, which never goes back.
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

// sweepsPerHorizon is how often expired writers are removed; when it happens changes no verdict.
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
