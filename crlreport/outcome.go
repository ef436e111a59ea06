package crlreport

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=Indicator -trimprefix=Indicator -transform=kebab -json -text -output=indicator_enumer.go
//go:generate go tool enumer -type=Verdict -trimprefix=Verdict -transform=kebab -json -text -output=verdict_enumer.go

// Indicator is one measure of service.
type Indicator int

// The measures of service.
const (
	IndicatorAvailability  Indicator = iota // IndicatorAvailability counts requests that got a whole answer.
	IndicatorFirstToken                     // IndicatorFirstToken counts answers whose first token was in time.
	IndicatorBetweenTokens                  // IndicatorBetweenTokens counts gaps between tokens that were short enough.
)

// Verdict says whose fault an outcome is.
type Verdict int

// The verdicts on an outcome.
const (
	VerdictGood        Verdict = iota // VerdictGood is a whole answer.
	VerdictBad                        // VerdictBad is a failure of the service.
	VerdictCallerFault                // VerdictCallers is a caller's own mistake and counts for nothing.
)

// gapBounds are the upper bounds of a GapCounts's buckets in seconds.
var gapBounds = [...]float64{0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.2, 0.5, 1, 5}

// GapCounts sums the gaps between tokens of one or more answers.
type GapCounts struct {
	Total   uint64
	Late    uint64 // Late counts gaps longer than the class's goal.
	Seconds float64
	buckets [len(gapBounds)]uint64 // buckets are not cumulative.
}

// Add counts one gap against the goal, 0 for none.
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

// Outcome is what became of one request.
type Outcome struct {
	Time         time.Time
	Organisation crlid.Organisation // Organisation is empty for a caller who was not authenticated.
	Class        crlconfig.Class
	Service      crlid.Service // Service is set for calls of plain services.
	Verdict      Verdict
	Code         string // Code is the refusal's, or "ok".
	Ran          string
	FirstToken   time.Duration // FirstToken is 0 when no token was shown or the answer was resumed.
	Gaps         GapCounts
}
