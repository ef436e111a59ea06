package crlrelay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// modelTopic is the topic of the store, as a log of all its records.
type modelTopic []crlplatform.KeyedRecord

// newest returns the newest record of each key before an offset.
func (m modelTopic) newest(end crlid.Offset) map[string]crlplatform.KeyedRecord {
	newest := make(map[string]crlplatform.KeyedRecord)
	for _, record := range m[:max(end, 0)] {
		newest[record.Key] = record
	}
	return newest
}

// modelNode is a router with a replica of the topic. At most one read of the store and one call to another router are under way.
type modelNode struct {
	replica     *Replica
	incarnation int
	read        func()
	reply       func()
	source      string // the router and incarnation that cursor is of
	cursor      Cursor
}

func (n *modelNode) restart() {
	n.replica = NewReplica(ReplicaConfig{
		OnChange: func([]crlplatform.KeyedRecord, crlclock.Instant) {}, Now: func() crlclock.Instant { return 0 },
	})
	n.incarnation++
	n.read, n.reply, n.source, n.cursor = nil, nil, "", 0
}

// readStore begins a read of the store, from the replica's end on or of all keys. What it reads arrives later.
func (n *modelNode) readStore(topic modelTopic) {
	end := crlid.Offset(len(topic))
	if from := n.replica.End().Offset; n.replica.Loaded() && from >= 0 {
		records := topic[from:end:end]
		n.read = func() { n.replica.Apply(records, at(end)) }
		return
	}
	var records []crlplatform.KeyedRecord
	for _, record := range topic.newest(end) {
		if !record.Deleted {
			records = append(records, record)
		}
	}
	n.read = func() { n.replica.Replace(records, at(end)) }
}

// follow begins a call to another router, whose reply arrives later.
func (n *modelNode) follow(name string, source *modelNode) {
	if !source.replica.Loaded() {
		return
	}
	identity := fmt.Sprint(name, source.incarnation)
	if identity != n.source {
		n.source, n.cursor = identity, 0
	}
	end := crlid.NoPosition
	if n.replica.Loaded() {
		end = n.replica.End()
	}
	d := source.replica.since(n.cursor, end, nil)
	var records []crlplatform.KeyedRecord
	for _, held := range d.records {
		records = append(records, held.record)
	}
	n.reply = func() {
		n.cursor = d.cursor
		if d.full {
			n.replica.Replace(records, d.end)
		} else {
			n.replica.Apply(records, d.end)
		}
	}
}

// check returns an error if the replica isn't what the topic had at the end that it states, or has older records of some keys than it.
func (n *modelNode) check(topic modelTopic) error {
	if !n.replica.Loaded() {
		return nil
	}
	end := n.replica.End().Offset
	newest := topic.newest(end)
	for key, held := range n.replica.records {
		want := newest[key]
		if held.record.Position.Before(at(end)) && held.record.Position.Before(want.Position) && (!held.record.Deleted || !want.Deleted) {
			return fmt.Errorf("complete to %d, but holds %+v in place of %+v", end, held.record, want)
		}
	}
	for key, want := range newest {
		if held, ok := n.replica.records[key]; !want.Deleted && (!ok || held.record.Position.Before(want.Position)) {
			return fmt.Errorf("complete to %d, but lacks %s of %d", end, key, want.Position.Offset)
		}
	}
	return nil
}

// TestReplicaNeverHoldsWhatWasReplaced guards against routers that send requests to servers which have left (DRAIN), because a router that started again brought
// removed records back into the copies of all: a copy that is complete up to an offset takes no record from before it, however reads of the store, answers of other
// routers and restarts overlap.
func TestReplicaNeverHoldsWhatWasReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var topic modelTopic
		nodes := make([]*modelNode, 3)
		for i := range nodes {
			nodes[i] = &modelNode{}
			nodes[i].restart()
		}
		pick := func(t *rapid.T, label string) int { return rapid.IntRange(0, len(nodes)-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				topic = append(topic, crlplatform.KeyedRecord{Key: key, Deleted: rapid.Bool().Draw(t, "deleted"), Position: at(crlid.Offset(len(topic)))})
			},
			"read": func(t *rapid.T) {
				if n := nodes[pick(t, "reader")]; n.read == nil {
					n.readStore(topic)
				}
			},
			"read arrives": func(t *rapid.T) {
				if n := nodes[pick(t, "reader")]; n.read != nil {
					n.read()
					n.read = nil
				}
			},
			"call": func(t *rapid.T) {
				from, to := pick(t, "follower"), pick(t, "source")
				if from != to && nodes[from].reply == nil {
					nodes[from].follow(fmt.Sprint(to, "/"), nodes[to])
				}
			},
			"reply arrives": func(t *rapid.T) {
				if n := nodes[pick(t, "follower")]; n.reply != nil {
					n.reply()
					n.reply = nil
				}
			},
			"restart": func(t *rapid.T) { nodes[pick(t, "restarted")].restart() },
			"": func(t *rapid.T) {
				for i, n := range nodes {
					if err := n.check(topic); err != nil {
						t.Fatalf("router %d: %v; topic %+v", i, err, topic)
					}
				}
			},
		})
		for i, n := range nodes {
			n.readStore(topic)
			n.read()
			if end := n.replica.End().Offset; end != crlid.Offset(len(topic)) {
				t.Errorf("router %d: complete to %d after a read of %d records", i, end, len(topic))
			}
			if err := n.check(topic); err != nil {
				t.Errorf("router %d after a last read: %v", i, err)
			}
		}
	})
}
