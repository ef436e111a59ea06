package crlrouter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// stalledTransfer is a fault of readers while they send a large configuration to other routers.
type stalledTransfer struct {
	name    string
	readers int           // number of readers with the fault
	pulse   time.Duration // time between moments at which the links pass some data, 0 if they pass none
	refuse  bool          // whether the store refuses all but the readers
	ends    bool          // whether the readers end instead
}

// TestChangesArriveInTimeDuringStalledTransfers guards against a router that gets a configuration, or learns that a server has left, later than the deployment
// allows, because its source has sent part of the configuration and stalls: such a call went on until the client's time-outs.
func TestChangesArriveInTimeDuringStalledTransfers(t *testing.T) {
	for _, fault := range []stalledTransfer{
		{name: "one-reader", readers: 1, refuse: true},
		{name: "one-reader-pulses", readers: 1, pulse: 800 * time.Millisecond, refuse: true},
		{name: "one-reader-ends", readers: 1, ends: true, refuse: true},
		{name: "both-readers", readers: 2},
		{name: "both-readers-pulse", readers: 2, pulse: 800 * time.Millisecond},
	} {
		t.Run(fault.name, func(t *testing.T) {
			for phase := time.Duration(0); phase < 700*time.Millisecond; phase += 250 * time.Millisecond {
				if testing.Short() && phase > 0 {
					break
				}
				synctest.Test(t, func(t *testing.T) { fault.run(t, phase) })
			}
		})
	}
}

// run lets the fault begin a moment after a configuration was written, and then a server leave.
func (s stalledTransfer) run(t *testing.T, phase time.Duration) {
	const (
		count      = 9
		weakLink   = 1_250_000.0  // bytes per second, 10 Mbit/s
		strongLink = 25_000_000.0 // 200 Mbit/s
		routes     = 15000        // about 300 kB when compressed
		sending    = 250 * time.Millisecond
	)
	ctx, cancel := context.WithCancel(t.Context())
	rates := map[crlfake.Node]float64{"store": 0}
	for n := range count {
		rates[crlfake.Node(address(n))] = weakLink
		if n >= count-crlrelay.ReaderCount { // The strongest routers are the readers.
			rates[crlfake.Node(address(n))] = strongLink
		}
	}
	c := newLinkedCluster(time.Millisecond, func(node crlfake.Node) float64 { return rates[node] })
	defer func() {
		cancel()
		time.Sleep(10 * time.Second)
		c.wire.Close()
		time.Sleep(time.Second)
	}()
	c.store.put("servers", "i-1", "v1")
	var routers []*Router
	for n := range count {
		routers = append(routers, c.start(ctx, n))
	}
	time.Sleep(10*time.Second + phase)
	c.store.put("orders", "config", largeConfiguration(2, routes))
	time.Sleep(sending)
	var faulty []int
	for n := count - s.readers; n < count; n++ {
		faulty = append(faulty, n)
	}
	for n := range count - crlrelay.ReaderCount {
		c.store.views[n].refuse.Store(s.refuse)
	}
	go s.disturb(ctx, c, count, faulty)
	time.Sleep(10 * time.Millisecond)
	c.store.put("servers", "i-1", "")
	time.Sleep(defaultServerDrain)
	for n, r := range routers[:count-s.readers] {
		if pickServer(r) == nil {
			t.Errorf("phase %s: router %d still uses a server %s after it left", phase, n, defaultServerDrain)
		}
	}
	if !s.refuse {
		time.Sleep(3 * time.Second) // The store doesn't compress configurations.
	}
	for n, r := range routers[:count-s.readers] {
		if got := tableVersion(r); got != 2 {
			t.Errorf("phase %s: router %d has configuration %d, want 2", phase, n, got)
		}
	}
}

// disturb lets the fault take its course until ctx ends.
func (s stalledTransfer) disturb(ctx context.Context, c *cluster, count int, faulty []int) {
	forEachLink := func(change func(a, b crlfake.Node)) {
		for _, reader := range faulty {
			for n := range count {
				if n != reader {
					change(crlfake.Node(address(reader)), crlfake.Node(address(n)))
				}
			}
		}
	}
	if s.ends {
		for _, reader := range faulty {
			c.wire.Kill(crlfake.Node(address(reader)))
		}
		return
	}
	for ctx.Err() == nil {
		forEachLink(c.wire.Cut)
		if s.pulse == 0 {
			<-ctx.Done()
			break
		}
		time.Sleep(s.pulse)
		forEachLink(c.wire.Heal)
		time.Sleep(time.Millisecond)
	}
	forEachLink(c.wire.Heal)
}
