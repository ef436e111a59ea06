package crlrollout

import (
	"math"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// assessment tests whether the target of a roll-out fails more often, or is slower, than the other versions at the same time.
//
// The test is sequential and makes no assumption about how times are distributed. For each class and measure, the value of an answer
// of the target is ranked among the recent values of other versions. If the target is no worse, its rank is as likely to be any as any
// other, or more likely to be a good one. Each rank multiplies a wager, such that the wager on average does not grow unless the target
// is worse. Evidence is the logarithm of the factor by which a wager has grown since its lowest point.
type assessment struct {
	random        func() float64 // returns random numbers in [0, 1)
	classes       map[classKey]*classAssessment
	targetAnswers int      // number of answers of the target with a time to the first byte
	cached        *clarity // what leastClear returned last; nil after another sample
}

const (
	// badEvidence is the evidence at which a target is bad, with up to fullEvidenceDaemons daemons. With more daemons there are as many
	// more answers, so it grows by the logarithm of their number.
	badEvidence         = 8.0
	fullEvidenceDaemons = 8
	// aloneBadEvidence is badEvidence of a daemon that is cut off from the others: it can't wait for what they observe.
	aloneBadEvidence = 6.0
	// suspectEvidence is the evidence at which a target is suspect.
	suspectEvidence = 5.5
	// otherGroupsFraction is the part of the evidence that must remain without the group of servers that shows most.
	otherGroupsFraction = 0.65
	// minOldValues is the number of values of other versions from which a value of the target is ranked.
	minOldValues = 5
	maxOldValues = 1024 // bounds the memory of a class
	maxClasses   = 256  // bounds the memory of an assessment
)

// window selects the values of other versions with which a value of the target is compared, by their distance in time.
type window struct{ before, after time.Duration }

// The target is clear if, in each class, a sequential likelihood ratio test rejects that badFraction of its answers fail or are among the
// worst, besides those that would if it were no worse than the other versions.
const (
	badFraction    = 1.0 / 3
	lowRank        = 0.1  // an answer whose time has a rank up to it is among the worst
	minFailureRate = 0.01 // assumed of versions with fewer failures
	// clearLikelihood is the logarithm of the likelihood ratio below which a class is clear, and leastLikelihood its lowest value, so that
	// a fault that begins late still shows.
	clearLikelihood = -3.5
	leastLikelihood = -6.0
	// minClassFraction is the part of the answers of other versions from which a class must be clear.
	minClassFraction = 0.1
)

// clearBuckets is by how many buckets the values of a clear target may be higher: 1.4 times the time. The faults in question are several times
// that, and a difference below it may be due to other loads and caches.
var clearBuckets = [measureCount]int{
	MeasureFirstByte: bucketsPerDoubling / 2, MeasurePace: bucketsPerDoubling / 2, MeasureDuration: bucketsPerDoubling / 2,
}

// windows of the measures. Times follow the load, which may change fast. The windows of these measures extend to both sides, so that a
// rise of the load does not look like a fault of the target.
var windows = [measureCount]window{
	MeasureFailure:   {before: 10 * time.Second},
	MeasureFirstByte: {before: time.Second, after: time.Second},
	MeasurePace:      {before: time.Second, after: time.Second},
	MeasureDuration:  {before: time.Second, after: time.Second},
}

// allowedBuckets is by how many buckets the values of a good target may be higher, as its servers have no prompts cached at first.
var allowedBuckets = [measureCount]int{MeasureFirstByte: 1, MeasureDuration: 1}

// wagerExponents are the exponents of three wagers on each rank. A low one grows fast if most answers are bad, a high one if few are.
var wagerExponents = [...]float64{0.3, 0.5, 0.75}

// timedSample is a sample with the time at which it arrived.
type timedSample struct {
	sample Sample
	at     crlclock.Instant
}

// classAssessment is the assessment of one class and measure.
type classAssessment struct {
	old      []timedSample // newest values of other versions, the oldest first
	unranked []timedSample // values of the target whose windows have not ended
	// growth is the logarithm of the growth of each wager since its lowest point, over the answers of all groups of the target's servers
	// but one.
	growth   [len(wagerExponents)][ServerGroups]float64
	all      [len(wagerExponents)]float64 // the same over the answers of all groups
	oldCount int                          // number of values of other versions so far
	ranked   int                          // number of values of the target that were ranked
	// likelihood is the logarithm of how much likelier the ranks are if the target is bad.
	likelihood float64
	evidence   float64 // growthOf at the newest answer of the target
}

func newAssessment(random func() float64) *assessment {
	return &assessment{random: random, classes: make(map[classKey]*classAssessment)}
}

// add takes a sample into account, in its class and in all classes together. servers is the number of the target's servers.
//
// Both versions get requests of all classes in the same proportions, so that ranks among the answers of all classes are as valid as
// those within a class. They need fewer answers to show a fault, unless it is confined to a class.
func (a *assessment) add(s Sample, now crlclock.Instant, servers int) {
	if s.target() && s.key().measure() == MeasureFirstByte {
		a.targetAnswers++
	}
	a.addTo(s.key(), s, now, servers)
	a.addTo(s.key().allClasses(), s, now, servers)
}

// addTo is add for one class.
func (a *assessment) addTo(key classKey, s Sample, now crlclock.Instant, servers int) {
	c, ok := a.classes[key]
	if !ok {
		if len(a.classes) >= maxClasses {
			return
		}
		c = &classAssessment{}
		a.classes[key] = c
	}
	a.cached = nil
	values := &c.old
	if s.target() {
		values = &c.unranked
	} else {
		c.oldCount++
	}
	*values = append(*values, timedSample{sample: s, at: now})
	window := windows[key.measure()]
	c.dropOld(now.Add(-window.before - window.after))
	for len(c.unranked) > 0 && now.Sub(c.unranked[0].at) >= window.after {
		c.rank(c.unranked[0], window, a.random())
		c.unranked = c.unranked[1:]
		c.evidence = c.growthOf(servers)
	}
}

// evidence returns the logarithm of the highest growth of a wager, over all classes and measures.
func (a *assessment) evidence() (highest float64) {
	for _, c := range a.classes {
		highest = max(highest, c.evidence)
	}
	return highest
}

// compared returns the number of the target's first bytes that were ranked among those of other versions.
func (a *assessment) compared() int {
	if c, ok := a.classes[classKey(MeasureFirstByte)]; ok {
		return c.ranked
	}
	return 0
}

// clarity is the likelihood of one class and measure.
type clarity struct {
	key        classKey
	likelihood float64
}

// clears reports whether the target's answers suffice to call it no worse than the other versions in each class. A service without
// requests has no classes, and its target is clear.
func (a *assessment) clears() bool { return a.leastClear().likelihood <= clearLikelihood }

// likelierBad reports whether the target is rather bad than good in some class.
func (a *assessment) likelierBad() bool { return a.leastClear().likelihood > 0 }

// leastClear returns the class with the highest likelihood of those that have at least minClassFraction of the answers of other versions; the
// likelihood is leastLikelihood if there is none.
func (a *assessment) leastClear() clarity {
	if a.cached != nil {
		return *a.cached
	}
	least := clarity{likelihood: leastLikelihood}
	for key, c := range a.classes {
		all, ok := a.classes[key.allClasses()]
		if ok && a.decides(key.measure()) && c.oldCount > 0 && float64(c.oldCount) >= minClassFraction*float64(all.oldCount) &&
			c.likelihood > least.likelihood {
			least = clarity{key: key, likelihood: c.likelihood}
		}
	}
	a.cached = &least
	return least
}

// decides reports whether a target must be clear in a measure. The duration of a stream depends on its first byte and pace.
func (a *assessment) decides(measure Measure) bool {
	_, streams := a.classes[classKey(MeasureDuration)]
	switch measure {
	case MeasureFirstByte:
		return !streams
	case MeasurePace:
		return false
	default:
		return true
	}
}

// dropOld drops the values of other versions that arrived before a moment, and the oldest if there are too many.
func (c *classAssessment) dropOld(before crlclock.Instant) {
	n := max(0, len(c.old)-maxOldValues)
	for n < len(c.old) && c.old[n].at < before {
		n++
	}
	c.old = c.old[n:]
}

// rank ranks a value of the target among those of other versions, and updates the wagers and the likelihood. tie, from 0 to 1, is the
// rank among equal values. A value whose window has no value of another version at its end is left out, as the load may have changed.
func (c *classAssessment) rank(value timedSample, window window, tie float64) {
	measure := value.sample.key().measure()
	var comparable []int // buckets of the values in the window
	later := 0
	for _, old := range c.old {
		distance := old.at.Sub(value.at)
		if distance < -window.before || distance > window.after {
			continue
		}
		comparable = append(comparable, old.sample.bucket())
		if distance >= window.after/2 {
			later++
		}
	}
	if len(comparable) < minOldValues || window.after > 0 && later == 0 {
		return
	}
	c.ranked++
	if measure == MeasureFailure {
		failed := 0
		for _, bucket := range comparable {
			failed += bucket
		}
		c.addLikelihood(value.sample.bucket() > 0, max(float64(failed)/float64(len(comparable)), minFailureRate))
	} else {
		// Few values don't tell whether one is among the worst tenth, but whether it is above all but one of them.
		rate := max(lowRank, 2/float64(len(comparable)+1))
		c.addLikelihood(rankOf(value.sample.bucket()-clearBuckets[measure], comparable, 0) <= rate, rate)
	}
	p := rankOf(value.sample.bucket()-allowedBuckets[measure], comparable, tie)
	for i, exponent := range wagerExponents {
		growth := math.Log(exponent) + (exponent-1)*math.Log(p)
		c.all[i] = max(0, c.all[i]+growth)
		for group := range ServerGroups {
			if group != value.sample.group() {
				c.growth[i][group] = max(0, c.growth[i][group]+growth)
			}
		}
	}
}

// rankOf returns the part of the buckets, with the given one, that are not lower than it; of equal ones the part 1-tie.
func rankOf(bucket int, others []int, tie float64) float64 {
	bucket = max(bucket, 0)
	worse, equal := 0.0, 0.0
	for _, other := range others {
		switch {
		case other > bucket:
			worse++
		case other == bucket:
			equal++
		}
	}
	return (worse + (1-tie)*(equal+1)) / float64(len(others)+1)
}

// addLikelihood updates the likelihood with an answer. rate is the rate at which the answers of a good target are among the worst.
func (c *classAssessment) addLikelihood(worst bool, rate float64) {
	badRate := rate + badFraction*(1-rate)
	if worst {
		c.likelihood += math.Log(badRate / rate)
		return
	}
	c.likelihood = max(c.likelihood+math.Log((1-badRate)/(1-rate)), leastLikelihood)
}

// growthOf returns the highest logarithm of the growth of a wager. If the target has several servers, a wager counts only as far as it has
// grown, up to otherGroupsFraction, without the answers of any one group of them.
func (c *classAssessment) growthOf(servers int) (highest float64) {
	for i, growth := range c.growth {
		g := c.all[i]
		if servers > 1 {
			g = min(g, slices.Min(growth[:])/otherGroupsFraction)
		}
		highest = max(highest, g)
	}
	return highest
}
