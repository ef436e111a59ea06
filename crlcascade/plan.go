package crlcascade

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Request describes the request that a plan is wanted for.
type Request struct {
	Organisation crlid.Organisation
	Class        crlconfig.Class
	Candidates   []crlconfig.Version // versions that the request may run on, in service and healthy
	Streamed     bool                // whether the caller reads the answer as it arrives
}

// Plan names the version that answers, and the version to escalate to if the first answer is rated too low.
type Plan struct {
	First     crlid.Version
	Second    crlid.Version // empty for no escalation
	Threshold crlid.Quality // lowest rating at which the first answer is shown
	Rate      bool          // whether to rate the answer; in a cascade, the second one, as the first is always rated
}

// Outcome is the observed result of an attempt to answer a request.
type Outcome struct {
	Class               crlid.Class
	Version             crlid.Version
	Rated               bool // whether Rating is set
	Rating              crlid.Quality
	Cost                crlid.MicroCost
	FirstToken          time.Duration
	Duration            time.Duration // time to the complete answer, 0 if unknown; Cost and FirstToken count only if it is known
	EscalatedFrom       crlid.Version // first version of the cascade if this answer is an escalation, else empty
	EscalatedFromRating crlid.Quality // rating of the first version's answer
	RatingFailed        bool          // the rating service returned no rating; the other fields are ignored
}

// Config configures a Planner.
type Config struct {
	Origin           crlid.Incarnation // incarnation of this daemon
	RatingsPerSecond float64           // limit of the ratings that this daemon requests, 0 for none
	Seed             uint64            // makes choices repeatable; 0 takes a random seed
}

// Planner chooses plans and learns from their outcomes. It is safe for concurrent use.
type Planner struct {
	config       Config
	mu           sync.Mutex // guards the fields below
	random       *rand.Rand
	budget       *rate.Limiter // limits the ratings that plans request
	tracker      *tracker
	ratingOutage outage
}

// NewPlanner returns a planner without observations. Until it has learned of outcomes, it relies on the qualities that the
// configuration states.
func NewPlanner(config Config) *Planner {
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	return &Planner{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		budget:  rate.NewLimiter(rate.Limit(config.RatingsPerSecond), max(1, int(config.RatingsPerSecond))),
		tracker: newTracker(config.Origin),
	}
}

// Plan returns the cheapest plan that meets the class's quality target and latency limit, or, when none does, the version with
// the highest lower bound on quality. A small share of requests tries a cheaper version instead, to learn its quality. ok is
// false when there are no candidates.
func (p *Planner) Plan(request Request) (plan Plan, ok bool) {
	return p.plan(request, time.Now())
}

// Learn adds the outcome of an attempt to the statistics, and notes whether the rating service works.
func (p *Planner) Learn(outcome Outcome) { p.learn(outcome, time.Now()) }

// Message returns this daemon's totals that changed since the last call, for the daemon's peers.
func (p *Planner) Message() Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.message()
}

// Merge adds a peer's totals to the statistics. A message that is repeated, late or out of order changes nothing.
func (p *Planner) Merge(m Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.merge(m)
}

func (p *Planner) learn(o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.RatingFailed {
		p.ratingOutage.recordFailure(now)
		return
	}
	if o.Rated {
		p.ratingOutage.recordSuccess()
	}
	p.tracker.observe(o)
}

// plan is Plan at the time now. If no rating may be requested, because the rating service fails, RatingsPerSecond is 0 or the
// budget is spent, it returns a single version whose answer is not rated.
func (p *Planner) plan(request Request, now time.Time) (Plan, bool) {
	if len(request.Candidates) == 0 {
		return Plan{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	options := p.tracker.estimates(request)
	if p.config.RatingsPerSecond == 0 {
		// Without ratings, the stated qualities are the only information and count as certain.
		dropUncertainty(options)
	}
	slices.SortFunc(options, func(a, b estimate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.version, b.version))
	})
	single := cheapestSingle(options, request)
	if p.ratingOutage.active(now) || p.config.RatingsPerSecond == 0 {
		return Plan{First: single.version}, true
	}
	plan := cheapestCascade(p.tracker, options, single, request)
	if explored, ok := p.explore(options, single, request); ok {
		plan = explored
	}
	plan.Rate = p.shouldRate(plan, single)
	if ratings := plan.maxRatings(); ratings > 0 && !p.budget.AllowN(now, ratings) {
		return Plan{First: single.version}, true
	}
	return plan, true
}

// shouldRate decides at random whether to rate the shown answer, or in a cascade the second answer. The answer of a version
// that explore tries alone, without escalation, is always rated.
func (p *Planner) shouldRate(plan Plan, single estimate) bool {
	switch {
	case plan.Second != "":
		return p.random.Float64() < sampleShareFew
	case plan.First != single.version:
		return true
	default:
		return p.random.Float64() < single.sampleShare()
	}
}

// maxRatings returns the greatest number of ratings that the plan can need.
func (p Plan) maxRatings() int {
	n := 0
	if p.Second != "" {
		n++
	}
	if p.Rate {
		n++
	}
	return n
}

// Shares of requests that try a version cheaper than the chosen one, for each such version.
const (
	// exploreShareFew applies to a version with fewer than manyRatings, provided that a cascade can replace its poor answers in
	// time, or that the upper bound on its quality meets the target.
	exploreShareFew  = 0.05
	exploreShareMany = 0.005 // applies to a version that is not explored by exploreShareFew
)

// explore returns, for a small share of requests, a plan that tries a version cheaper than the chosen one, to learn its
// quality. Where the latency limit allows, the plan is a cascade, so that the caller does not see a poor answer.
func (p *Planner) explore(options []estimate, single estimate, request Request) (Plan, bool) {
	for _, o := range options {
		if o.version == single.version {
			break // options are ordered by cost, so the others are not cheaper
		}
		inTime := cascadeInTime(o, single, request)
		share := exploreShareMany
		if o.ratings < manyRatings && (inTime || o.upperBound() >= float64(request.Class.Target)) {
			share = exploreShareFew
		}
		if p.random.Float64() >= share {
			continue
		}
		if inTime {
			return Plan{First: o.version, Second: single.version, Threshold: request.Class.Target}, true
		}
		return Plan{First: o.version}, true
	}
	return Plan{}, false
}

// outage tracks failures of the rating service. The zero value is a working service.
type outage struct {
	consecutiveFailures int       // failed ratings since the last successful one
	until               time.Time // end of the newest outage; zero if there was none since the last successful rating
}

// Bounds of an outage of the rating service.
const (
	outageFailures = 2               // consecutive failures that start an outage
	outagePause    = 5 * time.Second // time from the last failure in which no rating is requested
)

// recordFailure notes that a rating failed. From outageFailures consecutive failures on, it starts or extends an outage.
func (o *outage) recordFailure(now time.Time) {
	o.consecutiveFailures++
	if o.consecutiveFailures >= outageFailures {
		o.until = now.Add(outagePause)
	}
}

// recordSuccess resets the count of failures and ends an outage.
func (o *outage) recordSuccess() { *o = outage{} }

// active reports whether an outage is in progress, in which no rating is requested. As the end of an outage does not reset the
// count of failures, a single failure after it starts the next one.
func (o *outage) active(now time.Time) bool { return now.Before(o.until) }
