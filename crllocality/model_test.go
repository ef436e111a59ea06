package crllocality

import (
	"math/rand/v2"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	modelTick    = 20 * time.Millisecond
	modelService = 0.2 // seconds of work until an answer begins
	domains      = 3
	modelLoad    = 0.7
)

// model simulates daemons in three failure domains. Each domain's servers work off one queue.
type model struct {
	random    *rand.Rand
	daemons   []*modelDaemon
	age       time.Duration // of the reports that daemons receive, 0 if they know only their own requests
	slowLink  time.Duration // added to the waits of requests between the domains 0 and 1
	reachable func(from, to int) bool
	requests  [domains]float64 // per second, of each daemon in a domain
	capacity  [domains]float64 // requests per second
	slowness  [domains]float64 // factor by which servers are slower than their capacity says, 0 for 1
	queue     [domains]float64 // seconds until a new request's work begins
	sent      [domains][2]float64
	reports   []modelReport
	both      bool // daemons know their own requests besides the reports
	fixed     bool // without the policy: the score alone decides, at the fixed cost of earlier versions
	uneven    bool // requests come at random and have different sizes
	now       crlclock.Instant
}

type modelDaemon struct {
	next    crlclock.Instant // time of the next request
	domain  int
	policy  *Policy
	answers map[crlclock.Instant][]modelAnswer
	seen    [2]float64 // wait of the latest answer of each side, with a time constant of 0.7 s as in crlfleet
}

type modelAnswer struct {
	side Side
	wait time.Duration
}

// modelReport holds the sums of the waits of all answers to a domain's daemons in one tick.
type modelReport [domains][2]sums

// newModel returns a model in which each domain receives modelLoad of what its servers can do.
func newModel(daemons int, perDaemon float64, age time.Duration) *model {
	m := &model{
		random: rand.New(rand.NewPCG(uint64(daemons), 7)), age: age, now: crlclock.Instant(time.Hour),
		reachable: func(int, int) bool { return true },
	}
	for i := range daemons {
		d := &modelDaemon{domain: i % domains, next: m.now.Add(time.Duration(m.random.Float64() / perDaemon * float64(time.Second))), answers: make(map[crlclock.Instant][]modelAnswer)}
		d.policy = New(Config{Random: m.random.Float64})
		m.daemons = append(m.daemons, d)
		m.capacity[d.domain] += perDaemon / modelLoad
	}
	for i := range domains {
		m.requests[i] = perDaemon
	}
	return m
}

// run simulates some time. each is called after every tick with the share of the work that each domain should send away and the
// mean of the shares that its daemons have.
func (m *model) run(lasts time.Duration, each func(mean [domains]float64)) {
	for end := m.now.Add(lasts); m.now < end; {
		m.now = m.now.Add(modelTick)
		m.reports = append(m.reports, modelReport{})
		var work, shares, count [domains]float64
		for _, d := range m.daemons {
			m.observe(d)
			m.send(d, &work)
			shares[d.domain] += d.policy.Share(m.now)
			count[d.domain]++
		}
		for i := range domains {
			shares[i] /= count[i]
			if m.capacity[i] > 0 {
				m.queue[i] = max(m.queue[i]+work[i]/m.capacity[i]*max(m.slowness[i], 1)-modelTick.Seconds(), 0)
			}
		}
		if each != nil {
			each(shares)
		}
	}
}

// observe gives a daemon what it knows at this tick.
func (m *model) observe(d *modelDaemon) {
	capacity := Capacity{Inside: m.capacity[d.domain]}
	for i := range domains {
		if i != d.domain && m.reachable(d.domain, i) {
			capacity.Outside += m.capacity[i]
		}
	}
	d.policy.SetCapacity(capacity, m.now)
	for side := range d.seen {
		d.seen[side] *= 1 - modelTick.Seconds()/0.7
	}
	for _, a := range d.answers[m.now] {
		m.reports[len(m.reports)-1][d.domain][a.side].add(a.wait.Seconds(), 1)
		if m.age == 0 || m.both {
			d.seen[a.side] = a.wait.Seconds()
			const service = time.Duration(modelService * float64(time.Second))
			d.policy.ObserveFirstByte(a.side, a.wait+service, service, m.now)
		}
	}
	delete(d.answers, m.now)
	if late := len(m.reports) - 1 - int(m.age/modelTick); m.age > 0 && late >= 0 {
		r := m.reports[late][d.domain]
		w := Waits{At: m.now.Add(-m.age), Expected: time.Duration(modelService * float64(time.Second)), InsideCount: int(r[0].count), OutsideCount: int(r[1].count)}
		w.Inside = time.Duration(r[0].total / max(r[0].count, 1) * float64(time.Second))
		w.Outside = time.Duration(r[1].total / max(r[1].count, 1) * float64(time.Second))
		d.policy.ObserveReport(w, m.now)
		for side, sums := range r {
			if sums.count > 0 {
				d.seen[side] = sums.total / sums.count
			}
		}
	}
}

// send sends the daemon's requests of this tick.
func (m *model) send(d *modelDaemon, work *[domains]float64) {
	interval := 1 / m.requests[d.domain]
	for ; d.next <= m.now; d.next = d.next.Add(time.Duration(interval * float64(time.Second))) {
		size := 1.0
		if m.uneven {
			size = 0.5 + m.random.Float64()
			interval = m.random.ExpFloat64() / m.requests[d.domain]
		}
		to := m.choose(d, size)
		side := SideInside
		if to != d.domain {
			side = SideOutside
		}
		m.sent[d.domain][side]++
		d.policy.ObserveSend(side, size, m.now)
		work[to] += size
		// Waits differ between the servers of a domain by up to a fifth.
		wait := time.Duration((m.queue[to]*(0.8+0.4*m.random.Float64()) + m.link(d.domain, to)) * float64(time.Second))
		at := m.now.Add((wait + time.Duration(modelService*float64(time.Second))).Truncate(modelTick) + modelTick)
		d.answers[at] = append(d.answers[at], modelAnswer{side: side, wait: wait})
	}
}

// link returns the delay of a link in seconds.
func (m *model) link(from, to int) float64 {
	if from != to && from+to == 1 {
		return m.slowLink.Seconds()
	}
	return 0
}

// choose returns the domain whose servers have the lowest score, by the waits that the daemon has seen.
func (m *model) choose(d *modelDaemon, work float64) int {
	choice := d.policy.Choose(Request{Work: work}, m.now)
	if m.fixed {
		choice = Choice{Cost: DefaultRoundTrip}
	}
	best, lowest := d.domain, 1e9
	for i := range domains {
		side := SideInside
		if i != d.domain {
			side = SideOutside
		}
		if m.capacity[i] <= 0 || !m.reachable(d.domain, i) {
			continue
		}
		score := d.seen[side] + choice.Penalty(side).Seconds() + m.random.Float64()*0.01
		if score < lowest {
			best, lowest = i, score
		}
	}
	return best
}
