package crlbalance

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// BenchmarkPick measures picks from concurrent goroutines, with the number of servers of a present deployment (23)
// and of the long-term target (810).
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ servers, domains int }{{23, 3}, {810, 5}} {
		for _, prefix := range []uint64{0, 99} {
			b.Run(fmt.Sprintf("servers=%d/prefix=%v", size.servers, prefix > 0), func(b *testing.B) {
				balancer, c := New(Config{Domain: "d0", Seed: 1}), newConfiguration(size.servers, size.domains)
				b.ReportAllocs()
				b.RunParallel(func(p *testing.PB) {
					for p.Next() {
						id, _ := balancer.Pick(Request{Configuration: c, Version: version, Prefix: prefix})
						balancer.Started(id)
						balancer.Finished(Result{Server: id})
					}
				})
			})
		}
	}
}

// picker is the part of a Balancer that the simulation needs; the baseline algorithms implement it too.
type picker interface {
	pick(request Request, now time.Time) (crlid.Server, bool)
	Started(server crlid.Server)
	reported(server crlid.Server, load int, now time.Time)
	finished(result Result, now time.Time)
}

// leastOwnAttempts is the baseline that picks the server with the fewest open attempts of its own daemon. Ties go to the
// lowest name, or to a random server if random is set.
type leastOwnAttempts struct {
	open   map[crlid.Server]int
	random *rand.Rand // breaks ties if it is set
}

func (l *leastOwnAttempts) pick(request Request, _ time.Time) (best crlid.Server, ok bool) {
	ties := 0
	for _, id := range slices.Sorted(maps.Keys(request.Configuration.Servers)) {
		switch {
		case !ok || l.open[id] < l.open[best]:
			best, ok, ties = id, true, 1
		case l.open[id] == l.open[best] && l.random != nil:
			ties++
			if l.random.IntN(ties) == 0 {
				best = id
			}
		}
	}
	return best, ok
}

func (l *leastOwnAttempts) Started(id crlid.Server)             { l.open[id]++ }
func (*leastOwnAttempts) reported(crlid.Server, int, time.Time) {}
func (l *leastOwnAttempts) finished(result Result, _ time.Time) { l.open[result.Server]-- }

// roundRobin is the baseline that picks the servers in turn.
type roundRobin struct{ next int }

func (r *roundRobin) pick(request Request, _ time.Time) (crlid.Server, bool) {
	r.next++
	return crlid.Server(fmt.Sprintf("s%03d", r.next%len(request.Configuration.Servers))), true
}
func (*roundRobin) Started(crlid.Server)                  {}
func (*roundRobin) reported(crlid.Server, int, time.Time) {}
func (*roundRobin) finished(Result, time.Time)            {}

// BenchmarkHerding simulates requests of nine daemons in three domains to 21 servers, at 5% and at 40% of their warm
// limit, with loads that the servers publish twice a second. It reports the longest queue divided by the mean queue,
// sampled at each arrival: the median and the 99th percentile. Herding (daemons that all pick the same server) raises it.
func BenchmarkHerding(b *testing.B) {
	for _, kind := range []string{"balancer", "lowest-name", "least-outstanding", "round-robin"} {
		for _, percent := range []int{5, 40} {
			b.Run(fmt.Sprintf("%s/load=%d", kind, percent), func(b *testing.B) { measureHerding(b, kind, percent) })
		}
	}
}

// measureHerding reports the medians of both ratios over five seeds, and for the 99th percentile also the range.
func measureHerding(b *testing.B, kind string, percent int) {
	var medians, p99s []float64
	for b.Loop() {
		medians, p99s = nil, nil
		for seed := range uint64(5) {
			ratios := simulateHerding(kind, seed+1, percent)
			slices.Sort(ratios)
			medians, p99s = append(medians, ratios[len(ratios)/2]), append(p99s, ratios[len(ratios)*99/100])
		}
	}
	slices.Sort(medians)
	slices.Sort(p99s)
	b.ReportMetric(medians[2], "p50-max/mean")
	b.ReportMetric(p99s[2], "p99-max/mean")
	b.ReportMetric(p99s[4]-p99s[0], "p99-spread")
}

// completion is the end of one attempt, in time since the start of the simulation.
type completion struct {
	at     time.Duration
	daemon int
	server crlid.Server
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(v any)        { *c = append(*c, v.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simulateHerding returns the ratio of the longest queue to the mean queue at each arrival, without the first tenth of the
// arrivals, in which the queues fill.
func simulateHerding(kind string, seed uint64, percent int) []float64 {
	const daemons, servers, arrivals = 9, 21, 20000
	const service, publication = 4 * time.Second, 500 * time.Millisecond
	// Mean time between two arrivals at which the servers' queues are percent of their warm limits on average.
	gap := float64(service) * 100 / float64(servers*testWarmLimit*percent)
	random, c := rand.New(rand.NewPCG(seed, 2)), newConfiguration(servers, 3)
	pickers := make([]picker, daemons)
	for i := range pickers {
		pickers[i] = newPicker(kind, seed, i)
	}
	var now time.Duration
	var pending completions
	var published map[crlid.Server]int
	var publishedAt time.Duration
	load, ratios := make(map[crlid.Server]int), make([]float64, 0, arrivals)
	for range arrivals {
		now += time.Duration(random.ExpFloat64() * gap)
		for len(pending) > 0 && pending[0].at <= now {
			done := heap.Pop(&pending).(completion)
			load[done.server]--
			pickers[done.daemon].finished(Result{Server: done.server}, start.Add(done.at))
		}
		if published == nil || now-publishedAt >= publication {
			published, publishedAt = maps.Clone(load), now
		}
		d := random.IntN(daemons)
		id, _ := pickers[d].pick(Request{Configuration: c, Version: version}, start.Add(now))
		load[id]++
		pickers[d].Started(id)
		pickers[d].reported(id, published[id], start.Add(now))
		heap.Push(&pending, completion{at: now + time.Duration(random.ExpFloat64()*float64(service)), daemon: d, server: id})
		ratios = append(ratios, maxOverMean(load, c))
	}
	return ratios[arrivals/10:]
}

func newPicker(kind string, seed uint64, daemon int) picker {
	switch kind {
	case "lowest-name":
		return &leastOwnAttempts{open: make(map[crlid.Server]int)}
	case "least-outstanding":
		return &leastOwnAttempts{open: make(map[crlid.Server]int), random: rand.New(rand.NewPCG(seed, uint64(daemon)))}
	case "round-robin":
		return &roundRobin{}
	default:
		return New(Config{Domain: crlid.Domain(fmt.Sprintf("d%d", daemon%3)), Seed: seed*100 + uint64(daemon)})
	}
}

// maxOverMean returns the longest queue divided by the mean queue.
func maxOverMean(load map[crlid.Server]int, c *crlconfig.Configuration) float64 {
	longest, sum := 0, 0
	for id := range c.Servers {
		longest, sum = max(longest, load[id]), sum+load[id]
	}
	return float64(longest*len(c.Servers)) / float64(sum)
}
