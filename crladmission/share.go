package crladmission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	maxOrganisations = 1024             // organisations of a service that are accounted for; others are not limited
	idleTime         = 30 * time.Second // time without a request after which an organisation is forgotten
	// levelAge is the age up to which a fair level is used again. Computing it takes time in proportion to the organisations.
	levelAge = 100 * time.Millisecond
	// accountRequests is the number of requests of an average organisation within the memory of the accounts. A router that sees few requests
	// remembers them for longer, at most for maxAccountTime.
	accountRequests = 3
	minAccountTime  = 2 * time.Second
	maxAccountTime  = 20 * time.Second
	// creditBand is the number of requests by which what is sent may differ from the share that fits before the choice between organisations
	// yields to it.
	creditBand = 2
)

const classes = 2 * Ranks // see class

// account is the demand of one organisation: the cost of its requests by class, decayed with age.
type account struct {
	cost   [classes]float64
	at     crlclock.Instant
	credit [classes]float64
	weight float64
	seenAt crlclock.Instant
}

// decay applies the decay since the last call with a time constant in seconds.
func (a *account) decay(seconds float64, now crlclock.Instant) {
	factor := math.Exp(-max(now.Sub(a.at), 0).Seconds() / seconds)
	for i := range a.cost {
		a.cost[i] *= factor
	}
	a.at = max(a.at, now)
}

// total returns the cost of all classes.
func (a *account) total() (sum float64) {
	for _, cost := range a.cost {
		sum += cost
	}
	return sum
}

// shares divides what the servers of a service can do between organisations, by max-min fairness.
type shares struct {
	accounts map[crlid.Organisation]*account
	demand   [classes]meter // cost per second
	requests meter          // requests per second
	credit   [classes]float64
	sorted   []claim // scratch space
	levels   [Ranks]level
	sweptAt  crlclock.Instant
}

// level is the largest cost of an organisation of weight 1 that fits, in the unit of account.cost; negative for no limit.
type level struct {
	cost float64
	at   crlclock.Instant
}

// claim is the demand of one organisation.
type claim struct{ demand, weight float64 }

// memory returns the time constant of the accounts in seconds.
func (s *shares) memory(now crlclock.Instant) float64 {
	seconds := accountRequests * float64(len(s.accounts)) / max(s.requests.rate(now), 0.1)
	return min(max(seconds, minAccountTime.Seconds()), maxAccountTime.Seconds())
}

// account returns the account of an organisation, nil if too many have one.
func (s *shares) account(organisation crlid.Organisation, now crlclock.Instant) *account {
	a := s.accounts[organisation]
	if a == nil {
		if now.Sub(s.sweptAt) > idleTime/10 {
			s.sweep(now)
		}
		if len(s.accounts) >= maxOrganisations {
			return nil
		}
		a = &account{weight: 1, at: now}
		s.accounts[organisation] = a
	}
	a.seenAt = now
	return a
}

// sweep forgets idle organisations.
func (s *shares) sweep(now crlclock.Instant) {
	s.sweptAt = now
	for name, a := range s.accounts {
		if now.Sub(a.seenAt) > idleTime {
			delete(s.accounts, name)
		}
	}
}

// record adds a request to the demand of its organisation and its class.
func (s *shares) record(a *account, class int, cost float64, now crlclock.Instant) {
	s.requests.add(1, now)
	s.demand[class].add(cost, now)
	if a != nil {
		a.decay(s.memory(now), now)
		a.cost[class] += cost
	}
}

// take decides whether a request that was recorded is among those that are sent while a rank of the service is overloaded. capacity is the
// cost per second that fits. It returns the part of the organisation's requests of the class that is sent.
func (s *shares) take(a *account, rank, class int, capacity float64, now crlclock.Instant) (send bool, kept float64) {
	all := 0.0
	for i := range s.demand {
		all += s.demand[i].rate(now)
	}
	if all <= capacity {
		return true, 1
	}
	before := 0.0
	for i := range s.demand[:class] {
		before += s.demand[i].rate(now)
	}
	fits := fraction(capacity-before, s.demand[class].rate(now))
	kept = s.kept(a, rank, class, capacity/all, now)
	s.credit[class] = min(s.credit[class]+fits, 2*creditBand)
	a.credit[class] = min(a.credit[class]+kept, creditBand)
	send = a.credit[class] >= 1
	switch {
	case !send && s.credit[class] >= creditBand && kept >= fits/2:
		send = true
	case send && s.credit[class] <= -creditBand && kept < 1:
		send = false
	}
	if send {
		a.credit[class] = max(a.credit[class]-1, 0)
		s.credit[class] = max(s.credit[class]-1, -2*creditBand)
	}
	return send, kept
}

// kept returns the part of an organisation's requests of a class that fits into its fair share, in which more urgent classes come first. part
// is the part of the demand of all organisations that fits.
func (s *shares) kept(a *account, rank, class int, part float64, now crlclock.Instant) float64 {
	l := &s.levels[rank]
	if l.at == 0 || now.Sub(l.at) > levelAge {
		l.cost, l.at = s.fairLevel(part, now), now
	}
	if l.cost < 0 {
		return 1
	}
	left := l.cost * a.weight
	for _, cost := range a.cost[:class] {
		left -= cost
	}
	return fraction(left, a.cost[class])
}

// fraction returns the part of a demand that fits into what is left.
func fraction(left, demand float64) float64 {
	switch {
	case left >= demand:
		return 1
	case left <= 0:
		return 0
	default:
		return left / demand
	}
}

// fairLevel returns the level at which a part of the demand of all organisations fits: organisations that ask for less leave the rest to the
// others.
func (s *shares) fairLevel(part float64, now crlclock.Instant) float64 {
	seconds, sum := s.memory(now), 0.0
	s.sorted = s.sorted[:0]
	for _, a := range s.accounts {
		a.decay(seconds, now)
		s.sorted = append(s.sorted, claim{demand: a.total(), weight: a.weight})
	}
	sortClaims(s.sorted)
	for _, c := range s.sorted { // Added up in a fixed order, so that equal events lead to equal decisions.
		sum += c.demand
	}
	return computeLevel(s.sorted, part*sum)
}

// sortClaims sorts by the level at which the share of an organisation covers its demand.
func sortClaims(claims []claim) {
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.demand/a.weight, b.demand/b.weight), cmp.Compare(a.weight, b.weight))
	})
}

// computeLevel returns the level at which the sum of min(demand, level * weight) is the capacity, or -1 if the demand is not above it. The
// claims must be sorted.
func computeLevel(claims []claim, capacity float64) float64 {
	weights := 0.0
	for _, c := range claims {
		weights += c.weight
	}
	left := max(capacity, 0)
	for _, c := range claims {
		if c.demand > left*c.weight/weights {
			return left / weights
		}
		left -= c.demand
		weights -= c.weight
	}
	return -1
}
