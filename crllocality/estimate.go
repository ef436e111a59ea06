package crllocality

import "math"

// estimate corrects inverse and benefit by the waits that have arrived since the last tick.
func (p *Policy) estimate(load float64) {
	inside, ok := p.history.trend(SideInside, p.now)
	if !ok {
		return
	}
	outside, _ := p.history.trend(SideOutside, p.now)
	p.waits = [2]trend{inside, outside}
	if inside.end <= p.newest {
		return
	}
	elapsed := float64(min(inside.end-p.newest, windowTicks)) * tickSeconds
	p.newest = inside.end
	p.compare(p.pressure(load), elapsed)
	spacing, ok := p.history.spacing(inside, p.service, p.now)
	if !ok {
		return
	}
	if inside.mean <= p.cost+2*inside.meanError {
		p.relax(inside, spacing, elapsed)
		return
	}
	p.quiet = 0
	if math.IsInf(inside.growthError, 1) {
		return
	}
	low, high := ratio(inside.growth-inside.growthError)*spacing, ratio(inside.growth+inside.growthError)*spacing
	if inside.last <= 2*p.cost {
		low = 0 // servers may have been idle at times, so that they may be able to do more
	}
	if changed := p.inverse < low-(high-low) || p.inverse > high+(high-low); changed || p.share == 0 {
		p.gain = maxGain
	}
	p.inverse += p.gain * (min(max(p.inverse, low), high) - p.inverse)
	p.gain = max(p.gain*gainDecay, minGain)
}

// ratio returns the work given to servers relative to what they can do, from the growth of the wait between answers. Answers that
// begin now were sent a wait earlier, so a growth of g between answers is one of g/(1-g) between sends.
func ratio(growth float64) float64 {
	if growth >= 1-1/maxGrowthRatio {
		return maxGrowthRatio
	}
	return 1 / (1 - growth)
}

// relax applies that no queue is seen: the servers can do what they were given, and perhaps more.
func (p *Policy) relax(inside trend, spacing, elapsed float64) {
	if inside.count < minTicks {
		return
	}
	p.inverse = min(p.inverse, spacing)
	if p.share == 0 {
		p.quiet = 0
		p.inverse *= 1 - elapsed/forgetSeconds
		return
	}
	p.quiet += elapsed
	p.inverse *= 1 - min(probeRate*math.Exp2(p.quiet/probeDoubling), maxProbeRate)*elapsed
}

// compare adjusts the benefit to the waits on both sides. While the waits outside are short, it doesn't fall: those inside are
// short because work leaves.
func (p *Policy) compare(pressure, elapsed float64) {
	in, out := p.waits[SideInside], p.waits[SideOutside]
	if in.mean <= p.cost+2*in.meanError {
		return
	}
	gain := (in.mean-out.mean-p.cost)/(in.mean+out.mean+p.cost) - minBenefit
	significant := in.mean-out.mean-p.cost > 2*math.Hypot(in.meanError, out.meanError)
	outsideShort := out.mean > p.cost+2*out.meanError
	switch {
	case gain > 0 && significant && outsideShort:
		p.benefit += slowBenefit * gain * elapsed
	case gain > 0 && significant:
		p.benefit += fastBenefit * gain * elapsed
	case gain < 0 && outsideShort:
		p.benefit += slowBenefit * gain * elapsed
	case pressure < 1:
		p.benefit -= slowBenefit * elapsed
	}
	p.benefit = min(max(p.benefit, 0), 1)
}

// target returns the share at which the domain's servers are given what they can do, less what works off their queue.
func (p *Policy) target(load float64) float64 {
	pressure := p.pressure(load)
	if pressure <= 0 || p.capacity.Outside <= 0 {
		return 0
	}
	drain := min(p.backlog(load)/drainSeconds/pressure, p.config.Drain)
	return min(max(1-1/pressure+drain, 0), 1) * p.benefit
}

// backlog returns the wait inside, in seconds beyond that outside and the cost. It continues the latest known wait by the shares and
// loads since, as the estimate says that they changed it.
func (p *Policy) backlog(load float64) float64 {
	in := p.waits[SideInside]
	wait := in.last
	for number := in.end + 1; number < p.now; number++ {
		if h := p.history.at(number); h != nil {
			wait = max(wait+((1-h.share)*p.pressure(p.history.load(number, p.now))-1)*tickSeconds, 0)
		}
	}
	wait += ((1-p.share)*p.pressure(load) - 1) * tickSeconds
	return max(wait-p.waits[SideOutside].last-p.cost, 0)
}
