package crlrelay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Record is a record of the store in messages.
type Record struct {
	Key    string       `json:"key"`
	Offset crlid.Offset `json:"offset"`
	// ErasBack is how many eras before that of the message the record is from: it stays in force although the store has lost it.
	ErasBack crlid.Era `json:"eras-back,omitempty"`
	Deleted  bool      `json:"deleted,omitempty"` // the record deletes its key
	Value    []byte    `json:"value,omitempty"`
	// Compressed reports whether Value is compressed by DEFLATE.
	Compressed bool `json:"compressed,omitempty"`
	// Known is the newest revision that a deleted key is known to have had, nil if none is. Daemons of earlier versions don't state it.
	Known *crlid.Revision `json:"known,omitempty"`
}

const (
	// compressFromBytes is the size from which a value is compressed. A smaller one takes a thin link for a moment only, less than a compressor's
	// memory is worth.
	compressFromBytes = 32 << 10
	maxValueBytes     = 64 << 20 // size up to which a value is decompressed
)

// compressedValue is the compressed form of a record's value, which is made when it is first sent.
type compressedValue struct {
	once  sync.Once
	value []byte // nil if the value doesn't become smaller
}

// encodeRecord returns the record of a message of the given era; compressed holds the compressed form for all that it is sent to.
func encodeRecord(r crlplatform.KeyedRecord, era crlid.Era, compressed *compressedValue) Record {
	message := Record{Key: r.Key, Offset: r.Position.Offset, ErasBack: era - r.Position.Era, Deleted: r.Deleted, Value: r.Value}
	if r.Known.IsStated() {
		message.Known = &r.Known
	}
	if len(r.Value) < compressFromBytes || compressed == nil {
		return message
	}
	compressed.once.Do(func() { compressed.value = compress(r.Value) })
	if compressed.value != nil {
		message.Value, message.Compressed = compressed.value, true
	}
	return message
}

// compress returns the compressed value, nil if it isn't smaller.
func compress(value []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil
	}
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(value)
	_ = w.Close()
	if b.Len() >= len(value) {
		return nil
	}
	return bytes.Clone(b.Bytes())
}

var errValueSize = errors.New("value is too large")

// decodeRecord returns the record of a message of the given era.
func decodeRecord(message Record, era crlid.Era) (crlplatform.KeyedRecord, error) {
	r := crlplatform.KeyedRecord{
		Key: message.Key, Position: crlid.Position{Era: era - max(message.ErasBack, 0), Offset: message.Offset}, Deleted: message.Deleted, Value: message.Value,
	}
	if message.Known != nil {
		r.Known = *message.Known
	}
	if !message.Compressed {
		return r, nil
	}
	value, err := decompress(message.Value)
	if err != nil {
		return crlplatform.KeyedRecord{}, fmt.Errorf("decompress record %s at offset %d: %w", message.Key, message.Offset, err)
	}
	r.Value = value
	return r, nil
}

// decompress returns the value that was compressed, or an error if it is damaged or larger than maxValueBytes.
func decompress(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxValueBytes+1))
	if err == nil && len(value) > maxValueBytes {
		err = errValueSize
	}
	return value, err
}

// decodeRecords returns the records of a message of the given era.
func decodeRecords(messages []Record, era crlid.Era) ([]crlplatform.KeyedRecord, error) {
	records := make([]crlplatform.KeyedRecord, 0, len(messages))
	for _, m := range messages {
		r, err := decodeRecord(m, era)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}
