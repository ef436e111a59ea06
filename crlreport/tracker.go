package crlreport

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// indicatorCount is the number of Indicator values.
const indicatorCount = int(IndicatorBetweenTokens) + 1

// Key identifies the requests that are counted together.
type Key struct {
	Organisation crlid.Organisation `json:"organisation"`
	Class        crlid.Class        `json:"class,omitempty"`
	Service      crlid.Service      `json:"service,omitempty"`
}

// overflowKey identifies the requests of all keys beyond the first TrackerConfig.MaxKeys, which are counted together.
var overflowKey = Key{Organisation: "(other)"}

// TrackerConfig configures a Tracker.
type TrackerConfig struct {
	MaxKeys int // number of keys that are counted separately, which bounds the memory
}

// Tracker counts outcomes in rings of time buckets. It is not safe for concurrent use; a Recorder is.
type Tracker struct {
	config  TrackerConfig
	entries map[Key]*entry
}

// Count is a number of events and the number of bad ones among them.
type Count struct {
	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
}

func (c *Count) add(other Count) {
	c.Total += other.Total
	c.Bad += other.Bad
}

// counts holds a Count for each Indicator.
type counts [indicatorCount]Count

func (c *counts) add(other counts) {
	for i := range c {
		c[i].add(other[i])
	}
}

// entry holds the rings of one key, in the order of bucketDurations.
type entry struct {
	rings [len(bucketDurations)]ring
}

// bucketsPerRing is the number of buckets of each ring.
const bucketsPerRing = 360

// bucketDurations are the durations of a bucket in each ring. The rings cover an hour, six hours and three days.
var bucketDurations = [...]time.Duration{10 * time.Second, time.Minute, 12 * time.Minute}

// Indices of the rings in bucketDurations.
const (
	tenSecondRing = iota
	minuteRing
	twelveMinuteRing
)

// ring holds the newest buckets of one duration. Bucket n is at index n modulo bucketsPerRing.
type ring struct {
	newest  int64 // number of the newest bucket, as bucketNumber returns it
	buckets [bucketsPerRing]counts
}

// NewTracker returns a Tracker without outcomes.
func NewTracker(config TrackerConfig) *Tracker {
	return &Tracker{config: config, entries: make(map[Key]*entry)}
}

// Add counts one outcome, unless it is a failure that the caller caused.
func (t *Tracker) Add(outcome Outcome) {
	if outcome.Verdict == VerdictCallerFault {
		return
	}
	e := t.entry(Key{Organisation: outcome.Organisation, Class: outcome.Class.ID, Service: outcome.Service})
	c := outcome.counts()
	for i := range e.rings {
		e.rings[i].add(bucketNumber(outcome.Time, bucketDurations[i]), c)
	}
}

// counts returns the events that the outcome adds to each indicator.
func (o Outcome) counts() counts {
	var c counts
	c[IndicatorAvailability] = Count{Total: 1, Bad: countIf(o.Verdict == VerdictBad)}
	if o.FirstToken > 0 {
		late := o.Class.FirstToken > 0 && o.FirstToken > o.Class.FirstToken
		c[IndicatorFirstToken] = Count{Total: 1, Bad: countIf(late)}
	}
	c[IndicatorBetweenTokens] = Count{Total: o.Gaps.Total, Bad: o.Gaps.Late}
	return c
}

// countIf returns 1 if the condition holds, otherwise 0.
func countIf(condition bool) uint64 {
	if condition {
		return 1
	}
	return 0
}

// entry returns the entry of a key, or that of overflowKey when the key is new and MaxKeys is reached.
func (t *Tracker) entry(key Key) *entry {
	if e, ok := t.entries[key]; ok {
		return e
	}
	if len(t.entries) >= t.config.MaxKeys && key != overflowKey {
		return t.entry(overflowKey)
	}
	e := &entry{}
	t.entries[key] = e
	return e
}

// bucketNumber returns the number, counted from the Unix epoch, of the bucket that a time falls into.
func bucketNumber(t time.Time, duration time.Duration) int64 { return t.UnixNano() / int64(duration) }

// add adds the counts to the bucket with the number. Counts older than the ring's oldest bucket are dropped.
func (r *ring) add(number int64, c counts) {
	r.advance(number)
	if number > r.newest-bucketsPerRing {
		r.buckets[number%bucketsPerRing].add(c)
	}
}

// advance makes the bucket with the number the newest one, if it is newer, and empties the slots that are used again.
func (r *ring) advance(number int64) {
	if number-r.newest >= bucketsPerRing {
		*r = ring{newest: number}
		return
	}
	for r.newest < number {
		r.newest++
		r.buckets[r.newest%bucketsPerRing] = counts{}
	}
}

// sumLast returns the sum of the n buckets up to and including the one with the number.
func (r *ring) sumLast(number int64, n int) counts {
	var sum counts
	for i := number - int64(n) + 1; i <= number; i++ {
		sum.add(r.bucket(i))
	}
	return sum
}

// bucket returns the counts of the bucket with the number, which are zero outside the ring.
func (r *ring) bucket(number int64) counts {
	if number > r.newest || number <= r.newest-bucketsPerRing {
		return counts{}
	}
	return r.buckets[number%bucketsPerRing]
}
