package crlrelay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Topic is the name of a topic of the store: a log of records with keys, in which a key's newest record replaces the older ones.
type Topic string

// Cursor is the number of the last change that a follower has from a replica, which numbers its changes from 1.
type Cursor int64

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	// OnChange receives the changed records in the order of the topic. Until uncertainUntil, deleted keys may reappear,
	// because they expired while their owners could not reach the store. Calls don't overlap; the replica's lock is held.
	OnChange    func(records []crlplatform.KeyedRecord, uncertainUntil crlclock.Instant)
	Now         crlclock.Clock
	OutageAfter time.Duration // time without confirmation after which records may have expired, 0 if the topic's records never do
	Settle      time.Duration // how long after an outage expired records may reappear
	// Optional reports whether the topic is followed only as far as a source has it: neither its absence nor its age makes a source unfit.
	Optional bool
	// Same reports whether a record changes nothing for followers compared with the one before it; if nil, every record is
	// a change.
	Same func(before, after crlplatform.KeyedRecord) bool
	// InForce returns the position of the record that is in force when OnChange may refuse newer records of its key, [crlid.NoPosition] for none. Followers
	// get that record too, as they would put in force what comes after it. It is called after OnChange, with the replica's lock held; nil if no record is
	// refused.
	InForce func() crlid.Position
	// Revision states how the records of a key tell their order, beside their positions.
	Revision RevisionConfig
	// Restoration applies when the store comes back from an older copy.
	Restoration RestorationConfig
}

// Replica holds the newest record of each key of a topic; it may be used by several goroutines.
type Replica struct {
	config       ReplicaConfig
	mu           sync.Mutex // guards all below, and serialises the calls of OnChange
	records      map[string]versionedRecord
	lastChange   Cursor
	inForce      versionedRecord // the record that is in force, with NoPosition before the first; see ReplicaConfig.InForce
	deleted      int             // number of records that delete their keys
	forgotten    Cursor          // the latest change whose record was dropped, see forgetDeleted, or whose position is of an earlier era
	end          crlid.Position  // position after the last record that was read
	completeFrom crlid.Position  // a key without a value had none at this position, and each change from there to end is known
	restoration  restoration
	confirmedAt  crlclock.Instant
	// confirmation is confirmedAt for readers without the lock: OnChange may take locks under which ConfirmedAt is called.
	confirmation   atomic.Int64
	confirmed      chan struct{}    // closed and replaced at each newer confirmation
	uncertainUntil crlclock.Instant // until when keys that expired in the latest outage may reappear
	loaded         bool             // whether every key of the topic was read at least once
	traced         bool             // whether history was read; see ApplyHistory
	// unverifiedUntil is until when the records are to be checked against those of another daemon, as a listing doesn't tell which were carried out late.
	unverifiedUntil crlclock.Instant
	listedTo        crlid.Position  // end of that listing
	disputed        map[string]bool // keys of records that yielded to older ones; see takeDisputed
	changed         chan struct{}   // closed and replaced at each change
}

// versionedRecord is a record with the number of the change that set it.
type versionedRecord struct {
	record     crlplatform.KeyedRecord
	change     Cursor
	compressed *compressedValue
	last       []byte // the value that a deleted key had; see RestorationConfig.Order
	revision   keyRevision
}

// NewReplica returns an empty Replica, which counts as not loaded.
func NewReplica(config ReplicaConfig) *Replica {
	return &Replica{
		config: config, records: make(map[string]versionedRecord), inForce: versionedRecord{record: crlplatform.KeyedRecord{Position: crlid.NoPosition}},
		end: crlid.NoPosition, changed: make(chan struct{}), confirmed: make(chan struct{}), disputed: make(map[string]bool),
	}
}

// Apply merges records that follow each other in the topic; end is the position at which the topic ended when they were read.
// Records no newer than the one held for their key are ignored, so records may arrive late or twice. Apply returns false, and ignores all of
// them, if they were read in another era than that of the replica.
func (r *Replica) Apply(records []crlplatform.KeyedRecord, end crlid.Position) bool {
	return r.applyFrom(records, end, nil, crlid.NoPosition) == nil
}

// applyFrom merges records as Apply does. They are what changed at their source since the replica ended at the position after; nil stands for records that
// follow each other in the topic. inForce is the position of the record among them that is in force at their source, [crlid.NoPosition] for none.
//
// What changed at a source doesn't tell which keys were deleted before it got all records at once, so that a replica that ends elsewhere may hold them.
func (r *Replica) applyFrom(records []crlplatform.KeyedRecord, end crlid.Position, after *crlid.Position, inForce crlid.Position) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after != nil && r.end != *after {
		return errOtherEnd
	}
	if r.end != crlid.NoPosition && end.Era != r.end.Era {
		return errOtherEra
	}
	r.apply(records, end, r.completeFrom, inForce)
	return nil
}

// Replace merges the newest records of all keys and marks the replica as loaded. A key that is held but not among them was
// deleted before the topic's end, unless its record is newer than that, or of an earlier era and stays in force; see RestorationConfig. Replace
// returns false, and ignores the records, if they were read in an earlier era than that of the replica.
func (r *Replica) Replace(records []crlplatform.KeyedRecord, end crlid.Position) bool {
	wasLoaded := r.Loaded()
	if !r.replaceFrom(records, nil, end, crlid.NoPosition) {
		return false
	}
	if !wasLoaded {
		r.noteListing()
	}
	return true
}

// replaceFrom merges records as Replace does; lost is what the store has of those of them that it has lost, see delta, and inForce is as in applyFrom.
func (r *Replica) replaceFrom(records, lost []crlplatform.KeyedRecord, end, inForce crlid.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if end.Era < r.end.Era {
		return false
	}
	if r.loaded && end.Era > r.end.Era {
		r.beginRestoration(end)
	}
	r.joinRestoration(records, lost, end)
	stated := make(map[string]crlplatform.KeyedRecord, len(records))
	for _, record := range records {
		stated[record.Key] = record
	}
	all := slices.Clone(records)
	for _, record := range lost {
		stated[record.Key] = record
		if held, ok := r.records[record.Key]; ok && held.record.Position.Era == end.Era {
			all = append(all, record)
		}
	}
	for key, held := range r.records {
		// A source may have an older deletion of the key: it got all records after a later one.
		record, isStated := stated[key]
		if held.record.Deleted && (!isStated || record.Deleted) {
			r.dropPendingBefore(key, end)
		}
		isPresent := isStated && (!record.Deleted || !record.Position.Before(held.record.Position))
		if isPresent || held.record.Deleted || !held.record.Position.Before(end) {
			continue
		}
		deletion := crlplatform.KeyedRecord{Key: key, Deleted: true, Position: end.Previous()}
		if held.record.Position.Era < end.Era && r.keepsLost() {
			r.setPending(deletion)
		} else {
			all = append(all, deletion)
		}
	}
	slices.SortStableFunc(all, func(a, b crlplatform.KeyedRecord) int { return a.Position.Compare(b.Position) })
	from := r.completeFrom
	if !end.Before(from) {
		from = crlid.Position{} // What is present then has not been deleted before.
	}
	if !end.Before(r.end) {
		r.completeFrom = end
	}
	r.apply(all, end, from, inForce)
	r.addPending(lost, end)
	r.loaded = true
	return true
}

// apply merges records as Apply does, passes those that changed something to OnChange, and releases waiting followers. from and inForce are as in merge.
func (r *Replica) apply(records []crlplatform.KeyedRecord, end, from, inForce crlid.Position) {
	changed, restated := r.merge(records, from, inForce)
	r.end = r.end.Latest(end)
	r.publish(changed, restated)
}

// merge merges records and returns those that changed something. It ignores records of keys without a value from before the position from: they may have been
// deleted since. The record that is in force at the source counts as a change even if a newer one of its key is held, as that may be one that the source has
// refused.
func (r *Replica) merge(records []crlplatform.KeyedRecord, from, inForce crlid.Position) (changed, restated []crlplatform.KeyedRecord) {
	for _, record := range records {
		before, ok := r.records[record.Key]
		revision := r.revisionOf(record)
		isHeld := ok && !before.record.Deleted
		isOlder := ok && !before.record.Position.Before(record.Position) || !isHeld && record.Position.Before(from)
		if isOlder && ok && before.isOverruled(revision) {
			r.set(record, before, revision)
			changed = append(changed, record)
			continue
		}
		if isOlder {
			if ok {
				r.learnRevision(before, revision)
			}
			if r.config.InForce != nil && record.Position == inForce && record.Position != r.inForce.record.Position {
				changed = append(changed, record)
			}
			continue
		}
		isRestored := ok && before.record.Position.Era < record.Position.Era && record.Position.Before(r.restoration.from)
		if ok && !isRestored && r.isLate(before, record, revision) {
			r.refuseLate(before, record)
			continue
		}
		if ok && before.record.Position.Era < record.Position.Era {
			switch r.restore(before, record, revision) {
			case restorationKept:
				continue
			case restorationRestated:
				r.set(record, before, revision)
				restated = append(restated, record)
				continue
			case restorationChanged:
			}
		}
		// Followers may have learned the revision that was outlived later, and refuse the record for longer: each one of the key is a change for them.
		outlived := before.revision.outlivedStart != 0
		same := ok && r.config.Same != nil && !outlived && !record.Deleted && !before.record.Deleted && r.config.Same(before.record, record)
		if same {
			r.dropPending(record)
			r.records[record.Key] = versionedRecord{
				record: record, change: before.change, compressed: new(compressedValue), revision: before.revision.after(before.record, record, revision, r.config.Now()),
			}
			continue
		}
		r.set(record, before, revision)
		changed = append(changed, record)
	}
	return changed, restated
}

// set makes a record with the given revision the one that is held for its key, after the given one.
func (r *Replica) set(record crlplatform.KeyedRecord, before versionedRecord, revision crlid.Revision) {
	r.lastChange++
	held := versionedRecord{
		record: record, change: r.lastChange, compressed: new(compressedValue), revision: before.revision.after(before.record, record, revision, r.config.Now()),
	}
	if record.Deleted {
		r.deleted++
		held.record.Known = held.revision.Revision
		if r.config.Restoration.Order != nil {
			held.last = before.lastValue()
		}
	}
	if before.record.Deleted {
		r.deleted--
	}
	r.records[record.Key] = held
	r.dropPending(record)
}

// lastValue returns the value of the record, or the one that its key had before it was deleted.
func (v versionedRecord) lastValue() []byte {
	if v.record.Deleted {
		return v.last
	}
	return v.record.Value
}

// publish passes records to OnChange and OnRestated, and releases waiting followers.
func (r *Replica) publish(changed, restated []crlplatform.KeyedRecord) {
	if len(restated) > 0 && r.config.Restoration.OnRestated != nil {
		r.config.Restoration.OnRestated(restated)
		r.noteInForce(restated)
	}
	if len(changed) == 0 && len(restated) == 0 {
		return
	}
	if r.deleted > maxDeleted {
		r.forgetDeleted()
	}
	if len(changed) > 0 {
		r.noteOutage(r.config.Now())
		r.config.OnChange(changed, r.uncertainUntil)
		r.noteInForce(changed)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// noteInForce keeps the record that is in force after OnChange got the given ones.
func (r *Replica) noteInForce(changed []crlplatform.KeyedRecord) {
	if r.config.InForce == nil {
		return
	}
	position := r.config.InForce()
	if position == r.inForce.record.Position {
		return
	}
	for _, record := range changed {
		if record.Position != position {
			continue
		}
		r.lastChange++
		kept := versionedRecord{record: record, change: r.lastChange, compressed: new(compressedValue)}
		if held := r.records[record.Key]; held.record.Position == position && held.compressed != nil {
			kept.compressed = held.compressed
		}
		r.inForce = kept
	}
}

// positionInForce returns the position of the record that is in force, [crlid.NoPosition] before the first; ok is false for topics without such a
// record.
func (r *Replica) positionInForce() (position crlid.Position, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce.record.Position, r.config.InForce != nil
}

// maxDeleted is the number of deleted keys that a replica keeps, so that followers learn of the deletions.
const maxDeleted = 1024

// forgetDeleted drops the older half of the records that delete their keys. A follower that may not have them gets all records, and thereby which
// keys there are.
func (r *Replica) forgetDeleted() {
	var deleted []versionedRecord
	for _, held := range r.records {
		if held.record.Deleted {
			deleted = append(deleted, held)
		}
	}
	slices.SortFunc(deleted, func(a, b versionedRecord) int { return a.record.Position.Compare(b.record.Position) })
	for _, held := range deleted[:len(deleted)/2] {
		delete(r.records, held.record.Key)
		r.forgotten, r.completeFrom = max(r.forgotten, held.change), r.completeFrom.Latest(held.record.Position.Next())
		r.deleted--
	}
}

// Confirm records that the replica held all records that the topic had at the given moment, as read in an era. It ignores a confirmation of another
// era than that of the replica.
func (r *Replica) Confirm(at crlclock.Instant, era crlid.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era != r.end.Era {
		return
	}
	r.endRestoration()
	r.noteOutage(at)
	if at > r.confirmedAt {
		r.confirmedAt = at
		r.confirmation.Store(int64(at))
		close(r.confirmed)
		r.confirmed = make(chan struct{})
	}
}

// confirmedAfter returns a channel that is closed if the latest confirmation is after the given moment, and otherwise once there is a newer one.
func (r *Replica) confirmedAfter(at crlclock.Instant) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirmedAt > at {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return r.confirmed
}

// noteOutage begins the time in which deleted keys may reappear, if the replica was unconfirmed for so long before now that
// records may have expired.
func (r *Replica) noteOutage(now crlclock.Instant) {
	if r.config.OutageAfter > 0 && now.Sub(r.confirmedAt) > r.config.OutageAfter {
		r.uncertainUntil = now.Add(r.config.Settle)
	}
}

// ConfirmedAt returns the latest moment at which the replica is known to have been complete, 0 for never.
func (r *Replica) ConfirmedAt() crlclock.Instant { return crlclock.Instant(r.confirmation.Load()) }

// End returns the position at which the topic ended when it was last read, [crlid.NoPosition] before the first read.
func (r *Replica) End() crlid.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// Loaded reports whether the records of all keys were read at least once.
func (r *Replica) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Keys returns the number of keys that the replica holds, with those that were deleted.
func (r *Replica) Keys() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Changes returns a channel that is closed as soon as there are changes after a follower's cursor.
func (r *Replica) Changes(after Cursor) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastChange > after {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return r.changed
}

// changesFrom is like Changes for a follower without a cursor, see since.
func (r *Replica) changesFrom(end crlid.Position, inForce *crlid.Position) <-chan struct{} {
	d := r.since(0, end, inForce)
	if d.full || len(d.records) > d.overruling {
		return r.Changes(0)
	}
	return r.Changes(d.cursor)
}

// delta holds the changes for a follower, and the replica's state at that moment.
type delta struct {
	records     []versionedRecord
	full        bool              // records holds every key
	overruling  int               // number of records from before the follower's end that overrule what it may have read since
	lost        []versionedRecord // with full, what the store has of keys whose records are in force although it has lost them
	inForce     crlid.Position    // position of the record among them that is in force, NoPosition for none
	cursor      Cursor
	end         crlid.Position
	confirmedAt crlclock.Instant
	loaded      bool
}

// messages returns the delta's records in messages, compressed if the follower decompresses them.
func (d *delta) messages(compressed bool) []Record {
	return encodeRecords(d.records, d.end.Era, compressed)
}

// encodeRecords returns records in a message of the given era, compressed if the follower decompresses them.
func encodeRecords(records []versionedRecord, era crlid.Era, compressed bool) []Record {
	var messages []Record
	for _, r := range records {
		if !compressed {
			r.compressed = nil
		}
		messages = append(messages, encodeRecord(r.record, era, r.compressed))
	}
	return messages
}

// since returns the records that changed after a follower's cursor, in the order of the topic. For a follower without a cursor, these are the
// records from the position end on, up to which its replica is complete, and those that overrule records from before it. A follower gets all
// records if it has neither, or if deletions since may be unknown or forgotten.
//
// The record in force is among them if the follower may not have it: inForce is the position of the one that is in force at the follower, nil if the follower
// is of an earlier version, which gets the newest records only.
func (r *Replica) since(after Cursor, end crlid.Position, inForce *crlid.Position) delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := delta{cursor: r.lastChange, end: r.end, inForce: crlid.NoPosition, confirmedAt: r.confirmedAt, loaded: r.loaded}
	d.full = after == 0 && (end == crlid.NoPosition || end.Before(r.completeFrom)) || after > 0 && (after < r.forgotten || after > r.lastChange)
	if d.full {
		for _, record := range r.restoration.pending {
			d.lost = append(d.lost, versionedRecord{record: record})
		}
	}
	for _, held := range r.records {
		switch {
		case d.full || held.change > after && (after > 0 || !held.record.Position.Before(end)):
			d.records = append(d.records, held)
		case after == 0 && held.revision.overrulesBefore(end):
			d.records = append(d.records, held)
			d.overruling++
		}
	}
	if ours := r.inForce.record.Position; inForce != nil && ours != crlid.NoPosition && ours != *inForce && (d.full || after == 0 || r.inForce.change > after) {
		d.inForce = ours
		if !slices.ContainsFunc(d.records, func(v versionedRecord) bool { return v.record.Position == ours }) {
			d.records = append(d.records, r.inForce)
		}
	}
	slices.SortFunc(d.records, func(a, b versionedRecord) int { return a.record.Position.Compare(b.record.Position) })
	return d
}
