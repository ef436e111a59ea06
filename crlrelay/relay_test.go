package crlrelay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

const testTopic Topic = "servers"

// at returns the position at an offset of a store that states no era.
func at(offset crlid.Offset) crlid.Position { return crlid.Position{Offset: offset} }

func record(key string, offset crlid.Offset, value string) crlplatform.KeyedRecord {
	return crlplatform.KeyedRecord{Key: key, Position: at(offset), Value: []byte(value), Deleted: value == ""}
}

// testDaemon is a replica with its server, and the values that OnChange reported for its topic.
type testDaemon struct {
	replica *Replica
	server  *Server
	now     crlclock.Clock
	roster  Roster
	delay   time.Duration // delay of a call to the daemon, and again of its reply
	cut     atomic.Bool   // whether calls to the daemon fail
	mu      sync.Mutex    // guards values and uncertainUntil
	values  map[string]string
	// uncertainUntil is until when deleted keys may reappear, as reported with the latest change.
	uncertainUntil crlclock.Instant
}

// contents returns the daemon's values as text.
func (d *testDaemon) contents() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprint(d.values)
}

// uncertain reports whether keys that the latest change deleted may still reappear.
func (d *testDaemon) uncertain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.uncertainUntil > d.now()
}

func newDaemon(id crlid.Incarnation, now crlclock.Clock) *testDaemon {
	d := &testDaemon{now: now, values: make(map[string]string)}
	d.replica = NewReplica(ReplicaConfig{
		OnChange: d.onChange, Now: now, OutageAfter: 2500 * time.Millisecond, Settle: 2200 * time.Millisecond,
		Same: func(a, b crlplatform.KeyedRecord) bool { return string(a.Value) == string(b.Value) },
	})
	d.server = NewServer(ServerConfig{
		Self: id, Replicas: map[Topic]*Replica{testTopic: d.replica}, Roster: func() Roster { return d.roster }, Now: now,
	})
	return d
}

func (d *testDaemon) onChange(records []crlplatform.KeyedRecord, uncertainUntil crlclock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uncertainUntil = uncertainUntil
	for _, r := range records {
		if r.Deleted {
			delete(d.values, r.Key)
		} else {
			d.values[r.Key] = string(r.Value)
		}
	}
}

// network forwards calls between the daemons of a test.
type network struct {
	mu      sync.Mutex             // guards daemons
	daemons map[string]*testDaemon // by address
}

func newNetwork(daemons map[string]*testDaemon) *network { return &network{daemons: daemons} }

func (n *network) lookUp(address string) (*testDaemon, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.daemons[address]
	return d, ok
}

func (n *network) put(address string, d *testDaemon) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.daemons[address] = d
}

var errCut = errors.New("cut off")

// Call forwards a call and its reply, each delayed by the delay of the called daemon.
func (n *network) Call(ctx context.Context, address string, _ crlpeer.Method, params, result any) error {
	d, ok := n.lookUp(address)
	if !ok || d.cut.Load() {
		time.Sleep(10 * time.Millisecond)
		return errCut
	}
	time.Sleep(d.delay)
	response, err := d.server.Follow(ctx, params.(FollowRequest))
	time.Sleep(d.delay)
	*result.(*FollowResponse) = response
	return err
}

// newFollower returns a follower that feeds the replica of d, at the given address and with a roster of the given members.
func newFollower(d *testDaemon, n *network, address string, members ...string) *Follower {
	f := NewFollower(FollowerConfig{
		Self: Member{Address: address}, Replicas: map[Topic]*Replica{testTopic: d.replica}, ApplyOrder: []Topic{testTopic}, Peers: n, Now: d.now,
		Log: crllog.New(crllog.Config{Output: io.Discard}), MaxAge: map[Topic]time.Duration{testTopic: 2 * time.Second},
		StoreFailing: func() bool { return false },
	})
	roster := Roster{Generation: 1}
	for _, m := range members {
		roster.Members = append(roster.Members, Member{Address: m})
	}
	f.UpdateRoster(roster)
	return f
}

// confirmPeriodically confirms a replica every 500 ms until ctx ends, like a reader whose reads of the store succeed.
func confirmPeriodically(ctx context.Context, d *testDaemon) {
	for ctx.Err() == nil {
		d.replica.Confirm(d.now(), 0)
		crlclock.Sleep(ctx, 500*time.Millisecond)
	}
}

// TestFollowerSwitchesReadersBeforeAnOutageIsDetected guards against treating a reader's loss of the store as an outage: the
// store refuses the first reader and serves the second. Followers of the first must still drop a server at once when it
// leaves. Seed 164166095898 of the scenario scale-2 broke the drain bound (DRAIN) in this way.
func TestFollowerSwitchesReadersBeforeAnOutageIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		refused, reader, other := newDaemon("a", now), newDaemon("b", now), newDaemon("c", now)
		n := newNetwork(map[string]*testDaemon{"a": refused, "b": reader, "c": other})
		for _, d := range []*testDaemon{refused, reader} {
			d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(1))
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		reading, refuseReads := context.WithCancel(ctx)
		go confirmPeriodically(reading, refused)
		go confirmPeriodically(ctx, reader)
		f := newFollower(other, n, "c", "a", "b", "c")
		go func() { _ = f.Run(ctx) }()
		time.Sleep(3 * time.Second)
		refuseReads()
		time.Sleep(4 * time.Second)
		reader.replica.Apply([]crlplatform.KeyedRecord{record("s1", 1, "")}, at(2))
		time.Sleep(time.Second)
		if other.contents() != "map[]" {
			t.Error("a follower still holds a server one second after its entry was deleted")
		}
		if other.uncertain() {
			t.Error("a follower treats a deletion as uncertain although the other reader had fresh confirmations throughout")
		}
		if f.ShouldReadStore() {
			t.Error("a follower with a working source reads the store itself")
		}
		cancel()
		time.Sleep(time.Second) // Let calls in flight return.
	})
}

// TestDeletionsSoonAfterAnOutageAreUncertain guards against dropping servers whose entries expired because the store was down:
// after a time without confirmation, a deleted key may reappear until the settle time has passed.
func TestDeletionsSoonAfterAnOutageAreUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon("a", crlclock.NewMonotonic())
		d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in"), record("s2", 1, "in")}, at(2))
		d.replica.Confirm(d.now(), 0)
		time.Sleep(4 * time.Second)
		d.replica.Confirm(d.now(), 0)
		time.Sleep(time.Second)
		d.replica.Confirm(d.now(), 0)
		d.replica.Apply([]crlplatform.KeyedRecord{record("s1", 2, "")}, at(3))
		if !d.uncertain() {
			t.Error("an entry deleted one second after an outage is treated as certainly gone")
		}
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			d.replica.Confirm(d.now(), 0)
		}
		d.replica.Apply([]crlplatform.KeyedRecord{record("s2", 3, "")}, at(4))
		if d.uncertain() {
			t.Error("an entry deleted three seconds after an outage is treated as uncertain")
		}
	})
}

// TestRelayedConfirmationIsNeverNewerThanTheSource compares a follower's confirmations with its reader's, with calls of several
// durations, and bounds their age.
func TestRelayedConfirmationIsNeverNewerThanTheSource(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := crlclock.NewMonotonic()
				reader, other := newDaemon("a", now), newDaemon("b", now)
				reader.delay = delay
				reader.replica.Replace(nil, at(0))
				ctx, cancel := context.WithCancel(t.Context())
				f := newFollower(other, newNetwork(map[string]*testDaemon{"a": reader, "b": other}), "b", "a", "x", "b")
				go func() { _ = f.Run(ctx) }()
				for range 50 {
					reader.replica.Confirm(now(), 0)
					time.Sleep(137 * time.Millisecond)
					if reader.replica.ConfirmedAt() < other.replica.ConfirmedAt() {
						t.Fatal("a follower's confirmation is newer than its reader's")
					}
				}
				if age := now().Sub(other.replica.ConfirmedAt()); age > FollowWait+4*delay+137*time.Millisecond {
					t.Errorf("the follower was last confirmed %s ago", age)
				}
				cancel()
				time.Sleep(time.Second) // Let calls in flight return.
			})
		})
	}
}

// misstatingCaller replies once to each call, with a given held time and age of the confirmation.
type misstatingCaller struct{ heldFor, age Milliseconds }

func (c misstatingCaller) Call(ctx context.Context, _ string, _ crlpeer.Method, _, result any) error {
	crlclock.Sleep(ctx, 100*time.Millisecond)
	*result.(*FollowResponse) = FollowResponse{
		Source: "a", HeldFor: c.heldFor, Topics: map[Topic]TopicDelta{testTopic: {Full: true, Cursor: 1, End: 1, ConfirmationAge: c.age}},
	}
	return nil
}

// TestConfirmationIsNeverFromTheFuture guards against a source that states to have held a call for longer than it took, or an age that
// overflows: the copy would look fresh from then on, even without a source.
func TestConfirmationIsNeverFromTheFuture(t *testing.T) {
	for _, c := range []misstatingCaller{
		{heldFor: 3_600_000, age: 10},
		{heldFor: math.MaxInt64, age: 0},
		{heldFor: 0, age: math.MaxInt64},
		{heldFor: math.MinInt64, age: math.MaxInt64},
		{heldFor: 0, age: math.MaxInt64 / 500_000},
		{heldFor: math.MaxInt64, age: math.MaxInt64},
	} {
		t.Run(fmt.Sprint(c.heldFor, " ", c.age), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDaemon("b", crlclock.NewMonotonic())
				time.Sleep(48 * time.Hour)
				f := newFollower(d, nil, "b", "a", "x", "b")
				f.config.Peers = c
				usable := f.follow(t.Context(), Member{Address: "a"})
				if at := d.replica.ConfirmedAt(); at > d.now() {
					t.Errorf("the copy was confirmed %s from now", at.Sub(d.now()))
				}
				if old := c.age > 2000; usable == old {
					t.Errorf("a confirmation with an age of %d ms is usable: %v", c.age, usable)
				}
			})
		})
	}
}

// redirectingCaller names another source in each reply and counts the calls.
type redirectingCaller struct{ calls atomic.Int32 }

func (c *redirectingCaller) Call(ctx context.Context, address string, _ crlpeer.Method, _, result any) error {
	c.calls.Add(1)
	crlclock.Sleep(ctx, time.Millisecond)
	next := map[string]string{"a": "b", "b": "a"}[address]
	*result.(*FollowResponse) = FollowResponse{Source: crlid.Incarnation(address), Sources: []Member{{Address: next}}}
	return nil
}

// TestRedirectsInACircleAreCalledSlowly guards against a starting daemon that calls two sources without a pause because each names the other.
func TestRedirectsInACircleAreCalledSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFollower(newDaemon("c", crlclock.NewMonotonic()), nil, "c")
		caller := new(redirectingCaller)
		f.config.Peers = caller
		f.SetSeeds([]string{"a", "b"})
		go func() { _ = f.Run(ctx) }()
		time.Sleep(20 * time.Millisecond)
		if calls := caller.calls.Load(); calls < 2 {
			t.Errorf("%d calls in 20 ms, want one of a source and one of that which it named", calls)
		}
		time.Sleep(5 * time.Second)
		if calls := caller.calls.Load(); calls < 10 || calls > 25 {
			t.Errorf("%d calls in 5 s, want about two a second", calls)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// TestFollowerReadsTheStoreWithoutAFreshPeer checks that a daemon falls back to the store while no peer sends it a fresh
// confirmation, and stops reading the store once one does.
func TestFollowerReadsTheStoreWithoutAFreshPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		reader, other := newDaemon("a", now), newDaemon("b", now)
		n := newNetwork(map[string]*testDaemon{"a": reader, "b": other})
		reader.replica.Replace(nil, at(0))
		ctx, cancel := context.WithCancel(t.Context())
		go confirmPeriodically(ctx, reader)
		f := newFollower(other, n, "b", "x", "a", "b")
		if !f.ShouldReadStore() {
			t.Error("a daemon that starts does not read the store")
		}
		go func() { _ = f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if f.ShouldReadStore() {
			t.Error("a daemon reads the store although a peer sends fresh confirmations")
		}
		reader.cut.Store(true)
		time.Sleep(4 * time.Second)
		if !f.ShouldReadStore() {
			t.Error("a daemon without a confirmation from any peer does not read the store")
		}
		reader.cut.Store(false)
		time.Sleep(2 * time.Second)
		if f.ShouldReadStore() {
			t.Error("a daemon still reads the store after a peer became reachable again")
		}
		cancel()
		time.Sleep(time.Second) // Let calls in flight return.
	})
}

// TestRestartedSourceReplacesAllRecords checks that a follower of a source that restarted gets all records again, and deletes
// those that the source no longer has.
func TestRestartedSourceReplacesAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		reader, other := newDaemon("a1", now), newDaemon("b", now)
		n := newNetwork(map[string]*testDaemon{"a": reader})
		reader.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in"), record("s2", 1, "in")}, at(2))
		reader.replica.Confirm(now(), 0)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFollower(other, n, "b", "a", "x", "b")
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		restarted := newDaemon("a2", now)
		n.put("a", restarted)
		time.Sleep(time.Second)
		restarted.replica.Replace([]crlplatform.KeyedRecord{record("s2", 1, "in"), record("s3", 4, "in")}, at(5))
		restarted.replica.Confirm(now(), 0)
		time.Sleep(2 * time.Second)
		if got := other.contents(); got != "map[s2:in s3:in]" {
			t.Errorf("the follower holds %s, want map[s2:in s3:in]", got)
		}
		cancel()
		time.Sleep(time.Second) // Let calls in flight return.
	})
}

// TestRestartedSourceThatLoadsSendsAllRecords guards against copies that count as current but lack a removal (DRAIN): a source that starts again replies before it
// has loaded, and a follower without another source then sends it the cursors of its former run.
func TestRestartedSourceThatLoadsSendsAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		source, other := newDaemon("a1", now), newDaemon("b", now)
		n := newNetwork(map[string]*testDaemon{"a": source})
		source.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in"), record("s2", 1, "in")}, at(2))
		source.replica.Confirm(now(), 0)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFollower(other, n, "b", "a")
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		restarted := newDaemon("a2", now)
		n.put("a", restarted)
		time.Sleep(200 * time.Millisecond)
		restarted.replica.Replace([]crlplatform.KeyedRecord{record("s2", 3, "in")}, at(4))
		restarted.replica.Confirm(now(), 0)
		time.Sleep(time.Second)
		if got := other.contents(); got != "map[s2:in]" || other.replica.End() != at(4) {
			t.Errorf("the follower holds %s up to %s, want map[s2:in] up to 4", got, other.replica.End())
		}
		cancel()
		time.Sleep(time.Second) // Let calls in flight return.
	})
}

// TestCursorFromElsewhereGetsAllRecords guards against a source that takes a cursor which it has not given out for one that is up to date.
func TestCursorFromElsewhereGetsAllRecords(t *testing.T) {
	d := newDaemon("a", crlclock.NewMonotonic())
	d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(1))
	if delta := d.replica.since(2, at(1), nil); !delta.full {
		t.Errorf("cursor 2 of 1 gets %d records, want all", len(delta.records))
	}
}

// TestLateReadDoesNotReviveARemovedKey guards against requests to a server that has left (DRAIN): the copy got all records from another router while a read of an
// older record of the store was under way, and held a still older removal of the key.
func TestLateReadDoesNotReviveARemovedKey(t *testing.T) {
	d := newDaemon("a", crlclock.NewMonotonic())
	d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(1))
	d.replica.Apply([]crlplatform.KeyedRecord{record("s1", 1, "")}, at(2))
	d.replica.Replace(nil, at(4))
	d.replica.Apply([]crlplatform.KeyedRecord{record("s1", 2, "in")}, at(3))
	if got := d.contents(); got != "map[]" {
		t.Errorf("the copy, which is complete up to 4, holds %s, want nothing", got)
	}
}

// TestOlderDeletionKeepsNoKey guards against requests to a server that has left (DRAIN): a source that got all records after the server's second departure still
// held the deletion of the first one, and its followers took the key for one that it has.
func TestOlderDeletionKeepsNoKey(t *testing.T) {
	d := newDaemon("a", crlclock.NewMonotonic())
	d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 1, "in")}, at(2))
	d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "")}, at(3))
	if got := d.contents(); got != "map[]" {
		t.Errorf("the copy, which is complete up to 3, holds %s, want nothing", got)
	}
}

// TestFollowerThatReadsTheStoreLearnsOfDeletions guards against requests to a server that has left (DRAIN): a follower had read of it in the store, and its source,
// which got all records after the server had left, had never known it.
func TestFollowerThatReadsTheStoreLearnsOfDeletions(t *testing.T) {
	for _, duringCall := range []bool{false, true} {
		now := func() crlclock.Instant { return crlclock.Instant(time.Hour) }
		source, follower := newDaemon("a", now), newDaemon("b", now)
		source.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(1))
		source.replica.Confirm(now(), 0)
		var link modelLink
		link.start(follower.replica, 1, now)
		link.call("a", source.server)
		link.end(true)
		readStore := func() { follower.replica.Apply([]crlplatform.KeyedRecord{record("s2", 1, "in")}, at(2)) }
		if !duringCall {
			readStore()
		}
		source.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(3))
		link.call("a", source.server)
		if duringCall {
			readStore()
		}
		link.end(true)
		link.call("a", source.server)
		link.end(true)
		if got := follower.contents(); got != "map[s1:in]" || follower.replica.End() != at(3) {
			t.Errorf("read during a call %v: the follower holds %s up to %s, want s1 up to 3", duringCall, got, follower.replica.End())
		}
	}
}

// TestFollowerAheadOfItsSourceIsHeld checks that a follower that has read more than its source isn't answered at once, call after call.
func TestFollowerAheadOfItsSourceIsHeld(t *testing.T) {
	source := newDaemon("a", crlclock.NewMonotonic())
	source.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(1))
	ends, eras := splitPositions(map[Topic]crlid.Position{testTopic: at(2)})
	response, err := source.server.Follow(t.Context(), FollowRequest{Source: "a", Ends: ends, Eras: eras, MaxWait: 50})
	if err != nil || response.HeldFor < 50 {
		t.Errorf("held for %d ms with error %v, want 50", response.HeldFor, err)
	}
}

// TestStaleRecordsAreIgnored checks that records that arrive late or twice don't overwrite newer ones.
func TestStaleRecordsAreIgnored(t *testing.T) {
	d := newDaemon("a", crlclock.NewMonotonic())
	d.replica.Replace([]crlplatform.KeyedRecord{record("config", 8, "new")}, at(9))
	d.replica.Apply([]crlplatform.KeyedRecord{record("config", 3, "old")}, at(4))
	d.replica.Replace([]crlplatform.KeyedRecord{record("config", 3, "old")}, at(4))
	if d.contents() != "map[config:new]" || d.replica.End() != at(9) {
		t.Errorf("replica holds %s up to %s, want map[config:new] up to 9", d.contents(), d.replica.End())
	}
}

// TestUnchangedRecordsAreNotRelayed checks that records that repeat the held value, as heartbeats do, are not sent to followers.
func TestUnchangedRecordsAreNotRelayed(t *testing.T) {
	d := newDaemon("a", crlclock.NewMonotonic())
	d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(1))
	before := d.replica.since(0, crlid.NoPosition, nil)
	for n := range 100 {
		d.replica.Apply([]crlplatform.KeyedRecord{record("s1", crlid.Offset(n+1), "in")}, at(crlid.Offset(n+2)))
	}
	if after := d.replica.since(before.cursor, crlid.NoPosition, nil); len(after.records) != 0 || after.end != at(101) {
		t.Errorf("relays %d records up to %s, want 0 up to 101", len(after.records), after.end)
	}
}

// TestNewerListOfAGenerationReplacesTheRoster guards against followers that keep an incomplete roster: when 63 daemons join at
// once, the first lists of a generation lack members.
func TestNewerListOfAGenerationReplacesTheRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		reader, other := newDaemon("a", now), newDaemon("c", now)
		reader.replica.Replace(nil, at(0))
		reader.roster = Roster{Generation: 7, Members: []Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
		ctx, cancel := context.WithCancel(t.Context())
		go confirmPeriodically(ctx, reader)
		f := newFollower(other, newNetwork(map[string]*testDaemon{"a": reader}), "c", "a", "x", "c")
		f.UpdateRoster(Roster{Generation: 7, Members: []Member{{Address: "a"}, {Address: "x"}, {Address: "c"}}})
		go func() { _ = f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if got := f.Roster(); got.digest() != reader.roster.digest() {
			t.Errorf("the follower has roster %v, want that of its source", got)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// TestEverySecondAttemptAsksAReader checks that a follower in a large fleet soon finds a reader that has recovered, and in time
// any daemon that is confirmed.
func TestEverySecondAttemptAsksAReader(t *testing.T) {
	seen := make(map[int]bool)
	for failures := range 200 {
		index := sourceIndex(failures, 74, ReaderCount)
		seen[index] = true
		if failures%2 == 0 && index >= ReaderCount {
			t.Fatalf("after %d failures source %d is called, want a reader", failures, index)
		}
	}
	if len(seen) != 74 {
		t.Errorf("%d of 74 sources were called, want all", len(seen))
	}
}

// TestRosterReachesTheSource guards against daemons that wait for each other, because the one that a newer roster makes a reader learns it from
// nobody: the daemon that it follows has an older roster, and its followers have the newer one.
func TestRosterReachesTheSource(t *testing.T) {
	for _, test := range []struct {
		name         string
		source, want int64 // generation of the source's roster at first, and at the end
		follower     int64
	}{
		{name: "older", source: 21, follower: 23, want: 23},
		{name: "none", source: 0, follower: 23, want: 23},
		{name: "newer", source: 25, follower: 23, want: 25},
		{name: "same", source: 23, follower: 23, want: 23},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := crlclock.NewMonotonic()
				source, other := newDaemon("a", now), newDaemon("b", now)
				source.replica.Replace(nil, at(0))
				n := newNetwork(map[string]*testDaemon{"a": source, "b": other})
				sourceFollower := newFollower(source, n, "a")
				source.server = NewServer(ServerConfig{
					Self: "a", Replicas: map[Topic]*Replica{testTopic: source.replica}, Now: now,
					Roster: sourceFollower.Roster, UpdateRoster: sourceFollower.UpdateRoster,
				})
				ctx, cancel := context.WithCancel(t.Context())
				go confirmPeriodically(ctx, source)
				f := newFollower(other, n, "b")
				roster := Roster{Members: []Member{{Address: "a"}, {Address: "x"}, {Address: "b"}}}
				roster.Generation = test.follower
				f.UpdateRoster(roster)
				if roster.Generation = test.source; test.source > 0 {
					sourceFollower.UpdateRoster(roster)
				}
				go func() { _ = f.Run(ctx) }()
				time.Sleep(2 * time.Second)
				if got := sourceFollower.Roster().Generation; got != test.want {
					t.Errorf("the source has the roster of generation %d, want %d", got, test.want)
				}
				if got := f.Roster().Generation; got != test.want {
					t.Errorf("the follower has the roster of generation %d, want %d", got, test.want)
				}
				cancel()
				time.Sleep(time.Second) // Let calls in flight return.
			})
		})
	}
}

// TestDeletedKeysAreForgotten guards against replicas that grow with each key that was ever deleted, and against followers that keep a key, or
// get one back, because its deletion was forgotten.
func TestDeletedKeysAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		source, direct, late, restarted := newDaemon("a", now), newDaemon("b", now), newDaemon("c", now), newDaemon("d", now)
		var offset crlid.Offset
		put := func(key, value string) {
			source.replica.Apply([]crlplatform.KeyedRecord{record(key, offset, value)}, at(offset+1))
			offset++
		}
		for _, d := range []*testDaemon{source, late} {
			d.replica.Replace([]crlplatform.KeyedRecord{record("early", 0, "in"), record("kept", 1, "in")}, at(2))
		}
		offset = 2
		follow := func(d *testDaemon, cursors map[Topic]Cursor, ends map[Topic]crlid.Offset) Cursor {
			response, err := source.server.Follow(t.Context(), FollowRequest{Source: "a", Cursors: cursors, Ends: ends})
			if err != nil {
				t.Fatal(err)
			}
			delta := response.Topics[testTopic]
			records, err := decodeRecords(delta.Records, 0)
			if err != nil {
				t.Fatal(err)
			}
			if delta.Full {
				d.replica.Replace(records, at(delta.End))
			} else {
				d.replica.Apply(records, at(delta.End))
			}
			return delta.Cursor
		}
		cursor := follow(direct, nil, nil)
		put("early", "")
		for n := range 4 * maxDeleted {
			put(fmt.Sprint("k", n), "in")
			put(fmt.Sprint("k", n), "")
		}
		if got := len(source.replica.records); got > maxDeleted+1 {
			t.Errorf("the replica holds %d records, want at most %d", got, maxDeleted+1)
		}
		follow(direct, map[Topic]Cursor{testTopic: cursor}, nil)
		follow(late, nil, map[Topic]crlid.Offset{testTopic: 2})
		follow(restarted, nil, nil)
		source.replica.Apply([]crlplatform.KeyedRecord{record("early", 0, "in")}, at(1)) // An old record that arrives late.
		for name, d := range map[string]*testDaemon{"source": source, "follower": direct, "follower without cursor": late, "new follower": restarted} {
			if got := d.contents(); got != "map[kept:in]" {
				t.Errorf("%s holds %s, want only the key that was not deleted", name, got)
			}
		}
	})
}

// TestOptionalTopicHoldsUpNoOther guards against routers that no longer get orders, or call their source without a pause, because it doesn't have
// a topic that they can do without: it is of an earlier version, or the store doesn't serve that topic.
func TestOptionalTopicHoldsUpNoOther(t *testing.T) {
	const optionalTopic Topic = "optional"
	for _, name := range []string{"absent", "not loaded", "loaded, never confirmed again"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := crlclock.NewMonotonic()
				reader, other := newDaemon("a", now), newDaemon("b", now)
				newOptional := func() *Replica {
					return NewReplica(ReplicaConfig{OnChange: func([]crlplatform.KeyedRecord, crlclock.Instant) {}, Now: now, Optional: true})
				}
				replicas := map[Topic]*Replica{testTopic: reader.replica}
				if name != "absent" {
					replicas[optionalTopic] = newOptional()
				}
				if name == "loaded, never confirmed again" {
					replicas[optionalTopic].Replace(nil, at(0))
					replicas[optionalTopic].Confirm(now(), 0)
				}
				reader.server = NewServer(ServerConfig{Self: "a", Replicas: replicas, Roster: func() Roster { return Roster{} }, Now: now})
				reader.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, at(1))
				n := newNetwork(map[string]*testDaemon{"a": reader, "b": other})
				f := newFollower(other, n, "b", "a", "x", "b")
				f.config.Replicas[optionalTopic] = newOptional()
				f.config.ApplyOrder = []Topic{testTopic, optionalTopic}
				var calls atomic.Int64
				f.config.Exchange = countingExchange{&calls}
				ctx, cancel := context.WithCancel(t.Context())
				go confirmPeriodically(ctx, reader)
				go func() { _ = f.Run(ctx) }()
				time.Sleep(20 * time.Second)
				if other.contents() != "map[s1:in]" || f.ShouldReadStore() {
					t.Errorf("the follower holds %s and reads the store: %v, want the entry and a source", other.contents(), f.ShouldReadStore())
				}
				if n := calls.Load(); n > 50 {
					t.Errorf("%d calls in 20 s, want about one for each %s", n, FollowWait)
				}
				cancel()
				time.Sleep(time.Second) // Let calls in flight return.
			})
		})
	}
}

// countingExchange counts the calls of a follower.
type countingExchange struct{ calls *atomic.Int64 }

func (c countingExchange) Request(bool) json.RawMessage        { c.calls.Add(1); return nil }
func (countingExchange) Reply(json.RawMessage) json.RawMessage { return nil }
func (countingExchange) Pending() bool                         { return false }
func (countingExchange) Learn(json.RawMessage)                 {}

// TestRecordInForceIsSentOnce guards against sending a large configuration again to followers that have it: a refused newer record, as of an older
// configuration, stays the newest of the key, so that the one in force is sent beside it.
func TestRecordInForceIsSentOnce(t *testing.T) {
	inForce := crlid.NoPosition
	source := NewReplica(ReplicaConfig{
		Now: crlclock.NewMonotonic(), InForce: func() crlid.Position { return inForce },
		OnChange: func(records []crlplatform.KeyedRecord, _ crlclock.Instant) {
			for _, r := range records {
				if string(r.Value) == "accepted" {
					inForce = r.Position
				}
			}
		},
	})
	source.Replace([]crlplatform.KeyedRecord{record("config", 2, "accepted")}, at(3))
	known := source.since(0, crlid.NoPosition, nil).cursor
	source.Apply([]crlplatform.KeyedRecord{record("config", 3, "refused")}, at(4))
	latest := source.since(0, crlid.NoPosition, nil).cursor
	none, same := crlid.NoPosition, at(2)
	for _, c := range []struct {
		name    string
		after   Cursor
		end     crlid.Position
		inForce *crlid.Position
		want    string
	}{
		{"a new follower", 0, crlid.NoPosition, &none, "[2 3]"},
		{"a new follower of an earlier version", 0, crlid.NoPosition, nil, "[3]"},
		{"one that follows", known, at(3), &same, "[3]"},
		{"one that follows and refused the record in force", known, at(3), &none, "[3]"},
		{"one that has everything", latest, at(4), &same, "[]"},
		{"one with the refused record from elsewhere", 0, at(4), &none, "[2]"},
		{"one with both from elsewhere", 0, at(4), &same, "[]"},
	} {
		offsets := []crlid.Position{}
		for _, r := range source.since(c.after, c.end, c.inForce).records {
			offsets = append(offsets, r.record.Position)
		}
		if got := fmt.Sprint(offsets); got != c.want {
			t.Errorf("%s gets the records %s, want %s", c.name, got, c.want)
		}
	}
}
