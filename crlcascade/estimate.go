package crlcascade

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// What an estimate assumes and demands.
const (
	priorWeight       = 10    // priorRatings weighs the quality that the configuration states.
	priorVariance     = 0.04  // priorVariance is the variance of ratings before any is known.
	manyRatings       = 300   // sureRatings is the number of ratings after which fewer are sampled.
	confidence        = 0.95  // confidence is that of the lower bound on quality.
	qualityMargin     = 0.001 // qualityMargin is kept above the target for the chance within a window of 15 minutes.
	minCascadeRatings = 75    // fewRatings is the least number of ratings of the first version of a cascade.
	sampleShareFew    = 0.2   // sampleUnsure is the share of answers rated while there are few ratings.
	sampleShareMany   = 0.05
	secondDiscount    = 0.05 // secondDiscount is taken from a second version's mean rating until its escalations are rated.
	secondPriorWeight = 20   // secondPrior weighs that assumption.
)

// ratingTime is the time that a rating is assumed to take.
const assumedRatingTime = 100 * time.Millisecond

// boundFactor is the number of standard errors below the mean at the confidence.
var boundStandardErrors = distuv.UnitNormal.Quantile(confidence)

// estimate is what is known of a version in a class.
type estimate struct {
	version    crlid.Version
	cost       float64 // cost is the expected cost of an answer.
	mean       float64
	variance   float64
	ratings    float64 // ratings is the discounted number of ratings.
	firstToken time.Duration
	duration   time.Duration // duration is 0 when it is unknown.
	observed   *sums
}

// bound returns the lower confidence bound on quality.
func (e estimate) lowerBound() float64 { return e.mean - e.uncertainty() }

// upper returns the upper confidence bound on quality.
func (e estimate) upperBound() float64 { return e.mean + e.uncertainty() }

func (e estimate) uncertainty() float64 {
	return boundStandardErrors * math.Sqrt(e.variance/(e.ratings+priorWeight))
}

// trust takes the means as certain.
func dropUncertainty(options []estimate) {
	for i := range options {
		options[i].variance = 0
	}
}

// sampling returns the share of the version's answers to rate.
func (e estimate) sampleShare() float64 {
	if e.ratings < manyRatings {
		return sampleShareFew
	}
	return sampleShareMany
}

// estimates returns one estimate for each candidate.
func (b *tracker) estimates(request Request) []estimate {
	result := make([]estimate, 0, len(request.Candidates))
	tokens := b.meanTokens(request)
	for _, v := range request.Candidates {
		s := b.sums(key{class: request.Class.ID, first: v.ID})
		e := estimate{version: v.ID, ratings: s.ratings(), observed: s, cost: float64(v.CostPerToken) * tokens}
		count, sum, squares := s.moments()
		prior := float64(v.Quality)
		count += priorWeight
		sum += priorWeight * prior
		squares += priorWeight * (prior*prior + priorVariance)
		e.mean = sum / count
		e.variance = max(0, squares/count-e.mean*e.mean)
		if s.Answers > 0 {
			e.cost = s.Cost / s.Answers
			e.firstToken = time.Duration(s.FirstToken / s.Answers * float64(time.Second))
			e.duration = time.Duration(s.Duration / s.Answers * float64(time.Second))
		}
		result = append(result, e)
	}
	return result
}

// usualTokens returns the mean tokens of an answer in the class, worked out from the versions that have answered.
func (b *tracker) meanTokens(request Request) float64 {
	tokens, answers := 0.0, 0.0
	for _, v := range request.Candidates {
		s := b.sums(key{class: request.Class.ID, first: v.ID})
		if v.CostPerToken > 0 {
			tokens += s.Cost / float64(v.CostPerToken)
			answers += s.Answers
		}
	}
	if answers == 0 {
		return 1
	}
	return tokens / answers
}

// cheapestSingle returns the cheapest version that meets the target, else the one with the highest bound.
func cheapestSingle(options []estimate, request Request) estimate {
	best := options[0]
	for _, o := range options {
		if meetsTarget(o.lowerBound(), request) && o.firstToken <= request.Class.FirstToken {
			return o
		}
		if o.lowerBound() > best.lowerBound() {
			best = o
		}
	}
	return best
}

func meetsTarget(bound float64, request Request) bool {
	return bound >= float64(request.Class.Target)+qualityMargin
}

// cheapestCascade returns the cascade that meets the target for less than the single version, if there is one.
func cheapestCascade(b *tracker, options []estimate, single estimate, request Request) Plan {
	best, cost := Plan{First: single.version}, single.cost
	if !meetsTarget(single.lowerBound(), request) {
		cost = math.Inf(1)
	}
	for _, first := range options {
		for _, second := range options {
			if first.cost >= second.cost || first.ratings < minCascadeRatings || !cascadeInTime(first, second, request) {
				continue
			}
			c := b.cascadeSums(request.Class.ID, first, second)
			for i := range bucketCount + 1 {
				expected := first.cost + c.escalatedShare(i)*second.cost
				if expected < cost && meetsTarget(c.lowerBound(i), request) {
					best, cost = Plan{First: first.version, Second: second.version, Threshold: edge(i)}, expected
				}
			}
		}
	}
	return best
}

// cascadeInTime reports whether the first token of an escalated answer comes within the class's limit.
func cascadeInTime(first, second estimate, request Request) bool {
	if !request.Streamed {
		return true
	}
	return first.duration > 0 && first.duration+assumedRatingTime+second.firstToken <= request.Class.FirstToken
}

// cascade holds sums over the buckets of the first version's ratings, from the lowest up.
type cascadeSums struct {
	count   float64
	below   [bucketCount + 1]float64 // below counts the first answers under each edge.
	sum     [bucketCount + 1]float64 // sum is the quality of the shown answers if those under the edge escalate.
	squares [bucketCount + 1]float64
}

// cascade works out what each threshold gives.
func (b *tracker) cascadeSums(class crlid.Class, first, second estimate) cascadeSums {
	var c cascadeSums
	pair := b.sums(key{class: class, first: first.version, second: second.version})
	for i := range bucketCount {
		count, middle := first.observed.Buckets[i], float64(edge(i))+0.5/bucketCount
		c.count += count
		c.sum[0] += count * middle
		c.squares[0] += count * middle * middle
	}
	for i := range bucketCount {
		count, middle := first.observed.Buckets[i], float64(edge(i))+0.5/bucketCount
		assumed := max(0, second.mean-secondDiscount)
		escalated := (pair.Seconds[i] + secondPriorWeight*assumed) / (pair.Buckets[i] + secondPriorWeight)
		c.below[i+1] = c.below[i] + count
		c.sum[i+1] = c.sum[i] + count*(escalated-middle)
		c.squares[i+1] = c.squares[i] + count*(escalated*escalated+second.variance-middle*middle)
	}
	return c
}

// escalated returns the share of answers that a threshold at edge i escalates.
func (c *cascadeSums) escalatedShare(i int) float64 { return c.below[i] / c.count }

// bound returns the lower confidence bound on the quality with a threshold at edge i.
func (c *cascadeSums) lowerBound(i int) float64 {
	mean := c.sum[i] / c.count
	variance := max(0, c.squares[i]/c.count-mean*mean)
	return mean - boundStandardErrors*math.Sqrt(variance/c.count)
}

// edge returns the lower edge of bucket i.
func edge(i int) crlid.Quality { return crlid.Quality(i) / bucketCount }
