package crlrelay

import (
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// RevisionConfig states how the records of a topic tell their order beside their positions. A write that got no answer may be carried out after later writes of
// its key, and must not replace them.
type RevisionConfig struct {
	// Of returns the revision that a record states, the zero Revision for a record that doesn't tell; nil if none tells.
	Of func(record crlplatform.KeyedRecord) crlid.Revision
	// WriteDelay is the longest time after which a write that got no answer may still be carried out. A revision that was learned earlier than that refuses no
	// older one, so that a writer whose clock or count went back is heard again.
	WriteDelay time.Duration
	// OnLate receives each record that is refused because a newer revision of its key is known; nil for none. The replica's lock is held.
	OnLate func(record crlplatform.KeyedRecord, known crlid.Revision)
}

// keyRevision is what a replica knows of the revisions of a key. It outlasts records that state none, and the key's deletion.
type keyRevision struct {
	crlid.Revision

	learnedAt crlclock.Instant
	// outlivedStart is the StartMS of a newer revision that the key's record has replaced after RevisionConfig.WriteDelay, 0 for none. Its count isn't kept, as
	// other daemons may know a higher one.
	outlivedStart int64
	// Between these positions are the records of the key that yielded to the held one from before them; the zero Position stands for none.
	oldestOverruled, newestOverruled crlid.Position
}

// overrulesBefore reports whether the key's record has overruled one from before a position.
func (k keyRevision) overrulesBefore(end crlid.Position) bool {
	return k.newestOverruled != (crlid.Position{}) && k.oldestOverruled.Before(end)
}

// ApplyHistory merges records that follow each other in the topic up to end as Apply does, including those from before the replica's end: a follower gets no
// records that differ in their revision only, and a listing of the store has only the newest record of each key, which may have been carried out late. OnChange
// gets only the last change of each key.
func (r *Replica) ApplyHistory(records []crlplatform.KeyedRecord, end crlid.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != crlid.NoPosition && end.Era != r.end.Era {
		return false
	}
	changed, restated := r.merge(records, r.completeFrom, crlid.NoPosition)
	r.end = r.end.Latest(end)
	r.publish(lastOfKeys(changed), restated)
	r.traced = true
	return true
}

const (
	// verificationTime is how long a daemon that has loaded its records from a listing of the store asks other daemons for what they know.
	verificationTime = 10 * time.Second
	// verificationInterval is the pause between these calls, until one reaches a daemon that has read as far as the listing.
	verificationInterval = 100 * time.Millisecond
)

// noteListing notes that the replica was loaded from a listing of the store.
func (r *Replica) noteListing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config.Revision.Of != nil && !r.traced {
		r.unverifiedUntil, r.listedTo = r.config.Now().Add(verificationTime), r.end
	}
}

// noteVerified notes that the replica has all records of another daemon, which has read the topic up to end.
func (r *Replica) noteVerified(end crlid.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !end.Before(r.listedTo) {
		r.unverifiedUntil = 0
	}
}

// Unverified reports whether the replica may hold records that other daemons know to have been carried out late.
func (r *Replica) Unverified() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Now() < r.unverifiedUntil
}

// lastOfKeys returns the last record of each key.
func lastOfKeys(records []crlplatform.KeyedRecord) (last []crlplatform.KeyedRecord) {
	seen := make(map[string]bool, len(records))
	for _, record := range slices.Backward(records) {
		if !seen[record.Key] {
			seen[record.Key] = true
			last = append(last, record)
		}
	}
	slices.Reverse(last)
	return last
}

// revisionOf returns the revision of a record: the one that it states or, for a deletion, the one that its source knew of the key.
func (r *Replica) revisionOf(record crlplatform.KeyedRecord) crlid.Revision {
	switch {
	case record.Deleted:
		return record.Known
	case r.config.Revision.Of == nil:
		return crlid.Revision{}
	default:
		return r.config.Revision.Of(record)
	}
}

// isLate reports whether a record with the given revision, which comes after the held one in the topic, was written before it and carried out late.
func (r *Replica) isLate(held versionedRecord, record crlplatform.KeyedRecord, revision crlid.Revision) bool {
	known := held.revision
	if record.Deleted || !revision.IsStated() || !known.IsStated() || revision.Compare(known.Revision) >= 0 {
		return false
	}
	// A record from before the end was judged when the copy came to that end. Any other was carried out after the latest confirmation, however long ago that is.
	return record.Position.Before(r.end) || r.confirmedAt.Sub(known.learnedAt) < r.config.Revision.WriteDelay
}

// isOverruled reports whether the held record was carried out late: one with the given revision, which comes before it in the topic, was written after it.
func (v versionedRecord) isOverruled(revision crlid.Revision) bool {
	known := v.revision
	return !v.record.Deleted && known.IsStated() && revision.Compare(known.Revision) > 0 && revision.StartMS > known.outlivedStart
}

// refuseLate keeps the held record in place of one that was carried out late.
func (r *Replica) refuseLate(held versionedRecord, record crlplatform.KeyedRecord) {
	r.overrule(held, record)
	if r.config.Revision.OnLate != nil {
		r.config.Revision.OnLate(record, held.revision.Revision)
	}
}

// overrule notes that a record has yielded to the held one from before it, so that followers which may hold it get that.
func (r *Replica) overrule(held versionedRecord, record crlplatform.KeyedRecord) {
	if !held.revision.overrulesBefore(record.Position) {
		held.revision.oldestOverruled = record.Position
	}
	held.revision.newestOverruled = held.revision.newestOverruled.Latest(record.Position)
	r.records[record.Key] = held
	if len(r.disputed) >= maxDeleted {
		clear(r.disputed) // This daemon follows none.
	}
	r.disputed[record.Key] = true
}

// takeDisputed returns the keys of records that yielded to older ones since the last call.
func (r *Replica) takeDisputed() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	disputed := r.disputed
	r.disputed = make(map[string]bool)
	return disputed
}

// corrections returns what the replica has of keys, nil for none.
func (r *Replica) corrections(keys map[string]bool) *Corrections {
	if len(keys) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var held []versionedRecord
	for key := range keys {
		if record, ok := r.records[key]; ok {
			held = append(held, record)
		}
	}
	return &Corrections{Era: r.end.Era, Records: encodeRecords(held, r.end.Era, false)}
}

// correct merges what a follower has of keys of which it was sent records that were carried out late. It changes nothing else.
func (r *Replica) correct(c Corrections) {
	records, err := decodeRecords(c.Records, c.Era)
	if err != nil {
		return // The follower decides for itself.
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || r.end.Era != c.Era {
		return
	}
	known := slices.DeleteFunc(records, func(record crlplatform.KeyedRecord) bool {
		held, ok := r.records[record.Key]
		return !ok || held.record.Position.Before(record.Position)
	})
	changed, restated := r.merge(known, r.completeFrom, crlid.NoPosition)
	r.publish(changed, restated)
}

// learnRevision raises the revision of a deleted key.
func (r *Replica) learnRevision(held versionedRecord, revision crlid.Revision) {
	if !held.record.Deleted || revision.Compare(held.revision.Revision) <= 0 {
		return
	}
	r.lastChange++
	held.change, held.record.Known = r.lastChange, revision
	held.revision.Revision, held.revision.learnedAt = revision, r.config.Now()
	r.records[held.record.Key] = held
}

// after returns what is known of a key's revisions once a record with the given revision has replaced the given one.
func (k keyRevision) after(before, record crlplatform.KeyedRecord, revision crlid.Revision, now crlclock.Instant) keyRevision {
	next := keyRevision{Revision: k.Revision, learnedAt: now, outlivedStart: k.outlivedStart}
	switch {
	case revision.Compare(k.Revision) > 0:
		next.Revision = revision
	case revision.IsStated() && !record.Deleted && revision != k.Revision:
		next.Revision, next.outlivedStart = revision, k.StartMS
	}
	if newest := k.newestOverruled.Latest(before.Position); record.Position.Before(newest) {
		next.oldestOverruled, next.newestOverruled = record.Position.Next(), newest
	}
	return next
}
