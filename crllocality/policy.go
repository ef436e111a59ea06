package crllocality

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	// DefaultRoundTrip is what a request to another failure domain costs besides its bytes: the fixed cost of earlier versions.
	DefaultRoundTrip = 30 * time.Millisecond
	// Barrier is added to the score of servers that a request should only use if all others are out of the question.
	Barrier = time.Hour

	maxStep        = 0.5  // largest change of the share in a second: a share of 0.67 is reached in 1.4 s
	drainSeconds   = 2.0  // time in which a queue that has formed should be worked off
	defaultDrain   = 0.1  // bounds the excess over what the domain lacks to 10% of its work
	maxGain        = 0.3  // weight of a new estimate in each tick with new waits, after a change
	minGain        = 0.1  // the same while estimates agree
	gainDecay      = 0.95 // factor from tick to tick
	maxGrowthRatio = 4.0  // largest ratio of work to capacity that is concluded from waits
	forgetSeconds  = 2.0  // time constant at which an estimate is forgotten while nothing leaves and no queue is seen: it may come from a burst
	averageGain    = 0.02 // weight of the newest request in averages of requests
	recentGain     = 0.5  // weight of the latest wait in the average that tells whether requests wait inside
	recentSeconds  = 1.5  // time constant at which that average falls without new waits

	probeRate     = 0.03 // reduction of the estimate in a second while no queue is seen although work leaves
	maxProbeRate  = 0.5
	probeDoubling = 4.0       // seconds until the reduction doubles, above the age of the oldest information
	fastBenefit   = 4.0       // change of the benefit in a second for a relative difference of waits of 1, while nothing waits outside
	slowBenefit   = 1.0       // the same while requests wait outside, since those waits follow the share only after 0.5 to 2 s
	minBenefit    = 0.3       // least relative difference of waits at which leaving pays; 0.2 let equally short domains exchange work
	maxWait       = time.Hour // longer waits are wrong
	maxWork       = 1e4       // bounds the effect of a wrong estimate of one request, in seconds
	maxWeight     = 2.0       // largest ratio by which a cheap request leaves more often than an average one, and an expensive one less often
)

//go:generate go run github.com/dmarkham/enumer -type=Side -trimprefix=Side -transform=kebab -text -output=side_enumer.go

// Side tells servers of the daemon's own failure domain from others.
type Side int

// The sides.
const (
	SideInside Side = iota
	SideOutside
)

//go:generate go run github.com/dmarkham/enumer -type=Cause -trimprefix=Cause -transform=kebab -text -output=cause_enumer.go

// Cause is the reason for a share.
type Cause int

// The causes.
const (
	CauseEnough          Cause = iota // the domain's servers can do its work
	CauseShort                        // they can't
	CauseBothShort                    // they can't, but the waits elsewhere are too long for all of the excess to leave
	CauseNoServerInside               // the domain has no server that accepts requests
	CauseNoServerOutside              // no other domain has one, or none can be reached
)

// Config configures a Policy.
type Config struct {
	RoundTrip          time.Duration  // cost of a request to another domain besides its bytes, 0 for DefaultRoundTrip
	SecondsPerMegabyte float64        // what operators pay for 1,000,000 bytes between domains, in seconds of a request's wait
	Drain              float64        // largest part of the work that leaves in order to shorten a queue that has formed, 0 for 0.1
	Random             func() float64 // returns a number from 0 to below 1
}

// Capacity is what the servers that accept requests of the service can do: their number, or the sum of their speeds where these
// are known. A cold server counts for the part that it can do. The unit is the caller's but must stay the same.
type Capacity struct {
	Inside, Outside float64
}

// Waits are mean waits that other daemons of the same failure domain report.
type Waits struct {
	Inside, Outside           time.Duration
	Expected                  time.Duration // mean time until the answers inside would have begun on unloaded servers
	InsideCount, OutsideCount int           // number of requests that the means are of
	At                        crlclock.Instant
}

// Request is what the cost of a send to another failure domain depends on.
type Request struct {
	Work   float64       // time that a server works until the answer begins, in seconds
	Bytes  int64         // of request and expected answer
	Reread time.Duration // time to process a shared part of the prompt that servers inside have cached, unless the score counts it already
}

// Choice says between which servers a request is scored.
type Choice struct {
	Bound bool          // only servers on Side should be used, while one accepts the request
	Side  Side          // meaningful if Bound is set
	Cost  time.Duration // of servers in other domains
}

// Penalty returns what to add to the score of a server on a side.
func (c Choice) Penalty(side Side) time.Duration {
	penalty := time.Duration(0)
	if side == SideOutside {
		penalty = c.Cost
	}
	if c.Bound && side != c.Side {
		penalty += Barrier
	}
	return penalty
}

// Status describes the policy's state, for logs and metrics.
type Status struct {
	Share    float64
	Cause    Cause
	Pressure float64          // estimated work of the domain relative to what its servers can do, 0 if no queue was seen yet
	Waits    [2]time.Duration // latest means, by Side
	Left     float64          // work that left the domain since the start, in seconds
	Saved    time.Duration    // by how much longer the requests that left would have waited inside, less their costs, as estimated
}

// Policy decides for one service at one daemon. It isn't safe for concurrent use.
type Policy struct {
	config   Config
	capacity Capacity
	all      rate    // work sent to either side
	out      rate    // work sent to other domains
	sent     float64 // average work of a request in seconds
	history  history
	now      int64 // newest tick, 0 before the first call
	newest   int64 // newest tick whose waits were used
	// inverse is one divided by the load that the domain's servers can do, 0 if unknown. A load is the daemon's own work per
	// second for each unit of Capacity.Inside.
	inverse float64
	recent  float64 // average of the latest waits inside, in seconds
	gain    float64 // weight of the next correction of inverse
	share   float64
	benefit float64 // part of the excess for which leaving pays, 0 to 1
	quiet   float64 // seconds without a queue while work left
	waits   [2]trend
	weight  float64 // average weight of requests by their cost
	credit  float64 // sum of the shares of requests since the start, less the number that left
	service float64 // average time until an answer from an unloaded server begins, in seconds
	cost    float64 // average cost of requests in seconds
	status  Status
}

// New returns a Policy that sends nothing to other domains unless the score of a server there is better by more than Cost.
func New(config Config) *Policy {
	if config.RoundTrip <= 0 {
		config.RoundTrip = DefaultRoundTrip
	}
	if config.Drain <= 0 {
		config.Drain = defaultDrain
	}
	return &Policy{config: config, weight: 1, cost: config.RoundTrip.Seconds()}
}

// SetCapacity replaces the capacity.
func (p *Policy) SetCapacity(c Capacity, now crlclock.Instant) {
	p.advance(now)
	p.capacity = Capacity{Inside: max(c.Inside, 0), Outside: max(c.Outside, 0)}
}

// ObserveSend records that the daemon sends a request with the given work in seconds to a side.
func (p *Policy) ObserveSend(side Side, work float64, now crlclock.Instant) {
	p.advance(now)
	work = min(work, maxWork)
	if math.IsNaN(work) || work <= 0 {
		return
	}
	p.all.add(work, now)
	if side == SideOutside {
		p.out.add(work, now)
		p.status.Left += work
		p.status.Saved += time.Duration(max(p.waits[SideInside].last-p.waits[SideOutside].last-p.cost, 0) * float64(time.Second))
	}
}

// ObserveFirstByte records that the answer of a request begins now, how long after it was sent to a side, and how long it would have
// taken on an unloaded server.
func (p *Policy) ObserveFirstByte(side Side, firstByte, expected time.Duration, now crlclock.Instant) {
	p.advance(now)
	firstByte = max(firstByte, 0)
	expected = min(max(expected, 0), firstByte)
	if side == SideInside {
		p.observeExpected(expected, 1)
	}
	p.record(side, firstByte-expected, 1, now)
}

// ObserveReport records waits that other daemons report. A report without a time or from the future is ignored.
func (p *Policy) ObserveReport(w Waits, now crlclock.Instant) {
	p.advance(now)
	if w.At <= 0 || w.At > now {
		return
	}
	p.observeExpected(w.Expected, w.InsideCount)
	p.record(SideInside, w.Inside, w.InsideCount, w.At)
	p.record(SideOutside, w.Outside, w.OutsideCount, w.At)
}

// observeExpected records the mean time until the answers of a number of requests would have begun on unloaded servers.
func (p *Policy) observeExpected(mean time.Duration, count int) {
	if p.service == 0 && count > 0 {
		p.service = max(mean, 0).Seconds()
	}
	p.service += (1 - math.Pow(1-averageGain, float64(max(count, 0)))) * (max(mean, 0).Seconds() - p.service)
}

func (p *Policy) record(side Side, wait time.Duration, count int, at crlclock.Instant) {
	h := p.history.at(int64(at / tick))
	if h == nil || count <= 0 {
		return
	}
	seconds := min(max(wait, 0), maxWait).Seconds()
	h.waits[side].add(seconds, float64(count))
	if side == SideInside {
		p.recent += (1 - math.Pow(1-recentGain, float64(count))) * (seconds - p.recent)
	}
}

// Share returns the part of the work that should leave the domain now, 0 to 1. At 0, requests still leave if the score of a
// server elsewhere is better by more than their Cost, unless requests wait inside.
func (p *Policy) Share(now crlclock.Instant) float64 {
	p.advance(now)
	switch {
	case p.capacity.Outside <= 0:
		return 0
	case p.capacity.Inside <= 0:
		return 1
	}
	return p.share
}

// Cost returns what a send of the request to another failure domain costs.
func (p *Policy) Cost(r Request) time.Duration {
	bytes := float64(max(r.Bytes, 0)) / 1e6 * max(p.config.SecondsPerMegabyte, 0)
	return p.config.RoundTrip + min(max(r.Reread, 0), Barrier/4) + time.Duration(min(bytes, Barrier.Seconds()/2)*float64(time.Second))
}

// Choose decides for one request. Requests that are cheaper to send away leave more often; on average the share leaves.
func (p *Policy) Choose(r Request, now crlclock.Instant) Choice {
	share, cost := p.Share(now), p.Cost(r)
	p.cost += averageGain * (cost.Seconds() - p.cost)
	c := Choice{Cost: cost}
	if p.capacity.Inside <= 0 || p.capacity.Outside <= 0 || share <= 0 && !p.queued() {
		return c
	}
	weight := min(max(p.cost/cost.Seconds(), 1/maxWeight), maxWeight)
	work := min(max(r.Work, 0), maxWork)
	if math.IsNaN(work) { // It would stay in the averages.
		work = 0
	}
	if p.sent += averageGain * (work - p.sent); p.sent > 0 {
		p.weight += averageGain * min(work/p.sent, 1/averageGain) * (weight - p.weight)
	}
	c.Bound = true
	// What a draw leaves over counts for the next requests, so that the part that leaves differs less from the share.
	p.credit += min(share*weight/p.weight, 1)
	if p.config.Random() < p.credit {
		p.credit--
		c.Side = SideOutside
	}
	return c
}

// Status returns the state for logs and metrics.
func (p *Policy) Status(now crlclock.Instant) Status {
	s := p.status
	s.Share = p.Share(now)
	load, _ := p.load(now)
	s.Pressure = p.pressure(load)
	for side := range s.Waits {
		s.Waits[side] = time.Duration(p.waits[side].last * float64(time.Second))
	}
	switch {
	case p.capacity.Outside <= 0:
		s.Cause = CauseNoServerOutside
	case p.capacity.Inside <= 0:
		s.Cause = CauseNoServerInside
	case s.Share <= 0:
		s.Cause = CauseEnough
	case p.benefit < 1:
		s.Cause = CauseBothShort
	default:
		s.Cause = CauseShort
	}
	return s
}

// queued reports whether requests inside wait longer than it costs to leave. From then on, requests don't leave by score, as all
// daemons see the same waits late and would leave together.
func (p *Policy) queued() bool { return p.recent > p.cost }

// load returns the daemon's work per second for each unit of capacity inside. low is lower while the work may have fallen.
func (p *Policy) load(now crlclock.Instant) (load, low float64) {
	if p.capacity.Inside <= 0 {
		return 0, 0
	}
	load, low = p.all.mean(now)
	return load / p.capacity.Inside, low / p.capacity.Inside
}

func (p *Policy) pressure(load float64) float64 { return load * p.inverse }

// advance computes the ticks that have passed.
func (p *Policy) advance(now crlclock.Instant) {
	number := int64(max(now, 0) / tick)
	if p.now == 0 || number-p.now > historyTicks {
		p.now, p.history, p.waits = number-1, history{}, [2]trend{}
		p.share, p.inverse, p.benefit, p.quiet, p.recent = 0, 0, 0, 0, 0
	}
	for p.now < number {
		p.now++
		at := min(crlclock.Instant(p.now)*tick, now)
		p.step(at)
	}
}

// step computes one tick.
func (p *Policy) step(now crlclock.Instant) {
	load, low := p.load(now)
	p.estimate(load)
	p.recent *= 1 - tickSeconds/recentSeconds
	target := 0.0
	if p.quiet > 0 {
		target = p.target(low) // the others' work may have fallen too, which the waits no longer show
	} else {
		target = p.target(load)
	}
	p.share += min(max(target-p.share, -maxStep*tickSeconds), maxStep*tickSeconds)
	if p.capacity.Inside <= 0 && p.capacity.Outside > 0 {
		p.share = 1
	}
	inForce := p.share
	if inForce == 0 && !p.queued() {
		inForce = p.leavingByScore(now)
	}
	p.history.start(p.now, inForce, load*p.capacity.Inside, p.capacity.Inside)
}

// leavingByScore returns the part of the work that was sent to other domains lately.
func (p *Policy) leavingByScore(now crlclock.Instant) float64 {
	p.all.advance(now)
	p.out.advance(now)
	if p.all.fast <= 0 {
		return 0
	}
	return min(p.out.fast/p.all.fast, 1)
}
