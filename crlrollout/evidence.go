package crlrollout

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go run github.com/dmarkham/enumer -type=Measure -trimprefix=Measure -transform=kebab -text -output=measure_enumer.go

// Measure is a property of an answer in which two versions of a service are compared.
type Measure int

// The measures of an answer.
const (
	MeasureFailure   Measure = iota // 1 if the send failed, otherwise 0
	MeasureFirstByte                // time to the first byte as a multiple of the expected one
	MeasurePace                     // mean time between the first events of a stream, in seconds
	MeasureDuration                 // time to the end of an answer, or to one of the first events of a stream, in seconds
	measureCount
)

// Class names requests whose answers are comparable, such as those of one route to one model.
type Class string

// Observation is one measure of one answer of a backend server.
type Observation struct {
	Service crlid.Service
	Version crlid.Version
	Group   int // group of the target's servers that the server belongs to; see ServerGroups
	Class   Class
	Measure Measure
	Value   float64
}

// ServerGroups is the number of groups into which the target's servers are divided. A target is marked bad only if its servers are
// slow or fail in more than one of them, as a single server may be slow or fail whatever its version.
const ServerGroups = 8

// Sample is an Observation in compact form. Daemons exchange samples.
type Sample uint64

// Layout of a Sample, from the lowest bit.
const (
	bucketBits  = 7
	groupBits   = 3
	targetBits  = 1
	measureBits = 2
	classBits   = 32 // A Sample has 45 bits, so JSON numbers hold it exactly.

	groupShift   = bucketBits
	targetShift  = groupShift + groupBits
	measureShift = targetShift + targetBits
	classShift   = measureShift + measureBits

	sampleBuckets = 1 << bucketBits
)

// Values are put into buckets whose bounds grow by a quarter of a power of two.
const (
	bucketsPerDoubling = 4
	lowestExponent     = -12 // the first bucket ends at 2^-12: a quarter of a millisecond for a pace
)

// newSample returns the sample of an observation. target is set if the observation is of the target's answer.
func newSample(o Observation, target bool) Sample {
	s := xxhash.Sum64String(string(o.Class))&(1<<classBits-1)<<classShift | uint64(o.Measure)<<measureShift |
		uint64(o.Group%ServerGroups)<<groupShift | uint64(bucketOf(o))
	if target {
		s |= 1 << targetShift
	}
	return Sample(s)
}

// bucketOf returns the bucket of an observation's value.
func bucketOf(o Observation) int {
	if o.Measure == MeasureFailure {
		return min(max(int(o.Value), 0), 1)
	}
	if o.Value <= 0 {
		return 0
	}
	return min(max(int(math.Floor(bucketsPerDoubling*(math.Log2(o.Value)-lowestExponent))), 0), sampleBuckets-1)
}

func (s Sample) bucket() int   { return int(s & (sampleBuckets - 1)) }
func (s Sample) group() int    { return int(s >> groupShift & (ServerGroups - 1)) }
func (s Sample) target() bool  { return s>>targetShift&1 == 1 }
func (s Sample) key() classKey { return classKey(s >> measureShift) }

// classKey identifies a class and a measure.
type classKey uint64

func (k classKey) measure() Measure { return Measure(k & (1<<measureBits - 1)) }

// allClasses returns the key under which the samples of all classes are taken together. The hash of a class is hardly ever 0; a
// class with that hash would only be assessed twice.
func (k classKey) allClasses() classKey { return k & (1<<measureBits - 1) }

const (
	// maxTargetSamples is the number of one daemon's samples of the target that are kept for other daemons. It exceeds what a daemon
	// observes before the assessment reaches a verdict.
	maxTargetSamples = 512
	// maxOldSamples is the number of one daemon's samples of other versions that are kept for other daemons.
	maxOldSamples = 64
	// maxReportSamples bounds the samples of one daemon in one report, whose part of it is then about 2 KB.
	maxReportSamples = 128
)

// sampleLog keeps the newest samples of one daemon, its origin, which numbers them from 1.
type sampleLog struct {
	newest  int64 // number of the newest sample
	samples []numberedSample
	kept    [2]int // number of kept samples of other versions, and of the target
}

type numberedSample struct {
	number int64
	sample Sample
}

// add appends a sample and drops the oldest of its kind if there are too many.
func (l *sampleLog) add(number int64, s Sample) {
	l.newest = number
	l.samples = append(l.samples, numberedSample{number: number, sample: s})
	kind, limit := 0, maxOldSamples
	if s.target() {
		kind, limit = 1, maxTargetSamples
	}
	if l.kept[kind]++; l.kept[kind] <= limit {
		return
	}
	l.kept[kind]--
	for i, other := range l.samples {
		if other.sample.target() == s.target() {
			l.samples = append(l.samples[:i], l.samples[i+1:]...)
			return
		}
	}
}

// after returns up to maxReportSamples of the oldest samples after a number, and the number up to which they are complete.
func (l *sampleLog) after(number int64) (samples []Sample, upTo int64) {
	upTo = number
	for _, s := range l.samples {
		if s.number <= number {
			continue
		}
		if len(samples) == maxReportSamples {
			return samples, upTo
		}
		samples, upTo = append(samples, s.sample), s.number
	}
	return samples, max(l.newest, upTo)
}
