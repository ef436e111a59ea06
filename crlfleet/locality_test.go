package crlfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllocality"
	"github.com/cranberrylock/cranberrylock/crlpartition"
)

const (
	testDomains   = 3
	domainEngines = 30
	calmLoad      = 0.7 // work of a domain's clients, relative to what its engines can do
	requestBytes  = 50_000
)

// domainCluster is a cluster in several failure domains.
type domainCluster struct {
	*cluster
	age      time.Duration        // time between two exchanges of a daemon, and the mean age of what it knows
	rates    [testDomains]float64 // requests per second of the clients of each domain
	link     func(from, to int) time.Duration
	isCut    bool // whether no messages are exchanged
	uneven   bool // whether requests have 0 to 2 times requestBytes
	domainOf map[crlid.Server]int
	stats    domainStats
	parts    int                              // number of shared parts of prompts, 0 for none
	cached   map[crlid.Server]map[string]bool // shared parts that engines have cached
}

// domainStats are sums over the requests that were sent since they were reset.
type domainStats struct {
	sent, left [testDomains]float64              // by the domain of the client
	to         [testDomains][testDomains]float64 // by the domains of client and server
	bytes      float64                           // that left their domain
	answered   float64
	wait       float64 // of the answered requests beyond their work, in seconds
}

func (s *domainStats) share(domain int) float64 { return s.left[domain] / max(s.sent[domain], 1) }

func (s *domainStats) meanWait() float64 { return s.wait / s.answered }

func domainName(n int) crlid.Domain { return crlid.Domain(fmt.Sprint("d", n)) }

// newDomainCluster returns a cluster whose daemons and engines are distributed over the domains, and runs it until load is known.
func newDomainCluster(daemons int, age time.Duration, fixedCost bool) *domainCluster {
	d := &domainCluster{
		cluster: newCluster(daemons, 0, true, 1), age: age, domainOf: make(map[crlid.Server]int), cached: make(map[crlid.Server]map[string]bool),
		link: func(int, int) time.Duration { return 0 },
	}
	for n, f := range d.fleets {
		f.config.Domain, f.config.FixedDomainCost = domainName(n%testDomains), fixedCost
		d.nextAt[n] = d.now.Add(time.Duration(d.random.Int64N(int64(age))))
	}
	for n := range testDomains * domainEngines {
		d.announce(n)
	}
	for i := range d.rates {
		d.rates[i] = calmLoad * domainEngines / testWork
	}
	return d
}

// announce announces an engine of the domain n%testDomains.
func (d *domainCluster) announce(n int) {
	e := testEntry(n)
	e.Domain = domainName(n % testDomains)
	d.domainOf[e.Server] = n % testDomains
	if d.engines[e.Server] == nil {
		d.engines[e.Server] = &engine{readUntil: d.now, speed: 1}
	}
	for _, f := range d.fleets {
		f.Announce(e, d.now)
	}
}

// keep removes all engines of domain 0 but the given number of them.
func (d *domainCluster) keep(engines int) {
	for n := engines * testDomains; n < testDomains*domainEngines; n += testDomains {
		d.remove(n)
	}
}

// restore announces all engines of domain 0.
func (d *domainCluster) restore() {
	for n := 0; n < testDomains*domainEngines; n += testDomains {
		d.announce(n)
	}
}

// run sends the clients' requests to daemons of their domain.
func (d *domainCluster) run(length time.Duration) {
	for end := d.now.Add(length); d.now < end; d.now = d.now.Add(testStep) {
		for _, event := range d.events[d.now] {
			event()
		}
		delete(d.events, d.now)
		for domain, rate := range d.rates {
			for range d.poisson(rate * testStep.Seconds()) {
				d.send(domain+testDomains*d.random.IntN(d.daemonsOf(domain)), domain)
			}
		}
		d.exchangeLoad()
	}
}

func (d *domainCluster) exchangeLoad() {
	for n := 1; n < len(d.tables) && !d.isCut; n++ {
		if d.nextAt[n] > d.now {
			continue
		}
		d.nextAt[n] = d.now.Add(d.age)
		isNew := d.replies[n] == nil
		if !isNew {
			if reply := d.replies[n](); reply != nil {
				d.tables[n].Learn(reply)
			}
		}
		d.replies[n] = d.tables[0].Receive(d.tables[n].Request(isNew))
	}
}

// send sends a request of a client of a domain through a daemon.
func (d *domainCluster) send(daemon, domain int) {
	f, work := d.fleets[daemon], testWork*2*d.random.Float64()
	need := engineNeed(work)
	need.WorkAfter, need.ExpectedFirstByte, need.Tokens = 0.02, time.Duration(work*float64(time.Second)), 1000
	need.Bytes = requestBytes
	if d.uneven {
		need.Bytes = int64(2 * requestBytes * d.random.Float64())
	}
	if d.parts > 0 && d.random.IntN(2) == 0 {
		need.Affinity = Affinity{Key: fmt.Sprint(d.random.IntN(d.parts)), Saving: work / 2}
	}
	// That requests of different sizes are kept apart is tested elsewhere.
	f.serviceLoad(need.Service).partition = crlpartition.Partition{}
	p, err := f.Pick(need)
	if err != nil {
		panic(err)
	}
	to := d.domainOf[p.Server]
	d.stats.to[domain][to]++
	d.stats.sent[domain]++
	if to != domain {
		d.stats.left[domain]++
		d.stats.bytes += float64(need.Bytes)
	}
	if key := need.Affinity.Key; key != "" {
		if d.cached[p.Server] == nil {
			d.cached[p.Server] = make(map[string]bool)
		}
		if d.cached[p.Server][key] {
			work -= need.Affinity.Saving
		}
		d.cached[p.Server][key] = true
	}
	e, sentAt, link := d.engines[p.Server], d.now, d.link(domain, to)
	d.after(link, func() {
		e.readUntil = max(e.readUntil, d.now).Add(time.Duration(work * float64(time.Second)))
		e.running++
		d.after(e.readUntil.Sub(d.now)+link, func() {
			firstByte := d.now.Sub(sentAt)
			p.RecordFirstByte(firstByte)
			d.stats.answered++
			d.stats.wait += firstByte.Seconds() - work
			d.after(time.Second, func() {
				e.running--
				p.Done(Result{Outcome: OutcomeAnswered, FirstByte: firstByte})
			})
		})
	})
}

// observeShares runs the cluster, and calls observe every 0.1 s with the mean share of each domain's daemons.
func (d *domainCluster) observeShares(length time.Duration, observe func(shares [testDomains]float64)) {
	const interval = 100 * time.Millisecond
	for range length / interval {
		d.run(interval)
		var shares [testDomains]float64
		for n, f := range d.fleets {
			for _, l := range f.Localities() {
				shares[n%testDomains] += l.Share / float64(d.daemonsOf(n%testDomains))
			}
		}
		observe(shares)
	}
}

// daemonsOf returns the number of daemons in a domain.
func (d *domainCluster) daemonsOf(domain int) int {
	return (len(d.fleets) + testDomains - 1 - domain) / testDomains
}

// measure runs the cluster and returns the figures of that time.
func (d *domainCluster) measure(length time.Duration) domainStats {
	d.stats = domainStats{}
	d.run(length)
	return d.stats
}

// TestCalmFleetKeepsItsBytes guards against requests that leave their failure domain although its servers can do all of its work: for an engine
// that has the shared part of their prompt cached, or by chance. They leave half as many bytes as with the fixed cost or fewer, and don't wait longer.
func TestCalmFleetKeepsItsBytes(t *testing.T) {
	for _, load := range []float64{0.5, 0.7} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			var stats [2]domainStats
			for i, fixed := range []bool{true, false} {
				d := newDomainCluster(83, time.Second, fixed)
				d.parts = 8
				for i := range d.rates {
					d.rates[i] *= load / calmLoad
				}
				d.run(4 * time.Second)
				stats[i] = d.measure(20 * time.Second)
				t.Logf("fixed cost %v: %.1f MB left, requests wait %.3f s", fixed, stats[i].bytes/1e6, stats[i].meanWait())
			}
			if stats[1].bytes > stats[0].bytes/2 {
				t.Errorf("%.1f MB left, want at most half of %.1f MB", stats[1].bytes/1e6, stats[0].bytes/1e6)
			}
			if stats[1].meanWait() > stats[0].meanWait() {
				t.Errorf("requests wait %.3f s, want at most %.3f s", stats[1].meanWait(), stats[0].meanWait())
			}
		})
	}
}

const (
	shareSettleTime = 2 * time.Second // from the moment at which daemons can know of a change
	overshoot       = 0.1             // of the domain's work
	workOff         = 0.1             // part of the domain's work that may leave in order to shorten a queue that has formed
	shareAtRest     = 0.1             // largest share that may be left after shareSettleTime when nothing is short any more
)

// forEachLargeFleet runs a test for fleets that exchange load at each age of information.
func forEachLargeFleet(t *testing.T, test func(t *testing.T, d *domainCluster)) {
	for _, fleet := range []struct {
		daemons int
		age     time.Duration
	}{{83, 500 * time.Millisecond}, {83, time.Second}, {83, 2 * time.Second}, {295, 2 * time.Second}} {
		t.Run(fmt.Sprintf("%d-daemons/%v", fleet.daemons, fleet.age), func(t *testing.T) {
			d := newDomainCluster(fleet.daemons, fleet.age, false)
			d.run(5 * time.Second)
			test(t, d)
		})
	}
}

// checkSettles checks that the share of domain 0 reaches in time what its shortage asks for, and exceeds it by at most a tenth of the domain's
// work. ratio is the domain's work as a multiple of what its servers can do.
func checkSettles(t *testing.T, d *domainCluster, ratio float64) {
	t.Helper()
	lacking := 1 - 1/ratio
	start, settled, most, late := d.now, time.Duration(0), 0.0, 1.0
	d.observeShares(8*time.Second, func(shares [testDomains]float64) {
		if settled == 0 && shares[0] >= 0.9*lacking {
			settled = d.now.Sub(start)
		}
		most = max(most, shares[0])
		if settled > 0 {
			late = min(late, shares[0])
		}
	})
	t.Logf("%.3f lacking: settled after %v, share from then on %.3f to %.3f", lacking, settled, late, most)
	if limit := d.age + shareSettleTime; settled == 0 || settled > limit {
		t.Errorf("share reached %.3f after %v, want within %v", 0.9*lacking, settled, limit)
	}
	if most > min(lacking+workOff+overshoot, 1) {
		t.Errorf("share reached %.3f, want at most %.3f", most, lacking+workOff+overshoot)
	}
}

// checkReturns checks that domain 0 keeps its work from shareSettleTime after a shortage.
func checkReturns(t *testing.T, d *domainCluster) {
	t.Helper()
	d.run(d.age + shareSettleTime)
	most := 0.0
	d.observeShares(3*time.Second, func(shares [testDomains]float64) { most = max(most, shares[0]) })
	t.Logf("share afterwards up to %.3f", most)
	if most > shareAtRest {
		t.Errorf("share is still %.3f though nothing is short, want at most %.3f", most, shareAtRest)
	}
}

// TestServersOfOneDomainHalved guards against daemons of a domain that is short of servers and send all of their work away, or keep it, and
// against work that goes on leaving when the servers are back.
func TestServersOfOneDomainHalved(t *testing.T) {
	forEachLargeFleet(t, func(t *testing.T, d *domainCluster) {
		d.keep(domainEngines / 2)
		checkSettles(t, d, 2*calmLoad)
		d.restore()
		checkReturns(t, d)
	})
}

// TestClientsMovedToOneDomain guards against the same faults when the demand changes, which no entry tells.
func TestClientsMovedToOneDomain(t *testing.T) {
	forEachLargeFleet(t, func(t *testing.T, d *domainCluster) {
		usual := d.rates
		d.rates = [testDomains]float64{2 * usual[0], usual[1] / 2, usual[2] / 2}
		checkSettles(t, d, 2*calmLoad)
		d.rates = usual
		checkReturns(t, d)
	})
}

// compareWithFixedCost returns the figures of a pattern with the fixed cost, and those with the share.
func compareWithFixedCost(t *testing.T, daemons int, begin func(d *domainCluster)) (fixed, shared domainStats) {
	t.Helper()
	var stats [2]domainStats
	for i := range stats {
		d := newDomainCluster(daemons, time.Second, i == 0)
		d.run(4 * time.Second)
		begin(d)
		d.run(d.age + shareSettleTime)
		stats[i] = d.measure(6 * time.Second)
		t.Logf("fixed cost %v: %.2f of the work of domain 0 left, %.2f of domain 1, requests wait %.3f s, to by domain %.0f",
			i == 0, stats[i].share(0), stats[i].share(1), stats[i].meanWait(), stats[i].to[0])
	}
	return stats[0], stats[1]
}

// TestSlowLinkBetweenTwoDomains guards against work that leaves over a slow link while another domain can do it.
func TestSlowLinkBetweenTwoDomains(t *testing.T) {
	for _, daemons := range []int{83, 295} {
		fixed, shared := compareWithFixedCost(t, daemons, func(d *domainCluster) {
			d.link = func(from, to int) time.Duration {
				if from != to && from+to == 1 {
					return 500 * time.Millisecond
				}
				return 0
			}
			d.keep(domainEngines / 2)
		})
		if shared.to[0][1] >= min(fixed.to[0][1], shared.to[0][2]) {
			t.Errorf("%d daemons: %.0f requests left over the slow link, want fewer than the %.0f with the fixed cost and the %.0f over the other link",
				daemons, shared.to[0][1], fixed.to[0][1], shared.to[0][2])
		}
		if shared.meanWait() > fixed.meanWait() {
			t.Errorf("%d daemons: requests wait %.3f s, want at most %.3f s", daemons, shared.meanWait(), fixed.meanWait())
		}
	}
}

// TestBothShortOfCapacity guards against domains that are equally short of servers and exchange their work, which only costs.
func TestBothShortOfCapacity(t *testing.T) {
	for _, daemons := range []int{83, 295} {
		_, shared := compareWithFixedCost(t, daemons, func(d *domainCluster) {
			for i := range d.rates {
				d.rates[i] *= 1.8
			}
		})
		for domain := range testDomains {
			if share := shared.share(domain); share > 0.2 {
				t.Errorf("%d daemons: %.2f of the work of domain %d leaves, want at most 0.2", daemons, share, domain)
			}
		}
	}
}

// TestDomainWithOneServer guards against a server that gets the work of a whole domain.
func TestDomainWithOneServer(t *testing.T) {
	for _, daemons := range []int{83, 295} {
		d := newDomainCluster(daemons, time.Second, false)
		d.run(4 * time.Second)
		d.keep(1)
		checkSettles(t, d, domainEngines*calmLoad)
		d.restore()
		checkReturns(t, d)
	}
}

// TestDomainWithoutServer guards against requests that fail or wait in a domain without servers, and against those that go on leaving after its
// servers returned.
func TestDomainWithoutServer(t *testing.T) {
	for _, daemons := range []int{83, 295} {
		d := newDomainCluster(daemons, time.Second, false)
		for i := range d.rates {
			d.rates[i] *= 0.8 // the other domains can do all of the work
		}
		d.run(4 * time.Second)
		d.keep(0)
		if s := d.measure(3 * time.Second); s.share(0) != 1 {
			t.Errorf("%d daemons: %.2f of the work leaves a domain without a server", daemons, s.share(0))
		}
		if l := d.fleets[0].Localities()[0]; l.Cause != crllocality.CauseNoServerInside {
			t.Errorf("cause is %s, want %s", l.Cause, crllocality.CauseNoServerInside)
		}
		d.restore()
		checkReturns(t, d)
	}
}

// TestFixedCostWithoutExchange guards against a share in fleets that are served as before: small ones, those that don't exchange load, services
// that are no model engines, and a domain that hears of no other daemon.
func TestFixedCostWithoutExchange(t *testing.T) {
	var stats [2]domainStats
	for i := range stats {
		d := newDomainCluster(6, time.Second, i == 0)
		d.run(2 * time.Second)
		d.keep(domainEngines / 2)
		stats[i] = d.measure(4 * time.Second)
	}
	if stats[0] != stats[1] {
		t.Errorf("6 daemons select other servers than with the fixed cost: %+v and %+v", stats[0], stats[1])
	}
	d := newDomainCluster(83, 500*time.Millisecond, false)
	d.run(3 * time.Second)
	if !d.fleets[0].Localities()[0].Active {
		t.Error("the share isn't used in a large fleet that exchanges load")
	}
	d.isCut = true
	d.run(6 * time.Second)
	for _, l := range d.fleets[1].Localities() {
		if l.Active || l.Share > 0 {
			t.Errorf("the share %.2f is used in a domain that hears of no other daemon", l.Share)
		}
	}
}

// TestBytesKeepRequestsInside guards against large requests that leave as if their bytes cost nothing, when the setting says what they cost.
func TestBytesKeepRequestsInside(t *testing.T) {
	var left [2]float64
	for i, price := range []float64{0, 4} {
		d := newDomainCluster(83, time.Second, false)
		for _, f := range d.fleets {
			f.config.SecondsPerMegabyte = price
		}
		d.uneven = true
		d.run(4 * time.Second)
		d.keep(domainEngines / 2)
		d.run(3 * time.Second)
		s := d.measure(6 * time.Second)
		left[i] = s.bytes / s.left[0]
		t.Logf("%.0f s for each MB: %.2f of the requests left, with %.0f kB each", price, s.share(0), left[i]/1e3)
	}
	if left[1] > 0.8*left[0] {
		t.Errorf("requests that left had %.0f kB, want fewer than the %.0f kB without a price", left[1]/1e3, left[0]/1e3)
	}
}

// TestShareNeedsServersOnBothSides guards against requests that are bound to a side on which no server is of use: in a domain that is evacuated,
// has cold servers only, or has all servers of the service.
func TestShareNeedsServersOnBothSides(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(d *domainCluster)
		cause  crllocality.Cause
	}{
		{"evacuated", func(d *domainCluster) { d.fleets[0].Evacuate(domainName(0), true) }, crllocality.CauseNoServerInside},
		{"cold", func(d *domainCluster) {
			for n := 0; n < testDomains*domainEngines; n += testDomains {
				e := testEntry(n)
				e.Domain, e.ColdLeft = domainName(0), time.Minute
				d.fleets[0].Announce(e, d.now)
			}
		}, crllocality.CauseNoServerInside},
		{"alone", func(d *domainCluster) {
			d.fleets[0].Evacuate(domainName(1), true)
			d.fleets[0].Evacuate(domainName(2), true)
		}, crllocality.CauseNoServerOutside},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDomainCluster(24, 500*time.Millisecond, false)
			d.run(2 * time.Second)
			test.change(d)
			d.run(time.Second)
			if l := d.fleets[0].Localities()[0]; l.Active || l.Cause != test.cause {
				t.Errorf("share is used: %v, cause %s; want false, %s", l.Active, l.Cause, test.cause)
			}
		})
	}
}

// TestLocalityIsReported guards against operators who don't learn that work leaves a domain, why, and what that saves.
func TestLocalityIsReported(t *testing.T) {
	d := newDomainCluster(24, 500*time.Millisecond, false)
	var reports []Locality
	d.fleets[0].config.OnLocality = func(l Locality) { reports = append(reports, l) }
	d.run(3 * time.Second)
	before := len(reports)
	d.keep(domainEngines / 2)
	d.run(4 * time.Second)
	if len(reports) == before || len(reports) > before+5 {
		t.Fatalf("%d reports after a shortage of 4 s, want 1 to 5", len(reports)-before)
	}
	last := d.fleets[0].Localities()[0]
	if last.Cause != crllocality.CauseShort || last.Share <= 0 || last.Left <= 0 || last.Bytes <= 0 || last.Saved <= 0 {
		t.Errorf("locality is %+v, want cause short and positive figures", last)
	}
}

// TestWorkLeavesWithoutStatedRandomNumbers guards against a selection that panics once work leaves the failure domain, when Config.Random isn't set, as in a router.
func TestWorkLeavesWithoutStatedRandomNumbers(t *testing.T) {
	l := newPickLoad(t, true, false)
	for n := range 10 {
		e := testEntry(1000 + n)
		e.Domain = "far"
		l.fleet.Announce(e, l.now)
	}
	y := &l.fleet.serviceLoad(l.need.Service).locality
	y.status.Active, y.status.Share = true, 0.5
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	left := 0
	for range 100 {
		if l.fleet.chooseSide(&l.need); y.leaves {
			left++
		}
	}
	if left < 45 || left > 55 {
		t.Errorf("%d of 100 requests leave, want 50 as the share says, at most 5 more or fewer", left)
	}
}
