package crladmission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// flow is a part of the load of a simulated fleet.
type flow struct {
	organisation        string
	rank                int
	rate                float64 // requests per second in the fleet
	begin               float64 // seconds of a server until the answer begins
	objective, deadline time.Duration
	from, to            time.Duration // zero to means until the end
	ignores             bool          // whether rejected callers return after 50 ms, again and again, whatever they are told
}

// caller is one request of a flow, which its caller sends again once after a rejection.
type caller struct {
	flow    *flow
	id      uint64
	arrived time.Duration
	tries   int
	request Request
	ticket  Ticket
	router  *Controller
	tally   *tally // of its flow in the second of its arrival
}

// tally counts the requests of a flow by how they ended, and those that were rejected at least once.
type tally struct{ all, inTime, late, refused, expired, rejections int }

// simulation is a fleet of routers in front of servers that serve one request at a time, by rank and arrival. Time advances in ticks.
type simulation struct {
	routers  []*Controller
	servers  [][]*caller // waiting callers of each server; the first one is being served
	left     []float64   // seconds left of each server's first caller
	down     func(server int, now time.Duration) bool
	flows    []flow
	seconds  [][]tally // by flow and second of the first arrival
	pending  map[time.Duration][]*caller
	random   *rand.Rand
	disabled bool                         // whether the routers send everything
	outage   func(now time.Duration) bool // whether the routers have no confirmed configuration
	together bool                         // whether all callers that are rejected in an outage return after 1 s
}

const tick = 5 * time.Millisecond

func newSimulation(routers, servers int, flows ...flow) *simulation {
	s := &simulation{
		servers: make([][]*caller, servers), left: make([]float64, servers), flows: flows, seconds: make([][]tally, len(flows)),
		pending: make(map[time.Duration][]*caller), random: rand.New(rand.NewPCG(7, uint64(routers))), down: func(int, time.Duration) bool { return false },
		outage: func(time.Duration) bool { return false },
	}
	for range routers {
		s.routers = append(s.routers, New(Config{Servers: func(crlid.Service) int { return servers }}))
	}
	return s
}

func instant(now time.Duration) crlclock.Instant { return crlclock.Instant(time.Hour + now) }

func (s *simulation) run(length time.Duration) {
	for i := range s.seconds {
		s.seconds[i] = make([]tally, int(length/time.Second)+1)
	}
	for now := time.Duration(0); now < length; now += tick {
		for i := range s.flows {
			f := &s.flows[i]
			if now < f.from || f.to > 0 && now >= f.to {
				continue
			}
			for expected := f.rate * tick.Seconds(); s.random.Float64() < expected; expected-- {
				c := &caller{flow: f, id: s.random.Uint64(), arrived: now, tally: &s.seconds[i][now/time.Second]}
				c.tally.all++
				s.arrive(c, now)
			}
		}
		for _, c := range s.pending[now] {
			s.arrive(c, now)
		}
		delete(s.pending, now)
		for i := range s.servers {
			s.serve(i, now)
		}
	}
}

func (s *simulation) arrive(c *caller, now time.Duration) {
	f := c.flow
	c.router = s.routers[s.random.IntN(len(s.routers))]
	c.request = Request{
		Service: "draft", Organisation: crlid.Organisation(f.organisation), ID: c.id, Rank: f.rank, Begin: f.begin, Cost: f.begin,
		Objective: f.objective, Elapsed: now - c.arrived, Left: f.deadline - (now - c.arrived),
	}
	if c.request.Left <= 0 {
		c.tally.refused++
		return
	}
	if s.outage(now) {
		after := c.router.RetryAfter(c.id, f.rank, time.Second, c.request.Left, instant(now))
		if s.together {
			after = time.Second
		}
		c.tally.rejections++
		s.reject(c, after, now)
		return
	}
	c.router.RecordArrival(instant(now))
	d := Decision{}
	if !s.disabled {
		d = c.router.Decide(c.request, 0, instant(now))
	}
	switch d.Action {
	case ActionReject:
		c.tally.rejections++
		s.reject(c, d.RetryAfter, now)
	case ActionWait, ActionSend:
		s.send(c, now) // The wait is left out: servers serve urgent requests first anyway.
	}
}

func (s *simulation) reject(c *caller, after, now time.Duration) {
	c.tries++
	if f := c.flow; f.ignores {
		after = 50 * time.Millisecond
	} else if c.tries > 1 {
		c.tally.refused++
		return
	}
	at := now + after.Truncate(tick) + tick
	s.pending[at] = append(s.pending[at], c)
}

// send adds the caller to the shorter of two queues, behind the waiting callers of its rank.
func (s *simulation) send(c *caller, now time.Duration) {
	c.router.Begin(&c.ticket, c.request, instant(now))
	best := -1
	for tried := 0; tried < 4; {
		i := s.random.IntN(len(s.servers))
		if s.down(i, now) {
			continue
		}
		tried++
		if best < 0 || len(s.servers[i]) < len(s.servers[best]) {
			best = i
		}
	}
	c.router.RecordServer(&c.ticket, crlid.Server(fmt.Sprint("s", best)))
	queue := s.servers[best]
	at := len(queue)
	for at > 1 && queue[at-1].flow.rank > c.flow.rank {
		at--
	}
	if at == 0 {
		s.left[best] = c.flow.begin
	}
	s.servers[best] = slices.Insert(queue, at, c)
}

func (s *simulation) serve(i int, now time.Duration) {
	if s.down(i, now) {
		return
	}
	for s.left[i] -= tick.Seconds(); len(s.servers[i]) > 0; {
		c := s.servers[i][0]
		at := instant(now)
		switch elapsed := now - c.arrived; {
		case elapsed >= c.flow.deadline: // It is given up at no cost.
			c.router.RecordDeadline(&c.ticket, at)
			c.tally.expired++
		case s.left[i] > 0:
			return
		default:
			c.router.RecordFirstEvent(&c.ticket, at)
			if elapsed <= c.flow.objective {
				c.tally.inTime++
			} else {
				c.tally.late++
			}
		}
		s.servers[i] = s.servers[i][1:]
		if len(s.servers[i]) > 0 {
			s.left[i] = max(s.left[i], -tick.Seconds()) + s.servers[i][0].flow.begin
		}
	}
	s.left[i] = max(s.left[i], 0)
}

// sum adds up the tallies of flows with a name between two seconds.
func (s *simulation) sum(from, to int, match func(*flow) bool) (t tally) {
	for i := range s.flows {
		if !match(&s.flows[i]) {
			continue
		}
		for _, second := range s.seconds[i][from:to] {
			t.all += second.all
			t.inTime += second.inTime
			t.late += second.late
			t.refused += second.refused
			t.expired += second.expired
			t.rejections += second.rejections
		}
	}
	return t
}

func (t tally) String() string {
	return fmt.Sprintf("%d: in time %.2f, late %.2f, refused %.2f, expired %.2f; rejections %.2f", t.all, share(t.inTime, t.all), share(t.late, t.all),
		share(t.refused, t.all), share(t.expired, t.all), share(t.rejections, t.all))
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

func named(name string) func(*flow) bool { return func(f *flow) bool { return f.organisation == name } }

func isRank(rank int) func(*flow) bool { return func(f *flow) bool { return f.rank == rank } }

func anyFlow(*flow) bool { return true }

// TestOneOrganisationsBurstLeavesTheOthersTheirShare guards against an organisation that sends six times its usual load and takes the servers
// from 23 others, which send what they always do.
func TestOneOrganisationsBurstLeavesTheOthersTheirShare(t *testing.T) {
	for _, routers := range []int{6, 83} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			flows := []flow{{organisation: "burst", rate: 10, begin: 0.1, objective: time.Second, deadline: 8 * time.Second, to: 5 * time.Second}}
			flows = append(flows, flow{
				organisation: "burst", rate: 60, begin: 0.1, objective: time.Second, deadline: 8 * time.Second, from: 5 * time.Second,
			})
			for i := range 23 {
				flows = append(flows, flow{organisation: fmt.Sprint("org", i), rate: 10, begin: 0.1, objective: time.Second, deadline: 8 * time.Second})
			}
			others := func(f *flow) bool { return f.organisation != "burst" }
			var without, with, burst tally
			for _, disabled := range []bool{true, false} {
				s := newSimulation(routers, 26, flows...) // 260 requests a second of 290.
				s.disabled = disabled
				s.run(30 * time.Second)
				if disabled {
					without = s.sum(15, 22, others)
					continue
				}
				with = s.sum(15, 22, others)
				burst = s.sum(15, 22, named("burst"))
			}
			t.Logf("others without admission control %v; with it %v; the burst %v", without, with, burst)
			if share(with.inTime, with.all) < 0.6 || share(without.inTime, without.all) > 0.1 {
				t.Errorf("others: in time without admission control %v, with it %v", without, with)
			}
			if share(burst.refused, burst.all) < 2*share(with.refused, with.all) {
				t.Errorf("the burst was refused less than twice as often as the others: %v and %v", burst, with)
			}
		})
	}
}

// TestEveryRouterRejectsTheSameShare guards against shares that depend on how much of the load a router sees, and against rejections that
// go on after an overload.
func TestEveryRouterRejectsTheSameShare(t *testing.T) {
	for _, routers := range []int{6, 83, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			var flows []flow
			for i := range 24 {
				f := flow{organisation: fmt.Sprint("org", i), rate: 1000.0 / 24, begin: 0.1, objective: time.Second, deadline: 6 * time.Second}
				flows = append(flows, f)
				f.from, f.to = 10*time.Second, 25*time.Second
				flows = append(flows, f)
			}
			s := newSimulation(routers, 140, flows...)
			s.down = func(server int, now time.Duration) bool {
				return server%2 == 0 && now >= 10*time.Second && now < 25*time.Second
			}
			s.run(37 * time.Second)
			for _, w := range []struct {
				from, to  int
				low, high float64 // rejections for each request
			}{
				{0, 9, 0, 0},       // at 71% load
				{12, 23, 1.3, 1.8}, // 0.35 of the requests are served and each of the others is rejected twice, which would be 1.3
				{27, 30, 0, 0.25},  // callers who were rejected before the end return, which is still more than the capacity for a while
				{30, 34, 0, 0.02},
			} {
				got := s.sum(w.from, w.to, anyFlow)
				t.Logf("seconds %d to %d %v", w.from, w.to, got)
				if rejections := share(got.rejections, got.all); rejections < w.low || rejections > w.high {
					t.Errorf("seconds %d to %d: want %.2f to %.2f rejections for each request, got %v", w.from, w.to, w.low, w.high, got)
				}
			}
			if got := s.sum(12, 23, anyFlow); share(got.inTime+got.late, got.all) < 0.25 {
				t.Errorf("servers that can serve 0.35 of the requests served %v", got)
			}
		})
	}
}

// TestUrgentRequestsKeepTheirObjective guards against rejections of urgent requests while less urgent ones of the same service are sent.
func TestUrgentRequestsKeepTheirObjective(t *testing.T) {
	s := newSimulation(83, 50,
		flow{organisation: "a", rank: 0, rate: 150, begin: 0.05, objective: 1500 * time.Millisecond, deadline: 20 * time.Second},
		flow{organisation: "a", rank: 2, rate: 150, begin: 0.5, objective: 6 * time.Second, deadline: 25 * time.Second},
	)
	s.run(60 * time.Second)
	urgent, patient := s.sum(5, 35, isRank(0)), s.sum(5, 35, isRank(2))
	t.Logf("urgent %v; patient %v", urgent, patient)
	if share(urgent.inTime, urgent.all) < 0.97 || urgent.rejections > 0 {
		t.Errorf("urgent requests: %v", urgent)
	}
	// The servers can serve 0.57 of the patient ones.
	if share(patient.inTime+patient.late, patient.all) < 0.5 || patient.rejections == 0 || share(patient.expired, patient.all) > 0.005 {
		t.Errorf("patient requests: %v", patient)
	}
}

// TestCallersReturnAfterAnOutage guards against a second overload by the callers who return after an outage of the store, of which the requests that
// arrive then are late.
func TestCallersReturnAfterAnOutage(t *testing.T) {
	for _, routers := range []int{6, 83} {
		for _, together := range []bool{true, false} {
			s := newSimulation(routers, 140,
				flow{organisation: "a", rank: 0, rate: 600, begin: 0.1, objective: 1500 * time.Millisecond, deadline: 20 * time.Second},
				flow{organisation: "b", rank: 2, rate: 400, begin: 0.1, objective: 2 * time.Second, deadline: 5 * time.Second},
				// Callers whose connections broke when the outage began, and who all send again.
				flow{organisation: "c", rank: 2, rate: 6000, begin: 0.1, objective: 6 * time.Second, deadline: 25 * time.Second, from: 13 * time.Second, to: 14 * time.Second},
			)
			s.outage = func(now time.Duration) bool { return now >= 10*time.Second && now < 14*time.Second }
			s.together = together
			s.run(25 * time.Second)
			during, after, later := s.sum(10, 14, anyFlow), s.sum(14, 18, anyFlow), s.sum(20, 24, anyFlow)
			if rate := share(after.inTime, after.all); rate < 0.8 && !together {
				t.Errorf("of the requests in the 4 s after the outage %.2f were in time", rate)
			}
			t.Logf("%d routers, all after 1 s: %t; arrived during the outage %v; 4 s after %v; then %v", routers, together, during, after, later)
		}
	}
}

// TestCallersThatIgnoreRetryAfter guards against callers that return at once, again and again, and thereby take the servers from those
// that wait as they are told.
func TestCallersThatIgnoreRetryAfter(t *testing.T) {
	flows := []flow{{organisation: "hasty", rate: 40, begin: 0.1, objective: time.Second, deadline: 8 * time.Second, ignores: true}}
	for i := range 6 {
		flows = append(flows, flow{organisation: fmt.Sprint("org", i), rate: 20, begin: 0.1, objective: time.Second, deadline: 8 * time.Second})
	}
	s := newSimulation(20, 14, flows...)
	s.run(40 * time.Second)
	hasty, others := s.sum(5, 30, named("hasty")), s.sum(5, 30, func(f *flow) bool { return f.organisation != "hasty" })
	t.Logf("hasty %v; others %v", hasty, others)
	if share(others.inTime, others.all) < share(hasty.inTime, hasty.all) || share(others.inTime, others.all) < 0.6 {
		t.Errorf("callers that return at once got %v, others %v", hasty, others)
	}
}
