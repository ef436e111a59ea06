package crlfleet

import (
	"math"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpartition"
)

const (
	// observedWaitSeconds is the time constant with which an observed wait loses its weight: a queue changes within seconds.
	observedWaitSeconds = 2.0
	segmentCount        = 8 // parts of the order of servers for each of which waits are averaged
)

// segmentWait holds what this daemon's sends to the servers of one segment showed about waits.
type segmentWait struct {
	observed   average // time to the first byte beyond the expected one, in seconds
	observedAt crlclock.Instant
	unanswered int     // number of sends whose answers have not begun
	pickedSum  float64 // sum of the times at which these were picked, in seconds
}

// segment returns the index of the segment that a place belongs to.
func segment(p crlpartition.Place) int {
	if p.Servers == 0 {
		return 0
	}
	return p.Rank * segmentCount / p.Servers
}

func (w *segmentWait) begin(now crlclock.Instant) {
	w.unanswered++
	w.pickedSum += inSeconds(now)
}

func (w *segmentWait) end(pickedAt crlclock.Instant) {
	w.unanswered--
	w.pickedSum -= inSeconds(pickedAt)
}

func inSeconds(t crlclock.Instant) float64 { return time.Duration(t).Seconds() }

func (w *segmentWait) record(wait time.Duration, now crlclock.Instant) {
	w.observed.add(wait.Seconds())
	w.observedAt = now
}

// expected returns the wait in seconds that observations and open sends let expect.
func (w *segmentWait) expected(now crlclock.Instant) float64 {
	wait := 0.0
	if w.observed.weight > 0 {
		wait = w.observed.mean(0) * math.Exp(-now.Sub(w.observedAt).Seconds()/observedWaitSeconds)
	}
	if w.unanswered > 1 {
		wait = max(wait, inSeconds(now)-w.pickedSum/float64(w.unanswered))
	}
	return wait
}

// sizeBacklog holds this daemon's sends of requests of similar size whose answers have not begun.
type sizeBacklog struct {
	unansweredWork float64 // in seconds of an unloaded server
	unanswered     int
}

// backlog returns the backlog of requests whose prompt takes a number of seconds.
func (l *serviceLoad) backlog(size float64) *sizeBacklog { return &l.bySize[crlpartition.Bucket(size)] }

func (w *sizeBacklog) begin(work float64) {
	w.unansweredWork += work
	w.unanswered++
}

func (w *sizeBacklog) end(work float64) {
	w.unanswered--
	w.unansweredWork -= work
	if w.unanswered == 0 {
		w.unansweredWork = 0
	}
}

// unansweredWorkLowerBound returns the work of sends without an answer, less the part for twice the standard deviation of
// their number: a few sends of one daemon say nothing about the other daemons.
func (w *sizeBacklog) unansweredWorkLowerBound() float64 {
	if w.unanswered == 0 {
		return 0
	}
	return w.unansweredWork * max(0, 1-2/math.Sqrt(float64(w.unanswered)))
}

// ExpectedWait estimates how much later than on unloaded servers the answers to a service's requests of a size begin now. size is
// the time in seconds for which an unloaded server reads the prompt. The estimate is the shortest of the waits that this daemon
// observed lately at servers of a segment, with the penalty there, or the time that the servers need for all such sends without an answer, whichever is longer.
// Every daemon is assumed to have as many such sends as this one.
func (f *Fleet) ExpectedWait(service crlid.Service, size float64) time.Duration {
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.serviceLoad(service)
	if !f.IsLarge() {
		return f.expectedWaitOfAll(service, l)
	}
	f.updatePlaces(service, now)
	interval := f.interval(l, service, size, now)
	servers, wait := 0, math.Inf(1)
	var waits [segmentCount]float64
	for i := range waits {
		waits[i] = l.segments[i].expected(now)
	}
	for _, s := range f.services[service] {
		if f.inService(s) {
			servers++
			wait = min(wait, waits[s.segment]+interval.Penalty(s.place))
		}
	}
	if servers == 0 {
		wait = 0
	}
	backlog := l.backlog(size).unansweredWorkLowerBound() * float64(f.config.Daemons()) / max(float64(servers)*interval.Width(), 1)
	return time.Duration(max(wait, backlog) * float64(time.Second))
}

// expectedWaitOfAll estimates the same for requests of all sizes together.
func (f *Fleet) expectedWaitOfAll(service crlid.Service, l *serviceLoad) time.Duration {
	servers := 0
	for _, s := range f.services[service] {
		if f.inService(s) {
			servers++
		}
	}
	var all sizeBacklog
	for _, b := range l.bySize {
		all.unanswered += b.unanswered
		all.unansweredWork += b.unansweredWork
	}
	backlog := all.unansweredWorkLowerBound() * float64(f.config.Daemons()) / float64(max(servers, 1))
	return time.Duration(max(l.excessWait.mean(0), backlog) * float64(time.Second))
}

// LargeFleet is the number of daemons from which each one sends so small a part of the requests that its own sends say little about a
// server's load. Smaller fleets decide by their own sends alone.
const LargeFleet = 24

// IsLarge reports whether the fleet has LargeFleet daemons.
func (f *Fleet) IsLarge() bool { return f.config.Daemons() >= LargeFleet }

// interval returns the interval of requests of a size, which prefer all servers in a small fleet.
func (f *Fleet) interval(l *serviceLoad, service crlid.Service, size float64, now crlclock.Instant) crlpartition.Interval {
	if !f.IsLarge() {
		return crlpartition.Interval{}
	}
	return l.partition.Interval(size, f.partitionFleet(l, service), now)
}

// slotsPerNeighbour is the number of slots of a server for each request that it runs at a moderate load.
const slotsPerNeighbour = 4

// partitionFleet describes a service's servers and the daemons to its partition.
func (f *Fleet) partitionFleet(l *serviceLoad, service crlid.Service) crlpartition.Fleet {
	servers := f.services[service]
	fleet := crlpartition.Fleet{DaemonsPerServer: float64(f.config.Daemons()) / float64(max(len(servers), 1)), Servers: len(servers)}
	if r := &l.remote; r.hasDemand {
		fleet.Work = &r.demand
	}
	if len(servers) > 0 {
		fleet.Neighbours = float64(servers[0].entry.Slots) / slotsPerNeighbour
	}
	return fleet
}
