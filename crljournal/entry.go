package crljournal

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Kind tells folds how to read the body of an entry; each stream numbers its own kinds below KindCheckpoint.
type Kind uint8

// Entry is one record of a stream, unique by writer and sequence number.
type Entry struct {
	Writer   crlid.Incarnation `cbor:"1,keyasint"`
	Sequence uint64            `cbor:"2,keyasint"` // Sequence counts a writer's entries of a stream from 1.
	Kind     Kind              `cbor:"3,keyasint"`
	Body     cbor.RawMessage   `cbor:"4,keyasint"`
}

// Position places an entry in a stream: the offset of its append and its index in it.
type Position struct {
	Offset crlid.Offset
	Index  int
}

// Placed is an entry with its position and the log's time of the append.
type LoggedEntry struct {
	Entry
	Position Position
	Time     time.Time
}

// Decode reads the body of the entry into a typed message.
func (e Entry) Decode(body any) error {
	if err := cbor.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("decode entry %s/%d of kind %d: %w", e.Writer, e.Sequence, e.Kind, err)
	}
	return nil
}

// encoding keeps the nanoseconds of times, so that every fold compares the same moments.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns a body or a fold's state in the form that Decode and cbor.Unmarshal read.
func Encode(value any) ([]byte, error) { return encoding.Marshal(value) }

// recordFormat is the newest format of records that this program reads.
//
// It rises with every change after which an older program would fold a stream
// differently: a new kind of entry, or a new meaning of a body.
const recordFormat = 1

// recordHead is the part of a record that every format shares.
type recordHeader struct {
	Format  uint            `cbor:"1,keyasint"`
	Entries cbor.RawMessage `cbor:"2,keyasint"`
}

// encodeBatch returns the payload of one append.
func encodeBatch(entries []Entry) ([]byte, error) {
	payload, err := cbor.Marshal(struct {
		Format  uint    `cbor:"1,keyasint"`
		Entries []Entry `cbor:"2,keyasint"`
	}{recordFormat, entries})
	if err != nil {
		return nil, fmt.Errorf("encode batch of %d entries: %w", len(entries), err)
	}
	return payload, nil
}

// DecodeRecord returns the entries of one append in order.
//
// ErrNewerFormat means that only a newer program can read the record. Any other
// error means that it is no record at all: that depends on the payload alone,
// so every reader comes to the same result and may leave it out.
func DecodeRecord(record crlplatform.Record) ([]LoggedEntry, error) {
	entries, err := decodeBatch(record.Payload)
	if err != nil {
		return nil, fmt.Errorf("decode record %d: %w", record.Offset, err)
	}
	placed := make([]LoggedEntry, len(entries))
	for i, e := range entries {
		placed[i] = LoggedEntry{Entry: e, Position: Position{Offset: record.Offset, Index: i}, Time: record.Time}
	}
	return placed, nil
}

// errNoEntries is the cause when a payload names no format.
var errNotARecord = errors.New("payload is not a record")

func decodeBatch(payload []byte) ([]Entry, error) {
	var head recordHeader
	if err := cbor.Unmarshal(payload, &head); err != nil {
		return nil, err
	}
	if head.Format > recordFormat {
		return nil, fmt.Errorf("format %d: %w", head.Format, ErrNewerFormat)
	}
	if head.Format == 0 {
		return nil, errNotARecord
	}
	var entries []Entry
	if err := cbor.Unmarshal(head.Entries, &entries); err != nil {
		return nil, err
	}
	return entries, nil
}
