package crlhealth

import "time"

//go:generate go tool enumer -type=Stage -trimprefix=Stage -transform=kebab -json -text -output=stage_enumer.go

// Stage determines the share of new requests that a version may get. The names of the stages are part of messages.
type Stage int

// The stages of a version, from an alarm to the full share: held, trickle, small, fifth, half, full.
const (
	StageFull    Stage = iota // no limit: no alarm, or the ramp-up is complete
	StageHeld                 // no new requests
	StageTrickle              // one new request in a hundred
	StageSmall                // one new request in twenty
	StageFifth                // one new request in five
	StageHalf                 // one new request in two
)

// Durations of the stages, and the numbers of answers that each needs.
const (
	firstHold         = 30 * time.Second // hold after the first alarm; each further alarm doubles it
	maxHold           = 30 * time.Minute // upper bound of a hold
	minStageTime      = 15 * time.Second // shortest time in a stage of the ramp-up
	alarmResetTime    = time.Hour        // time at StageFull after which the next alarm counts as the first
	minTrickleAnswers = 10               // answers needed to leave StageTrickle
	minStageAnswers   = 50               // answers needed to leave each later stage of the ramp-up
)

// Share returns the share of new requests that a version at the stage may get, from 0 to 1.
func (s Stage) Share() float64 {
	switch s {
	case StageHeld:
		return 0
	case StageTrickle:
		return 0.01
	case StageSmall:
		return 0.05
	case StageFifth:
		return 0.2
	case StageHalf:
		return 0.5
	default:
		return 1
	}
}

func (s Stage) next() Stage {
	if s == StageHalf || s == StageFull {
		return StageFull
	}
	return s + 1
}

// ready reports whether a version may advance to its next stage. stay is the time in the present stage and answers the
// number of answers in it.
func (v *Verdict) ready(stay time.Duration, answers int64) bool {
	switch v.Stage {
	case StageFull:
		return false
	case StageHeld:
		return stay >= v.holdDuration()
	case StageTrickle:
		return stay >= minStageTime && answers >= minTrickleAnswers
	default:
		return stay >= minStageTime && answers >= minStageAnswers
	}
}

// holdDuration returns the duration of the hold after the version's last alarm.
func (v *Verdict) holdDuration() time.Duration {
	const maxDoublings = 10 // keeps the shift from overflowing; firstHold doubled this often exceeds maxHold
	return min(maxHold, firstHold<<min(max(0, v.Alarms-1), maxDoublings))
}
