package crlworkload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// drawServers returns a list of servers with load.
func drawServers(t *rapid.T, name string) serverLoads {
	var servers serverLoads
	for range rapid.IntRange(0, 60).Draw(t, name) {
		servers.set(serverKey(rapid.Uint32Range(0, 70).Draw(t, "key")), Amount{
			Requests: float64(rapid.IntRange(0, 40).Draw(t, "requests")), PromptSeconds: rapid.Float64Range(0, 5).Draw(t, "prompt"),
			Tokens: rapid.Float64Range(0, 1e5).Draw(t, "tokens"),
		})
	}
	return servers
}

// TestChangesAddUp guards against receivers that hold another sum than their sender believes, and against servers with load that a receiver sees as idle
// because they didn't fit into a message.
func TestChangesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, base, held := new(supplied), uint64(0), serverLoads(nil)
		for sequence := uint64(1); sequence < 8; sequence++ {
			sum := newLoad()
			sum.daemons, sum.servers = 1, drawServers(t, "servers")
			preamble, content := sender.encode(sum, sequence, base, rapid.Float64Range(0, 20).Draw(t, "daemons"))
			h, l, err := decodeMessage(encodeMessage(header{kind: messageChanges, path: []uint64{1}}, append(preamble, content...)), nil)
			if err != nil || h.base != base {
				t.Fatalf("base %d, want %d (%v)", h.base, base, err)
			}
			if rapid.Float64().Draw(t, "lost") < 0.2 {
				base, held = 0, nil
				continue
			}
			if base == 0 {
				held = nil
			}
			if !l.apply(held) {
				t.Fatal("the receiver doesn't know what the changes refer to")
			}
			base, held = sequence, l.servers
			if got := encodeServers(held); fmt.Sprint(got) != fmt.Sprint(sender.servers) {
				t.Fatalf("the receiver holds %v, the sender believes %v", got, sender.servers)
			}
			for _, s := range encodeServers(sum.servers) {
				if held.get(s.key) == (Amount{}) {
					t.Fatalf("a server with %v is seen as idle", s.amount())
				}
			}
		}
	})
}

// TestLargestChangesComeFirst guards against messages about many servers that exceed their share of a link, and against one that states small changes
// while a server that has filled up is left out.
func TestLargestChangesComeFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	sum, sender := newLoad(), new(supplied)
	for n := range 3000 {
		sum.servers.set(serverKey(300*n), Amount{Requests: 10 + float64(n%7), Tokens: 50_000})
	}
	sender.encode(sum, 1, 0, 1)
	for n := range sum.servers {
		sum.servers[n].amount.Requests += float64(random.IntN(3))
	}
	sum.servers[1234].amount.Requests = 32
	_, content := sender.encode(sum, 2, 1, 1)
	if len(content) > minChangeBytes+100 {
		t.Errorf("a message takes %d bytes, want at most %d", len(content), minChangeBytes+100)
	}
	held := make(map[serverKey]codedServer)
	for _, s := range sender.servers {
		held[s.key] = s
	}
	if got := held[300*1234].amount().Requests; got != 32 {
		t.Errorf("the server that filled up is stated with %v requests", got)
	}
	for sequence := uint64(3); sequence < 12; sequence++ {
		sender.encode(sum, sequence, sequence-1, 1)
	}
	if left := selectChanges(sender.servers, encodeServers(sum.servers), 1<<30); len(left) > 0 {
		t.Errorf("%d changes haven't been sent after ten messages", len(left))
	}
}

// earlier makes a daemon of an earlier version of one that doesn't state that it takes changes.
func earlier(message json.RawMessage) json.RawMessage {
	h, _, err := decodeMessage(message, nil)
	if err != nil {
		return message
	}
	var raw []byte
	if json.Unmarshal(message, &raw) != nil {
		return message
	}
	marked := encodeMessage(header{kind: h.kind, daemon: h.daemon, incarnation: h.incarnation, path: h.path}, nil)
	var prefix []byte
	if json.Unmarshal(marked, &prefix) != nil {
		return message
	}
	// The last two bytes of the prefix are the sequence and the digest, both 0.
	body := raw[len(prefix)-2:]
	plain := encodeMessage(header{kind: h.kind, daemon: h.daemon, incarnation: h.incarnation, path: h.path[len(h.path)-1:]}, nil)
	if json.Unmarshal(plain, &prefix) != nil {
		return message
	}
	encoded, _ := json.Marshal(append(prefix[:len(prefix)-2], body...))
	return encoded
}

// kindOf returns the kind of a message.
func kindOf(t *testing.T, message json.RawMessage) messageKind {
	t.Helper()
	var raw []byte
	if err := json.Unmarshal(message, &raw); err != nil || len(raw) < 2 {
		t.Fatalf("message %s: %v", message, err)
	}
	return messageKind(raw[1])
}

// TestEarlierVersionsGetWholeSums guards against changes that are sent to a daemon which doesn't know them, in both directions: followers of an earlier
// version don't state that they take changes, and a source of an earlier version doesn't reply with any. It also covers a reply that is lost.
func TestEarlierVersionsGetWholeSums(t *testing.T) {
	now := crlclock.Instant(time.Hour)
	source, follower, _ := newLoadedTables(&now, 83)
	now = now.Add(callTime)
	if kind := kindOf(t, follower.Request(false)); kind != messageChanges {
		t.Errorf("a request to a source that takes changes is of kind %d", kind)
	}
	now = now.Add(callTime)
	request := follower.Request(true)
	if kind := kindOf(t, request); kind != messageLoad {
		t.Errorf("the first request to a source is of kind %d, want a whole sum in the earlier form", kind)
	}
	reply := source.Reply(earlier(request))
	if kind := kindOf(t, reply); kind != messageLoad {
		t.Errorf("the reply to a follower of an earlier version is of kind %d", kind)
	}
	follower.Learn(reply)
	now = now.Add(callTime)
	follower.Begin(testServer(0), Amount{Requests: 1})
	if kind := kindOf(t, follower.Request(false)); kind != messageLoad {
		t.Errorf("a request to a source of an earlier version is of kind %d", kind)
	}
	if got, _ := follower.Others(testServer(7), now); got.Requests != 12 {
		t.Errorf("the follower holds %v", got)
	}
}

// TestLostReplyIsReplacedByAWholeSum guards against a follower that adds changes to a sum which it doesn't have.
func TestLostReplyIsReplacedByAWholeSum(t *testing.T) {
	now := crlclock.Instant(time.Hour)
	source, follower, _ := newLoadedTables(&now, 83)
	exchange := func(isLost bool) header {
		now = now.Add(callTime)
		source.Begin(testServer(3), Amount{Requests: 2})
		reply := source.Reply(follower.Request(false))
		h, _, err := decodeMessage(reply, nil)
		if err != nil {
			t.Fatal(err)
		}
		if !isLost {
			follower.Learn(reply)
		}
		return h
	}
	if h := exchange(true); h.base == 0 {
		t.Error("a reply to a follower that has the one before is whole")
	}
	if h := exchange(false); h.base != 0 {
		t.Error("the reply after a lost one refers to it")
	}
	if h := exchange(false); h.base == 0 {
		t.Error("replies stay whole after a lost one")
	}
	got, _ := follower.Others(testServer(3), now)
	want := source.own.get(serverKeyOf(crlid.Server("engine-3")))
	if got.Requests != want.Requests || follower.Drops() != (Drops{}) || source.Drops() != (Drops{}) {
		t.Errorf("the follower holds %v, want %v; drops %+v and %+v", got, want, follower.Drops(), source.Drops())
	}
}
