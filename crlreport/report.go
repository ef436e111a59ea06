package crlreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=Alert -trimprefix=Alert -transform=kebab -json -text -output=alert_enumer.go

// Objectives are the shares of good events that are promised.
const (
	AvailabilityObjective = 0.999
	LatencyObjective      = 0.95 // LatencyObjective holds for both latency indicators.
)

// Objective returns the share of good events that is promised.
func (i Indicator) Objective() float64 {
	if i == IndicatorAvailability {
		return AvailabilityObjective
	}
	return LatencyObjective
}

// window is a span that a report sums up from a ring.
type window struct {
	ring    int
	buckets int
}

// windows are 5 minutes, 1 hour, 6 hours and 3 days.
var windows = [...]window{{0, 30}, {0, bucketsPerRing}, {1, bucketsPerRing}, {2, bucketsPerRing}}

// The places of the windows in a Row.
const (
	windowFiveMinutes = iota
	windowHour
	windowSixHours
	windowThreeDays
)

// WindowNames are the titles of a Row's windows.
var WindowNames = [len(windows)]string{"5m", "1h", "6h", "3d"}

// Alert says how soon a person should look.
type Alert int

// The alerts.
const (
	AlertNone   Alert = iota
	AlertTicket       // AlertTicket means that the error budget won't last its period.
	AlertPage         // AlertPage means that the error budget is gone within days.
)

// Burn rates at which an alert is given, each over a long window and a short one that shows that it still lasts.
const (
	fastPageBurn = 14.4 // fastPageBurn spends 2% of a 30-day budget in an hour.
	slowPageBurn = 6    // slowPageBurn spends 5% of a 30-day budget in six hours.
	ticketBurn   = 1
	minBadEvents = 10 // minAlertBad is the number of bad events in the long window below which nobody is called.
)

// Row is one indicator of one key.
type Row struct {
	Key
	Indicator Indicator              `json:"indicator"`
	Counts    [len(windows)]Count    `json:"counts"` // Counts are in the order of WindowNames.
	Burn      [len(windows)]float64  `json:"burn"`
	Alert     Alert                  `json:"alert"`
	Minutes   [minutesInReport]Count `json:"minutes"` // Minutes are the newest, the oldest first.
}

// minutesInReport is the number of minutes that a report plots.
const minutesInReport = 120

// Report tells the burn of one daemon or, summed, of the fleet.
type Report struct {
	Time    time.Time      `json:"time"`
	Daemons int            `json:"daemons"`
	Missing []crlid.Daemon `json:"missing,omitempty"` // Missing are daemons that could not be asked.
	Rows    []Row          `json:"rows"`
}

// Report sums the windows that end at a moment.
func (b *Tracker) Report(now time.Time) Report {
	r := Report{Time: now, Daemons: 1}
	for key, e := range b.entries {
		for i := range indicatorCount {
			if row := e.row(key, Indicator(i), now); row.Counts[windowThreeDays].Total > 0 {
				r.Rows = append(r.Rows, row)
			}
		}
	}
	r.recompute()
	return r
}

func (e *entry) row(key Key, indicator Indicator, now time.Time) Row {
	row := Row{Key: key, Indicator: indicator}
	for i, w := range windows {
		row.Counts[i] = e.rings[w.ring].sumLast(bucketNumber(now, bucketDurations[w.ring]), w.buckets)[indicator]
	}
	minute := bucketNumber(now, time.Minute)
	for i := range row.Minutes {
		row.Minutes[i] = e.rings[1].bucket(minute - minutesInReport + 1 + int64(i))[indicator]
	}
	return row
}

// Merge adds the counts of another daemon's report.
func (r *Report) Merge(other Report) {
	r.Daemons += other.Daemons
	r.Missing = append(r.Missing, other.Missing...)
	for _, o := range other.Rows {
		i := slices.IndexFunc(r.Rows, func(row Row) bool { return row.Key == o.Key && row.Indicator == o.Indicator })
		if i < 0 {
			r.Rows = append(r.Rows, o)
			continue
		}
		for w := range o.Counts {
			r.Rows[i].Counts[w].add(o.Counts[w])
		}
		for m := range o.Minutes {
			r.Rows[i].Minutes[m].add(o.Minutes[m])
		}
	}
	r.recompute()
}

// finish works out burn and alerts and orders the rows.
func (r *Report) recompute() {
	for i := range r.Rows {
		row := &r.Rows[i]
		for w, c := range row.Counts {
			row.Burn[w] = c.Burn(row.Indicator)
		}
		row.Alert = row.alert()
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Indicator, b.Indicator))
	})
}

// Burn returns the share of bad events over the share that the objective allows.
func (c Count) Burn(indicator Indicator) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - indicator.Objective())
}

func (r *Row) alert() Alert {
	both := func(long, short int, burn float64) bool {
		return r.Counts[long].Bad >= minBadEvents && r.Burn[long] >= burn && r.Burn[short] >= burn
	}
	switch {
	case both(windowHour, windowFiveMinutes, fastPageBurn), both(windowSixHours, windowHour, slowPageBurn):
		return AlertPage
	case both(windowThreeDays, windowSixHours, ticketBurn):
		return AlertTicket
	default:
		return AlertNone
	}
}
