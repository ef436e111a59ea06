package crlrelay

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// packedReply returns a source's reply to a follower that has nothing, as it arrives.
func packedReply(t *testing.T, source *testDaemon, unpacks bool) TopicDelta {
	t.Helper()
	response, err := source.server.Follow(t.Context(), FollowRequest{Unpacks: unpacks})
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	var arrived FollowResponse
	if err := json.Unmarshal(encoded, &arrived); err != nil {
		t.Fatal(err)
	}
	return arrived.Topics[testTopic]
}

// applyAll returns what a daemon without records holds after a reply.
func applyAll(t *testing.T, delta TopicDelta) string {
	t.Helper()
	d := newDaemon("follower", crlclock.NewMonotonic())
	records, err := delta.decodeAll()
	if err != nil {
		t.Fatal(err)
	}
	d.replica.Replace(records, at(delta.End))
	return d.contents()
}

// TestPackedTopicArrivesUnchanged guards against a pack that is older than the rest of its reply: changes and deletions since it was made must arrive
// too, also deletions that the source has forgotten. Followers of earlier versions get no pack.
func TestPackedTopicArrivesUnchanged(t *testing.T) {
	const servers = 3 * maxDeleted
	source := newDaemon("source", crlclock.NewMonotonic())
	source.replica.config.OutageAfter = 0
	next := crlid.Offset(1)
	change := func(from, to int, value string) {
		var records []crlplatform.KeyedRecord
		for n := from; n < to; n++ {
			records = append(records, record(fmt.Sprint("server-", n), next, value))
			next++
		}
		source.replica.Apply(records, at(next))
	}
	source.replica.Replace(nil, at(0))
	change(0, servers, `{"zone":"d1","version":"7","slots":32,"state":"in"}`)
	first := packedReply(t, source, true)
	for _, c := range []struct {
		name     string
		from, to int
		value    string
		sameText bool // whether the pack is used again
	}{
		{"nothing", 0, 0, "", true},
		{"a change", 0, 1, "leaving", true},
		{"a deletion", 1, 2, "", true},
		{"a new server", servers, servers + 1, "in", true},
		{"many changes", 5, 5 + repackFromChanges, "in", false},
		{"forgotten deletions", 100, 110 + maxDeleted, "", false},
	} {
		change(c.from, c.to, c.value)
		got := packedReply(t, source, true)
		if len(got.Packed) == 0 || (string(got.Packed) == string(first.Packed)) != c.sameText {
			t.Errorf("%s: a pack of %d bytes, want the first one again: %v", c.name, len(got.Packed), c.sameText)
		}
		if applyAll(t, got) != source.contents() {
			t.Errorf("%s: the follower holds other records than the source", c.name)
		}
		plain := packedReply(t, source, false)
		if plain.Packed != nil || applyAll(t, plain) != source.contents() {
			t.Errorf("%s: a follower of an earlier version doesn't get the records", c.name)
		}
	}
}

// TestForgottenDeletionEndsThePack guards against a deleted server that returns: few changes since the pack, but its deletion is forgotten.
func TestForgottenDeletionEndsThePack(t *testing.T) {
	var records []versionedRecord
	for n := range packFromRecords + 1 {
		records = append(records, versionedRecord{record: record(fmt.Sprint(n), crlid.Offset(n), "a value that can be compressed, as it is long"), change: Cursor(n + 1)})
	}
	p, message := new(pack), TopicDelta{}
	p.addTo(&message, &delta{records: records, full: true, cursor: Cursor(len(records))})
	without := records[1:]
	message = TopicDelta{}
	p.addTo(&message, &delta{records: without, full: true, cursor: Cursor(len(records))})
	got, err := message.decodeAll()
	if err != nil || len(got) != len(without) {
		t.Errorf("got %d records (%v), want %d", len(got), err, len(without))
	}
}

// TestDamagedPackIsRefused guards against a reply that is applied as an empty topic, which would delete all records.
func TestDamagedPackIsRefused(t *testing.T) {
	for _, packed := range [][]byte{[]byte("{}"), {}, compress([]byte(`{"key":"not a list","key":"not a list","key":"not a list"}`))} {
		if got, err := (TopicDelta{Full: true, Packed: packed}).decodeAll(); err == nil {
			t.Errorf("%q became %d records", packed, len(got))
		}
	}
}
