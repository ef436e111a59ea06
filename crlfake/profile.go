package crlfake

import (
	"time"
)

// Profile describes how an engine slows down under load, caches prompts and reports its state. For some time after a boot
// an engine is cold, and can run fewer streams. The zero Profile has no limits, no cache and no delays.
type Profile struct {
	Batch         int           // streams generated at full speed at once, 0 for no limit
	PrefillPerKiB time.Duration // time to process each KiB of a prompt that isn't cached
	CacheBlocks   int           // capacity of the prefix cache in blocks of prefixBlockBytes, 0 for no cache
	ColdFor       time.Duration // time after a boot in which the engine is cold
	ColdLimit     int           // streams that a cold engine can run at once without being overloaded
	LoadLag       time.Duration // age of the load that the engine reports, 0 for the present load
	EventLag      time.Duration // delay until readers see a cache event
	EventGap      int           // drops each EventGap-th cache event, 0 for none
}

// Parameters of the load model.
const (
	overloadSlowdown = 10   // factor by which an overloaded cold engine is slower
	minPatientShare  = 0.05 // share of the batch that patient streams always get
	loadSamples      = 64   // retained load samples, enough for LoadLag unless more streams start or end within it
	patientPriority  = "patient"
	bytesPerKiB      = 1024
)

// loadState counts the streams that run on an engine since its boot and derives how much the load slows them down. It isn't
// safe for concurrent use.
type loadState struct {
	profile     Profile
	booted      time.Time
	interactive int          // running streams whose priority isn't patient
	patient     int          // running streams with patient priority
	samples     []loadSample // the newest last
}

// loadSample is the number of running streams from the given time until the next sample.
type loadSample struct {
	time time.Time
	load int
}

// startStream counts a new stream. It returns the number of running streams with the new one, whether the engine is cold,
// and whether it is overloaded, that is cold with more streams than its cold limit.
func (l *loadState) startStream(priority string, now time.Time) (load int, cold, overload bool) {
	l.changeStreams(priority, 1, now)
	load, cold = l.interactive+l.patient, l.isCold(now)
	return load, cold, cold && load > l.profile.ColdLimit
}

func (l *loadState) endStream(priority string, now time.Time) { l.changeStreams(priority, -1, now) }

func (l *loadState) changeStreams(priority string, change int, now time.Time) {
	if priority == patientPriority {
		l.patient += change
	} else {
		l.interactive += change
	}
	l.samples = append(l.samples, loadSample{time: now, load: l.interactive + l.patient})
	if len(l.samples) > loadSamples {
		l.samples = l.samples[1:]
	}
}

func (l *loadState) isCold(now time.Time) bool { return now.Sub(l.booted) < l.profile.ColdFor }

// reportedLoad returns the number of streams that ran LoadLag ago, 0 if no retained sample is that old.
func (l *loadState) reportedLoad(now time.Time) int {
	if l.profile.LoadLag == 0 {
		return l.interactive + l.patient
	}
	load := 0
	for _, sample := range l.samples {
		if now.Sub(sample.time) < l.profile.LoadLag {
			break
		}
		load = sample.load
	}
	return load
}

// slowdown returns the factor by which a step of a stream takes longer than on an idle engine. Beyond the batch size, the
// streams share the engine's total speed; interactive streams go first, and patient ones share what is left.
func (l *loadState) slowdown(priority string, now time.Time) float64 {
	if l.isCold(now) && l.interactive+l.patient > l.profile.ColdLimit {
		return overloadSlowdown
	}
	if l.profile.Batch == 0 {
		return 1
	}
	batch := float64(l.profile.Batch)
	if priority == patientPriority {
		available := max(batch-float64(l.interactive), batch*minPatientShare)
		return max(1, float64(l.patient)/available)
	}
	return max(1, float64(l.interactive)/batch)
}
