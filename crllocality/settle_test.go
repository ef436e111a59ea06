package crllocality

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// fleets are numbers of daemons and the requests per second that each receives.
var fleets = []struct {
	daemons   int
	perDaemon float64
}{{6, 60}, {83, 5.7}, {295, 4}}

// ages are those of the reports.
var ages = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}

// forEachFleet runs a test for each fleet and age, with a model in which each domain receives modelLoad of what its servers can do.
func forEachFleet(t *testing.T, test func(t *testing.T, m *model)) {
	for _, f := range fleets {
		for _, age := range ages {
			t.Run(fmt.Sprintf("%d-daemons/%v", f.daemons, age), func(t *testing.T) {
				m := newModel(f.daemons, f.perDaemon, age)
				m.run(5*time.Second, func(shares [domains]float64) {
					if shares != [domains]float64{} {
						t.Fatalf("shares are %.3f while nothing is short", shares)
					}
				})
				test(t, m)
			})
		}
	}
}

const (
	settleTime = 2 * time.Second // from the moment at which a daemon can know of a change
	overshoot  = 0.1             // of the domain's work
	remainder  = 0.1             // largest share that may be left after settleTime when nothing is short any more
)

// checkSettles checks that the share of domain 0 reaches what its shortage asks for in time, exceeds it by at most a tenth of the
// domain's work, and that other domains are not flooded. ratio is the domain's work relative to what its servers can do.
func checkSettles(t *testing.T, m *model, ratio float64) {
	t.Helper()
	lacking := 1 - 1/ratio
	asked := lacking + defaultDrain // while a queue is worked off
	start, settled := m.now, crlclock.Instant(0)
	most, longest, step, previous := 0.0, 0.0, 0.0, 0.0
	m.run(16*time.Second, func(shares [domains]float64) {
		if settled == 0 && shares[0] >= 0.9*lacking {
			settled = m.now
		}
		most, longest = max(most, shares[0]), max(longest, m.queue[1], m.queue[2])
		step, previous = max(step, math.Abs(shares[0]-previous)), shares[0]
	})
	if step > 0.051 {
		t.Errorf("share moved by %.3f at once, want at most 0.05 in a tick of 0.1 s", step)
	}
	t.Logf("%.3f asked for, %.3f reached", asked, most)
	if most > asked+overshoot || longest > 0.15 {
		t.Errorf("share reached %.3f, want at most 0.1 more than %.3f; requests in other domains wait up to %.2f s", most, asked, longest)
	}
	known := m.age + time.Duration(modelService*float64(time.Second))
	if after := settled.Sub(start); settled == 0 || after > known+settleTime {
		t.Errorf("share reached %.3f after %v, want within %v of the first information at %v", lacking, after, settleTime, known)
	}
}

// checkReturns checks that domains keep their work after settleTime.
func checkReturns(t *testing.T, m *model) {
	t.Helper()
	m.run(settleTime, nil)
	most := 0.0
	m.run(4*time.Second, func(shares [domains]float64) { most = max(most, shares[0], shares[1], shares[2]) })
	if most > remainder {
		t.Errorf("a share is still %.3f although nothing is short", most)
	}
}

// TestServersHalved guards against a share that settles late, overshoots, or stays after the servers of one domain returned.
func TestServersHalved(t *testing.T) {
	forEachFleet(t, func(t *testing.T, m *model) {
		m.capacity[0] /= 2
		checkSettles(t, m, 1.4)
		m.capacity[0] *= 2
		checkReturns(t, m)
	})
}

// TestSlowServersRecover guards against a share that stays after servers became faster again, which nothing tells the daemons: it is
// gone later than after a known change, but within 8 s.
func TestSlowServersRecover(t *testing.T) {
	forEachFleet(t, func(t *testing.T, m *model) {
		m.slowness[0] = 2
		checkSettles(t, m, 1.4)
		m.slowness[0] = 1
		start, last := m.now, m.now
		m.run(20*time.Second, func(shares [domains]float64) {
			if shares[0] > remainder {
				last = m.now
			}
		})
		t.Logf("share was above %.1f for %v", remainder, last.Sub(start))
		if last.Sub(start) > 8*time.Second {
			t.Errorf("share was above %.1f for %v", remainder, last.Sub(start))
		}
	})
}

// TestClientsMoveToOneDomain guards against the same faults when the demand changes instead of the servers.
func TestClientsMoveToOneDomain(t *testing.T) {
	forEachFleet(t, func(t *testing.T, m *model) {
		usual := m.requests
		m.requests = [domains]float64{2 * usual[0], usual[1] / 2, usual[2] / 2}
		checkSettles(t, m, 1.4)
		m.requests = usual
		checkReturns(t, m)
	})
}

// TestNoReports guards against a policy that needs messages: daemons that know only their own requests reach the share too, later
// the fewer requests they have.
func TestNoReports(t *testing.T) {
	for i, limit := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 6 * time.Second} {
		m := newModel(fleets[i].daemons, fleets[i].perDaemon, 0)
		m.run(5*time.Second, nil)
		m.capacity[0] /= 2
		start, settled := m.now, time.Duration(0)
		m.run(12*time.Second, func(shares [domains]float64) {
			if settled == 0 && shares[0] >= 0.9*(1-1/1.4) {
				settled = m.now.Sub(start)
			}
			if shares[0] > 1-1/1.4+2*defaultDrain {
				t.Errorf("%d daemons: share is %.3f", len(m.daemons), shares[0])
			}
		})
		if settled == 0 || settled > limit {
			t.Errorf("%d daemons: settled after %v, want within %v", len(m.daemons), settled, limit)
		}
	}
}

// compareWithFixed runs a pattern with the policy and with the fixed cost of earlier versions, and returns the part of the
// requests that left and the longest queue of each run.
func compareWithFixed(daemons int, perDaemon float64, change func(*model)) (left, longest [2]float64) {
	for i := range 2 {
		m := newModel(daemons, perDaemon, time.Second)
		m.fixed = i == 1
		change(m)
		m.run(15*time.Second, func([domains]float64) { longest[i] = max(longest[i], m.queue[0], m.queue[1], m.queue[2]) })
		all := 0.0
		for _, sent := range m.sent {
			left[i] += sent[SideOutside]
			all += sent[SideInside] + sent[SideOutside]
		}
		left[i] /= all
	}
	return left, longest
}

// TestBothShort guards against domains that are equally short of servers and exchange their work, which only costs.
func TestBothShort(t *testing.T) {
	for _, f := range fleets {
		left, longest := compareWithFixed(f.daemons, f.perDaemon, func(m *model) {
			for i := range m.requests {
				m.requests[i] *= 1.8
			}
		})
		if left[0] > 0.2 || left[0] > left[1]/2 || longest[0] > longest[1] {
			t.Errorf("%d daemons: %.2f of the requests left, longest queue %.1f s; without the policy %.2f, %.1f s",
				f.daemons, left[0], longest[0], left[1], longest[1])
		}
	}
}

// TestSlowLink guards against work that leaves although it arrives later than it would begin inside: links of 1 s are used only
// while requests inside wait about as long, and not at the fixed cost's extremes.
func TestSlowLink(t *testing.T) {
	for _, f := range fleets {
		left, longest := compareWithFixed(f.daemons, f.perDaemon, func(m *model) {
			m.slowLink = time.Second
			m.reachable = func(from, to int) bool { return from+to == 1 || from == to }
			m.capacity[0] /= 1.6
		})
		if left[0] > left[1] || longest[0] > 3 {
			t.Errorf("%d daemons: %.2f of the requests left, longest queue %.1f s; without the policy %.2f, %.1f s",
				f.daemons, left[0], longest[0], left[1], longest[1])
		}
	}
}

// TestUnevenRequests guards against a policy that is right only for requests at equal distances: with random ones, the share stays
// near what the shortage asks for on average, and the other domains are not flooded.
func TestUnevenRequests(t *testing.T) {
	for _, f := range fleets {
		m := newModel(f.daemons, f.perDaemon, time.Second)
		m.uneven = true
		m.run(5*time.Second, nil)
		m.capacity[0] /= 2
		m.run(6*time.Second, nil)
		sum, count, longest := 0.0, 0.0, 0.0
		m.run(20*time.Second, func(shares [domains]float64) {
			sum, count, longest = sum+shares[0], count+1, max(longest, m.queue[1], m.queue[2])
		})
		if mean := sum / count; math.Abs(mean-(1-1/1.4)) > 0.08 || longest > 0.4 {
			t.Errorf("%d daemons: mean share %.3f, want about 0.286; longest queue elsewhere %.2f s", f.daemons, mean, longest)
		}
	}
}

// TestDomainWithOneServer guards against an estimate that needs many servers or requests.
func TestDomainWithOneServer(t *testing.T) {
	m := newModel(6, 5, time.Second)
	m.run(5*time.Second, nil)
	m.requests[0] *= 2
	m.run(5*time.Second, nil)
	sum, count := 0.0, 0.0
	m.run(20*time.Second, func(shares [domains]float64) { sum, count = sum+shares[0], count+1 })
	if mean := sum / count; mean < 0.2 || mean > 0.4 || m.queue[0] > 2 {
		t.Errorf("mean share %.3f, want about 0.286 plus at most 0.1; queue %.1f s", mean, m.queue[0])
	}
}

// TestDomainWithoutServer guards against requests that stay in a domain without servers, and against those that go on leaving after
// its servers returned.
func TestDomainWithoutServer(t *testing.T) {
	forEachFleet(t, func(t *testing.T, m *model) {
		for i := range m.requests {
			m.requests[i] *= 0.8 // the other domains can do all of the work
		}
		usual := m.capacity[0]
		m.capacity[0] = 0
		m.run(3*time.Second, nil)
		if share := m.daemons[0].policy.Share(m.now); share != 1 {
			t.Errorf("share without a server is %.3f, want 1", share)
		}
		m.capacity[0] = usual
		checkReturns(t, m)
	})
}

// TestDomainCutOff guards against requests that are bound to servers which can't be reached.
func TestDomainCutOff(t *testing.T) {
	forEachFleet(t, func(t *testing.T, m *model) {
		m.capacity[0] /= 2
		m.run(6*time.Second, nil)
		m.reachable = func(from, to int) bool { return from == to }
		m.run(time.Second, func(shares [domains]float64) {
			if shares[0] != 0 || m.daemons[0].policy.Choose(Request{Work: 1}, m.now).Bound {
				t.Fatalf("share is %.3f in a domain that is cut off", shares[0])
			}
		})
	})
}
