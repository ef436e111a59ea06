package crlbalance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const version crlid.Version = "v1"

// testWarmLimit is the warm limit of every server.
const testWarmLimit = 32

var start = time.Unix(1_000_000, 0)

// newConfiguration returns a configuration with servers spread evenly over domains, each serving the version. The
// domains numbered in out are out of service.
func newConfiguration(servers, domains int, out ...int) *crlconfig.Configuration {
	c := &crlconfig.Configuration{
		Domains: make(map[crlid.Domain]crlconfig.Domain), Servers: make(map[crlid.Server]crlconfig.Server),
	}
	for i := range domains {
		id := crlid.Domain(fmt.Sprintf("d%d", i))
		c.Domains[id] = crlconfig.Domain{ID: id}
	}
	for _, i := range out {
		id := crlid.Domain(fmt.Sprintf("d%d", i))
		c.Domains[id] = crlconfig.Domain{ID: id, State: crlconfig.StateOut}
	}
	for i := range servers {
		id := crlid.Server(fmt.Sprintf("s%03d", i))
		c.Servers[id] = crlconfig.Server{
			ID: id, Domain: crlid.Domain(fmt.Sprintf("d%d", i%domains)), Versions: []crlid.Version{version}, WarmLimit: testWarmLimit,
		}
	}
	return c
}

// countPicksByDomain makes picks without starting attempts and counts them by the failure domain of the server.
func countPicksByDomain(b *Balancer, c *crlconfig.Configuration, picks int, now time.Time) map[crlid.Domain]int {
	result := make(map[crlid.Domain]int)
	for range picks {
		id, _ := b.pick(Request{Configuration: c, Version: version}, now)
		result[c.Servers[id].Domain]++
	}
	return result
}

func TestPickPrefersOwnDomainAndSpills(t *testing.T) {
	b, c := New(Config{Domain: "d0", Seed: 1}), newConfiguration(8, 4)
	if got := countPicksByDomain(b, c, 100, start); got["d0"] != 100 {
		t.Fatalf("picks by domain %v, want all of 100 in d0", got)
	}
	for _, id := range []crlid.Server{"s000", "s004"} {
		for range testWarmLimit / 2 {
			b.Started(id)
		}
	}
	if got := countPicksByDomain(b, c, 100, start); got["d0"] != 0 {
		t.Fatalf("%d picks in a domain with half of its limit open, want all in other domains", got["d0"])
	}
}

func TestPickRampsUpAReturningDomain(t *testing.T) {
	b, c := New(Config{Domain: "d0", Seed: 1}), newConfiguration(8, 4)
	countPicksByDomain(b, c, 1, start)
	if got := countPicksByDomain(b, newConfiguration(8, 4, 0), 1000, start); got["d0"] != 0 {
		t.Fatalf("%d picks in a domain that is out of service", got["d0"])
	}
	back := newConfiguration(8, 4)
	for _, step := range []struct {
		after    time.Duration
		from, to int
	}{{0, 100, 300}, {rampTime / 2, 600, 900}, {rampTime, 1000, 1000}} {
		got := countPicksByDomain(b, back, 1000, start.Add(step.after))["d0"]
		if got < step.from || got > step.to {
			t.Errorf("%v after its return, the domain got %d of 1000 picks, want %d to %d", step.after, got, step.from, step.to)
		}
	}
}

func TestPickFollowsTheReportedLoad(t *testing.T) {
	b, c := New(Config{Domain: "d0", Seed: 1}), newConfiguration(2, 1)
	countPicksByDomain(b, c, 1, start)
	b.Started("s000")
	b.reported("s000", 9, start)
	for range 100 {
		if id, _ := b.pick(Request{Configuration: c, Version: version}, start); id != "s001" {
			t.Fatal("picked s000, which has 8 open attempts of other daemons")
		}
	}
	if q := b.server("s000").queue(start.Add(reportHalfLife)); q != 5 {
		t.Errorf("queue %v a half-life after the report, want 1 open and half of 8", q)
	}
}

func TestPickKeepsAPrefixOnItsServerWithinTheSlack(t *testing.T) {
	b, c := New(Config{Domain: "d0", Seed: 1}), newConfiguration(16, 1)
	request := Request{Configuration: c, Version: version, Prefix: 7}
	first, _ := b.pick(request, start)
	for range testWarmLimit / 4 { // affinitySlack is a quarter of the warm limit
		if id, _ := b.pick(request, start); id != first {
			t.Fatalf("prefix moved from %s to %s within the slack", first, id)
		}
		b.Started(first)
	}
	b.Started(first)
	if id, _ := b.pick(request, start); id == first {
		t.Error("prefix stayed on a server whose queue is longer than the slack allows")
	}
}

func TestEjectedServerRampsUp(t *testing.T) {
	b, c := New(Config{Domain: "d0", Seed: 1}), newConfiguration(2, 1)
	countPicksByDomain(b, c, 1, start)
	fail(b, "s000", start)
	for range 100 {
		if id, _ := b.pick(Request{Configuration: c, Version: version}, start); id != "s001" {
			t.Fatal("picked an ejected server")
		}
	}
	back := start.Add(firstEjection)
	hits := 0
	for range 1000 {
		if id, _ := b.pick(Request{Configuration: c, Version: version}, back); id == "s000" {
			hits++
		}
	}
	if hits == 0 || hits > 200 {
		t.Errorf("%d of 1000 picks on a server whose ejection just ended, want 1 to 200", hits)
	}
	fail(b, "s001", start)
	if _, ok := b.pick(Request{Configuration: c, Version: version}, start); !ok {
		t.Error("no server picked after all of them failed")
	}
}

// TestEjectionSkipsAServerOutOfService guards against a server that is ejected on its return to service because of
// failures that were recorded while it was out of service.
func TestEjectionSkipsAServerOutOfService(t *testing.T) {
	b := New(Config{Domain: "d0", Seed: 1})
	countPicksByDomain(b, newConfiguration(2, 1, 0), 1, start)
	fail(b, "s000", start)
	if countPicksByDomain(b, newConfiguration(2, 1), 1, start); b.server("s000").isEjected(start) {
		t.Error("a server that failed while out of service is ejected on its return")
	}
}

// TestEjectionEndsWhenThePoolShrinks guards against a pool in which all servers are ejected: the others go out of service
// after the ejections.
func TestEjectionEndsWhenThePoolShrinks(t *testing.T) {
	b := New(Config{Domain: "d0", Seed: 1})
	countPicksByDomain(b, newConfiguration(4, 2), 1, start)
	fail(b, "s000", start)
	fail(b, "s002", start)
	countPicksByDomain(b, newConfiguration(4, 2, 1), 1, start)
	if b.server("s000").isEjected(start) || b.server("s002").isEjected(start) {
		t.Error("a server is still ejected after the other half of the pool went out of service")
	}
}

// fail records enough failures to eject a server.
func fail(b *Balancer, id crlid.Server, now time.Time) {
	for range failuresToEject {
		b.Started(id)
		b.finished(Result{Server: id, Failed: true}, now)
	}
}

// TestPickProperties checks three invariants after random events: a picked server is in service and not excluded, a
// server is picked whenever there is such a one, and no more than half of the servers are ejected.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, domains := rapid.IntRange(1, 12).Draw(t, "servers"), rapid.IntRange(1, 3).Draw(t, "domains")
		b, now := New(Config{Domain: "d0", Seed: rapid.Uint64().Draw(t, "seed")}), start
		c := newConfiguration(servers, domains)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := crlid.Server(fmt.Sprintf("s%03d", rapid.IntRange(0, servers-1).Draw(t, "server")))
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				fail(b, id, now)
			case 1:
				b.Started(id)
				b.reported(id, rapid.IntRange(0, 64).Draw(t, "load"), now)
				b.finished(Result{Server: id}, now)
			case 2:
				c = newConfiguration(servers, domains, rapid.IntRange(0, domains-1).Draw(t, "out"))
			case 3:
				c = newConfiguration(servers, domains)
			}
			checkPick(t, b, Request{
				Configuration: c, Version: version, Prefix: rapid.Uint64().Draw(t, "prefix"), Prefer: id,
				Exclude: map[crlid.Server]bool{id: rapid.Bool().Draw(t, "excluded")},
			}, now)
		}
	})
}

func checkPick(t *rapid.T, b *Balancer, request Request, now time.Time) {
	id, ok := b.pick(request, now)
	possible, inService, ejected := 0, 0, 0
	for s, configured := range request.Configuration.Servers {
		if request.Configuration.InService(s) && !request.Exclude[configured.ID] {
			possible++
		}
		if request.Configuration.InService(s) {
			inService++
			if b.server(s).isEjected(now) {
				ejected++
			}
		}
	}
	if ok != (possible > 0) {
		t.Fatalf("pick returned %v with %d servers to choose from", ok, possible)
	}
	if ok && (!request.Configuration.InService(id) || request.Exclude[id]) {
		t.Fatalf("picked %s, which is out of service or excluded", id)
	}
	if 2*ejected > inService {
		t.Fatalf("%d of %d servers are ejected", ejected, inService)
	}
}
