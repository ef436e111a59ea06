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

// Request is what a plan is wanted for.
type Request struct {
	Organisation crlid.Organisation
	Class        crlconfig.Class
	Candidates   []crlconfig.Version // Candidates are the versions that are allowed, live and healthy.
	Streamed     bool                // Streamed is true when the caller reads frames as they come.
}

// Plan says which version answers, and which one if the first answer is not good enough.
type Plan struct {
	First     crlid.Version
	Second    crlid.Version // Second is empty when there is no escalation.
	Threshold crlid.Quality // Threshold is the rating that lets the first answer stand.
	Rate      bool          // Rate asks for a rating of the answer that is shown, of a cascade only of the second one.
}

// Outcome is what an answered request, or one attempt of it, taught.
type Outcome struct {
	Class               crlid.Class
	Version             crlid.Version
	Rated               bool
	Rating              crlid.Quality
	Cost                crlid.MicroCost
	FirstToken          time.Duration
	Duration            time.Duration // Duration is the time to the whole answer, 0 when it is unknown.
	EscalatedFrom       crlid.Version // After is the first version when this answer is an escalation, else empty.
	EscalatedFromRating crlid.Quality // AfterRating is the rating of the first version's answer.
	RatingFailed        bool          // RatingFailed is true when the rating service gave no rating.
}

// Config configures a Planner.
type Config struct {
	Origin           crlid.Incarnation // Origin is the daemon's own incarnation.
	RatingsPerSecond float64           // Ratings bounds the ratings a second that this daemon asks for, 0 for none.
	Seed             uint64            // Seed makes choices repeatable, 0 for a random one.
}

// Planner chooses plans.
type Planner struct {
	config       Config
	mu           sync.Mutex // mu guards the fields below.
	random       *rand.Rand
	budget       *rate.Limiter
	tracker      *tracker
	ratingOutage outage
}

// NewPlanner returns a planner that has learned nothing.
func NewPlanner(config Config) *Planner {
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	return &Planner{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		budget: rate.NewLimiter(rate.Limit(config.RatingsPerSecond), max(1, int(config.RatingsPerSecond))), tracker: newTracker(config.Origin),
	}
}

// Plan returns the cheapest plan that meets the class's target, or that of the best
// version when none does; ok is false when there are no candidates.
func (p *Planner) Plan(request Request) (plan Plan, ok bool) {
	return p.plan(request, time.Now())
}

// Learn takes what an attempt taught.
func (p *Planner) Learn(outcome Outcome) { p.learn(outcome, time.Now()) }

// Message returns the totals of this daemon.
func (p *Planner) Message() Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.message()
}

// Merge takes a peer's totals; a repeated, late or misordered message changes nothing.
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

func (p *Planner) plan(request Request, now time.Time) (Plan, bool) {
	if len(request.Candidates) == 0 {
		return Plan{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	options := p.tracker.estimates(request)
	if p.config.RatingsPerSecond == 0 {
		// Where nothing is ever rated, the stated qualities are all there is.
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
	if needed := plan.maxRatings(); needed > 0 && !p.budget.AllowN(now, needed) {
		return Plan{First: single.version}, true
	}
	return plan, true
}

// wantsRating draws whether to rate the answer that is shown; of a cascade that is the second answer.
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

// ratings returns the number of ratings that the plan may take.
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

// Shares of requests that try a version which is not the choice.
const (
	exploreShareFew  = 0.05 // exploreUnsure applies while the version has few ratings.
	exploreShareMany = 0.005
)

// explore sometimes returns a plan that learns of a cheaper version; where time allows, a cascade hides poor answers.
func (p *Planner) explore(options []estimate, single estimate, request Request) (Plan, bool) {
	for _, o := range options {
		if o.version == single.version {
			break
		}
		hidden := cascadeInTime(o, single, request)
		share := exploreShareMany
		if o.ratings < manyRatings && (hidden || o.upperBound() >= float64(request.Class.Target)) {
			share = exploreShareFew
		}
		if p.random.Float64() >= share {
			continue
		}
		if hidden {
			return Plan{First: o.version, Second: single.version, Threshold: request.Class.Target}, true
		}
		return Plan{First: o.version}, true
	}
	return Plan{}, false
}

// outage tells whether the rating service can be asked.
type outage struct {
	consecutive int
	until       time.Time
}

// Bounds of an outage of the rating service.
const (
	outageFailures = 2               // outageFailures is the number of failures in a row that begins an outage.
	outagePause    = 5 * time.Second // outageProbe is how long no rating is asked for.
)

func (o *outage) recordFailure(now time.Time) {
	o.consecutive++
	if o.consecutive >= outageFailures {
		o.until = now.Add(outagePause)
	}
}

func (o *outage) recordSuccess() { *o = outage{} }

// isOut reports whether no rating may be asked for; after an outage one failure begins the next.
func (o *outage) active(now time.Time) bool { return now.Before(o.until) }
