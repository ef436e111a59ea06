package crljournal_test

import (
	"context"
	"errors"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

func marshal(value any) ([]byte, error)     { return cbor.Marshal(value) }
func unmarshal(raw []byte, value any) error { return cbor.Unmarshal(raw, value) }
func read(log *crlfake.Log) []crlplatform.Record {
	page, _ := log.Read(context.Background(), crlplatform.ReadRequest{Stream: testStream, From: crlid.NoOffset, Limit: 1 << 20})
	return page.Records
}

// recorded returns how many entries the log holds, repeats included.
func recordedEntries(t *testing.T, log *crlfake.Log) int {
	t.Helper()
	n := 0
	for _, r := range read(log) {
		placed, err := crljournal.DecodeRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		n += len(placed)
	}
	return n
}

func newReplica() (*crljournal.Replica, *counter) {
	fold := newCounter()
	return crljournal.NewReplica(crljournal.ReplicaConfig{Fold: fold, Horizon: 100 * time.Second}), fold
}

// TestReplicaIsTheSameByEntriesAndByCheckpoint folds repeats before and after a checkpoint taken anywhere.
func TestReplicaFromEntriesEqualsReplicaFromCheckpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []crljournal.LoggedEntry
		sequences := make(map[crlid.Incarnation]uint64)
		for offset := range rapid.IntRange(1, 40).Draw(t, "entries") {
			writer := crlid.Incarnation(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer"))
			sequence := sequences[writer] + 1
			if sequence > 1 && rapid.Bool().Draw(t, "repeat") {
				sequence = rapid.Uint64Range(1, sequence-1).Draw(t, "sequence")
			} else {
				sequences[writer] = sequence
			}
			body, _ := cbor.Marshal(int(writer[0])*1000 + int(sequence))
			entries = append(entries, crljournal.LoggedEntry{
				Entry:    crljournal.Entry{Writer: writer, Sequence: sequence, Kind: testKind, Body: body},
				Position: crljournal.Position{Offset: crlid.Offset(offset)}, Time: time.Unix(int64(offset), 0),
			})
		}
		cut := rapid.IntRange(0, len(entries)).Draw(t, "cut")
		whole, wholeFold := newReplica()
		whole.Fold(crljournal.Batch{Entries: entries[:cut], Next: crlid.Offset(cut), Head: crlid.Offset(len(entries))})
		checkpoint, err := whole.Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		rest := crljournal.Batch{Entries: entries[cut:], Next: crlid.Offset(len(entries)), Head: crlid.Offset(len(entries))}
		whole.Fold(rest)
		restored, restoredFold := newReplica()
		restored.Fold(crljournal.Batch{Checkpoint: &checkpoint, Next: crlid.Offset(cut), Head: rest.Head})
		restored.Fold(rest)
		whole.Fold(crljournal.Batch{Checkpoint: &checkpoint, Next: crlid.Offset(cut), Head: rest.Head})
		if !maps.Equal(wholeFold.seen, restoredFold.seen) {
			t.Fatalf("by entries %v, by checkpoint at %d %v", wholeFold.seen, cut, restoredFold.seen)
		}
		for n, times := range wholeFold.seen {
			if times != 1 {
				t.Fatalf("entry %d counted %d times", n, times)
			}
		}
	})
}

// TestTailStartsFromACheckpointAfterATrim writes more than one part and trims what precedes the checkpoint.
func TestTailStartsFromCheckpointAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel, log, w := startWriter(t, crlfake.LogFaults{})
		defer cancel()
		first, firstFold := newReplica()
		go follow(ctx, log, first)
		const wide, before, after = 1 << 40, 60_000, 500 // wide numbers make a large state
		submit(t, w, wide, wide+before)
		if err := w.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		checkpoint, err := first.Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		if n := len(checkpoint.Parts("id")); n < 2 {
			t.Fatalf("the checkpoint has %d parts, the test needs several", n)
		}
		if err := checkpoint.Write(ctx, w, "id"); err != nil {
			t.Fatal(err)
		}
		submit(t, w, wide+before, wide+before+after)
		if err := w.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(crlfake.LogFaults{KeepRecords: after})
		late, lateFold := newReplica()
		go follow(ctx, log, late)
		time.Sleep(time.Second)
		synctest.Wait()
		if !maps.Equal(firstFold.seen, lateFold.seen) || len(lateFold.seen) != before+after {
			t.Errorf("%d entries by checkpoint, %d by entries, want %d", len(lateFold.seen), len(firstFold.seen), before+after)
		}
		if !late.CompleteSince(time.Time{}) || late.CurrentAsOf().IsZero() {
			t.Error("a replica from a whole checkpoint is complete and caught up")
		}
		log.SetFaults(crlfake.LogFaults{KeepRecords: 1})
		blind, _ := newReplica()
		go follow(ctx, log, blind)
		time.Sleep(time.Second)
		synctest.Wait()
		if blind.CompleteSince(time.Now().Add(-time.Hour)) {
			t.Error("a replica without a checkpoint claims to know what was trimmed")
		}
	})
}

func submit(t *testing.T, w *crljournal.Writer, from, to int) {
	t.Helper()
	for n := from; n < to; n++ {
		if _, err := w.Submit(testKind, n); err != nil {
			t.Fatal(err)
		}
	}
}

// TestTailStopsBeforeANewerFormatAndLeavesOutNoRecords checks that daemons of two programs never fold different states.
func TestTailStopsBeforeNewerFormatAndSkipsInvalidRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel, log, w := startWriter(t, crlfake.LogFaults{})
		defer cancel()
		_, _ = log.Append(ctx, testStream, []byte("no record"))
		submit(t, w, 0, 1)
		_ = w.Flush(ctx)
		newer, _ := cbor.Marshal(map[int]any{1: 99, 2: "unknown"})
		_, _ = log.Append(ctx, testStream, newer)
		submit(t, w, 1, 2)
		_ = w.Flush(ctx)
		replica, fold := newReplica()
		go follow(ctx, log, replica)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(fold.seen) != 1 || fold.seen[0] != 1 {
			t.Errorf("folded %v, want only what precedes the newer record", fold.seen)
		}
		if !replica.CurrentAsOf().IsZero() {
			t.Error("the replica says that it is caught up")
		}
	})
}

func FuzzDecodeRecord(f *testing.F) {
	for _, seed := range []any{map[int]any{1: 1, 2: []any{}}, map[int]any{1: 2}, []any{1}, "x"} {
		raw, _ := cbor.Marshal(seed)
		f.Add(raw)
	}
	f.Add([]byte{0xa2, 0x01, 0x01, 0x02, 0x81, 0xa4, 0x01, 0x61, 0x61, 0x02, 0x01, 0x03, 0x01, 0x04, 0x05})
	f.Fuzz(func(t *testing.T, payload []byte) {
		record := crlplatform.Record{Offset: 7, Payload: payload}
		placed, err := crljournal.DecodeRecord(record)
		again, errAgain := crljournal.DecodeRecord(record)
		if (err == nil) != (errAgain == nil) || len(placed) != len(again) {
			t.Fatalf("two readings differ: %v, %v", err, errAgain)
		}
		if err != nil && len(placed) > 0 {
			t.Fatalf("%d entries beside the error %v", len(placed), err)
		}
		if errors.Is(err, crljournal.ErrNewerFormat) {
			return
		}
		for i, e := range placed {
			if e.Position != (crljournal.Position{Offset: 7, Index: i}) {
				t.Fatalf("entry %d stands at %v", i, e.Position)
			}
		}
	})
}
