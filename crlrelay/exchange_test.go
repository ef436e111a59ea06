package crlrelay

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// recordedExchange records what is exchanged. Its message says whether it is the first to a source.
type recordedExchange struct {
	mu       sync.Mutex
	received []string // messages of followers
	learned  []string // replies of sources
}

func (e *recordedExchange) Request(isNew bool) json.RawMessage {
	if isNew {
		return json.RawMessage(`"all"`)
	}
	return json.RawMessage(`"more"`)
}

func (e *recordedExchange) Reply(request json.RawMessage) json.RawMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, string(request))
	return request
}

func (*recordedExchange) Pending() bool { return true }

func (e *recordedExchange) Learn(reply json.RawMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.learned = append(e.learned, string(reply))
}

func (e *recordedExchange) firstReceived() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.received) == 0 {
		return ""
	}
	return e.received[0]
}

// newExchangingDaemon returns a loaded daemon that is confirmed until ctx ends, with its exchange.
func newExchangingDaemon(ctx context.Context, id string, now crlclock.Clock) (*testDaemon, *recordedExchange) {
	d, exchange := newDaemon("", now), &recordedExchange{}
	d.server = NewServer(ServerConfig{
		Self: crlid.Incarnation(id), Replicas: map[Topic]*Replica{testTopic: d.replica}, Roster: func() Roster { return d.roster }, Now: now,
		Exchange: exchange,
	})
	d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(1))
	go confirmPeriodically(ctx, d)
	return d, exchange
}

// TestRestartedSourceGetsTheFirstMessage guards against messages that only continue what the source knew before its restart.
func TestRestartedSourceGetsTheFirstMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		now := crlclock.NewMonotonic()
		source, _ := newExchangingDaemon(ctx, "a1", now)
		n := newNetwork(map[string]*testDaemon{"a": source})
		follower := newDaemon("b", now)
		f := newFollower(follower, n, "b", "a", "b")
		own := &recordedExchange{}
		f.config.Exchange = own
		go func() { _ = f.Run(ctx) }()
		time.Sleep(3 * time.Second)
		restarted, exchange := newExchangingDaemon(ctx, "a2", now)
		n.put("a", restarted)
		time.Sleep(3 * time.Second)
		exchange.mu.Lock()
		firsts := 0
		for _, message := range exchange.received {
			if message == `"all"` {
				firsts++
			}
		}
		exchange.mu.Unlock()
		if firsts != 1 {
			t.Errorf("a source that restarted got the first message %d times, want once", firsts)
		}
		own.mu.Lock()
		if len(own.learned) == 0 {
			t.Error("the follower learned no reply")
		}
		own.mu.Unlock()
		cancel()
		time.Sleep(time.Second)
	})
}

// TestSecondReaderExchangesWithTheFirst guards against messages that stay divided between two readers, which follow nobody.
func TestSecondReaderExchangesWithTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		now := crlclock.NewMonotonic()
		first, exchange := newExchangingDaemon(ctx, "a1", now)
		second, _ := newExchangingDaemon(ctx, "b1", now)
		n := newNetwork(map[string]*testDaemon{"a": first, "b": second})
		f := newFollower(second, n, "b", "a", "b")
		f.config.Exchange = &recordedExchange{}
		go func() { _ = f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if got := exchange.firstReceived(); got != `"all"` {
			t.Errorf("the first reader received %q from the second, want a first message", got)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// callingExchange calls the follower when it is asked for messages, as the tracker of roll-outs does with its own lock held.
type callingExchange struct {
	recordedExchange

	follower *Follower
}

func (e *callingExchange) Pending() bool { return e.follower.Count() > 0 }

// TestFollowerHoldsNoLockWhenItCalls guards against a deadlock that CI found once: a follower asked for pending messages with its lock held,
// while the tracker of roll-outs, with its own lock held, asked it for the number of daemons.
func TestFollowerHoldsNoLockWhenItCalls(t *testing.T) {
	now := crlclock.NewMonotonic()
	d := newDaemon("b1", now)
	d.replica.Replace(nil, at(0))
	d.replica.Confirm(now(), 0)
	f := newFollower(d, newNetwork(nil), "b", "a", "b")
	f.config.Exchange = &callingExchange{follower: f}
	f.config.StoreFailing = func() bool { return f.Count() == 0 }
	done := make(chan bool, 1)
	go func() {
		_, ok := f.nextSource()
		done <- ok
	}()
	select {
	case ok := <-done:
		if !ok {
			t.Error("the second reader has messages but no source")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("deadlock")
	}
}

// lateExchange replies with the time since the message of the follower arrived.
type lateExchange struct {
	recordedExchange

	now crlclock.Clock
}

func (e *lateExchange) Receive(json.RawMessage) func() json.RawMessage {
	receivedAt := e.now()
	return func() json.RawMessage { return json.RawMessage(`"` + e.now().Sub(receivedAt).String() + `"`) }
}

// TestDeferredReplyIsAsNewAsTheAnswer guards against replies that are as old as the time for which a source holds a call.
func TestDeferredReplyIsAsNewAsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		d := newDaemon("a1", now)
		d.server.config.Exchange = &lateExchange{now: now}
		d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(1))
		d.replica.Confirm(now(), 0)
		first, err := d.server.Follow(t.Context(), FollowRequest{})
		if err != nil {
			t.Fatal(err)
		}
		held, err := d.server.Follow(t.Context(), FollowRequest{
			Source: first.Source, Cursors: map[Topic]Cursor{testTopic: first.Topics[testTopic].Cursor}, MaxWait: 300,
		})
		if err != nil || string(held.Exchange) != `"300ms"` {
			t.Errorf("the reply to a call that was held for 300 ms is %s, %v", held.Exchange, err)
		}
	})
}
