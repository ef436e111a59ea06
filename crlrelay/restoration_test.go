package crlrelay

import (
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// TestRoutersPassOnLostRecords guards against routers that act on what a newer record replaced (CONFIG, DRAIN) after the store came back from an older copy,
// because a router that has read some of the new era takes over another one's copy.
func TestRoutersPassOnLostRecords(t *testing.T) {
	for _, test := range []struct {
		name    string
		ordered bool // whether records tell their order
		play    func(store *modelStore, source, follower *eraNode, now crlclock.Clock)
		want    int // write of the key that is in force at the follower in the end, 0 for none
	}{
		{"a deletion that the source holds back", false, func(store *modelStore, source, follower *eraNode, now crlclock.Clock) {
			store.restore(2)
			follower.catchUp(store, now())
			store.write("a", true)
			source.catchUp(store, now())
		}, 0},
		{"a record that the source holds back", false, func(store *modelStore, source, follower *eraNode, now crlclock.Clock) {
			store.restore(0)
			follower.catchUp(store, now())
			store.write("a", false)
			source.catchUp(store, now())
		}, 3},
		{"a record of the former era that the source, two returns behind, holds back", false, func(store *modelStore, source, follower *eraNode, now crlclock.Clock) {
			store.write("a", true)
			source.catchUp(store, now())
			store.restore(2)
			store.write("a", false)
			follower.restart(now, false)
			follower.catchUp(store, now())
			store.restore(3)
			source.catchUp(store, now())
		}, 4},
		{"a deletion that the source holds back, and a late read", false, func(store *modelStore, source, follower *eraNode, now crlclock.Clock) {
			follower.restart(now, false)
			store.restore(2)
			follower.readStore(store, now())
			store.write("a", true)
			source.catchUp(store, now())
		}, 0},
		{"a deletion that was written again", false, func(store *modelStore, source, follower *eraNode, now crlclock.Clock) {
			store.write("a", true)
			source.catchUp(store, now())
			follower.catchUp(store, now())
			store.restore(2)
			follower.catchUp(store, now())
			store.writeAgain()
			source.catchUp(store, now())
		}, 0},
		{"an older record that a router which starts has read late", true, func(store *modelStore, source, follower *eraNode, now crlclock.Clock) {
			follower.restart(now, true)
			store.restore(1)
			follower.readStore(store, now())
			source.catchUp(store, now())
		}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := crlclock.Instant(time.Hour)
			now := func() crlclock.Instant { return clock }
			store := newModelStore()
			store.write("a", false)
			store.write("a", false)
			source, follower := &eraNode{}, &eraNode{}
			for _, n := range []*eraNode{source, follower} {
				n.restart(now, test.ordered)
				n.catchUp(store, clock)
			}
			test.play(store, source, follower, now)
			follower.call("source", source.server)
			follower.end(true)
			if follower.read != nil {
				follower.read()
			}
			if follower.failure != nil {
				t.Error(follower.failure)
			}
			clock = clock.Add(modelWindow)
			follower.replica.Confirm(clock, store.era)
			if got := follower.values["a"]; got != test.want {
				t.Errorf("write %d is in force at the follower, want %d", got, test.want)
			}
		})
	}
}
