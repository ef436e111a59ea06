package crlrelay

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

const (
	// packFromRecords is the number of records from which a whole topic is packed. The entries of a fleet's servers are small and alike: one by one they
	// are more bytes than the configuration, packed a small part of it.
	packFromRecords = 64
	// repackFromChanges is the number of changes since a topic was packed from which it is packed anew, instead of sending them beside the pack.
	repackFromChanges = 64
)

// pack is all records of a topic as of a change, encoded once for all followers that need the whole topic.
type pack struct {
	mu     sync.Mutex // guards the fields below, and makes followers that call at the same time wait for one pack
	era    crlid.Era  // of the messages that the packed records are for
	cursor Cursor     // the change up to which the records are packed, 0 for none
	packed []byte
	keys   map[string]bool // of the packed records
}

// addTo replaces the records of a delta that has the whole topic by the pack and what changed since. It leaves the delta if the topic is small.
func (p *pack) addTo(message *TopicDelta, d *delta) {
	if !d.full || len(d.records) < packFromRecords {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	since := d.changedAfter(p.cursor)
	if p.cursor == 0 || p.era != d.end.Era || len(since) >= repackFromChanges || !p.isHeldBy(d) {
		packed := packRecords(d.messages(false))
		if packed == nil {
			return
		}
		p.era, p.cursor, p.packed, p.keys, since = d.end.Era, d.cursor, packed, make(map[string]bool, len(d.records)), nil
		for _, r := range d.records {
			p.keys[r.record.Key] = true
		}
	}
	message.Packed = p.packed
	message.Records = (&delta{records: since, end: d.end}).messages(true)
}

// isHeldBy reports whether a delta has a record for each packed one. It doesn't if a deletion since is forgotten, and a follower would keep the deleted key.
func (p *pack) isHeldBy(d *delta) bool {
	held := 0
	for _, r := range d.records {
		if p.keys[r.record.Key] {
			held++
		}
	}
	return held == len(p.keys)
}

// packRecords returns the compressed text of records, nil if it isn't smaller.
func packRecords(records []Record) []byte {
	text, err := json.Marshal(records)
	if err != nil {
		return nil
	}
	return compress(text)
}

// decodeAll returns the records of a message, packed or not.
func (t TopicDelta) decodeAll() ([]crlplatform.KeyedRecord, error) {
	if t.Packed == nil {
		return decodeRecords(t.Records, t.era())
	}
	text, err := decompress(t.Packed)
	if err != nil {
		return nil, fmt.Errorf("decompress packed records: %w", err)
	}
	var packed []Record
	if err := json.Unmarshal(text, &packed); err != nil {
		return nil, fmt.Errorf("decode packed records: %w", err)
	}
	return decodeRecords(append(packed, t.Records...), t.era())
}

// changedAfter returns the records that changed after a cursor.
func (d *delta) changedAfter(cursor Cursor) (changed []versionedRecord) {
	for _, r := range d.records {
		if r.change > cursor {
			changed = append(changed, r)
		}
	}
	return changed
}
