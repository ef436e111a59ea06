package crlpartition

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// record adds requests of each size at a rate a second for some seconds, and returns the time after them.
func record(p *Partition, from crlclock.Instant, seconds int, rates map[float64]int) crlclock.Instant {
	now := from
	for range seconds {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			for size, rate := range rates {
				for range rate / 10 {
					p.Record(size, 2*size, now)
				}
			}
		}
	}
	return now
}

// TestSizesSplitTheServersByTheirWork guards against an interval of short requests that is too narrow for them, or that takes the servers of
// long ones that bring most of the work.
func TestSizesSplitTheServersByTheirWork(t *testing.T) {
	fleet := Fleet{DaemonsPerServer: 0.1, Neighbours: 8}
	for _, c := range []struct {
		name         string
		rates        map[float64]int
		from, to     float64 // of requests of 0.02 s
		fromL, toL   float64 // of requests of 0.6 s
		knownRecords bool
	}{
		{"only short requests", map[float64]int{0.02: 100}, 0, 1, 0, 1, true},
		{"light load by both", map[float64]int{0.02: 50, 0.6: 10}, 0, 0.4, 0.4, 1, true},
		{"more long prompts than servers", map[float64]int{0.02: 50, 0.6: 100}, 0, 0.4, 0.4, 1, true},
		{"nothing known", nil, 0, 1, 0, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p Partition
			now := record(&p, crlclock.Instant(time.Hour), 30, c.rates)
			short, long := p.Interval(0.02, fleet, now), p.Interval(0.6, fleet, now)
			if math.Abs(short.from-c.from) > 0.05 || math.Abs(short.to-c.to) > 0.05 {
				t.Errorf("short requests prefer %.2f to %.2f, want %.2f to %.2f", short.from, short.to, c.from, c.to)
			}
			if c.rates[0.6] > 0 && (math.Abs(long.from-c.fromL) > 0.05 || math.Abs(long.to-c.toL) > 0.05) {
				t.Errorf("long requests prefer %.2f to %.2f, want %.2f to %.2f", long.from, long.to, c.fromL, c.toL)
			}
		})
	}
}

// TestChangedMixMovesTheBoundary guards against a boundary that still follows the requests of before when the mix has changed for some seconds.
func TestChangedMixMovesTheBoundary(t *testing.T) {
	fleet := Fleet{DaemonsPerServer: 0.1, Neighbours: 8}
	var p Partition
	now := record(&p, crlclock.Instant(time.Hour), 30, map[float64]int{0.02: 20, 0.6: 10})
	before := p.Interval(0.02, fleet, now)
	now = record(&p, now, 2, map[float64]int{0.02: 200, 0.6: 10})
	after := p.Interval(0.02, fleet, now)
	if after.to < 2*before.to {
		t.Errorf("2 s after ten times the short requests their part is %.2f, was %.2f", after.to, before.to)
	}
}

// TestFewServersTakeAllSizes guards against a roll-out whose few servers of the new version all fall to requests of one size.
func TestFewServersTakeAllSizes(t *testing.T) {
	var p Partition
	now := record(&p, crlclock.Instant(time.Hour), 10, map[float64]int{0.02: 50, 0.6: 10})
	i := p.Interval(0.6, Fleet{DaemonsPerServer: 1, Neighbours: 8}, now)
	for servers := range minServerCount {
		for rank := range servers {
			if penalty := i.Penalty(Place{Rank: rank, Servers: servers}); penalty != 0 {
				t.Errorf("server %d of %d has a penalty of %.2f s, want none", rank, servers, penalty)
			}
		}
	}
}

// TestEachSizePrefersAServer guards against a size for which no server is preferred, whatever was recorded before, and against penalties that
// are negative or no numbers.
func TestEachSizePrefersAServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Partition
		now := crlclock.Instant(time.Hour)
		for range rapid.IntRange(0, 60).Draw(t, "records") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			p.Record(rapid.Float64().Draw(t, "size"), rapid.Float64().Draw(t, "work"), now)
		}
		i := p.Interval(rapid.Float64Range(0, 100).Draw(t, "size of the request"), Fleet{
			DaemonsPerServer: rapid.Float64Range(0, 50).Draw(t, "daemons"), Neighbours: rapid.Float64Range(0, 64).Draw(t, "neighbours"),
		}, now)
		servers := rapid.IntRange(1, 300).Draw(t, "servers")
		preferred := 0
		for rank := range servers {
			penalty := i.Penalty(Place{Rank: rank, Servers: servers})
			if !(penalty >= 0) || math.IsInf(penalty, 0) {
				t.Fatalf("server %d of %d has a penalty of %v s", rank, servers, penalty)
			}
			if penalty == 0 {
				preferred++
			}
		}
		if preferred == 0 {
			t.Fatalf("none of %d servers is preferred: %+v", servers, i)
		}
	})
}

func BenchmarkInterval(b *testing.B) {
	var p Partition
	now := record(&p, crlclock.Instant(time.Hour), 10, map[float64]int{0.02: 50, 0.6: 10})
	b.ReportAllocs()
	for b.Loop() {
		i := p.Interval(0.6, Fleet{DaemonsPerServer: 1, Neighbours: 8}, now)
		for rank := range 140 {
			_ = i.Penalty(Place{Rank: rank, Servers: 140})
		}
	}
}
