package crlrelay

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// randomBytes returns bytes that can't be compressed.
func randomBytes(size int) []byte {
	b := make([]byte, size)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(b)
	return b
}

// transfer returns the message that arrives when one is sent.
func transfer(t interface{ Fatal(...any) }, sent any) (message Record) {
	encoded, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encoded, &message); err != nil {
		t.Fatal(err)
	}
	return message
}

// TestRecordsArriveUnchanged checks that records are the same after their way in a message, whatever their size.
func TestRecordsArriveUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "unit")
		sent := crlplatform.KeyedRecord{
			Key: rapid.String().Draw(t, "key"), Position: at(7), Value: bytes.Repeat(unit, rapid.IntRange(1, 2000).Draw(t, "times")),
		}
		message := transfer(t, encodeRecord(sent, 0, new(compressedValue)))
		got, err := decodeRecord(message, 0)
		if err != nil {
			t.Fatal(err)
		}
		if sent.Key = message.Key; !cmp.Equal(got, sent) { // JSON replaces invalid characters of a key.
			t.Fatalf("got a record of %d bytes, want the %d that were sent", len(got.Value), len(sent.Value))
		}
	})
}

// TestLargeRecordsAreCompressed checks which records are sent compressed.
func TestLargeRecordsAreCompressed(t *testing.T) {
	repeating := []byte(strings.Repeat(`{"service":"s"},`, compressFromBytes))
	for _, test := range []struct {
		name         string
		value        []byte
		decompresses bool
		want         bool
	}{
		{name: "large", value: repeating, decompresses: true, want: true},
		{name: "large, for a daemon of an earlier version", value: repeating, want: false},
		{name: "small", value: repeating[:compressFromBytes-1], decompresses: true, want: false},
		{name: "incompressible", value: randomBytes(2 * compressFromBytes), decompresses: true, want: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := delta{records: []versionedRecord{{record: crlplatform.KeyedRecord{Value: test.value}, compressed: new(compressedValue)}}}
			got := d.messages(test.decompresses)[0]
			if got.Compressed != test.want || got.Compressed && len(got.Value) > len(test.value)/10 {
				t.Errorf("compressed %v to %d of %d bytes, want compressed %v", got.Compressed, len(got.Value), len(test.value), test.want)
			}
		})
	}
}

// TestRecordsOfEarlierVersionsAreUnderstood guards against a daemon that can't follow one of an earlier version, whose records have other
// names of fields, while VMs are updated one by one.
func TestRecordsOfEarlierVersionsAreUnderstood(t *testing.T) {
	want := crlplatform.KeyedRecord{Key: "config", Value: []byte("{}"), Position: at(3)}
	got, err := decodeRecord(transfer(t, struct {
		Key     string
		Value   []byte
		Deleted bool
		Offset  int64
	}{want.Key, want.Value, want.Deleted, 3}), 0)
	if err != nil || !cmp.Equal(got, want) {
		t.Errorf("got %+v and error %v, want %+v", got, err, want)
	}
}

// TestDamagedRecordIsRefused guards against damaged bytes that are taken for a configuration.
func TestDamagedRecordIsRefused(t *testing.T) {
	whole := encodeRecord(crlplatform.KeyedRecord{Value: bytes.Repeat([]byte("configuration "), compressFromBytes)}, 0, new(compressedValue))
	for name, value := range map[string][]byte{
		"cut off": whole.Value[:len(whole.Value)/2], "no compressed data": []byte("configuration"), "empty": nil,
	} {
		if r, err := decodeRecord(Record{Key: "config", Value: value, Compressed: true}, 0); err == nil {
			t.Errorf("%s: got a record of %d bytes, want an error", name, len(r.Value))
		}
	}
}
