package crlrelay

import (
	"bytes"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// RestorationConfig states what happens to the records of a topic when the store comes back from an older copy, which begins a new era: it has lost its
// newest records, and gives out their offsets again. Those who wrote the lost records write them again.
type RestorationConfig struct {
	// Window is how long a record that the store has lost stays in force, so that its writer can write it again. After it, what the store has counts.
	Window time.Duration
	// Own reports whether the daemons write the topic themselves: lost records then stay in force until [Replica.Lost] has had them written again.
	Own bool
	// Order orders two records of a key by what they state, by which a record that the copy has may be known to be older than the held one for longer than
	// Window; ok is false if they don't tell. A deleted record has the value that its key had before. If nil, no records tell.
	Order func(held, restored crlplatform.KeyedRecord) (order int, ok bool)
	// OnRestated receives records that were not lost or were written again without a change. It is called like OnChange; nil if only changes count.
	OnRestated func(records []crlplatform.KeyedRecord)
	// OnRestore is called when a new era begins, with the former one, which is 0 if none was known; nil for none. The replica's lock is held.
	OnRestore func(before, era crlid.Era)
}

// restoration is what a replica knows about the newest copy from which the store came back.
type restoration struct {
	from  crlid.Position   // end of the topic when the replica first read the era; records from here on are newer than the held ones
	until crlclock.Instant // end of RestorationConfig.Window
	// pending holds what the store has of each key whose lost record is in force, by key.
	pending map[string]crlplatform.KeyedRecord
}

//go:generate go run github.com/dmarkham/enumer -type=restorationVerdict -trimprefix=restoration -transform=kebab -text -output=restorationverdict_enumer.go

// restorationVerdict is what a record of a newer era means for the held record of its key.
type restorationVerdict int

const (
	restorationChanged  restorationVerdict = iota // the record replaces the held one
	restorationKept                               // the held record stays in force
	restorationRestated                           // the record is the held one, which was not lost or was written again
)

// beginRestoration prepares for the records of a new era. Followers get all records anew.
func (r *Replica) beginRestoration(end crlid.Position) {
	r.restoration = r.newRestoration(end)
	r.lastChange++
	r.forgotten = r.lastChange
	if r.config.Restoration.OnRestore != nil {
		r.config.Restoration.OnRestore(r.end.Era, end.Era)
	}
}

// joinRestoration prepares for records of a source that began the era's restoration before: records that are in force although the store has lost them.
func (r *Replica) joinRestoration(records, lost []crlplatform.KeyedRecord, end crlid.Position) {
	isEarlier := func(record crlplatform.KeyedRecord) bool { return record.Position.Era < end.Era }
	isNew := r.restoration.from.Era < end.Era && slices.ContainsFunc(records, isEarlier)
	if isNew || len(lost) > 0 && r.restoration.pending == nil {
		r.restoration = r.newRestoration(end)
	}
}

// newRestoration returns a restoration that begins now.
func (r *Replica) newRestoration(end crlid.Position) restoration {
	return restoration{from: end, until: r.config.Now().Add(r.config.Restoration.Window), pending: make(map[string]crlplatform.KeyedRecord)}
}

// restore decides what a record means for a held one of an earlier era. Offsets below the end of the copy have the same record in both eras. So a record
// with a higher offset than the held one was written later; one with a lower offset may be an older one of the copy, or have been written in the new era.
func (r *Replica) restore(held versionedRecord, record crlplatform.KeyedRecord, revision crlid.Revision) restorationVerdict {
	if held.record.Deleted == record.Deleted && bytes.Equal(held.record.Value, record.Value) {
		return restorationRestated
	}
	if !record.Position.Before(r.restoration.from) {
		return restorationChanged
	}
	switch c, ok := r.orderRestored(held, record, revision); {
	case ok && c < 0:
		return restorationChanged
	case ok:
		if revision.IsStated() && revision.Compare(held.revision.Revision) < 0 {
			r.overrule(held, record)
		}
		return restorationKept
	}
	isLater := record.Position.Offset > held.record.Position.Offset
	if isLater || !r.keepsLost() {
		return restorationChanged
	}
	r.setPending(record)
	return restorationKept
}

// orderRestored orders a held record and one of a newer era by what they state; ok is false if they don't tell.
func (r *Replica) orderRestored(held versionedRecord, record crlplatform.KeyedRecord, revision crlid.Revision) (order int, ok bool) {
	switch {
	case record.Deleted:
		return 0, false
	case revision.IsStated() && held.revision.IsStated():
		return held.revision.Compare(revision), true
	case r.config.Restoration.Order != nil:
		known := held.record
		known.Value = held.lastValue()
		return r.config.Restoration.Order(known, record)
	default:
		return 0, false
	}
}

// setPending notes what the store has of a key whose lost record is in force.
func (r *Replica) setPending(record crlplatform.KeyedRecord) {
	if known, ok := r.restoration.pending[record.Key]; !ok || known.Position.Before(record.Position) {
		r.restoration.pending[record.Key] = record
	}
}

// dropPending forgets what the store has of the key of a record that is held now, unless that is newer.
func (r *Replica) dropPending(record crlplatform.KeyedRecord) {
	if known, ok := r.restoration.pending[record.Key]; ok && !record.Position.Before(known.Position) {
		delete(r.restoration.pending, record.Key)
	}
}

// dropPendingBefore forgets what the store had of a key before its end, where it has no such key: the key was deleted again. Followers get all records anew.
func (r *Replica) dropPendingBefore(key string, end crlid.Position) {
	if known, ok := r.restoration.pending[key]; ok && known.Position.Before(end) {
		delete(r.restoration.pending, key)
		r.lastChange++
		r.forgotten = r.lastChange
	}
}

// keepsLost reports whether records that the store has lost stay in force.
func (r *Replica) keepsLost() bool {
	return r.restoration.pending != nil && (r.config.Restoration.Own || r.config.Now() < r.restoration.until)
}

// addPending adds what the store has of keys whose records are in force although it has lost them, as a source states it.
func (r *Replica) addPending(lost []crlplatform.KeyedRecord, end crlid.Position) {
	for _, record := range lost {
		if held, ok := r.records[record.Key]; ok && held.record.Position.Era < end.Era {
			r.setPending(record)
		}
	}
}

// endRestoration applies what the store has of keys whose records weren't written again within the window.
func (r *Replica) endRestoration() {
	if len(r.restoration.pending) == 0 || r.config.Restoration.Own || r.config.Now() < r.restoration.until {
		return
	}
	pending := make([]crlplatform.KeyedRecord, 0, len(r.restoration.pending))
	for _, record := range r.restoration.pending {
		pending = append(pending, record)
	}
	r.restoration.pending = nil
	r.apply(pending, r.end, crlid.Position{}, crlid.NoPosition)
}

// Restoring reports whether lost records may still be written again by others.
func (r *Replica) Restoring() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Now() < r.restoration.until
}

// Lost returns the records in force that the store has lost, for a topic that the daemons write themselves.
func (r *Replica) Lost() (records []crlplatform.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.config.Restoration.Own {
		return nil
	}
	for key := range r.restoration.pending {
		records = append(records, r.records[key].record)
	}
	return records
}
