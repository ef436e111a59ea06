package crlrouter

import (
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// TestServersArePolledWithinTheBound checks that a shorter drain bound shortens the pause between reads of the servers'
// entries, and that a longer one doesn't make a normal gap between confirmations look like an outage.
func TestServersArePolledWithinTheBound(t *testing.T) {
	for _, c := range []struct{ drain, want time.Duration }{
		{0, 700 * time.Millisecond},
		{2 * time.Second, 700 * time.Millisecond},
		{time.Second, 350 * time.Millisecond},
		{3 * time.Second, 800 * time.Millisecond},
		{time.Minute, 800 * time.Millisecond},
	} {
		got := Bounds{ServerDrain: c.drain}.serversPause()
		if got != c.want {
			t.Errorf("drain bound %s: pause %s, want %s", c.drain, got, c.want)
		}
		if fresh := got + maxRelayDelay; fresh >= outageThreshold {
			t.Errorf("drain bound %s: normal gap between confirmations %s, want below the outage threshold %s", c.drain, fresh, outageThreshold)
		}
	}
}

// TestAgesLeaveTimeWithinTheBound checks that confirmations which are too old are noticed early enough for a read of the store within the bound,
// even while a call is held, and that confirmations of a slow store don't count as too old.
func TestAgesLeaveTimeWithinTheBound(t *testing.T) {
	const (
		slowReply = 320 * time.Millisecond // of a store that answers 80 times as late as usual
		feeders   = 1                      // routers between a reader and another one in a large fleet
		readTime  = 32 * time.Millisecond  // of a read of the store in calm times
		readPart  = 64                     // part of a longer bound that is left for it
	)
	for _, bound := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		b := Bounds{Configuration: bound, ServerDrain: bound}
		want := max(bound, defaultConfiguration)
		for _, topic := range []struct {
			name             string
			between, longest time.Duration
		}{
			{name: "orders", between: b.ordersLongPoll() + slowReply, longest: b.ordersMaxAge()},
			{name: "servers", between: b.serversPause(), longest: b.serversMaxAge()},
		} {
			if normal := topic.between + slowReply; normal > topic.longest {
				t.Errorf("bound %s: %s are confirmed for the last time up to %s ago while the store is slow, allowed are %s", bound, topic.name, normal, topic.longest)
			}
			hops := time.Duration(1)
			if want > defaultConfiguration {
				hops += feeders
			}
			if noticed := topic.longest + hops*crlrelay.FollowWait; noticed > want-max(readTime, want/readPart) {
				t.Errorf("bound %s: old confirmations of %s are noticed after %s", bound, topic.name, noticed)
			}
		}
	}
}
