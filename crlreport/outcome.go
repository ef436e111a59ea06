package crlreport

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=Indicator -trimprefix=Indicator -transform=kebab -json -text -output=indicator_enumer.go
//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=kebab -linecomment -json -text -output=verdict_enumer.go

// Indicator is a service-level indicator: a ratio of good events to all events.
type Indicator int

// The service-level indicators.
const (
	IndicatorAvailability  Indicator = iota // requests that got a complete answer
	IndicatorFirstToken                     // answers whose first token came within the class's goal
	IndicatorBetweenTokens                  // gaps between two tokens within the class's goal
)

// Verdict attributes an outcome to the service or to the caller.
type Verdict int

// The verdicts on an outcome. The generator uses a comment at the end of a line as the value's text.
const (
	// VerdictGood is a complete answer.
	VerdictGood Verdict = iota
	// VerdictBad is a failure of the service.
	VerdictBad
	// VerdictCallerFault is a failure that the caller caused; it is not counted against the objectives.
	VerdictCallerFault // callers
)

// gapBounds are the upper bounds, in seconds, of the buckets of a GapCounts. Longer gaps are only in Total.
var gapBounds = [...]float64{0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.2, 0.5, 1, 5}

// GapCounts is a histogram of the gaps between tokens of one or more answers.
type GapCounts struct {
	Total   uint64                 // number of gaps
	Late    uint64                 // gaps longer than the class's goal
	Seconds float64                // sum of all gaps, in seconds
	buckets [len(gapBounds)]uint64 // gaps up to the bound and above the one before it
}

// Add counts one gap. The gap is late if it exceeds the goal; a goal of 0 means that the class has none.
func (g *GapCounts) Add(gap, goal time.Duration) {
	g.Total++
	g.Seconds += gap.Seconds()
	if goal > 0 && gap > goal {
		g.Late++
	}
	for i, bound := range gapBounds {
		if gap.Seconds() <= bound {
			g.buckets[i]++
			return
		}
	}
}

func (g *GapCounts) merge(other GapCounts) {
	g.Total += other.Total
	g.Late += other.Late
	g.Seconds += other.Seconds
	for i, n := range other.buckets {
		g.buckets[i] += n
	}
}

// Outcome is the result of one request.
type Outcome struct {
	Time         time.Time
	Organisation crlid.Organisation // empty for a caller that was not authenticated
	Class        crlconfig.Class
	Service      crlid.Service // set for calls of plain services
	Verdict      Verdict
	Code         string        // code of the refusal, or "ok"
	Ran          string        // whether a backend server executed the request, in the text that the caller receives
	FirstToken   time.Duration // since the request arrived; 0 when no token was sent or the answer was resumed
	Gaps         GapCounts
}
