package crlcascade

import (
	"cmp"
	"slices"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Bounds of what is kept.
const (
	bucketCount     = 40    // buckets is the number of equal parts of the range of ratings.
	maxRatingWeight = 4000  // keptRatings is the number of ratings at which older ones count half.
	maxAnswerWeight = 20000 // keptAnswers is the number of answers at which older ones count half.
	maxOrigins      = 1024  // maxOrigins bounds the incarnations whose totals are kept.
)

// key names sums: of a version, or of a second version after a first.
type key struct {
	class         crlid.Class
	first, second crlid.Version
}

// sums are counts and sums of one key; as totals of an incarnation they only grow, as knowledge they are discounted.
type sums struct {
	Buckets    [bucketCount]float64 `json:"buckets"` // Buckets counts ratings, for a pair those of the first answer.
	Seconds    [bucketCount]float64 `json:"seconds"` // Seconds adds, for a pair, the ratings of the second answer.
	Answers    float64              `json:"answers"`
	Cost       float64              `json:"cost"`
	FirstToken float64              `json:"first-token"` // FirstToken adds seconds.
	Duration   float64              `json:"duration"`    // Duration adds seconds.
}

// Total holds the sums of one key.
type Total struct {
	Class  crlid.Class   `json:"class"`
	First  crlid.Version `json:"first"`
	Second crlid.Version `json:"second,omitempty"`
	Sums   sums          `json:"sums"`
}

// Message carries the totals of one incarnation.
type Message struct {
	Origin crlid.Incarnation `json:"origin"`
	Totals []Total           `json:"totals"`
}

// book keeps the totals of each incarnation and the discounted knowledge of all.
type tracker struct {
	origin     crlid.Incarnation
	totals     map[crlid.Incarnation]map[key]*sums
	discounted map[key]*sums
	changed    map[key]bool
}

func newTracker(origin crlid.Incarnation) *tracker {
	return &tracker{
		origin: origin, totals: map[crlid.Incarnation]map[key]*sums{origin: {}},
		discounted: make(map[key]*sums), changed: make(map[key]bool),
	}
}

func sumsOf(all map[key]*sums, k key) *sums {
	s, ok := all[k]
	if !ok {
		s = &sums{}
		all[k] = s
	}
	return s
}

func (b *tracker) sums(k key) *sums { return sumsOf(b.discounted, k) }

// observe takes what the daemon itself saw.
func (b *tracker) observe(o Outcome) {
	var d sums
	if o.Rated {
		d.Buckets[bucket(o.Rating)]++
	}
	if o.Duration > 0 {
		d.Answers, d.Cost = 1, float64(o.Cost)
		d.FirstToken, d.Duration = o.FirstToken.Seconds(), o.Duration.Seconds()
	}
	// An answer after an escalation is one to a hard prompt: it counts for the pair, not for the version alone.
	k := key{class: o.Class, first: o.Version}
	if o.EscalatedFrom != "" {
		d.Buckets = [bucketCount]float64{}
		b.addOwn(k, d)
		if !o.Rated {
			return
		}
		k, d = key{class: o.Class, first: o.EscalatedFrom, second: o.Version}, sums{}
		d.Buckets[bucket(o.EscalatedFromRating)] = 1
		d.Seconds[bucket(o.EscalatedFromRating)] = float64(o.Rating)
	}
	b.addOwn(k, d)
}

func (b *tracker) addOwn(k key, d sums) {
	sumsOf(b.totals[b.origin], k).add(&d)
	b.changed[k] = true
	b.accumulate(k, d)
}

func (b *tracker) accumulate(k key, d sums) {
	s := b.sums(k)
	s.add(&d)
	s.discount()
}

// message returns the totals that changed since the last message.
func (b *tracker) message() Message {
	m := Message{Origin: b.origin}
	for k := range b.changed {
		m.Totals = append(m.Totals, Total{Class: k.class, First: k.first, Second: k.second, Sums: *b.totals[b.origin][k]})
	}
	slices.SortFunc(m.Totals, func(x, y Total) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.First, y.First), cmp.Compare(x.Second, y.Second))
	})
	clear(b.changed)
	return m
}

// merge takes what is new in a peer's totals.
func (b *tracker) merge(m Message) {
	if m.Origin == b.origin {
		return
	}
	held, ok := b.totals[m.Origin]
	if !ok && len(b.totals) >= maxOrigins {
		return
	}
	if !ok {
		held = make(map[key]*sums)
		b.totals[m.Origin] = held
	}
	for _, t := range m.Totals {
		k := key{class: t.Class, first: t.First, second: t.Second}
		before := sumsOf(held, k)
		if !t.Sums.isNewer(before) {
			continue
		}
		d := t.Sums
		d.subtract(before)
		*before = t.Sums
		b.accumulate(k, d)
	}
}

func bucket(q crlid.Quality) int { return min(bucketCount-1, max(0, int(q*bucketCount))) }

// isNewer reports whether s, totals of the same incarnation and key, came after o.
func (s *sums) isNewer(o *sums) bool {
	return s.Answers+s.ratings() > o.Answers+o.ratings()
}

func (s *sums) ratings() float64 {
	n := 0.0
	for _, count := range s.Buckets {
		n += count
	}
	return n
}

// moments returns the number, sum and squares of the ratings.
func (s *sums) moments() (count, sum, squares float64) {
	for i, n := range s.Buckets {
		middle := float64(edge(i)) + 0.5/bucketCount
		count += n
		sum += n * middle
		squares += n * middle * middle
	}
	return count, sum, squares
}

func (s *sums) add(o *sums) { s.combine(o, 1) }

func (s *sums) subtract(o *sums) { s.combine(o, -1) }

func (s *sums) combine(o *sums, sign float64) {
	for i := range bucketCount {
		s.Buckets[i] += sign * o.Buckets[i]
		s.Seconds[i] += sign * o.Seconds[i]
	}
	s.Answers += sign * o.Answers
	s.Cost += sign * o.Cost
	s.FirstToken += sign * o.FirstToken
	s.Duration += sign * o.Duration
}

// discount halves what has grown past its bound, so that the new counts more than the old.
func (s *sums) discount() {
	if s.ratings() > maxRatingWeight {
		for i := range bucketCount {
			s.Buckets[i] /= 2
			s.Seconds[i] /= 2
		}
	}
	if s.Answers > maxAnswerWeight {
		s.Answers, s.Cost, s.FirstToken, s.Duration = s.Answers/2, s.Cost/2, s.FirstToken/2, s.Duration/2
	}
}
