package crlrollout

import "time"

// step is the share of the work that the target gets from a part of the time on.
type step struct{ start, share float64 }

// schedule is how the target's share grows with the part of the time that has passed.
type schedule struct {
	steps     []step
	fullStart float64 // full is the part of the time from which the target gets everything.
}

const (
	defaultExposure = 0.15 // defaultExposure is the bound of today's deployments.
	// exposurePart of the bound is used, as requests may come more often towards the end than before.
	usedExposureFraction = 0.8
	// shareBound is the bound from which the steps have their whole size.
	fullStepExposure  = 0.12
	firstShare        = 0.02 // firstShare shows versions that fail at once, with the few answers that this takes.
	secondShare       = 0.04 // secondShare begins when sessions may move.
	warmupShare       = 0.25 // leadShare lets caches and queues of the target fill before all work comes.
	warmupFraction    = 0.04 // leadPart is the part of the time for leadShare.
	secondStart       = pinnedFraction
	maxSecondFraction = 0.38 // secondPart is the longest that secondShare lasts.
	// drainPart of the time that is left when the target gets everything is for answers of the old version that are open.
	drainFraction = 0.4
	// writeTime is left for writing the state, a few tries by several daemons.
	statusWriteTime = 600 * time.Millisecond
)

// newSchedule returns steps that keep the target's part of all requests until the deadline under a bound, also when it shows
// no fault and all work goes to it at the end: some versions are bad only under a load that doesn't come in that time.
func newSchedule(exposure float64) schedule {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	scale := min(1, exposure/fullStepExposure)
	before := scale * (secondStart*firstShare + maxSecondFraction*secondShare + warmupFraction*warmupShare)
	full := max(1-(usedExposureFraction*exposure-before), secondStart+warmupFraction)
	return schedule{fullStart: full, steps: []step{
		{0, scale * firstShare}, {secondStart, scale * secondShare}, {full - warmupFraction, scale * warmupShare}, {full, 1},
	}}
}

// share returns the target's share of the work after a part of the time.
func (s schedule) share(passed float64) float64 {
	share := 0.0
	for _, step := range s.steps {
		if passed >= step.start {
			share = step.share
		}
	}
	return share
}

// completeAt returns the part of the time after which a target without a finding is complete.
func (s schedule) completionFraction(over time.Duration) float64 {
	latest := 1 - float64(statusWriteTime)/float64(over)
	return max(min(s.fullStart+drainFraction*(1-s.fullStart), latest), s.fullStart)
}
