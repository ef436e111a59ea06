package crlfake

import (
	"time"
)

// Profile is how an engine behaves under load; the zero Profile has no limits.
type Profile struct {
	Batch         int           // Batch is the number of streams served at full speed, 0 for no bound.
	PrefillPerKiB time.Duration // PrefillPerKiB is the time per KiB of prompt that is not cached.
	CacheBlocks   int           // CacheBlocks bounds the prefix cache, 0 for none.
	ColdFor       time.Duration // ColdFor is the length of a cold start, 0 for none.
	ColdLimit     int           // ColdLimit is the number of streams that a cold engine bears.
	LoadLag       time.Duration // LoadLag is the age of the reported load.
	EventLag      time.Duration // EventLag is the age of a cache event when it is published.
	EventGap      int           // EventGap loses every nth cache event, 0 none.
}

// Bounds of the model.
const (
	overloadSlowdown = 10   // overloadSlowdown is how much slower an overloaded cold engine generates.
	minPatientShare  = 0.05 // minPatientShare is the part of the batch that patient streams keep.
	loadSamples      = 64
	patientPriority  = "patient"
	bytesPerKiB      = 1024
)

// pace holds the streams that run on an engine and tells how fast it generates.
type loadState struct {
	profile     Profile
	booted      time.Time
	interactive int
	patient     int
	samples     []loadSample
}

// loadSample is the number of streams from a moment on.
type loadSample struct {
	time time.Time
	load int
}

// enter counts a stream and reports the load with it and whether a cold engine bears it.
func (p *loadState) startStream(priority string, now time.Time) (load int, cold, overload bool) {
	p.changeStreams(priority, 1, now)
	load, cold = p.interactive+p.patient, p.isCold(now)
	return load, cold, cold && load > p.profile.ColdLimit
}

func (p *loadState) endStream(priority string, now time.Time) { p.changeStreams(priority, -1, now) }

func (p *loadState) changeStreams(priority string, change int, now time.Time) {
	if priority == patientPriority {
		p.patient += change
	} else {
		p.interactive += change
	}
	p.samples = append(p.samples, loadSample{time: now, load: p.interactive + p.patient})
	if len(p.samples) > loadSamples {
		p.samples = p.samples[1:]
	}
}

func (p *loadState) isCold(now time.Time) bool { return now.Sub(p.booted) < p.profile.ColdFor }

// reported returns the load as it was one lag ago.
func (p *loadState) reportedLoad(now time.Time) int {
	if p.profile.LoadLag == 0 {
		return p.interactive + p.patient
	}
	load := 0
	for _, s := range p.samples {
		if now.Sub(s.time) < p.profile.LoadLag {
			break
		}
		load = s.load
	}
	return load
}

// slowdown returns how many times longer a step takes than on an idle engine.
// Above the knee the batch's rate is shared, interactive streams first.
func (p *loadState) slowdown(priority string, now time.Time) float64 {
	if p.isCold(now) && p.interactive+p.patient > p.profile.ColdLimit {
		return overloadSlowdown
	}
	if p.profile.Batch == 0 {
		return 1
	}
	batch := float64(p.profile.Batch)
	if priority == patientPriority {
		room := max(batch-float64(p.interactive), batch*minPatientShare)
		return max(1, float64(p.patient)/room)
	}
	return max(1, float64(p.interactive)/batch)
}
