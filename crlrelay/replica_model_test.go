package crlrelay

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// modelLink follows other routers of a model with the Follower and the Servers that the routers use. At most one call is under way; its reply is made when
// the call begins and arrives later.
type modelLink struct {
	follower *Follower
	server   *Server
	source   *Server       // of the call under way
	replied  chan struct{} // closed once the source has made its reply
	arrives  chan bool     // whether the reply arrives; nil without a call
	ended    chan struct{}
}

// start connects a replica of a router that starts.
func (l *modelLink) start(replica *Replica, incarnation int, now crlclock.Clock) {
	l.end(false)
	replicas := map[Topic]*Replica{testTopic: replica}
	l.server = NewServer(ServerConfig{
		Self: crlid.Incarnation(fmt.Sprint(incarnation)), Replicas: replicas, Roster: func() Roster { return Roster{} }, Now: now,
	})
	l.follower = NewFollower(FollowerConfig{
		Replicas: replicas, ApplyOrder: []Topic{testTopic}, Peers: l, Now: now, Log: crllog.New(crllog.Config{Output: io.Discard}),
		MaxAge: map[Topic]time.Duration{testTopic: time.Second}, StoreFailing: func() bool { return false },
	})
}

// call begins a call to a source if none is under way.
func (l *modelLink) call(address string, source *Server) {
	if l.arrives != nil {
		return
	}
	l.source, l.replied, l.arrives, l.ended = source, make(chan struct{}), make(chan bool), make(chan struct{})
	go func() {
		defer close(l.ended)
		l.follower.follow(context.Background(), Member{Address: address})
	}()
	<-l.replied
}

// end ends the call under way, if any; its reply may be lost.
func (l *modelLink) end(arrives bool) {
	if l.arrives != nil {
		l.arrives <- arrives
		<-l.ended
		l.arrives = nil
	}
}

// Call passes a request of the follower to the source.
func (l *modelLink) Call(ctx context.Context, _ string, _ crlpeer.Method, params, result any) error {
	request := params.(FollowRequest)
	request.MaxWait = 0
	response, err := l.source.Follow(ctx, request)
	close(l.replied)
	if err != nil || !<-l.arrives {
		return errCut
	}
	*result.(*FollowResponse) = response
	return nil
}

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
	modelLink
	replica     *Replica
	incarnation int
	read        func()
}

// modelNow is the time in a model whose clock stands still.
func modelNow() crlclock.Instant { return crlclock.Instant(time.Hour) }

func (n *modelNode) restart() {
	n.replica = NewReplica(ReplicaConfig{OnChange: func([]crlplatform.KeyedRecord, crlclock.Instant) {}, Now: modelNow})
	n.incarnation++
	n.read = nil
	n.start(n.replica, n.incarnation, modelNow)
}

// readStore begins a read of the store, from the replica's end on or of all keys. What it reads arrives later.
func (n *modelNode) readStore(topic modelTopic) {
	end := crlid.Offset(len(topic))
	if from := n.replica.End().Offset; n.replica.Loaded() && from >= 0 {
		records := topic[from:end:end]
		n.read = func() {
			n.replica.Apply(records, at(end))
			n.replica.Confirm(modelNow(), 0)
		}
		return
	}
	var records []crlplatform.KeyedRecord
	for _, record := range topic.newest(end) {
		if !record.Deleted {
			records = append(records, record)
		}
	}
	n.read = func() {
		n.replica.Replace(records, at(end))
		n.replica.Confirm(modelNow(), 0)
	}
}

// catchUp reads the store to its end, instead of a read that is under way.
func (n *modelNode) catchUp(topic modelTopic) {
	n.readStore(topic)
	n.read()
	n.read = nil
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
				if from != to {
					nodes[from].call(fmt.Sprint(to), nodes[to].server)
				}
			},
			"read at once": func(t *rapid.T) { nodes[pick(t, "reader")].catchUp(topic) },
			"call at once": func(t *rapid.T) {
				from, to := pick(t, "follower"), pick(t, "source")
				if from != to {
					nodes[from].end(true)
					nodes[from].call(fmt.Sprint(to), nodes[to].server)
					nodes[from].end(true)
				}
			},
			"reply arrives": func(t *rapid.T) { nodes[pick(t, "follower")].end(true) },
			"reply is lost": func(t *rapid.T) { nodes[pick(t, "follower")].end(false) },
			"restart":       func(t *rapid.T) { nodes[pick(t, "restarted")].restart() },
			"": func(t *rapid.T) {
				for i, n := range nodes {
					if err := n.check(topic); err != nil {
						t.Fatalf("router %d: %v; topic %+v", i, err, topic)
					}
				}
			},
		})
		for i, n := range nodes {
			n.end(false)
			n.catchUp(topic)
			if end := n.replica.End().Offset; end != crlid.Offset(len(topic)) {
				t.Errorf("router %d: complete to %d after a read of %d records", i, end, len(topic))
			}
			if err := n.check(topic); err != nil {
				t.Errorf("router %d after a last read: %v", i, err)
			}
		}
	})
}
