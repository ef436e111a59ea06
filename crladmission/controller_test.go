package crladmission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// served is how the wait of an earlier request ended.
type served struct {
	rank     int
	server   string
	wait     time.Duration
	begin    float64 // 0.1 s if not set
	unserved bool
}

func begin(c *Controller, r Request, now crlclock.Instant) *Ticket {
	t := &Ticket{}
	c.Begin(t, r, now)
	return t
}

// observe lets requests pass through a controller, each of which ends its wait at the same moment, and returns a moment after it.
func observe(c *Controller, objective time.Duration, all ...served) crlclock.Instant {
	end := crlclock.Instant(2 * time.Hour)
	for _, o := range all {
		if o.begin == 0 {
			o.begin = 0.1
		}
		t := begin(c, Request{Service: "s", Rank: o.rank, Begin: o.begin, Cost: o.begin, Objective: objective}, end.Add(-o.wait))
		c.RecordServer(t, crlid.Server(o.server))
		if o.unserved {
			c.RecordDeadline(t, end)
		} else {
			c.RecordFirstEvent(t, end)
		}
	}
	return end.Add(time.Millisecond)
}

// several returns n requests whose servers alternate.
func several(n int, o served, servers ...string) (all []served) {
	for i := range n {
		o.server = servers[i%len(servers)]
		all = append(all, o)
	}
	return all
}

// TestRequestIsRejectedForItsDeadlineOnlyOnEvidence guards against a rejection of a request that a server could serve in time, and against
// sending one that none can.
func TestRequestIsRejectedForItsDeadlineOnlyOnEvidence(t *testing.T) {
	long := served{rank: 1, wait: 9 * time.Second}
	for _, tc := range []struct {
		name     string
		earlier  []served
		age      time.Duration
		rank     int
		left     time.Duration
		rejected bool
	}{
		{"no observation", nil, 0, 1, time.Second, false},
		{"all waited for longer", several(6, long, "a", "b"), 0, 1, 8 * time.Second, true},
		{"there is time enough", several(6, long, "a", "b"), 0, 1, 10 * time.Second, false},
		{"too few", several(5, long, "a", "b"), 0, 1, 8 * time.Second, false},
		{"one slow server", several(20, long, "a"), 0, 1, 8 * time.Second, false},
		{"one was served at once", append(several(20, long, "a", "b"), served{rank: 1, server: "c"}), 0, 1, 8 * time.Second, false},
		{"old", several(6, long, "a", "b"), 4 * time.Second, 1, 8 * time.Second, false},
		{"they were less urgent", several(6, long, "a", "b"), 0, 0, 8 * time.Second, false},
		{"they were more urgent", several(6, long, "a", "b"), 0, 2, 8 * time.Second, true},
		{"they were heavier", several(6, served{rank: 1, wait: 9 * time.Second, begin: 5}, "a", "b"), 0, 1, 8 * time.Second, false},
		{"none was served", several(6, served{rank: 1, wait: 8 * time.Second, unserved: true}, "a", "b"), 0, 1, 8 * time.Second, true},
		{"none was served, but they had less time", several(6, served{rank: 1, wait: 5 * time.Second, unserved: true}, "a", "b"), 0, 1, 8 * time.Second, false},
	} {
		c := New(Config{Servers: func(crlid.Service) int { return 4 }})
		now := observe(c, 2*time.Second, tc.earlier...).Add(tc.age)
		r := Request{Service: "s", Rank: tc.rank, Begin: 0.1, Cost: 0.1, Objective: 2 * time.Second, Left: tc.left}
		if first := c.Decide(r, 0, now); first.Action != ActionSend {
			t.Errorf("%s: the first request, which is a probe, got %v", tc.name, first)
		}
		d := c.Decide(r, 0, now)
		if rejected := d.Action == ActionReject && d.Cause == CauseDeadline; rejected != tc.rejected {
			t.Errorf("%s: got %+v", tc.name, d)
		}
		if d.Action == ActionReject && (d.RetryAfter < minRetryAfter || d.RetryAfter > tc.left/3) {
			t.Errorf("%s: Retry-After %s of %s", tc.name, d.RetryAfter, tc.left)
		}
		if probe := c.Decide(r, 0, now.Add(probeInterval)); probe.Action != ActionSend {
			t.Errorf("%s: the request a second later, which is a probe, got %v", tc.name, probe)
		}
	}
}

// TestOnlyServerIsEvidenceEnough guards against requests that wait until their deadline because the single server of a service is no evidence.
func TestOnlyServerIsEvidenceEnough(t *testing.T) {
	for servers, want := range map[int]Action{1: ActionReject, 2: ActionSend} {
		c := New(Config{Servers: func(crlid.Service) int { return servers }})
		now := observe(c, time.Second, several(6, served{wait: 9 * time.Second}, "a")...)
		r := Request{Service: "s", Begin: 0.1, Cost: 0.1, Objective: time.Second, Left: 8 * time.Second}
		c.Decide(r, 0, now) // a probe
		if d := c.Decide(r, 0, now); d.Action != want {
			t.Errorf("late at one of %d servers: got %+v", servers, d)
		}
	}
}

// TestLargerModelMakesRoomForUrgentRequests guards against larger models for patient requests while urgent ones wait, and against none at all
// because of requests that are as patient, of one slow server or of a single late one.
func TestLargerModelMakesRoomForUrgentRequests(t *testing.T) {
	late, fast := served{wait: 600 * time.Millisecond}, served{wait: 100 * time.Millisecond}
	for _, tc := range []struct {
		name    string
		earlier []served
		rank    int
		allowed bool
	}{
		{"no observation", nil, 2, true},
		{"urgent ones wait", several(4, late, "a", "b"), 2, false},
		{"a quarter of the urgent ones waits", append(several(6, fast, "a", "b"), several(2, late, "a", "b")...), 2, false},
		{"few of the urgent ones wait", append(several(8, fast, "a", "b"), several(2, late, "a", "b")...), 2, true},
		{"urgent ones don't wait", several(8, fast, "a", "b"), 2, true},
		{"one slow server", several(4, late, "a"), 2, true},
		{"two observations", several(2, late, "a", "b"), 2, true},
		{"as urgent itself", several(4, late, "a", "b"), 0, true},
	} {
		c := New(Config{Servers: func(crlid.Service) int { return 4 }})
		now := observe(c, time.Second, tc.earlier...)
		if got := c.AllowsLarger("s", tc.rank, now); got != tc.allowed {
			t.Errorf("%s: got %t", tc.name, got)
		}
		if !c.AllowsLarger("s", tc.rank, now.Add(evidenceAge+time.Second)) || !c.AllowsLarger("other", tc.rank, now) {
			t.Errorf("%s: not allowed later, or for another service", tc.name)
		}
	}
}

// TestWaitingUrgentRequestsCountBeforeTheyAreServed guards against larger models for patient requests while urgent ones are stuck, so that none of
// them shows yet how long it waits.
func TestWaitingUrgentRequestsCountBeforeTheyAreServed(t *testing.T) {
	c := New(Config{Servers: func(crlid.Service) int { return 4 }})
	now := crlclock.Instant(time.Hour)
	for i := range 4 {
		c.RecordServer(begin(c, Request{Service: "s", Objective: time.Second}, now), crlid.Server(fmt.Sprint(i)))
	}
	if !c.AllowsLarger("s", 2, now.Add(400*time.Millisecond)) || c.AllowsLarger("s", 2, now.Add(600*time.Millisecond)) {
		t.Error("want a larger model until the urgent requests have waited for half of their objective")
	}
}

// TestPatientRequestIsHeldOnlyWithinItsObjective guards against a request that is held though it can't begin in time then, and against one that
// is held again and again.
func TestPatientRequestIsHeldOnlyWithinItsObjective(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		waiting               int // urgent requests
		rank                  int
		objective, expected   time.Duration
		elapsed, held, answer time.Duration
	}{
		{"two urgent ones wait", 2, 2, 4 * time.Second, 0, 0, 0, time.Second},
		{"no urgent one waits", 0, 2, 4 * time.Second, 0, 0, 0, 0},
		{"as urgent", 2, 0, 4 * time.Second, 0, 0, 0, 0},
		{"many urgent ones wait", 20, 2, 4 * time.Second, 0, 0, 0, 0},
		{"servers are expected to take long", 2, 2, 4 * time.Second, 3 * time.Second, 0, 0, 0},
		{"it has waited already", 2, 2, 4 * time.Second, 0, 1500 * time.Millisecond, 0, 0},
		{"short objective", 2, 2, time.Second, 0, 0, 0, 0},
		{"was held", 2, 2, 4 * time.Second, 0, 0, time.Second, 0},
	} {
		c := New(Config{Servers: func(crlid.Service) int { return 4 }})
		now := observe(c, time.Second, several(4, served{wait: 600 * time.Millisecond}, "a", "b")...)
		for range tc.waiting {
			begin(c, Request{Service: "s", Objective: time.Second}, now)
		}
		c.services["s"].begun[0] = meter{sum: 2 * meterTime.Seconds(), time: meterTime.Seconds(), at: now, began: true} // 2 per second
		d := c.Decide(Request{
			Service: "s", Rank: tc.rank, Begin: 0.1, Cost: 0.1, Objective: tc.objective, ExpectedWait: tc.expected, Elapsed: tc.elapsed,
			Left: time.Minute,
		}, tc.held, now)
		if (d.Action == ActionWait) != (tc.answer > 0) || (d.Wait-tc.answer).Abs() > time.Millisecond {
			t.Errorf("%s: got %+v, want a wait of %s", tc.name, d, tc.answer)
		}
	}
}

// TestCallersReturnByUrgency guards against callers who all return at once, and against patient or new ones that return before urgent ones or those
// who were rejected before.
func TestCallersReturnByUrgency(t *testing.T) {
	c := New(Config{Servers: func(crlid.Service) int { return 4 }})
	now := crlclock.Instant(time.Hour)
	for range 100 { // 10 a second
		now = now.Add(100 * time.Millisecond)
		c.RecordArrival(now)
	}
	const first, left = time.Second, time.Minute
	last := time.Duration(0)
	for i := range 50 {
		after := c.RetryAfter(uint64(i), 2, first, left, now)
		if step := after - last; i > 0 && (step < 50*time.Millisecond || step > 200*time.Millisecond) {
			t.Errorf("caller %d returns %s after the one before, want about 100ms", i, step)
		}
		last = after
	}
	urgent := c.RetryAfter(100, 0, first, left, now)
	returned, patient := c.RetryAfter(1, 2, first, left, now), c.RetryAfter(101, 2, first, left, now)
	if urgent > first+time.Second || urgent > returned || returned >= patient {
		t.Errorf("urgent caller returns after %s, one that was rejected before after %s, a new one after %s", urgent, returned, patient)
	}
	if later := c.RetryAfter(102, 2, first, left, now.Add(20*time.Second)); later > 2*time.Second {
		t.Errorf("caller who is rejected after the others have returned returns after %s", later)
	}
}

// TestRetryAfterIsWhatCallersHonour guards against times that callers ignore, whatever the events before.
func TestRetryAfterIsWhatCallersHonour(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(Config{Servers: func(crlid.Service) int { return 4 }}), crlclock.Instant(time.Hour)
		for range rapid.IntRange(0, 50).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2_000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "arrival") {
				c.RecordArrival(now)
				continue
			}
			left := time.Duration(rapid.IntRange(-1000, 60_000).Draw(t, "left")) * time.Millisecond
			first := time.Duration(rapid.IntRange(0, 2000).Draw(t, "first")) * time.Millisecond
			after := c.RetryAfter(rapid.Uint64Range(0, 20).Draw(t, "id"), rapid.IntRange(-1, 12).Draw(t, "rank"), first, left, now)
			if after < minRetryAfter || after > max(minRetryAfter, left/3) {
				t.Fatalf("Retry-After %s with %s left", after, left)
			}
		}
	})
}

// TestNothingIsRejectedWhileServersAnswerAtOnce guards against a rejection or a wait while servers have free places, whatever organisations,
// ranks and rates.
func TestNothingIsRejectedWhileServersAnswerAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(Config{Servers: func(crlid.Service) int { return 4 }}), crlclock.Instant(time.Hour)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			r := Request{
				Service: "s", Organisation: crlid.Organisation(rapid.SampledFrom([]string{"a", "a", "a", "b", ""}).Draw(t, "organisation")),
				ID: rapid.Uint64().Draw(t, "id"), Rank: rapid.IntRange(0, 9).Draw(t, "rank"), Begin: 0.1, Cost: rapid.Float64Range(0.01, 2).Draw(t, "cost"),
				Objective: time.Second, Left: 5 * time.Second,
			}
			if d := c.Decide(r, 0, now); d.Action != ActionSend {
				t.Fatalf("got %+v", d)
			}
			ticket := begin(c, r, now)
			c.RecordServer(ticket, crlid.Server(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "server")))
			c.RecordFirstEvent(ticket, now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait"))*time.Millisecond))
		}
	})
}

// TestFairLevelUsesTheWholeCapacity guards against shares that leave capacity unused, exceed it, or take from organisations that ask for less than
// their share.
func TestFairLevelUsesTheWholeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var claims []claim
		demand := 0.0
		for range rapid.IntRange(1, 40).Draw(t, "organisations") {
			c := claim{demand: rapid.Float64Range(0, 10).Draw(t, "demand"), weight: rapid.SampledFrom([]float64{0.5, 1, 1, 3}).Draw(t, "weight")}
			claims = append(claims, c)
			demand += c.demand
		}
		capacity := rapid.Float64Range(0, 100).Draw(t, "capacity")
		sortClaims(claims)
		level := computeLevel(claims, capacity)
		if level < 0 {
			if demand > capacity*(1+1e-9) {
				t.Fatalf("no limit for a demand of %f and a capacity of %f", demand, capacity)
			}
			return
		}
		used := 0.0
		for _, c := range claims {
			used += min(c.demand, level*c.weight)
		}
		if math.Abs(used-capacity) > 1e-6 {
			t.Fatalf("level %f uses %f of %f", level, used, capacity)
		}
	})
}

// TestMemoryIsBounded guards against memory that grows with the number of organisations, services or rejected requests that were ever seen.
func TestMemoryIsBounded(t *testing.T) {
	c, now := New(Config{Servers: func(crlid.Service) int { return 4 }}), crlclock.Instant(time.Hour)
	for i := range 3 * maxReturned {
		now = now.Add(time.Millisecond)
		r := Request{
			Service: crlid.Service(fmt.Sprint("s", i%(2*maxServices))), Organisation: crlid.Organisation(fmt.Sprint("o", i)), Left: time.Second,
		}
		c.Decide(r, 0, now)
		r.Service = "s0"
		c.Decide(r, 0, now)
		c.RetryAfter(uint64(i), 0, time.Second, time.Second, now)
	}
	if len(c.services) > maxServices || len(c.rejected) > maxReturned || len(c.services["s0"].shares.accounts) > maxOrganisations {
		t.Errorf("%d services, %d rejected requests, %d organisations", len(c.services), len(c.rejected), len(c.services["s0"].shares.accounts))
	}
	now = now.Add(2 * idleTime)
	c.Decide(Request{Service: "s0", Organisation: "new"}, 0, now)
	if n := len(c.services["s0"].shares.accounts); n != 1 {
		t.Errorf("%d organisations are left when all but one are idle", n)
	}
}

// TestTicketEndsOnce guards against a count of waiting requests that drifts when a request ends in two ways.
func TestTicketEndsOnce(t *testing.T) {
	c, now := New(Config{Servers: func(crlid.Service) int { return 4 }}), crlclock.Instant(time.Hour)
	var tickets []*Ticket
	for range 3 {
		tickets = append(tickets, begin(c, Request{Service: "s", Rank: 99}, now))
	}
	for i, ticket := range []*Ticket{tickets[1], tickets[1], tickets[0], tickets[2], tickets[2]} {
		c.Cancel(ticket, now)
		c.RecordFirstEvent(ticket, now)
		if want := []int{2, 2, 1, 0, 0}[i]; c.services["s"].waitingUpTo(Ranks-1) != want {
			t.Errorf("%d requests wait after end %d, want %d", c.services["s"].waitingUpTo(Ranks-1), i, want)
		}
	}
}

// BenchmarkDecide measures a decision and the records of one request under overload, with 24 organisations and 1,000 waiting requests.
func BenchmarkDecide(b *testing.B) {
	c, now := New(Config{Servers: func(crlid.Service) int { return 4 }}), crlclock.Instant(time.Hour)
	var requests [24]Request
	for i := range requests {
		requests[i] = Request{
			Service: "s", Organisation: crlid.Organisation(fmt.Sprint("o", i)), Rank: i % 3, Begin: 0.1, Cost: 0.1, Objective: time.Second,
			Left: 5 * time.Second,
		}
	}
	var waiting [1000]*Ticket
	for i := range waiting {
		waiting[i] = begin(c, requests[i%24], now)
		c.RecordServer(waiting[i], crlid.Server(fmt.Sprint(i%140)))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now = now.Add(2 * time.Millisecond)
		c.Decide(requests[i%24], 0, now)
		t := waiting[i%1000]
		c.RecordFirstEvent(t, now)
		c.Begin(t, requests[i%24], now)
		c.RecordServer(t, "s1")
		i++
	}
}
