package crllocality

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const start = crlclock.Instant(time.Hour)

// TestCost guards against a default that differs from the fixed cost of earlier versions, and against parts of the cost that are
// left out or let it decrease.
func TestCost(t *testing.T) {
	for _, c := range []struct {
		name    string
		config  Config
		request Request
		want    time.Duration
	}{
		{"default", Config{}, Request{Work: 1, Bytes: 1e9}, 30 * time.Millisecond},
		{"slow link", Config{RoundTrip: 200 * time.Millisecond}, Request{}, 200 * time.Millisecond},
		{"bytes", Config{SecondsPerMegabyte: 0.5}, Request{Bytes: 200_000}, 130 * time.Millisecond},
		{"shared part", Config{}, Request{Reread: 100 * time.Millisecond}, 130 * time.Millisecond},
		{"negative values", Config{SecondsPerMegabyte: -1}, Request{Bytes: 1e6, Reread: -time.Second}, 30 * time.Millisecond},
		{"negative bytes", Config{SecondsPerMegabyte: 1}, Request{Bytes: -1e6}, 30 * time.Millisecond},
	} {
		if got := New(c.config).Cost(c.request); got != c.want {
			t.Errorf("%s: cost %v, want %v", c.name, got, c.want)
		}
	}
}

// TestCostStaysBelowBarrier guards against a request whose bytes are dearer than the bar between sides.
func TestCostStaysBelowBarrier(t *testing.T) {
	if cost := New(Config{SecondsPerMegabyte: 1e30}).Cost(Request{Bytes: math.MaxInt64}); cost <= 0 || cost >= Barrier {
		t.Errorf("cost %v, want less than %v", cost, Barrier)
	}
}

// TestImpossibleRequestsDontStopTheShare guards against one request with impossible estimates after which no request leaves the domain any more, or
// whose cost is negative.
func TestImpossibleRequestsDontStopTheShare(t *testing.T) {
	for _, r := range []Request{{Work: math.NaN()}, {Work: math.Inf(1)}, {Work: math.Inf(-1)}, {Work: 1, Reread: math.MaxInt64}} {
		p := New(Config{Random: rand.New(rand.NewPCG(1, 2)).Float64})
		p.SetCapacity(Capacity{Inside: 4, Outside: 8}, start)
		p.share = 0.5
		if cost := p.Choose(r, start).Cost; cost <= 0 || cost >= Barrier {
			t.Errorf("%+v costs %v, want more than 0 and less than %v", r, cost, Barrier)
		}
		outside := 0
		for range 1000 {
			if c := p.Choose(Request{Work: 0.1}, start); c.Bound && c.Side == SideOutside {
				outside++
			}
		}
		if outside < 400 || outside > 600 || math.IsNaN(p.sent) {
			t.Errorf("after %+v, %d of 1000 requests leave, want about 500; the average work is %v", r, outside, p.sent)
		}
	}
}

// TestChoiceWithoutShortage guards against a choice that differs from earlier versions while nothing is short: the policy adds the
// fixed cost to servers elsewhere and binds no request.
func TestChoiceWithoutShortage(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity Capacity
	}{
		{"cold daemon", Capacity{}},
		{"servers on both sides", Capacity{Inside: 4, Outside: 8}},
		{"none inside", Capacity{Outside: 8}},
		{"alone", Capacity{Inside: 4}},
	} {
		p := New(Config{Random: rand.Float64})
		p.SetCapacity(c.capacity, start)
		for i := range 200 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			p.ObserveSend(SideInside, 0.1, now)
			p.ObserveFirstByte(SideInside, 120*time.Millisecond, 100*time.Millisecond, now)
			choice := p.Choose(Request{Work: 0.1}, now)
			if choice.Penalty(SideInside) != 0 || choice.Penalty(SideOutside) != DefaultRoundTrip {
				t.Fatalf("%s: choice %+v, want only the fixed cost", c.name, choice)
			}
		}
	}
}

// TestStatusNamesTheCause guards against operators who can't see why work leaves.
func TestStatusNamesTheCause(t *testing.T) {
	for _, c := range []struct {
		capacity Capacity
		share    float64
		benefit  float64
		want     Cause
	}{
		{Capacity{Inside: 1, Outside: 1}, 0, 0, CauseEnough},
		{Capacity{Inside: 1, Outside: 1}, 0.2, 1, CauseShort},
		{Capacity{Inside: 1, Outside: 1}, 0.2, 0.5, CauseBothShort},
		{Capacity{Outside: 1}, 0, 0, CauseNoServerInside},
		{Capacity{Inside: 1}, 0.2, 1, CauseNoServerOutside},
	} {
		p := New(Config{})
		p.SetCapacity(c.capacity, start)
		p.share, p.benefit = c.share, c.benefit
		if got := p.Status(start).Cause; got != c.want {
			t.Errorf("capacity %+v, share %.1f, benefit %.1f: cause %v, want %v", c.capacity, c.share, c.benefit, got, c.want)
		}
	}
}

// TestCheapRequestsLeaveMoreOften guards against requests with large answers that leave as often as others, and against a total
// that then differs from the share.
func TestCheapRequestsLeaveMoreOften(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := New(Config{SecondsPerMegabyte: 1, Random: random.Float64})
	p.SetCapacity(Capacity{Inside: 1, Outside: 1}, start)
	var left, all [2]float64
	for range 40_000 {
		p.share = 0.3
		kind := random.IntN(2)
		all[kind]++
		if p.Choose(Request{Work: 1, Bytes: int64(kind) * 200_000}, start).Side == SideOutside {
			left[kind]++
		}
	}
	total := (left[0] + left[1]) / (all[0] + all[1])
	if cheap, dear := left[0]/all[0], left[1]/all[1]; cheap < 1.5*dear || math.Abs(total-0.3) > 0.02 {
		t.Errorf("%.3f of the cheap requests and %.3f of the others left, %.3f of all; want 0.3 of all", cheap, dear, total)
	}
}

// TestReportsAreChecked guards against reports without a time, from the future, from long ago or with implausible values.
func TestReportsAreChecked(t *testing.T) {
	for name, w := range map[string]Waits{
		"no time":  {Inside: time.Hour, InsideCount: 100},
		"future":   {Inside: time.Hour, InsideCount: 100, At: start.Add(time.Second)},
		"old":      {Inside: time.Hour, InsideCount: 100, At: start.Add(-time.Minute)},
		"negative": {Inside: -time.Hour, InsideCount: 100, At: start},
		"count":    {Inside: time.Hour, InsideCount: -100, At: start},
	} {
		p := New(Config{Random: rand.Float64})
		p.SetCapacity(Capacity{Inside: 1, Outside: 1}, start)
		p.ObserveReport(w, start)
		if p.queued() {
			t.Errorf("%s: report %+v was used", name, w)
		}
	}
}

// TestShareIsBounded guards against any sequence of observations, however implausible, that leads to a share outside 0 to 1, to one
// that moves faster than its steps allow while there are servers on both sides, or to a panic.
func TestShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{Random: rand.Float64})
		now := start
		p.SetCapacity(Capacity{Inside: 3, Outside: 6}, now)
		p.share, p.benefit = rapid.Float64Range(0, 1).Draw(t, "share"), rapid.Float64Range(0, 1).Draw(t, "benefit")
		p.inverse = rapid.Float64Range(0, 1e9).Draw(t, "inverse")
		share := p.share
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			side := Side(rapid.IntRange(0, 1).Draw(t, "side"))
			wait := time.Duration(rapid.Int64().Draw(t, "wait"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				p.ObserveFirstByte(side, wait, time.Duration(rapid.Int64().Draw(t, "expected")), now)
			case 1:
				p.ObserveFirstByte(side, wait%time.Second, 0, now)
			case 2:
				p.ObserveSend(side, rapid.Float64().Draw(t, "work"), now)
			case 3:
				count := rapid.Int().Draw(t, "count")
				p.ObserveReport(Waits{Inside: wait, Outside: -wait, InsideCount: count, OutsideCount: count, At: now - crlclock.Instant(wait)}, now)
			case 4:
				p.SetCapacity(Capacity{Inside: rapid.Float64Range(0.001, 1e6).Draw(t, "inside"), Outside: 1}, now)
			default:
				p.Choose(Request{Work: rapid.Float64().Draw(t, "work"), Bytes: rapid.Int64().Draw(t, "bytes"), Reread: wait}, now)
			}
			passed := time.Duration(rapid.IntRange(0, 400).Draw(t, "passed")) * time.Millisecond
			now = now.Add(passed)
			next := p.Share(now)
			if limit := 0.5 * (passed.Seconds() + 2*tickSeconds); !(next >= 0 && next <= 1) || math.Abs(next-share) > limit {
				t.Fatalf("share moved from %v to %v in %v", share, next, passed)
			}
			share = next
			if p.Status(now).Pressure < 0 {
				t.Fatalf("status %+v", p.Status(now))
			}
		}
	})
}

// BenchmarkRequest measures what the policy adds to one request: a choice, a send and a first byte, at 100 requests a second.
func BenchmarkRequest(b *testing.B) {
	p := New(Config{Random: rand.Float64})
	now := start
	p.SetCapacity(Capacity{Inside: 50, Outside: 90}, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		choice := p.Choose(Request{Work: 0.1, Bytes: 1000}, now)
		p.ObserveSend(choice.Side, 0.1, now)
		p.ObserveFirstByte(choice.Side, 300*time.Millisecond, 100*time.Millisecond, now)
	}
}
