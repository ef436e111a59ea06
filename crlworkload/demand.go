package crlworkload

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Buckets is the number of buckets into which requests are divided by their size. Callers choose the bounds.
const Buckets = 15

// demandMemory is the time constant of the exponential decay of recorded work and waits. Ten requests of the least frequent sizes at the
// design load arrive in it over all daemons, and a change of the mix shows within 2 s.
const demandMemory = 2 * time.Second

// Units of the numbers in messages about a service.
const (
	workUnit  = 0.0005 // seconds of a server for each second
	waitUnit  = 0.001  // seconds
	countUnit = 1.0 / 32
)

// flow is the recent work of a service's requests of one size, each figure for a second.
type flow struct {
	work  float64 // seconds of servers
	waits float64 // sum of the observed waits, in seconds
	count float64 // number of the observed waits
}

// vector holds the flows of a service by size.
type vector [Buckets]flow

// add adds another vector, multiplied by weight.
func (v *vector) add(other *vector, weight float64) {
	for i, f := range other {
		v[i].work += weight * f.work
		v[i].waits += weight * f.waits
		v[i].count += weight * f.count
	}
}

// recentFlows are the flows that a daemon recorded itself, as of a moment.
type recentFlows struct {
	flows vector
	at    crlclock.Instant
}

// at returns the flows decayed to a later moment.
func (r *recentFlows) decayed(now crlclock.Instant) vector {
	var result vector
	result.add(&r.flows, math.Exp(-max(now.Sub(r.at), 0).Seconds()/demandMemory.Seconds()))
	return result
}

// RecordWork records that a request of a service was sent to a server that will work on it for the given time, in seconds. A bucket out
// of range and a time that isn't positive are ignored.
func (t *Table) RecordWork(service crlid.Service, bucket int, seconds float64) {
	t.record(service, bucket, seconds, func(f *flow, perSecond float64) { f.work += seconds * perSecond })
}

// RecordWait records how long a request of a service waited for its server. A bucket out of range and a negative wait are ignored.
func (t *Table) RecordWait(service crlid.Service, bucket int, wait time.Duration) {
	t.record(service, bucket, wait.Seconds(), func(f *flow, perSecond float64) {
		f.waits += wait.Seconds() * perSecond
		f.count += perSecond
	})
}

// record applies change to the flow of a bucket. perSecond converts one occurrence to a rate.
func (t *Table) record(service crlid.Service, bucket int, value float64, change func(f *flow, perSecond float64)) {
	if bucket < 0 || bucket >= Buckets || !(value >= 0) || math.IsInf(value, 0) {
		return
	}
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	key := serviceKeyOf(service)
	recent, ok := t.flows[key]
	if !ok {
		if len(t.flows) >= maxServices {
			return
		}
		recent = &recentFlows{}
		t.flows[key] = recent
	}
	recent.flows, recent.at = recent.decayed(now), now
	change(&recent.flows[bucket], 1/demandMemory.Seconds())
}

// Demand returns the recent work of a service at all daemons by bucket, in seconds of servers for each second, and the mean wait that was
// observed in each, in seconds. Daemons that are not heard from are assumed to be like the others. age is the mean age of what other
// daemons reported; ok is false if nothing is known about the service.
func (t *Table) Demand(service crlid.Service, now crlclock.Instant) (work, wait [Buckets]float64, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := serviceKeyOf(service)
	others := t.others(now)
	var sum vector
	if recent := t.flows[key]; recent != nil {
		sum = recent.decayed(now)
	}
	if v := others.services[key]; v != nil {
		sum.add(v, 1)
	}
	scale := max(float64(t.config.Daemons()), 1) / (1 + others.daemons)
	for i, f := range sum {
		work[i] = f.work * scale
		if f.count > 0 {
			wait[i] = f.waits / f.count
		}
		ok = ok || f.work > workUnit || f.count > countUnit
	}
	return work, wait, others.meanAge(), ok
}
