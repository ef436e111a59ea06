package crlhealth

import "time"

//go:generate go tool enumer -type=Stage -trimprefix=Stage -transform=kebab -json -text -output=stage_enumer.go

// Stage says what part of the new work a version may get.
type Stage int

// The stages of a version.
const (
	StageFull    Stage = iota // StageFull is a version that is well.
	StageHeld                 // StageHeld gets nothing new.
	StageTrickle              // StageTrickle gets one request in a hundred.
	StageSmall                // StageSmall gets one in twenty.
	StageFifth                // StageFifth gets one in five.
	StageHalf                 // StageHalf gets every other one.
)

// Times and numbers of the steps.
const (
	firstHold      = 30 * time.Second // holdTime is how long the first alarm holds a version; each further one doubles it.
	maxHold        = 30 * time.Minute // maxHoldTime bounds a hold.
	minStepTime    = 15 * time.Second // stepTime is the shortest stay on a step.
	alarmResetTime = time.Hour        // forgetTime is how long a version must be well for its alarms to be forgotten.
	trickleAnswers = 10               // trickleAnswers is the number of answers that end the trickle.
	stepAnswers    = 50               // stepAnswers is the number of answers that end another step.
)

// Share returns the part of the new work that fits the stage.
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

// ready reports whether a version may take its next step.
func (v *Verdict) ready(stay time.Duration, answers int64) bool {
	switch v.Stage {
	case StageFull:
		return false
	case StageHeld:
		return stay >= v.holdDuration()
	case StageTrickle:
		return stay >= minStepTime && answers >= trickleAnswers
	default:
		return stay >= minStepTime && answers >= stepAnswers
	}
}

func (v *Verdict) holdDuration() time.Duration {
	return min(maxHold, firstHold<<min(max(0, v.Alarms-1), 10))
}
