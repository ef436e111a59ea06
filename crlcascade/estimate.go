package crlcascade

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Assumptions and limits of estimates. Quality is measured by ratings, from 0 to 1.
const (
	statedQualityWeight = 10   // the quality that the configuration states counts as this many ratings
	assumedVariance     = 0.04 // variance assumed for the ratings that the stated quality counts as; a standard deviation of 0.2
	manyRatings         = 300  // number of ratings from which a smaller share of a version's answers is rated
	minCascadeRatings   = 75   // ratings that the first version of a cascade must have

	// confidence is the probability that a version's true mean rating is above the lower bound on its quality, and likewise
	// that it is below the upper bound.
	confidence = 0.95
	// qualityMargin is how far a lower bound must exceed the target, as the mean of a 15-minute window varies at random.
	qualityMargin = 0.001

	sampleShareFew  = 0.2  // share of answers to rate, for a version with fewer than manyRatings and for the second of a cascade
	sampleShareMany = 0.05 // share of answers to rate, for a version with manyRatings or more

	// secondDiscount is subtracted from the second version's mean rating to estimate its ratings after an escalation, as the
	// escalated prompts are harder. In each bucket of the first answer's ratings, this estimate counts as secondAssumedRatings
	// ratings, so that ratings of escalated answers outweigh it in time.
	secondDiscount       = 0.05
	secondAssumedRatings = 20
)

// assumedRatingTime is the time that the rating service is assumed to take for a rating.
const assumedRatingTime = 100 * time.Millisecond

// boundStandardErrors is the distance of a bound on quality from the mean, in standard errors of the mean: about 1.64. The
// standard error of the mean of n ratings is the square root of a rating's variance divided by n.
var boundStandardErrors = distuv.UnitNormal.Quantile(confidence)

// estimate holds the estimated quality, cost and latency of a version in a class.
type estimate struct {
	version    crlid.Version
	cost       float64       // expected cost of an answer in micro-cost
	mean       float64       // mean rating; the stated quality counts as statedQualityWeight of the ratings
	variance   float64       // variance of a rating about the mean
	ratings    float64       // number of ratings, in which older ones count less; without the stated quality
	firstToken time.Duration // mean time to the first token, 0 if unknown
	duration   time.Duration // mean time to the complete answer, 0 if unknown
	observed   *sums         // the statistics that the estimate is made from
}

// lowerBound returns the lower confidence bound on quality.
func (e estimate) lowerBound() float64 { return e.mean - e.uncertainty() }

// upperBound returns the upper confidence bound on quality.
func (e estimate) upperBound() float64 { return e.mean + e.uncertainty() }

// uncertainty returns the distance of the confidence bounds from the mean. It shrinks as the number of ratings grows.
func (e estimate) uncertainty() float64 {
	return boundStandardErrors * math.Sqrt(e.variance/(e.ratings+statedQualityWeight))
}

// dropUncertainty makes the bounds on each estimate's quality equal to its mean.
func dropUncertainty(options []estimate) {
	for i := range options {
		options[i].variance = 0
	}
}

// sampleShare returns the share of the version's answers to rate.
func (e estimate) sampleShare() float64 {
	if e.ratings < manyRatings {
		return sampleShareFew
	}
	return sampleShareMany
}

// estimates returns one estimate for each candidate.
func (t *tracker) estimates(request Request) []estimate {
	result := make([]estimate, 0, len(request.Candidates))
	tokens := t.meanTokens(request)
	for _, v := range request.Candidates {
		s := t.combinedSums(key{class: request.Class.ID, first: v.ID})
		e := estimate{version: v.ID, ratings: s.ratings(), observed: s, cost: float64(v.CostPerToken) * tokens}
		count, sum, squares := s.moments()
		stated := float64(v.Quality)
		count += statedQualityWeight
		sum += statedQualityWeight * stated
		squares += statedQualityWeight * (stated*stated + assumedVariance)
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

// meanTokens returns the mean number of tokens that an answer in the class is charged for, computed from the costs of the
// candidates that have answered, or 1 if none has.
func (t *tracker) meanTokens(request Request) float64 {
	tokens, answers := 0.0, 0.0
	for _, v := range request.Candidates {
		s := t.combinedSums(key{class: request.Class.ID, first: v.ID})
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

// cheapestSingle returns the cheapest version that meets the quality target and the latency limit. If none does, it returns
// the version with the highest lower bound on quality. options must be ordered by cost, the cheapest first.
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

// meetsTarget reports whether a lower bound on quality exceeds the target of the request's class by qualityMargin.
func meetsTarget(bound float64, request Request) bool {
	return bound >= float64(request.Class.Target)+qualityMargin
}

// cheapestCascade returns the cheapest cascade that meets the quality target at less expected cost than the single version.
// If there is no such cascade, it returns the plan of the single version. A single version that misses the target counts as
// infinitely expensive.
func cheapestCascade(t *tracker, options []estimate, single estimate, request Request) Plan {
	best, cost := Plan{First: single.version}, single.cost
	if !meetsTarget(single.lowerBound(), request) {
		cost = math.Inf(1)
	}
	for _, first := range options {
		for _, second := range options {
			if first.cost >= second.cost || first.ratings < minCascadeRatings || !cascadeInTime(first, second, request) {
				continue
			}
			effects := t.cascadeSums(request.Class.ID, first, second)
			for i := range bucketCount + 1 {
				expected := first.cost + effects.escalatedShare(i)*second.cost
				if expected < cost && meetsTarget(effects.lowerBound(i), request) {
					best, cost = Plan{First: first.version, Second: second.version, Threshold: lowerEdge(i)}, expected
				}
			}
		}
	}
	return best
}

// cascadeInTime reports whether the first token of an escalated answer is expected within the class's latency limit, which
// is not known while the first version has completed no answer. An answer that is not streamed has no such limit.
func cascadeInTime(first, second estimate, request Request) bool {
	if !request.Streamed {
		return true
	}
	return first.duration > 0 && first.duration+assumedRatingTime+second.firstToken <= request.Class.FirstToken
}

// cascadeSums holds the effect that each possible threshold of a cascade would have had on the first version's rated answers.
// Index i stands for the threshold at the lower edge of bucket i of the first version's ratings, so that the answers in the
// buckets below i would have been escalated. The sums give the mean and the variance of the shown answers' quality.
type cascadeSums struct {
	count   float64                  // number of rated first answers
	below   [bucketCount + 1]float64 // number of first answers rated below the threshold
	sum     [bucketCount + 1]float64 // sum of the shown answers' quality
	squares [bucketCount + 1]float64 // sum of the squares of the shown answers' quality
}

// cascadeSums computes the effect of each threshold of a cascade of two versions. Where few escalated answers were rated, it
// relies on the second version's mean rating less secondDiscount.
func (t *tracker) cascadeSums(class crlid.Class, first, second estimate) cascadeSums {
	var c cascadeSums
	pair := t.combinedSums(key{class: class, first: first.version, second: second.version})
	// At index 0, the lowest threshold, no answer is escalated.
	for i := range bucketCount {
		count, middle := first.observed.Buckets[i], float64(lowerEdge(i))+0.5/bucketCount
		c.count += count
		c.sum[0] += count * middle
		c.squares[0] += count * middle * middle
	}
	// The threshold at i+1 also escalates the answers in bucket i, so the expected ratings of second answers replace theirs. The
	// expected square of a rating is the square of its mean plus its variance.
	for i := range bucketCount {
		count, middle := first.observed.Buckets[i], float64(lowerEdge(i))+0.5/bucketCount
		assumed := max(0, second.mean-secondDiscount)
		secondMean := (pair.Seconds[i] + secondAssumedRatings*assumed) / (pair.Buckets[i] + secondAssumedRatings)
		c.below[i+1] = c.below[i] + count
		c.sum[i+1] = c.sum[i] + count*(secondMean-middle)
		c.squares[i+1] = c.squares[i] + count*(secondMean*secondMean+second.variance-middle*middle)
	}
	return c
}

// escalatedShare returns the share of first answers that a threshold at the lower edge of bucket i escalates.
func (c *cascadeSums) escalatedShare(i int) float64 { return c.below[i] / c.count }

// lowerBound returns the lower confidence bound on the shown answers' quality with a threshold at the lower edge of bucket i.
func (c *cascadeSums) lowerBound(i int) float64 {
	mean := c.sum[i] / c.count
	variance := max(0, c.squares[i]/c.count-mean*mean)
	return mean - boundStandardErrors*math.Sqrt(variance/c.count)
}

// lowerEdge returns the lower edge of bucket i, or 1 for i equal to bucketCount.
func lowerEdge(i int) crlid.Quality { return crlid.Quality(i) / bucketCount }
