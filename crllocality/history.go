package crllocality

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	tickSeconds    = 0.1
	tick           = crlclock.Instant(tickSeconds * float64(time.Second))
	historyTicks   = 256                                    // 25.6 s: a report may be 3 s old and the waits in it have begun up to a deadline earlier
	averageTicks   = int64(1.5 * fastSeconds / tickSeconds) // delay of the averages of work
	windowTicks    = 10                                     // waits of one second are used to measure how fast they grow
	minWaits       = 8                                      // a window with fewer waits is extended, up to maxWindowTicks
	maxWindowTicks = 30
	minLoad        = 1e-9 // least load from which anything is concluded, in seconds of work per second and unit of capacity
	maxAgeTicks    = 30   // older waits are not used
	minTicks       = 4    // least number of ticks with waits from which a growth is measured
)

// period is what was observed and in force during one tick.
type period struct {
	number int64 // tick since the clock's origin
	share  float64
	work   float64 // the daemon's, in seconds per second
	inside float64 // Capacity.Inside
	waits  [2]sums // by Side, of the answers that began in this tick
}

// sums are those of a number of waits in seconds.
type sums struct{ count, total float64 }

func (s *sums) add(seconds, count float64) {
	s.count += count
	s.total += seconds * count
}

// history holds the latest periods, each at its number modulo the length.
type history [historyTicks]period

// at returns the period with the number, or nil if it is not held.
func (h *history) at(number int64) *period {
	if number < 0 {
		return nil
	}
	if p := &h[number%historyTicks]; p.number == number {
		return p
	}
	return nil
}

// start overwrites the oldest period with a new one.
func (h *history) start(number int64, share, work, inside float64) {
	h[number%historyTicks] = period{number: number, share: share, work: work, inside: inside}
}

// trend describes the waits of a window.
type trend struct {
	end         int64   // newest tick with waits
	ticks       int64   // length of the window
	count       float64 // number of waits
	mean        float64 // in seconds
	meanError   float64 // standard error of mean
	last        float64 // wait at the end of the window, by linear regression, in seconds
	growth      float64 // seconds per second
	growthError float64 // standard error of growth, infinite if there are too few waits
}

// trend returns the waits of one side in the newest window that ends at most maxAgeTicks before the tick. ok is false if there
// are none. Its standard errors are those of the means of ticks, as the waits of one tick have the same queue in common.
func (h *history) trend(side Side, now int64) (t trend, ok bool) {
	end := now
	for ; end > now-maxAgeTicks; end-- {
		if p := h.at(end); p != nil && p.waits[side].count > 0 {
			break
		}
	}
	var n, x, y, xx, xy, yy float64
	ticks := 0.0
	for number := end; number > end-windowTicks || n < minWaits && number > end-maxWindowTicks; number-- {
		p := h.at(number)
		if p == nil || p.waits[side].count == 0 {
			continue
		}
		w, at := p.waits[side], float64(number-end)*tickSeconds
		t.ticks = end - number + 1
		ticks++
		n, x, xx = n+w.count, x+at*w.count, xx+at*at*w.count
		y, xy, yy = y+w.total, xy+at*w.total, yy+w.total*w.total/w.count
	}
	if n == 0 {
		return trend{}, false
	}
	t = trend{end: end, ticks: max(t.ticks, windowTicks), count: n, mean: y / n, last: y / n, meanError: y / n, growthError: math.Inf(1)}
	sxx, sxy, syy := xx-x*x/n, xy-x*y/n, max(yy-y*y/n, 0)
	if ticks > 1 {
		t.meanError = math.Sqrt(syy / (ticks - 1) / n)
	}
	if ticks >= minTicks && sxx > 0 {
		t.growth = sxy / sxx
		t.last = max(t.mean-t.growth*x/n, 0)
		t.growthError = math.Sqrt(max(syy-t.growth*sxy, 0) / (ticks - 2) / sxx)
	}
	return t, true
}

// spacing returns the mean of 1/((1-share)*load) at the times at which the waits of a window began. It is 1 divided by the load
// that the servers inside were given, and weights the ticks as the regression of the window weights the growth in them. ok is
// false if that is not known.
func (h *history) spacing(t trend, service float64, now int64) (spacing float64, ok bool) {
	weights := 0.0
	for i := range t.ticks {
		wait := max(t.last-t.growth*float64(i)*tickSeconds, 0)
		number := int64(float64(t.end-i) + 0.5 - (wait+service)/tickSeconds)
		p, load := h.at(number), h.load(number, now)
		if p == nil || load < minLoad {
			continue
		}
		weight := (float64(i) + 0.5) * (float64(t.ticks-i) - 0.5)
		weights += weight
		spacing += weight / max(1-p.share, 1/maxGrowthRatio) / load
	}
	return spacing / weights, weights > 0
}

// load returns the work for each unit of capacity inside at a tick, 0 if it is not held. As averages of the work follow a change
// late, the work is read from a later tick.
func (h *history) load(number, now int64) float64 {
	p, later := h.at(number), h.at(min(number+averageTicks, now-1))
	if p == nil || later == nil || p.inside <= 0 {
		return 0
	}
	return later.work / p.inside
}
