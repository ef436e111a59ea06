package crlreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=Alert -trimprefix=Alert -transform=kebab -json -text -output=alert_enumer.go

// Service-level objectives: the shares of events that must be good over 30 days.
const (
	AvailabilityObjective = 0.999
	LatencyObjective      = 0.95 // share of good events for each of the two latency indicators
)

// Objective returns the share of the indicator's events that must be good over 30 days.
func (i Indicator) Objective() float64 {
	if i == IndicatorAvailability {
		return AvailabilityObjective
	}
	return LatencyObjective
}

// window is a time span that ends when a report is made: the newest buckets of one of the rings.
type window struct {
	ring    int // index of the ring in bucketDurations
	buckets int // number of buckets to sum
}

// windows are the spans of a report: 5 minutes (30 buckets of ten seconds), 1 hour, 6 hours and 3 days.
var windows = [...]window{
	{tenSecondRing, 30}, {tenSecondRing, bucketsPerRing}, {minuteRing, bucketsPerRing}, {twelveMinuteRing, bucketsPerRing},
}

// Indices of the windows in Row.Counts and Row.Burn.
const (
	windowFiveMinutes = iota
	windowHour
	windowSixHours
	windowThreeDays
)

// WindowNames are the column titles of the windows, in the order of Row.Burn and Row.Counts.
var WindowNames = [len(windows)]string{"5m", "1h", "6h", "3d"}

// Alert is the urgency with which an operator should look at a burn rate.
type Alert int

// The alerts, by urgency.
const (
	AlertNone   Alert = iota
	AlertTicket       // the error budget will not last its period
	AlertPage         // the error budget will be spent within five days
)

// Thresholds of the alerts. An alert is raised when its burn rate is reached in a long window and also in a shorter one, which
// shows that the failures go on.
const (
	fastPageBurn = 14.4 // spends 2% of a 30-day error budget in an hour
	slowPageBurn = 6    // spends 5% of a 30-day error budget in six hours
	ticketBurn   = 1    // spends a 30-day error budget in exactly 30 days
	minBadEvents = 10   // with fewer bad events in the long window no alert is raised
)

// Row holds the counts and burn rates of one indicator of one key.
type Row struct {
	Key
	Indicator Indicator              `json:"indicator"`
	Counts    [len(windows)]Count    `json:"counts"` // counts by window, in the order of WindowNames
	Burn      [len(windows)]float64  `json:"burn"`   // burn rates by window, in the order of WindowNames
	Alert     Alert                  `json:"alert"`
	Minutes   [minutesInReport]Count `json:"minutes"` // the latest minutes, the oldest first
}

// minutesInReport is the number of minutes that the admin interface's page of burn rates plots.
const minutesInReport = 120

// Report holds the burn rates of one daemon or, after Merge, of several.
type Report struct {
	Time    time.Time      `json:"time"`
	Daemons int            `json:"daemons"`           // number of daemons whose counts are included
	Missing []crlid.Daemon `json:"missing,omitempty"` // daemons that could not be reached
	Rows    []Row          `json:"rows"`
}

// Report returns the counts and burn rates of the windows that end at now. Keys without events in three days are omitted.
func (t *Tracker) Report(now time.Time) Report {
	r := Report{Time: now, Daemons: 1}
	for key, e := range t.entries {
		for i := range indicatorCount {
			if row := e.row(key, Indicator(i), now); row.Counts[windowThreeDays].Total > 0 {
				r.Rows = append(r.Rows, row)
			}
		}
	}
	r.recompute()
	return r
}

// row returns the counts of one indicator in the windows that end at now.
func (e *entry) row(key Key, indicator Indicator, now time.Time) Row {
	row := Row{Key: key, Indicator: indicator}
	for i, w := range windows {
		row.Counts[i] = e.rings[w.ring].sumLast(bucketNumber(now, bucketDurations[w.ring]), w.buckets)[indicator]
	}
	minute := bucketNumber(now, time.Minute)
	for i := range row.Minutes {
		row.Minutes[i] = e.rings[minuteRing].bucket(minute - minutesInReport + 1 + int64(i))[indicator]
	}
	return row
}

// Merge adds the counts of another daemon's report and recomputes burn rates and alerts.
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

// recompute sets the burn rates and alerts of all rows from their counts and sorts the rows.
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

// Burn returns the burn rate: the share of bad events divided by the share that the objective allows. It is 0 without events.
func (c Count) Burn(indicator Indicator) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - indicator.Objective())
}

// alert returns the most urgent alert that the burn rates of the row raise.
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
