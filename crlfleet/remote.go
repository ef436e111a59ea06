package crlfleet

import (
	"math"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpartition"
	"github.com/cranberrylock/cranberrylock/crlworkload"
)

// Loads exchanges the load of model engines with other daemons.
type Loads interface {
	// Begin adds load that this daemon puts on a server.
	Begin(server crlid.Server, amount crlworkload.Amount)
	// End removes such load, at once or in parts.
	End(server crlid.Server, amount crlworkload.Amount)
	// Others returns the load that other daemons are known to put on a server, and the mean age of that knowledge.
	Others(server crlid.Server, now crlclock.Instant) (amount crlworkload.Amount, age time.Duration)
	// RecordWork records that a request of a bucket of sizes was sent to a server that will work on it for the given time, in seconds.
	RecordWork(service crlid.Service, bucket int, seconds float64)
	// RecordWait records how long such a request waited for its server.
	RecordWait(service crlid.Service, bucket int, wait time.Duration)
	// Demand returns the recent work of all daemons by bucket, in seconds of servers for each second, and the mean waits in seconds.
	Demand(service crlid.Service, now crlclock.Instant) (work, wait [crlworkload.Buckets]float64, age time.Duration, ok bool)
	// Known returns the number of other daemons whose load Others holds.
	Known(now crlclock.Instant) float64
}

const (
	// remoteInterval is the time between two looks at the load of other daemons. It is short beside the age of that knowledge.
	remoteInterval = 50 * time.Millisecond
	// arrivalMemory is the time constant of the exponential decay of this daemon's own rate of work. A daemon of a large fleet sends a few
	// requests a second.
	arrivalMemory = 3 * time.Second
	// raceScale is the scale in seconds of the random part of a score that divides requests among servers in proportion to their room. It is
	// short beside the work of a long prompt, so that real differences of load outweigh it.
	raceScale = 0.01
	// crossDomainRaceCost is added to the score of a server in another failure domain, as the random part of the scores would otherwise
	// outweigh crossDomainCost: it exceeds this cost for one server in 150.
	crossDomainRaceCost = 5 * raceScale
	// minRoomShare bounds the disadvantage of a server without room to raceScale * -log(minRoomShare), about 46 ms.
	minRoomShare = 0.01
)

// remoteLoad is the load that other daemons are expected to have at a server.
type remoteLoad struct {
	work   float64 // in seconds of an unloaded server, as pendingWork
	tokens float64 // that the server needs memory for
	bias   float64 // added to the score, in seconds: the less room the server has, the more
}

// remoteState holds what is known about the load of other daemons at the servers of a service.
type remoteState struct {
	active      bool // whether the servers' remoteLoad is in use
	refreshedAt crlclock.Instant
	work        arrivals // of this daemon
	tokens      arrivals
	workAfter   average   // Need.WorkAfter of this daemon's sends
	totals      []float64 // reused by refresh
	demand      [crlpartition.BucketCount]float64
	hasDemand   bool
}

// arrivals estimates a rate from single arrivals.
type arrivals struct {
	sum float64 // of the amounts, decayed
	at  crlclock.Instant
}

func (a *arrivals) decayed(now crlclock.Instant) float64 {
	return a.sum * math.Exp(-now.Sub(a.at).Seconds()/arrivalMemory.Seconds())
}

func (a *arrivals) add(amount float64, now crlclock.Instant) {
	a.sum, a.at = a.decayed(now)+amount, now
}

func (a *arrivals) perSecond(now crlclock.Instant) float64 {
	return a.decayed(now) / arrivalMemory.Seconds()
}

// refreshRemote updates what other daemons are expected to have at the servers of a request's service.
func (f *Fleet) refreshRemote(l *serviceLoad, need *Need, now crlclock.Instant) {
	r := &l.remote
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

// predictRemote estimates the present load of other daemons at each server from what they reported some time ago.
//
// In the meantime they have sent more. Each of them prefers the servers with the least load, so the work that has arrived since is assumed
// to have filled these servers up to a common level, as water would. Among the servers below the level, a request is sent to one at random, in
// proportion to its room below the level. Otherwise all daemons would send to the server whose reported load is lowest until the next
// reports, for example one that has just returned. This daemon's own load is known exactly and is added afterwards. Daemons that are not heard from are assumed to have as much as this one at the
// average server; without any reports, only this daemon's own load decides.
func (f *Fleet) predictRemote(r *remoteState, servers []*server, others float64, now crlclock.Instant) {
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
	tokenRate := r.tokens.perSecond(now)
	r.totals = r.totals[:0]
	age := time.Duration(0)
	for _, s := range servers {
		var reported crlworkload.Amount
		reported, age = f.config.Loads.Others(s.entry.Server, now)
		// A server's queue shrinks as fast as work arrives at the average server, as long as the service keeps up.
		unread := max(reported.PromptSeconds-age.Seconds()*arriving/count, 0)
		s.remote.work = unread + reported.Requests*r.workAfter.mean(0) + missing*ownWork
		// Requests that ended since are not deducted: an engine without memory for its requests fails, which costs more than a detour.
		s.remote.tokens = reported.Tokens + missing*ownTokens + age.Seconds()*tokenRate*known/count
		if f.inService(s) {
			r.totals = append(r.totals, s.remote.work)
		}
	}
	if len(r.totals) == 0 {
		return
	}
	slices.Sort(r.totals)
	lowest, level := r.totals[0], fillLevel(r.totals, arriving*age.Seconds())
	for _, s := range servers {
		s.remote.bias = maxBias
		if level > lowest && s.remote.work < level {
			s.remote.bias = -raceScale * math.Log(max((level-s.remote.work)/(level-lowest), minRoomShare))
		}
		s.remote.work = max(s.remote.work, level)
	}
}

// fillLevel returns the level up to which a volume fills columns of the given heights, which are sorted.
func fillLevel(heights []float64, volume float64) float64 {
	level := heights[0]
	for i, next := range heights[1:] {
		below := float64(i + 1)
		if volume < (next-level)*below {
			return level + volume/below
		}
		volume -= (next - level) * below
		level = next
	}
	return level + volume/float64(len(heights))
}

// maxBias is the remoteLoad.bias of a server without room.
var maxBias = -raceScale * math.Log(minRoomShare)

// gumbels are quantiles of the Gumbel distribution. Of several servers, the one with the highest sum of its logarithm of room and a random
// one of these wins in proportion to its room. A table saves two logarithms for each server and request.
var gumbels = func() (quantiles [512]float64) {
	for i := range quantiles {
		quantiles[i] = -math.Log(-math.Log((float64(i) + 0.5) / float64(len(quantiles))))
	}
	return quantiles
}()

// remoteScore returns the part of a server's score for requests in proportion to room, if the load of other daemons is known, for a random
// number in [0, 1).
func remoteScore(s *server, random float64) float64 {
	return s.remote.bias - raceScale*gumbels[int(random*float64(len(gumbels)))]
}

// beginLoad records the load of a send, for this daemon and others.
func (f *Fleet) beginLoad(p *Pick, need *Need, now crlclock.Instant) {
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

// endPrompt records that the server has read the prompt of a send.
func (p *Pick) endPrompt() {
	if p.exchanged && p.work > 0 {
		p.fleet.config.Loads.End(p.Server, crlworkload.Amount{PromptSeconds: p.work})
	}
}

// endLoad removes what is left of the load of a send.
func (p *Pick) endLoad() {
	if !p.exchanged {
		return
	}
	p.server.tokens -= p.tokens
	p.fleet.config.Loads.End(p.Server, crlworkload.Amount{Requests: 1, PromptSeconds: p.work, Tokens: p.tokens})
}
