package crlrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
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

func record(key string, offset crlid.Offset, value string) crlplatform.KeyedRecord {
	return crlplatform.KeyedRecord{Key: key, Offset: offset, Value: []byte(value), Deleted: value == ""}
}

// daemon is a replica with its server, and what it heard of its topic.
type testDaemon struct {
	replica *Replica
	server  *Server
	now     crlclock.Clock
	roster  Roster
	delay   time.Duration // delay is how long a call to the daemon takes each way.
	cut     atomic.Bool
	mu      sync.Mutex // mu guards values and unsettled.
	values  map[string]string
	// unsettled is until when dropped records were in doubt at the newest change.
	uncertainUntil crlclock.Instant
}

// holds returns what the daemon holds, as text.
func (d *testDaemon) contents() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprint(d.values)
}

// doubtful reports whether records dropped by the newest change may come back yet.
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

func (d *testDaemon) onChange(records []crlplatform.KeyedRecord, unsettled crlclock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uncertainUntil = unsettled
	for _, r := range records {
		if r.Deleted {
			delete(d.values, r.Key)
		} else {
			d.values[r.Key] = string(r.Value)
		}
	}
}

// network carries calls between daemons of a test.
type network struct {
	mu      sync.Mutex // mu guards daemons.
	daemons map[string]*testDaemon
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

// Call carries a call after the delay of the daemon that it goes to.
func (n *network) Call(ctx context.Context, address string, _ crlpeer.Method, params, result any) error {
	d, ok := n.lookUp(address)
	if !ok || d.cut.Load() {
		time.Sleep(10 * time.Millisecond)
		return errCut
	}
	time.Sleep(d.delay)
	news, err := d.server.Follow(ctx, params.(FollowRequest))
	time.Sleep(d.delay)
	*result.(*FollowResponse) = news
	return err
}

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

// feed proves a replica every half second, as a reader does whose reads succeed, until ctx ends.
func confirmPeriodically(ctx context.Context, d *testDaemon) {
	for ctx.Err() == nil {
		d.replica.Confirm(d.now())
		crlclock.Sleep(ctx, 500*time.Millisecond)
	}
}

// TestRefusedReaderIsNoOutage is the pattern of a store that turns the first reader away while it serves the second: a
// server that leaves then must be dropped at once by those that followed the first (DRAIN, scale-2 seed 164166095898).
func TestFollowerSwitchesReadersBeforeAnOutageIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		refused, reader, other := newDaemon("a", now), newDaemon("b", now), newDaemon("c", now)
		n := newNetwork(map[string]*testDaemon{"a": refused, "b": reader, "c": other})
		for _, d := range []*testDaemon{refused, reader} {
			d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, 1)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		reading, refuse := context.WithCancel(ctx)
		go confirmPeriodically(reading, refused)
		go confirmPeriodically(ctx, reader)
		f := newFollower(other, n, "c", "a", "b", "c")
		go func() { _ = f.Run(ctx) }()
		time.Sleep(3 * time.Second)
		refuse()
		time.Sleep(4 * time.Second)
		reader.replica.Apply([]crlplatform.KeyedRecord{record("s1", 1, "")}, 2)
		time.Sleep(time.Second)
		if other.contents() != "map[]" {
			t.Error("a follower still holds a server one second after its entry was dropped")
		}
		if other.uncertain() {
			t.Error("a follower doubts a dropped entry although another reader had proof all the while")
		}
		if f.ShouldReadStore() {
			t.Error("a follower with a source that works reads the store itself")
		}
		cancel()
		time.Sleep(time.Second) // Calls on their way return.
	})
}

// TestEntriesThatLapseInAnOutageAreDoubted shows the doubt after a gap of proof at all daemons.
func TestDeletionsSoonAfterAnOutageAreUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon("a", crlclock.NewMonotonic())
		d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in"), record("s2", 1, "in")}, 2)
		d.replica.Confirm(d.now())
		time.Sleep(4 * time.Second)
		d.replica.Confirm(d.now())
		time.Sleep(time.Second)
		d.replica.Confirm(d.now())
		d.replica.Apply([]crlplatform.KeyedRecord{record("s1", 2, "")}, 3)
		if !d.uncertain() {
			t.Error("an entry dropped a second after an outage is believed gone")
		}
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			d.replica.Confirm(d.now())
		}
		d.replica.Apply([]crlplatform.KeyedRecord{record("s2", 3, "")}, 4)
		if d.uncertain() {
			t.Error("an entry dropped three seconds after an outage is doubted")
		}
	})
}

// TestProofIsNeverNewerThanTheTruth checks relayed proofs against what the reader knew, with slow calls.
func TestRelayedConfirmationIsNeverNewerThanTheSource(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := crlclock.NewMonotonic()
				reader, other := newDaemon("a", now), newDaemon("b", now)
				reader.delay = delay
				reader.replica.Replace(nil, 0)
				ctx, cancel := context.WithCancel(t.Context())
				f := newFollower(other, newNetwork(map[string]*testDaemon{"a": reader, "b": other}), "b", "a", "x", "b")
				go func() { _ = f.Run(ctx) }()
				for range 50 {
					reader.replica.Confirm(now())
					time.Sleep(137 * time.Millisecond)
					if reader.replica.ConfirmedAt() < other.replica.ConfirmedAt() {
						t.Fatal("a follower's proof is newer than its reader's")
					}
				}
				if age := now().Sub(other.replica.ConfirmedAt()); age > FollowWait+4*delay+137*time.Millisecond {
					t.Errorf("the follower's proof is %s old", age)
				}
				cancel()
				time.Sleep(time.Second) // Calls on their way return.
			})
		})
	}
}

// TestFollowerReadsTheStoreWhenNoPeerHelps shows the fall back to the store and the way back.
func TestFollowerReadsTheStoreWithoutAFreshPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		reader, other := newDaemon("a", now), newDaemon("b", now)
		n := newNetwork(map[string]*testDaemon{"a": reader, "b": other})
		reader.replica.Replace(nil, 0)
		ctx, cancel := context.WithCancel(t.Context())
		go confirmPeriodically(ctx, reader)
		f := newFollower(other, n, "b", "x", "a", "b")
		if !f.ShouldReadStore() {
			t.Error("a daemon that starts does not read the store")
		}
		go func() { _ = f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if f.ShouldReadStore() {
			t.Error("a daemon reads the store although a peer has proof")
		}
		reader.cut.Store(true)
		time.Sleep(4 * time.Second)
		if !f.ShouldReadStore() {
			t.Error("a daemon without proof from any peer does not read the store")
		}
		reader.cut.Store(false)
		time.Sleep(2 * time.Second)
		if f.ShouldReadStore() {
			t.Error("a daemon goes on reading the store after a peer came back")
		}
		cancel()
		time.Sleep(time.Second) // Calls on their way return.
	})
}

// TestSourceThatStartedAgain shows that a follower takes all of a source that lost its memory, and drops what is gone.
func TestRestartedSourceReplacesAllRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		reader, other := newDaemon("a1", now), newDaemon("b", now)
		n := newNetwork(map[string]*testDaemon{"a": reader})
		reader.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in"), record("s2", 1, "in")}, 2)
		reader.replica.Confirm(now())
		ctx, cancel := context.WithCancel(t.Context())
		f := newFollower(other, n, "b", "a", "x", "b")
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		again := newDaemon("a2", now)
		n.put("a", again)
		time.Sleep(time.Second)
		again.replica.Replace([]crlplatform.KeyedRecord{record("s2", 1, "in"), record("s3", 4, "in")}, 5)
		again.replica.Confirm(now())
		time.Sleep(2 * time.Second)
		if got := other.contents(); got != "map[s2:in s3:in]" {
			t.Errorf("the follower holds %s", got)
		}
		cancel()
		time.Sleep(time.Second) // Calls on their way return.
	})
}

// TestOldRecordsChangeNothing shows that records that arrive late or twice don't bring back what was.
func TestStaleRecordsAreIgnored(t *testing.T) {
	d := newDaemon("a", crlclock.NewMonotonic())
	d.replica.Replace([]crlplatform.KeyedRecord{record("config", 8, "new")}, 9)
	d.replica.Apply([]crlplatform.KeyedRecord{record("config", 3, "old")}, 4)
	d.replica.Replace([]crlplatform.KeyedRecord{record("config", 3, "old")}, 4)
	if d.contents() != "map[config:new]" || d.replica.End() != 9 {
		t.Errorf("holds %s up to %d", d.contents(), d.replica.End())
	}
}

// TestHeartbeatsAreNotRelayed shows that an entry that says nothing new wakes no follower.
func TestUnchangedRecordsAreNotRelayed(t *testing.T) {
	d := newDaemon("a", crlclock.NewMonotonic())
	d.replica.Replace([]crlplatform.KeyedRecord{record("s1", 0, "in")}, 1)
	before := d.replica.since(0)
	for n := range 100 {
		d.replica.Apply([]crlplatform.KeyedRecord{record("s1", crlid.Offset(n+1), "in")}, crlid.Offset(n+2))
	}
	if after := d.replica.since(before.cursor); len(after.records) != 0 || after.end != 101 {
		t.Errorf("relays %d records up to %d", len(after.records), after.end)
	}
}

// TestRosterListedAgainWithinAGeneration is the pattern of 63 daemons that join at once: the first lists miss members, and
// followers must not keep them.
func TestNewerListOfAGenerationReplacesTheRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := crlclock.NewMonotonic()
		reader, other := newDaemon("a", now), newDaemon("c", now)
		reader.replica.Replace(nil, 0)
		reader.roster = Roster{Generation: 7, Members: []Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
		ctx, cancel := context.WithCancel(t.Context())
		go confirmPeriodically(ctx, reader)
		f := newFollower(other, newNetwork(map[string]*testDaemon{"a": reader}), "c", "a", "x", "c")
		f.UpdateRoster(Roster{Generation: 7, Members: []Member{{Address: "a"}, {Address: "x"}, {Address: "c"}}})
		go func() { _ = f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if got := f.Roster(); got.digest() != reader.roster.digest() {
			t.Errorf("the follower keeps %v", got)
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// TestEveryOtherTurnAsksAReader shows that a large fleet finds the store's return by its readers, and any daemon that has proof.
func TestEverySecondAttemptAsksAReader(t *testing.T) {
	seen := make(map[int]bool)
	for turn := range 200 {
		at := sourceIndex(turn, 74)
		seen[at] = true
		if turn%2 == 0 && at >= ReaderCount {
			t.Fatalf("turn %d asks source %d", turn, at)
		}
	}
	if len(seen) != 74 {
		t.Errorf("%d of 74 sources are asked", len(seen))
	}
}
