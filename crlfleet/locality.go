package crlfleet

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllocality"
)

const (
	// otherSideCost is added to the score, in seconds, of servers that a request only uses if all others are out of the question.
	otherSideCost = 3600.0
	// openExcess is the excess of the wait inside the domain, in seconds, from which work leaves. Means over 30 servers differ by about as much
	// by chance at 80% load.
	openExcess = 0.15
	// drainSeconds is the time in which a longer wait inside is to be worked off. With a shorter one than the age of what is known, the share
	// swings.
	drainSeconds = 2.0
	// maxDrainShare bounds the part of the work that leaves beyond what the domain is known to lack. It is as large as what a domain with 1.4
	// times the work that it can do lacks, since a daemon with one request a second learns too late that there is more work.
	maxDrainShare = 0.3
	// linkMemory is the time constant at which the delay of the link to a domain is forgotten, so that the domain is tried again.
	linkMemory = 10 * time.Second
	// linkGain is the weight of an observation above the known delay of a link. Most of it is the queue of a server.
	linkGain = 0.05
	// byteCostGain is the weight of the newest request in the mean cost of bytes.
	byteCostGain = 0.02
	// maxLeaveWeight is the largest ratio by which a request that is cheap to send away leaves more often than an average one, and an expensive
	// one less often.
	maxLeaveWeight = 2.0
	// minKnownPart is the part of the other daemons from whose reports the share is computed. Reports that are 2 s old count for 0.4.
	minKnownPart = 0.25
	// localityReportInterval is the shortest time between two reports of a service's locality.
	localityReportInterval = time.Second
	// localityReportStep is the change of the share from which it is reported.
	localityReportStep = 0.1
)

// Locality describes how much of this daemon's work for a service leaves its failure domain, and why.
type Locality struct {
	Service crlid.Service
	Active  bool // whether the share decides; otherwise, servers of other domains are scored with a fixed cost
	Share   float64
	Cause   crllocality.Cause
	// Pressure is the estimated work of the domain's clients as a multiple of what its servers can do, 0 if Active isn't set.
	Pressure float64
	Inside   time.Duration // mean expected wait at the domain's servers
	Outside  time.Duration // the same in the other domain where it is shortest, with the delay of the link
	Left     float64       // work sent to other domains since the start, in seconds
	Bytes    int64         // the stated bytes of these requests and their answers
	Saved    float64       // by how much longer these requests would have waited inside, as estimated, in seconds
}

// locality decides how much of this daemon's work for a service leaves its failure domain.
type locality struct {
	status     Locality
	reported   Locality // as of reportedAt
	reportedAt crlclock.Instant
	leaves     bool    // whether the present request is bound to the servers outside; meaningful if status.Active
	isOpen     bool    // whether work leaves; see openExcess
	credit     float64 // sum of the shares of requests, less the number that left
	byteCost   float64 // mean cost of a request's bytes, in seconds
	weight     float64 // mean of leaveWeight over the requests, less 1
	domains    []domainLoad
	links      map[crlid.Domain]*link
}

// domainLoad is the load of the servers of a domain that accept requests.
type domainLoad struct {
	domain  crlid.Domain
	servers int
	work    float64 // in seconds
}

// wait returns the mean time in seconds until a server has done the work that it has.
func (d *domainLoad) wait() float64 { return d.work / max(float64(d.servers), 1) }

// link is the delay of requests to another domain.
type link struct {
	seconds float64
	at      crlclock.Instant
}

func (k *link) delay(now crlclock.Instant) float64 {
	if k == nil {
		return 0
	}
	return k.seconds * math.Exp(-now.Sub(k.at).Seconds()/linkMemory.Seconds())
}

// refreshLocality computes the share of the work that leaves the domain anew. It is called when the load of other daemons is.
func (f *Fleet) refreshLocality(service crlid.Service, others float64, now crlclock.Instant) {
	l := f.serviceLoad(service)
	y := &l.locality
	f.sumDomains(service, now)
	inside, outside, hasOutside := &y.domains[0], math.Inf(1), false
	for i := range y.domains[1:] {
		if d := &y.domains[i+1]; d.servers > 0 {
			outside, hasOutside = min(outside, d.wait()+y.links[d.domain].delay(now)), true
		}
	}
	for _, s := range f.services[service] {
		s.remote.link = y.links[s.entry.Domain].delay(now)
	}
	status := &y.status
	status.Service, status.Active = service, f.IsLarge() && !f.config.FixedDomainCost && inside.servers > 0 && hasOutside && l.remote.known > minKnownPart*others
	if !status.Active {
		y.isOpen, status.Share, status.Pressure, status.Inside, status.Outside = false, 0, 0, 0, 0
		status.Cause = crllocality.CauseEnough
		switch {
		case !hasOutside:
			status.Cause = crllocality.CauseNoServerOutside
		case inside.servers == 0:
			status.Cause, status.Share = crllocality.CauseNoServerInside, 1
		}
	} else {
		domain, all := f.domainWork(l, others, now)
		servers := 0
		for _, d := range y.domains {
			servers += d.servers
		}
		status.Pressure = domain / float64(inside.servers)
		status.Inside, status.Outside = toDuration(inside.wait()), toDuration(outside)
		y.updateShare(inside.wait()-outside, max(all/float64(servers), 1), l.remote.age)
	}
	f.reportLocality(y, now)
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// updateShare computes the share from the difference of the waits inside and outside, and the age of what is known of them. possible is the
// pressure, at least 1, that all domains have when the work is divided evenly: a domain that is as short as the others keeps its work.
func (y *locality) updateShare(difference, possible float64, age time.Duration) {
	pressure := y.status.Pressure
	excess := difference - crossDomainCost - crossDomainRaceCost - y.byteCost
	// What was sent since the reports adds to the wait, if servers have gone or there is more work.
	excess += max((1-y.status.Share)*pressure-possible, 0) * age.Seconds()
	switch {
	case excess > openExcess:
		y.isOpen = true
	case excess <= 0 && pressure <= possible:
		y.isOpen = false
	}
	if !y.isOpen || pressure <= 0 {
		y.status.Share, y.status.Cause = 0, crllocality.CauseEnough
		return
	}
	lacking := max(1-possible/pressure, 0)
	y.status.Share = min(max(lacking+min(excess/drainSeconds/pressure, maxDrainShare), 0), 1)
	y.status.Cause = crllocality.CauseShort
	if possible > 1 {
		y.status.Cause = crllocality.CauseBothShort
	}
}

// sumDomains adds up the load of the service's servers by domain, this daemon's domain first. Servers that are cold, paused or in a backoff time
// don't count. A domain with only such servers counts as one without any, as its clients are still there.
func (f *Fleet) sumDomains(service crlid.Service, now crlclock.Instant) {
	y := &f.serviceLoad(service).locality
	y.domains = append(y.domains[:0], domainLoad{domain: f.config.Domain})
	for _, s := range f.services[service] {
		i := 0
		for i < len(y.domains) && y.domains[i].domain != s.entry.Domain {
			i++
		}
		if i == len(y.domains) {
			y.domains = append(y.domains, domainLoad{domain: s.entry.Domain})
		}
		if f.inService(s) && max(s.coldUntil, s.pausedUntil, s.health.backoffUntil) <= now {
			y.domains[i].servers++
			y.domains[i].work += s.remote.reported + s.pendingWork
		}
	}
}

// domainWork estimates the work that the clients of this domain bring, and that of all clients, in seconds for each second. A domain has as much
// as the others, unless this daemon's own work differs by more than chance explains.
func (f *Fleet) domainWork(l *serviceLoad, others float64, now crlclock.Instant) (domain, all float64) {
	daemons, domains := others+1, float64(len(l.locality.domains))
	own := l.remote.work.perSecond(now)
	if !l.remote.hasDemand {
		return own * daemons / domains, own * daemons
	}
	even := 0.0 // of a daemon
	for _, work := range l.remote.demand {
		even += work / daemons
	}
	all = even * daemons
	difference := own - even
	variance := l.remote.squares.perSecond(now) / (2 * arrivalMemory.Seconds())
	square := difference * difference
	if square > 0 {
		even += difference * square / (square + variance)
	}
	return even * daemons / domains, all
}

// chooseSide decides whether a request leaves the domain. Those with fewer bytes leave more often; on average the share does.
func (f *Fleet) chooseSide(need *Need) {
	y := &f.serviceLoad(need.Service).locality
	y.leaves = false
	if !need.Engine || !y.status.Active {
		return
	}
	cost := f.byteCost(need)
	y.byteCost += byteCostGain * (cost - y.byteCost)
	const fixed = crossDomainCost + crossDomainRaceCost
	weight := min(max((fixed+y.byteCost)/(fixed+cost), 1/maxLeaveWeight), maxLeaveWeight)
	y.weight += byteCostGain * (weight - 1 - y.weight)
	if y.status.Share <= 0 {
		y.credit = 0
		return
	}
	// What a draw leaves over counts for the next requests, so that the part that leaves differs less from the share.
	y.credit += min(y.status.Share*weight/(1+y.weight), 1)
	if f.random() < y.credit {
		y.credit--
		y.leaves = true
	}
}

// byteCost returns what the bytes of a request are worth between domains, in seconds of waiting.
func (f *Fleet) byteCost(need *Need) float64 {
	return max(f.config.SecondsPerMegabyte, 0) * float64(max(need.Bytes, 0)) / 1e6
}

// domainCost returns the part of a server's score for its failure domain.
func (c *scoreContext) domainCost(s *server) float64 {
	cost, isInside := 0.0, s.entry.Domain == c.fleet.config.Domain
	if !isInside {
		cost = c.otherDomain
	}
	y := &c.load.locality
	if !c.need.Engine || !y.status.Active {
		return cost
	}
	if !c.isOnSide(s) {
		cost += otherSideCost
	}
	return cost + s.remote.link
}

// isOnSide reports whether a server is on the side that was chosen for the request. It is if none was chosen.
func (c *scoreContext) isOnSide(s *server) bool {
	y := &c.load.locality
	return !c.need.Engine || !y.status.Active || (s.entry.Domain == c.fleet.config.Domain) != y.leaves
}

// hasCandidateOnSide reports whether any candidate is on the side that was chosen for the request.
func (c *scoreContext) hasCandidateOnSide(candidates []candidate) bool {
	for i := range candidates {
		if c.isOnSide(candidates[i].server) {
			return true
		}
	}
	return false
}

// recordLeaving counts a request that was sent to another domain.
func (f *Fleet) recordLeaving(s *server, need *Need) {
	if !need.Engine || s.entry.Domain == f.config.Domain {
		return
	}
	status := &f.serviceLoad(need.Service).locality.status
	status.Left += need.Work
	status.Bytes += max(need.Bytes, 0)
	if status.Active {
		status.Saved += max((status.Inside - status.Outside).Seconds(), 0)
	}
}

// observeLink learns the delay of the link to the server's domain from how much later than expected an answer began.
func (p *Pick) observeLink(late time.Duration, now crlclock.Instant) {
	y, domain := &p.load.locality, p.server.entry.Domain
	if !p.exchanged || !y.status.Active || domain == p.fleet.config.Domain {
		return
	}
	if y.links == nil {
		y.links = make(map[crlid.Domain]*link)
	}
	known, seconds := y.links[domain], max(late, 0).Seconds()
	if known != nil {
		delay := known.delay(now)
		seconds = min(seconds, delay+linkGain*max(seconds-delay, 0))
	}
	y.links[domain] = &link{seconds: seconds, at: now}
}

// insideShare returns the part of the work of other daemons that goes to servers of this daemon's domain.
func (l *serviceLoad) insideShare() (share float64, ok bool) {
	y := &l.locality
	return (1 - y.status.Share) / max(float64(len(y.domains)), 1), y.status.Active
}

// reportLocality reports a change of the cause, or of the share by localityReportStep.
func (f *Fleet) reportLocality(y *locality, now crlclock.Instant) {
	if f.config.OnLocality == nil || !f.IsLarge() || now.Sub(y.reportedAt) < localityReportInterval ||
		y.status.Cause == y.reported.Cause && math.Abs(y.status.Share-y.reported.Share) < localityReportStep {
		return
	}
	y.reported, y.reportedAt = y.status, now
	f.config.OnLocality(y.status)
}

// Localities returns how much work leaves the failure domain, for each service whose load is exchanged, sorted by name.
func (f *Fleet) Localities() (localities []Locality) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.loads {
		if l.locality.status.Service != "" {
			localities = append(localities, l.locality.status)
		}
	}
	slices.SortFunc(localities, func(a, b Locality) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return localities
}
