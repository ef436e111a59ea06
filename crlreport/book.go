package crlreport

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// indicators is the number of Indicator values.
const indicatorCount = int(IndicatorBetweenTokens) + 1

// Key names what is counted together.
type Key struct {
	Organisation crlid.Organisation `json:"organisation"`
	Class        crlid.Class        `json:"class,omitempty"`
	Service      crlid.Service      `json:"service,omitempty"`
}

// otherKey takes what comes after MaxKeys keys.
var overflowKey = Key{Organisation: "(other)"}

// BookConfig configures a Book.
type TrackerConfig struct {
	MaxKeys int // MaxKeys bounds the keys that are counted apart.
}

// Book folds outcomes into rings of buckets.
type Tracker struct {
	config  TrackerConfig
	entries map[Key]*entry
}

// Count is a number of events and how many of them were bad.
type Count struct {
	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
}

func (c *Count) add(other Count) {
	c.Total += other.Total
	c.Bad += other.Bad
}

type counts [indicatorCount]Count

func (c *counts) add(other counts) {
	for i := range c {
		c[i].add(other[i])
	}
}

// entry holds the rings of one key.
type entry struct {
	rings [len(bucketDurations)]ring
}

// ringBuckets is the number of buckets of each ring.
const bucketsPerRing = 360

// ringSteps are the lengths of the buckets of each ring: an hour, six hours, three days in all.
var bucketDurations = [...]time.Duration{10 * time.Second, time.Minute, 12 * time.Minute}

// ring holds the newest buckets of one length.
type ring struct {
	newest  int64 // newest is the number of the newest bucket, counted from the Unix epoch.
	buckets [bucketsPerRing]counts
}

// NewBook returns a book without outcomes.
func NewTracker(config TrackerConfig) *Tracker {
	return &Tracker{config: config, entries: make(map[Key]*entry)}
}

// Add counts one outcome.
func (b *Tracker) Add(outcome Outcome) {
	if outcome.Verdict == VerdictCallerFault {
		return
	}
	e := b.entry(Key{Organisation: outcome.Organisation, Class: outcome.Class.ID, Service: outcome.Service})
	c := outcome.counts()
	for i := range e.rings {
		e.rings[i].add(bucketNumber(outcome.Time, bucketDurations[i]), c)
	}
}

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

func countIf(yes bool) uint64 {
	if yes {
		return 1
	}
	return 0
}

func (b *Tracker) entry(key Key) *entry {
	if e, ok := b.entries[key]; ok {
		return e
	}
	if len(b.entries) >= b.config.MaxKeys && key != overflowKey {
		return b.entry(overflowKey)
	}
	e := &entry{}
	b.entries[key] = e
	return e
}

func bucketNumber(t time.Time, step time.Duration) int64 { return t.UnixNano() / int64(step) }

// add counts into a bucket; what is older than the ring is dropped.
func (r *ring) add(number int64, c counts) {
	r.advance(number)
	if number > r.newest-bucketsPerRing {
		r.buckets[number%bucketsPerRing].add(c)
	}
}

// advance empties the buckets between the newest and a newer one.
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

// last sums the newest n buckets up to the one with the given number.
func (r *ring) sumLast(number int64, n int) counts {
	var sum counts
	for i := number - int64(n) + 1; i <= number; i++ {
		sum.add(r.bucket(i))
	}
	return sum
}

func (r *ring) bucket(number int64) counts {
	if number > r.newest || number <= r.newest-bucketsPerRing {
		return counts{}
	}
	return r.buckets[number%bucketsPerRing]
}
