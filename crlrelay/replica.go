package crlrelay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Topic names a topic of the store.
type Topic string

// Cursor is how far a follower knows a replica; a replica's changes are numbered from 1.
type Cursor int64

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	// Changed takes records that are new, in the order of the topic, and until when keys that were dropped may come back
	// because they lapsed in an outage; it is called by one goroutine at a time.
	OnChange    func(records []crlplatform.KeyedRecord, unsettled crlclock.Instant)
	Now         crlclock.Clock
	OutageAfter time.Duration // Outage is the time without proof from which records may have lapsed, 0 for topics where none do.
	Settle      time.Duration // Settle is how long after an outage lapsed records may come back.
	// Same reports whether a record says nothing new against the one before, nil when every record does.
	Same func(before, after crlplatform.KeyedRecord) bool
}

// Replica holds the newest record of each key of a topic; it may be used by several goroutines.
type Replica struct {
	config         ReplicaConfig
	mu             sync.Mutex // mu guards all below, and orders the calls of Changed.
	records        map[string]versionedRecord
	lastChange     Cursor
	end            crlid.Offset
	confirmedAt    crlclock.Instant
	uncertainUntil crlclock.Instant // settled is the end of the doubt after the newest outage.
	loaded         bool
	changed        chan struct{} // news is closed at the next change.
}

// numbered is a record with the number of the change that brought it.
type versionedRecord struct {
	record crlplatform.KeyedRecord
	change Cursor
}

// NewReplica returns an empty replica.
func NewReplica(config ReplicaConfig) *Replica {
	return &Replica{config: config, records: make(map[string]versionedRecord), end: crlid.NoOffset, changed: make(chan struct{})}
}

// Apply takes records that follow each other in the topic, and the offset at which the topic ended then.
func (r *Replica) Apply(records []crlplatform.KeyedRecord, end crlid.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(records, end)
}

// Replace takes the newest record of every key; what is missing was dropped before the topic's end.
func (r *Replica) Replace(records []crlplatform.KeyedRecord, end crlid.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = true
	}
	all := slices.Clone(records)
	for key, n := range r.records {
		if !present[key] && !n.record.Deleted && n.record.Offset < end {
			all = append(all, crlplatform.KeyedRecord{Key: key, Deleted: true, Offset: end - 1})
		}
	}
	slices.SortStableFunc(all, func(a, b crlplatform.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	r.apply(all, end)
	r.loaded = true
}

func (r *Replica) apply(records []crlplatform.KeyedRecord, end crlid.Offset) {
	var changed []crlplatform.KeyedRecord
	for _, record := range records {
		before, ok := r.records[record.Key]
		if ok && record.Offset <= before.record.Offset {
			continue
		}
		same := ok && r.config.Same != nil && !record.Deleted && !before.record.Deleted && r.config.Same(before.record, record)
		if same {
			r.records[record.Key] = versionedRecord{record: record, change: before.change}
			continue
		}
		r.lastChange++
		r.records[record.Key] = versionedRecord{record: record, change: r.lastChange}
		changed = append(changed, record)
	}
	r.end = max(r.end, end)
	if len(changed) == 0 {
		return
	}
	r.noteOutage(r.config.Now())
	r.config.OnChange(changed, r.uncertainUntil)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Prove takes a moment at which the replica held all that the topic did.
func (r *Replica) Confirm(at crlclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteOutage(at)
	r.confirmedAt = max(r.confirmedAt, at)
}

// noteGap begins the doubt when there was no proof for so long that records may have lapsed.
func (r *Replica) noteOutage(now crlclock.Instant) {
	if r.config.OutageAfter > 0 && now.Sub(r.confirmedAt) > r.config.OutageAfter {
		r.uncertainUntil = now.Add(r.config.Settle)
	}
}

// Proved returns the newest moment at which the replica is known to have been complete, 0 for never.
func (r *Replica) ConfirmedAt() crlclock.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}

// End returns the offset up to which the topic is known.
func (r *Replica) End() crlid.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end
}

// Known reports whether every key of the topic is known.
func (r *Replica) Loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// News returns a channel that is closed when there is more than a follower knows.
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

// delta is what a follower lacks.
type delta struct {
	records     []crlplatform.KeyedRecord
	cursor      Cursor
	end         crlid.Offset
	confirmedAt crlclock.Instant
	loaded      bool
}

// since returns the records that changed after a cursor, in the order of the topic.
func (r *Replica) since(after Cursor) delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := delta{cursor: r.lastChange, end: r.end, confirmedAt: r.confirmedAt, loaded: r.loaded}
	for _, n := range r.records {
		if n.change > after {
			d.records = append(d.records, n.record)
		}
	}
	slices.SortFunc(d.records, func(a, b crlplatform.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return d
}
