package crlfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpartition"
	"github.com/cranberrylock/cranberrylock/crlworkload"
)

// formerFleet selects servers with the code of commit 0de84b5, which computed everything anew for each server. Tests compare the
// selections of Fleet.Pick with its own.
type formerFleet struct{ *Fleet }

func (f formerFleet) Pick(need Need) (*Pick, error) {
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	// Recorded first, so that the request's own size is known when its interval is computed.
	f.serviceLoad(need.Service).partition.Record(need.Work, need.Work+need.WorkAfter, now)
	f.refreshRemote(need, now)
	for _, preferred := range []bool{true, false} {
		for _, available := range []bool{true, false} {
			if s := f.best(need, preferred, available, now); s != nil {
				s.openRequests++
				s.pendingWork += need.Work + need.WorkAfter
				l := f.serviceLoad(need.Service)
				l.backlog(need.Work).begin(need.Work)
				segment := &l.segments[segment(s.place)]
				segment.begin(now)
				p := &Pick{
					Server: s.entry.Server, Address: s.entry.Address, Version: s.entry.Version,
					ExpectedFirstByte: need.ExpectedFirstByte, fleet: f.Fleet, server: s, load: l, work: need.Work, workAfter: need.WorkAfter,
					pickedAt: now, segment: segment,
				}
				f.recordAttempt(s, now)
				f.beginLoad(p, need, now)
				return p, nil
			}
		}
	}
	return nil, f.pickError(need, now)
}

func (f formerFleet) pickError(need Need, now crlclock.Instant) error {
	var firstEnd crlclock.Instant // of the pauses; 0 without one
	limited := false
	for _, s := range f.services[need.Service] {
		switch {
		case !f.accepts(s) || !need.Allows(s.entry.Version) || need.Exclude[s.entry.Server]:
		case s.pausedUntil <= now && !f.hasPlace(s, now):
			return ErrNoPlace
		case s.pausedUntil <= now:
			limited = true
		case firstEnd == 0 || s.pausedUntil < firstEnd:
			firstEnd = s.pausedUntil
		}
	}
	if limited {
		return ErrRateLimit
	}
	if firstEnd != 0 {
		return &PausedError{Left: firstEnd.Sub(now)}
	}
	return ErrNoServer
}

func (f formerFleet) best(need Need, preferred, available bool, now crlclock.Instant) *server {
	var candidates []*server
	for _, s := range f.services[need.Service] {
		if !f.accepts(s) || s.pausedUntil > now || !f.hasPlace(s, now) || need.Exclude[s.entry.Server] || !need.Allows(s.entry.Version) ||
			preferred && !need.Prefers(s.entry.Version) || available && max(s.health.backoffUntil, s.newVersionUntil) > now {
			continue
		}
		candidates = append(candidates, s)
	}
	if available {
		candidates = formerFewest(candidates, need.FewServers)
	}
	candidates = f.withRoom(candidates, need)
	f.updatePlaces(need.Service, now)
	interval := f.interval(need.Service, need.Work, now)
	holder := formerHolder(need.Affinity, formerPreferredBy(&interval, candidates))
	for len(candidates) > 0 {
		best, lowest := 0, math.Inf(1)
		for i, s := range candidates {
			score := f.score(s, need, now) + interval.Penalty(s.place)
			if s == holder {
				score -= need.Affinity.Saving
			}
			if score < lowest {
				best, lowest = i, score
			}
		}
		if f.takeLimitToken(candidates[best], now) && f.takeColdToken(candidates[best], need, now) {
			return candidates[best]
		}
		candidates = slices.Delete(candidates, best, best+1)
	}
	return nil
}

func formerFewest(candidates []*server, limits map[crlid.Version]int) []*server {
	if len(limits) == 0 {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b *server) int { return cmp.Compare(a.entry.Server, b.entry.Server) })
	count := make(map[crlid.Version]int, len(limits))
	return slices.DeleteFunc(candidates, func(s *server) bool {
		limit, ok := limits[s.entry.Version]
		count[s.entry.Version]++
		return ok && count[s.entry.Version] > limit
	})
}

func formerHolder(a Affinity, candidates []*server) *server {
	if a.Key == "" {
		return nil
	}
	var holder *server
	var highest uint64
	for _, s := range candidates {
		if hash := xxhash.Sum64String(a.Key + string(s.entry.Server)); holder == nil || hash > highest {
			holder, highest = s, hash
		}
	}
	return holder
}

func (f formerFleet) score(s *server, need Need, now crlclock.Instant) float64 {
	l := f.serviceLoad(need.Service)
	usual := l.latencyFactor.mean(1)
	slowness := max(s.health.latency.mean(usual)/usual, 1)
	wait := f.decayedWait(&s.health, now)
	if f.IsLarge() {
		wait = max(wait, l.segments[segment(s.place)].expected(now))
	}
	score := (s.pendingWork+need.Work)*slowness + s.remote.work + wait + f.remoteScore(s, l)
	score += f.unconfirmedCost(s, now)
	if s.coldUntil > now {
		score += need.Work
	}
	if s.entry.Domain != f.config.Domain {
		score += crossDomainCost
		if l.remote.active {
			score += crossDomainRaceCost
		}
	}
	return score + f.config.Random()*scoreJitter
}

func (f formerFleet) takeColdToken(s *server, need Need, now crlclock.Instant) bool {
	if need.ColdRate <= 0 || s.coldUntil <= now {
		return true
	}
	buckets := max(int((f.config.ColdRatio-1)*need.ColdRate+f.config.ColdSlack), 1)
	if len(s.coldBuckets) != buckets {
		s.coldBuckets = make([]crlbudget.Bucket, buckets)
	}
	limit := crlbudget.Limit{PerSecond: need.ColdRate / float64(buckets), Burst: 1}
	for i := range s.coldBuckets {
		if f.config.Slots.Holds(s.coldSlot(i, f.config.Slots.Count()), now) && s.coldBuckets[i].Take(limit, now) {
			return true
		}
	}
	return false
}

func (f formerFleet) unconfirmedCost(s *server, now crlclock.Instant) float64 {
	a := f.entryAge
	if a.confirmedAt == nil || s.answeredAt > 0 && now.Sub(s.answeredAt) <= a.bound || now.Sub(a.confirmedAt()) <= a.bound {
		return 0
	}
	return a.bound.Seconds()
}

func (f formerFleet) updatePlaces(service crlid.Service, now crlclock.Instant) {
	l := f.serviceLoad(service)
	if l.placedAt > 0 && now.Sub(l.placedAt) < placesInterval {
		return
	}
	l.placedAt = now
	groups := make(map[crlid.Domain][]*server)
	for _, s := range f.services[service] {
		s.place = crlpartition.Place{}
		if f.accepts(s) {
			groups[s.entry.Domain] = append(groups[s.entry.Domain], s)
		}
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b *server) int { return cmp.Compare(a.order, b.order) })
		for rank, s := range group {
			s.place = crlpartition.Place{Rank: rank, Servers: len(group)}
		}
	}
}

func formerPreferredBy(interval *crlpartition.Interval, candidates []*server) []*server {
	var preferred []*server
	for _, s := range candidates {
		if interval.Contains(s.place) {
			preferred = append(preferred, s)
		}
	}
	if len(preferred) == 0 {
		return candidates
	}
	return preferred
}

func (f formerFleet) refreshRemote(need Need, now crlclock.Instant) {
	r := &f.serviceLoad(need.Service).remote
	others := 0
	if f.config.Loads != nil && need.Engine {
		others = f.config.Daemons() - 1
	}
	switch {
	case others > 0 && r.active && now.Sub(r.refreshedAt) < remoteInterval:
	case others > 0:
		r.active, r.refreshedAt = true, now
		f.predictRemote(r, f.services[need.Service], float64(others), now)
	case r.active:
		r.active, r.hasDemand = false, false
		for _, s := range f.services[need.Service] {
			s.remote = remoteLoad{}
		}
	}
}

func (f formerFleet) predictRemote(r *remoteState, servers []*server, others float64, now crlclock.Instant) {
	if len(servers) == 0 {
		return
	}
	r.demand, _, _, r.hasDemand = f.config.Loads.Demand(servers[0].entry.Service, now)
	count := float64(len(servers))
	known := min(f.config.Loads.Known(now), others)
	ownWork, ownTokens := 0.0, 0.0
	for _, s := range servers {
		ownWork += s.pendingWork / count
		ownTokens += s.tokens / count
	}
	missing := others - known
	arriving := r.work.perSecond(now) * known // seconds of work that the known daemons send in a second
	r.totals = r.totals[:0]
	age := time.Duration(0)
	for _, s := range servers {
		var reported crlworkload.Amount
		reported, age = f.config.Loads.Others(s.entry.Server, now)
		// A server's queue shrinks as fast as work arrives at the average server, as long as the service keeps up.
		unread := max(reported.PromptSeconds-age.Seconds()*arriving/count, 0)
		s.remote.work = unread + reported.Requests*r.workAfter.mean(0) + missing*ownWork
		// Requests that ended since are not deducted: an engine without memory for its requests fails, which costs more than a detour.
		s.remote.tokens = reported.Tokens + missing*ownTokens + age.Seconds()*r.tokens.perSecond(now)*known/count
		if f.accepts(s) {
			r.totals = append(r.totals, s.remote.work)
		}
	}
	if len(r.totals) == 0 {
		return
	}
	slices.Sort(r.totals)
	lowest, level := r.totals[0], fillLevel(r.totals, arriving*age.Seconds())
	for _, s := range servers {
		room := minRoomShare
		if level > lowest {
			room = max((level-s.remote.work)/(level-lowest), minRoomShare)
		}
		s.remote.bias = -raceScale * math.Log(room)
		s.remote.work = max(s.remote.work, level)
	}
}

func (f formerFleet) remoteScore(s *server, l *serviceLoad) float64 {
	if !l.remote.active {
		return 0
	}
	return s.remote.bias - raceScale*gumbels[int(f.config.Random()*float64(len(gumbels)))]
}

func (f formerFleet) withRoom(candidates []*server, need Need) []*server {
	if need.MemoryTokens <= 0 || !f.serviceLoad(need.Service).remote.active {
		return candidates
	}
	limit := float64(need.MemoryTokens - need.Tokens)
	hasRoom := func(s *server) bool { return s.tokens+s.remote.tokens <= limit }
	if !slices.ContainsFunc(candidates, hasRoom) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(s *server) bool { return !hasRoom(s) })
}

func (f formerFleet) beginLoad(p *Pick, need Need, now crlclock.Instant) {
	if f.config.Loads == nil || !need.Engine {
		return
	}
	p.exchanged, p.tokens = true, float64(max(need.Tokens, 0))
	p.server.tokens += p.tokens
	p.load.remote.work.add(need.Work, now)
	p.load.remote.tokens.add(p.tokens, now)
	p.load.remote.workAfter.add(need.WorkAfter)
	f.config.Loads.RecordWork(need.Service, crlpartition.Bucket(need.Work), need.Work+need.WorkAfter)
	f.config.Loads.Begin(p.server.entry.Server, crlworkload.Amount{Requests: 1, PromptSeconds: p.work, Tokens: p.tokens})
}

func (f formerFleet) interval(service crlid.Service, size float64, now crlclock.Instant) crlpartition.Interval {
	if !f.IsLarge() {
		return crlpartition.Interval{}
	}
	return f.serviceLoad(service).partition.Interval(size, f.partitionFleet(service), now)
}

func (f formerFleet) partitionFleet(service crlid.Service) crlpartition.Fleet {
	servers := f.services[service]
	fleet := crlpartition.Fleet{DaemonsPerServer: float64(f.config.Daemons()) / float64(max(len(servers), 1)), Servers: len(servers)}
	if r := &f.serviceLoad(service).remote; r.hasDemand {
		fleet.Work = &r.demand
	}
	if len(servers) > 0 {
		fleet.Neighbours = float64(servers[0].entry.Slots) / slotsPerNeighbour
	}
	return fleet
}

func (f formerFleet) accepts(s *server) bool {
	return !s.removed && !s.entry.Leaving && !s.statedLeaving && !f.evacuated[s.entry.Domain]
}

func (f formerFleet) decayedWait(h *health, now crlclock.Instant) float64 {
	return h.wait * math.Exp(-now.Sub(h.waitedAt).Seconds()/waitDecaySeconds)
}
