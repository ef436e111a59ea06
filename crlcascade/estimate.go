package crlcascade

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Assumptions and limits of estimates.
const (
	statedQualityWeight  = 10    // weight of the quality stated in the configuration, in ratings
	assumedVariance      = 0.04  // variance of ratings before any is known
	manyRatings          = 300   // ratings from which a smaller share of answers is rated
	confidence           = 0.95  // of the one-sided bounds on quality
	qualityMargin        = 0.001 // kept above the target, as the mean of a 15-minute window varies at random
	minCascadeRatings    = 75    // ratings that the first version of a cascade must have
	sampleShareFew       = 0.2   // share of answers that are rated, of a version with fewer than manyRatings
	sampleShareMany      = 0.05  // the same share for a version with manyRatings or more
	secondDiscount       = 0.05  // subtracted from a second version's mean rating until rated escalations outweigh it, as their prompts are harder
	secondAssumedRatings = 20    // weight of that assumption per bucket, in ratings
)

// assumedRatingTime is the time that the rating service is assumed to take for a rating.
const assumedRatingTime = 100 * time.Millisecond

// boundStandardErrors is the distance of a bound on quality from the mean, in standard errors.
var boundStandardErrors = distuv.UnitNormal.Quantile(confidence)

// estimate describes the quality, cost and latency of a version in a class.
type estimate struct {
	version    crlid.Version
	cost       float64 // expected cost of an answer
	mean       float64 // of the ratings, with the stated quality weighted in
	variance   float64
	ratings    float64       // number of ratings, older ones discounted
	firstToken time.Duration // mean time to the first token, 0 if unknown
	duration   time.Duration // mean time to the complete answer, 0 if unknown
	observed   *sums
}

// lowerBound returns the lower confidence bound on quality.
func (e estimate) lowerBound() float64 { return e.mean - e.uncertainty() }

// upperBound returns the upper confidence bound on quality.
func (e estimate) upperBound() float64 { return e.mean + e.uncertainty() }

// uncertainty returns the distance of the confidence bounds from the mean.
func (e estimate) uncertainty() float64 {
	return boundStandardErrors * math.Sqrt(e.variance/(e.ratings+statedQualityWeight))
}

// dropUncertainty makes the bounds on quality equal to the means.
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
		prior := float64(v.Quality)
		count += statedQualityWeight
		sum += statedQualityWeight * prior
		squares += statedQualityWeight * (prior*prior + assumedVariance)
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

// meanTokens returns the mean number of tokens of an answer in the class, computed from the costs of the candidates that have
// answered, or 1 if none has.
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
// the one with the highest lower bound on quality. options must be in order of cost.
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

// meetsTarget reports whether a lower bound on quality meets the target of the request's class.
func meetsTarget(bound float64, request Request) bool {
	return bound >= float64(request.Class.Target)+qualityMargin
}

// cheapestCascade returns the cheapest cascade that meets the quality target at less expected cost than the single version,
// or the plan of the single version if there is none. A single version that misses the target counts as infinitely expensive.
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
			c := t.cascadeSums(request.Class.ID, first, second)
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

// cascadeInTime reports whether the first token of an escalated answer is expected within the class's latency limit. An
// answer that is not streamed has no such limit.
func cascadeInTime(first, second estimate, request Request) bool {
	if !request.Streamed {
		return true
	}
	return first.duration > 0 && first.duration+assumedRatingTime+second.firstToken <= request.Class.FirstToken
}

// cascadeSums holds the effect of each possible threshold of a cascade. Index i stands for the threshold at the lower edge of
// bucket i of the first version's ratings.
type cascadeSums struct {
	count   float64
	below   [bucketCount + 1]float64 // number of first answers rated below the threshold
	sum     [bucketCount + 1]float64 // sum of the shown answers' quality
	squares [bucketCount + 1]float64 // sum of the squares of the shown answers' quality
}

// cascadeSums computes the effect of each threshold of a cascade of two versions. Where few escalated answers were rated, the
// second version's mean rating less secondDiscount is assumed.
func (t *tracker) cascadeSums(class crlid.Class, first, second estimate) cascadeSums {
	var c cascadeSums
	pair := t.combinedSums(key{class: class, first: first.version, second: second.version})
	for i := range bucketCount {
		count, middle := first.observed.Buckets[i], float64(edge(i))+0.5/bucketCount
		c.count += count
		c.sum[0] += count * middle
		c.squares[0] += count * middle * middle
	}
	for i := range bucketCount {
		count, middle := first.observed.Buckets[i], float64(edge(i))+0.5/bucketCount
		assumed := max(0, second.mean-secondDiscount)
		escalated := (pair.Seconds[i] + secondAssumedRatings*assumed) / (pair.Buckets[i] + secondAssumedRatings)
		c.below[i+1] = c.below[i] + count
		c.sum[i+1] = c.sum[i] + count*(escalated-middle)
		c.squares[i+1] = c.squares[i] + count*(escalated*escalated+second.variance-middle*middle)
	}
	return c
}

// escalatedShare returns the share of answers that a threshold at the lower edge of bucket i escalates.
func (c *cascadeSums) escalatedShare(i int) float64 { return c.below[i] / c.count }

// lowerBound returns the lower confidence bound on the quality with a threshold at the lower edge of bucket i.
func (c *cascadeSums) lowerBound(i int) float64 {
	mean := c.sum[i] / c.count
	variance := max(0, c.squares[i]/c.count-mean*mean)
	return mean - boundStandardErrors*math.Sqrt(variance/c.count)
}

// edge returns the lower edge of bucket i.
func edge(i int) crlid.Quality { return crlid.Quality(i) / bucketCount }
