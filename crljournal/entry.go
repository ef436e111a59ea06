package crljournal

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Kind determines the type of an entry's body. Each stream numbers its own kinds, below KindCheckpoint.
type Kind uint8

// Entry is one message of a stream, identified by its writer and sequence number. A log record holds one or more entries.
type Entry struct {
	Writer   crlid.Incarnation `cbor:"1,keyasint"`
	Sequence uint64            `cbor:"2,keyasint"` // counts the writer's entries in the stream, from 1
	Kind     Kind              `cbor:"3,keyasint"`
	Body     cbor.RawMessage   `cbor:"4,keyasint"`
}

// Position identifies an entry within a stream: the offset of its record and the index of the entry within the record.
type Position struct {
	Offset crlid.Offset
	Index  int
}

// LoggedEntry is an entry as read from the log, with its position and the time that the log assigned to its append.
type LoggedEntry struct {
	Entry
	Position Position
	Time     time.Time
}

// Decode unmarshals the body of the entry into body, which must be a pointer.
func (e Entry) Decode(body any) error {
	if err := cbor.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("decode entry %s/%d of kind %d: %w", e.Writer, e.Sequence, e.Kind, err)
	}
	return nil
}

// encoding keeps times to the nanosecond, so that a fold restored from a checkpoint compares the same times as one that read
// the entries.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode marshals a body or the state of a fold as CBOR, for Decode or cbor.Unmarshal.
func Encode(value any) ([]byte, error) { return encoding.Marshal(value) }

// recordFormat is the newest record format that this program reads, and the format that it writes.
//
// Increment it with every change after which an older program would derive a different state from a stream: a new kind of
// entry, or a new meaning of a body.
const recordFormat = 1

// recordHeader is common to all record formats; Entries is decoded only if the format is known.
type recordHeader struct {
	Format  uint            `cbor:"1,keyasint"`
	Entries cbor.RawMessage `cbor:"2,keyasint"`
}

// encodeBatch returns the payload of the record that holds the entries.
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

// DecodeRecord returns the entries of one record in order.
//
// ErrNewerFormat means that only a newer program can read the record. Any other error means that the payload is not a valid
// record. Validity depends on the payload alone, so all readers agree on it and may skip the record.
func DecodeRecord(record crlplatform.Record) ([]LoggedEntry, error) {
	entries, err := decodeBatch(record.Payload)
	if err != nil {
		return nil, fmt.Errorf("decode record %d: %w", record.Offset, err)
	}
	logged := make([]LoggedEntry, len(entries))
	for i, e := range entries {
		logged[i] = LoggedEntry{Entry: e, Position: Position{Offset: record.Offset, Index: i}, Time: record.Time}
	}
	return logged, nil
}

// errNotARecord is returned for valid CBOR without a record format.
var errNotARecord = errors.New("payload is not a record")

func decodeBatch(payload []byte) ([]Entry, error) {
	var header recordHeader
	if err := cbor.Unmarshal(payload, &header); err != nil {
		return nil, err
	}
	if header.Format > recordFormat {
		return nil, fmt.Errorf("format %d: %w", header.Format, ErrNewerFormat)
	}
	if header.Format == 0 {
		return nil, errNotARecord
	}
	var entries []Entry
	if err := cbor.Unmarshal(header.Entries, &entries); err != nil {
		return nil, err
	}
	return entries, nil
}
