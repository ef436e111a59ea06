package crlrollout

import "time"

// step is one step of a schedule: from start, a fraction of the roll-out's time, the target gets share of the requests.
type step struct{ start, share float64 }

// schedule gives the target's share of the requests as a function of the elapsed fraction of the roll-out's time.
type schedule struct {
	steps     []step
	fullStart float64 // elapsed fraction from which the target gets fullShare of the requests
}

// Shares are parts of the service's requests. Fractions are parts of the roll-out's time unless stated otherwise.
const (
	defaultExposure = 0.15 // largest share of all requests that a bad target may get, in present deployments
	// usedExposureFraction is the part of the exposure bound that the steps use up, as requests may arrive at a higher rate
	// towards the deadline than before.
	usedExposureFraction = 0.8
	// fullStepExposure is the exposure bound from which the first step has its full size; below it the first one is scaled down.
	fullStepExposure = 0.12
	firstShare       = 0.02 // target's share in the first step; enough to detect, from few answers, a version that fails at once
	// lastExposureFraction is the part of the used exposure for the time from fullStart to the deadline. The first step takes what
	// firstShare says, and the two steps between them have equal parts of the rest.
	lastExposureFraction = 0.5
	secondStart          = pinnedFraction
	warmupShare          = 0.25 // target's share just before it gets nearly all requests; fills its caches and queues
	// fullShare is the target's share in the last step. The rest shows how other versions fare under the same load.
	fullShare = 0.9
	// drainFraction is the part of the time between fullStart and the deadline that is left to open answers of the old version.
	drainFraction = 0.38
	// statusWriteTime is reserved before the deadline for writing the status, with a few attempts by several daemons.
	statusWriteTime = 600 * time.Millisecond
)

// newSchedule returns a schedule that keeps the target's share of all requests up to the deadline below exposure, or below
// defaultExposure if that is 0. The bound includes the time at the end when a target without a fault gets all requests, as
// some versions are bad only under a load that does not occur before the deadline. The steps between the first and the last may use up
// extra besides, also a share of all requests.
func newSchedule(exposure, extra float64) schedule {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	used := usedExposureFraction * exposure
	first := firstShare * min(1, exposure/fullStepExposure)
	fullStart := 1 - lastExposureFraction*used
	// Half of what is left goes to each step between.
	each := ((1-lastExposureFraction)*used - secondStart*first + usedExposureFraction*extra) / 2
	warmupStart := max(fullStart-each/warmupShare, (secondStart+fullStart)/2)
	second := min(each/(warmupStart-secondStart), warmupShare)
	return schedule{fullStart: fullStart, steps: []step{
		{0, first}, {secondStart, second}, {warmupStart, warmupShare}, {fullStart, fullShare},
	}}
}

// share returns the target's share of the requests after an elapsed fraction of the time.
func (s schedule) share(elapsed float64) float64 {
	share := 0.0
	for _, step := range s.steps {
		if elapsed >= step.start {
			share = step.share
		}
	}
	return share
}

// completionFraction returns the elapsed fraction of a roll-out's time from which the move to a target without a fault is
// complete. total is the whole time of the roll-out.
func (s schedule) completionFraction(total time.Duration) float64 {
	return max(min(s.fullStart+drainFraction*(1-s.fullStart), latestCompletion(total)), s.fullStart)
}

// latestCompletion returns the elapsed fraction of a roll-out's time from which too little is left to write its status.
func latestCompletion(total time.Duration) float64 {
	return 1 - float64(statusWriteTime)/float64(total)
}
