package crlpartition

import (
	"math"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	// BucketCount is the number of buckets of sizes. Each is twice as large as the one before; they cover 1 ms to 16 s.
	BucketCount  = 15
	smallestSize = 0.001 // upper bound of the first bucket in seconds

	maxSeconds = 3600.0 // largest size and work that are believed
	// memorySeconds is the time constant with which recorded work loses its weight. With fewer than wantedRecords it is longer by as much,
	// up to maxMemoryFactor times, as a daemon of a large fleet sends few requests of each size in that time.
	memorySeconds   = 4.0
	wantedRecords   = 32.0
	maxMemoryFactor = 8.0
	minSeconds      = 1.0 // shortest time for which a rate of work is computed
	minRecords      = 4.0 // decayed number of recorded requests below which no request prefers a server
	// lightLoad is the utilisation up to which requests that are not the largest fill their servers. Above it, they wait for each other.
	lightLoad = 0.5
	// maxShare bounds the share of what is left of the servers that one size takes from all larger ones, whatever its work.
	maxShare       = 0.6
	residualShare  = 0.5  // mean part of a prompt that is still to be read when another request arrives
	minWidth       = 0.01 // lower bound of an interval's width in estimates of its load
	minServerCount = 4    // with fewer servers, each must take requests of all sizes
	// largestWorkShare of the work belongs to the largest size, which takes all servers that are left.
	largestWorkShare = 0.001
)

// Partition holds the work of recent requests by their size. It is not safe for concurrent use.
type Partition struct {
	work      [BucketCount]float64 // in seconds of server time, decayed
	weighted  [BucketCount]float64 // work times size
	records   float64              // decayed number of recorded requests
	seconds   float64              // decayed time in which they were recorded
	decayedAt crlclock.Instant
}

// Record adds a request that was sent to a server. size is the time in seconds for which the server reads its prompt, and
// work its server time in seconds. Values that are not positive numbers, or above an hour, are ignored.
func (p *Partition) Record(size, work float64, now crlclock.Instant) {
	if !(size > 0 && size <= maxSeconds && work > 0 && work <= maxSeconds) {
		return
	}
	p.decay(now)
	b := Bucket(size)
	p.work[b] += work
	p.weighted[b] += work * size
	p.records++
}

// decay reduces the weight of the recorded work by its age.
func (p *Partition) decay(now crlclock.Instant) {
	elapsed := now.Sub(p.decayedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	memory := memorySeconds * min(max(wantedRecords/max(p.records, 1), 1), maxMemoryFactor)
	factor := math.Exp(-elapsed / memory)
	if p.decayedAt > 0 {
		p.seconds = p.seconds*factor + memory*(1-factor)
	}
	for b := range p.work {
		p.work[b] *= factor
		p.weighted[b] *= factor
	}
	p.records *= factor
	p.decayedAt = now
}

// Bucket returns the index of the bucket of a size in seconds.
func Bucket(size float64) int {
	if !(size > smallestSize) {
		return 0
	}
	return min(int(math.Ceil(math.Log2(min(size, math.MaxFloat32)/smallestSize))), BucketCount-1)
}

// Fleet describes the servers and daemons that share the requests.
type Fleet struct {
	DaemonsPerServer float64 // number of daemons, each with as much work as this one, for each server
	// Work is the recent work of all daemons by bucket, in seconds of servers for each second, and Servers their number. If Work is nil,
	// the work of this daemon stands for that of all.
	Work       *[BucketCount]float64
	Servers    int
	Neighbours float64 // number of smaller requests that a large one delays at a server that they prefer
}

// Interval returns the interval of requests of a size in seconds, which should be recorded before. Every position is preferred while too
// little is known, and by a size that was not recorded.
func (p *Partition) Interval(size float64, fleet Fleet, now crlclock.Instant) Interval {
	p.decay(now)
	i := Interval{size: size, to: 1, neighbours: max(fleet.Neighbours, 1)}
	own := Bucket(size)
	if p.records < minRecords || p.work[own] == 0 {
		return i
	}
	works, utilisation := p.work, fleet.DaemonsPerServer/max(p.seconds, minSeconds)
	if fleet.Work != nil && fleet.Servers > 0 {
		works, utilisation = *fleet.Work, 1/float64(fleet.Servers)
		works[own] = max(works[own], p.work[own]/max(p.seconds, minSeconds)) // The request itself may not have been reported yet.
	}
	total := 0.0
	for _, work := range works {
		total += work
	}
	sum, rest := 0.0, total
	for b, work := range works {
		if b == own {
			i.from = sum
		}
		if work > 0 {
			i.sizes[b] = p.meanSize(b)
			sum += width(work, rest, 1-sum, utilisation)
			rest -= work
			if rest < largestWorkShare*total {
				sum = 1
			}
		}
		i.boundaries[b] = min(sum, 1)
	}
	i.to = max(i.boundaries[own], i.from)
	return i
}

// meanSize returns the mean size in seconds of recorded requests in a bucket, or the middle of the bucket without any.
func (p *Partition) meanSize(b int) float64 {
	if p.work[b] > 0 {
		return p.weighted[b] / p.work[b]
	}
	return 0.75 * smallestSize * math.Exp2(float64(b))
}

// width returns the share of all servers for the requests of one bucket: their part of the work of these and of all larger ones, or as many
// servers as their work loads lightly, if that is more. rest is the work of both, left the share of servers that smaller ones leave, and
// utilisation that of all servers by a second of work.
func width(work, rest, left, utilisation float64) float64 {
	return max(left*work/rest, min(work*utilisation/lightLoad, left*maxShare))
}
