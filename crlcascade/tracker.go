package crlcascade

import (
	"cmp"
	"slices"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Bounds of the retained statistics.
const (
	bucketCount     = 40    // number of equal parts, called buckets, of the range of ratings from 0 to 1
	maxRatingWeight = 4000  // number of ratings of a key above which all of them are halved in weight
	maxAnswerWeight = 20000 // number of answers of a key above which all of them are halved in weight
	maxOrigins      = 1024  // incarnations whose totals are retained
)

// key identifies sums in a class: those of a version, with second empty, or those of a pair, that is of a second version where
// the first version's answer was not accepted.
type key struct {
	class         crlid.Class
	first, second crlid.Version
}

// sums are the statistics of one key. As the totals of an incarnation they only grow; as the combined statistics of all
// incarnations, older observations lose weight.
type sums struct {
	Buckets    [bucketCount]float64 `json:"buckets"`     // number of ratings in each bucket; for a pair, those of first answers
	Seconds    [bucketCount]float64 `json:"seconds"`     // for a pair, sum of second answers' ratings, by the first answer's bucket
	Answers    float64              `json:"answers"`     // number of complete answers
	Cost       float64              `json:"cost"`        // sum of the answers' costs in micro-cost
	FirstToken float64              `json:"first-token"` // sum of the times to the first token, in seconds
	Duration   float64              `json:"duration"`    // sum of the times to the complete answer, in seconds
}

// Total holds the statistics of one version, with an empty Second, or of a pair of versions in a class.
type Total struct {
	Class  crlid.Class   `json:"class"`
	First  crlid.Version `json:"first"`
	Second crlid.Version `json:"second,omitempty"`
	Sums   sums          `json:"sums"`
}

// Message carries totals of one incarnation of a daemon, each over the time since the incarnation started.
type Message struct {
	Origin crlid.Incarnation `json:"origin"`
	Totals []Total           `json:"totals"`
}

// tracker holds the totals of each incarnation and the combined statistics of all.
type tracker struct {
	origin   crlid.Incarnation                   // incarnation of this daemon
	totals   map[crlid.Incarnation]map[key]*sums // totals of each incarnation since its start
	combined map[key]*sums                       // statistics of all incarnations, in which older observations count less
	changed  map[key]bool                        // keys of this daemon's totals that changed since the last message
}

func newTracker(origin crlid.Incarnation) *tracker {
	return &tracker{
		origin: origin, totals: map[crlid.Incarnation]map[key]*sums{origin: {}},
		combined: make(map[key]*sums), changed: make(map[key]bool),
	}
}

// sumsOf returns the sums of a key in all. If all has none, it adds empty ones.
func sumsOf(all map[key]*sums, k key) *sums {
	s, ok := all[k]
	if !ok {
		s = &sums{}
		all[k] = s
	}
	return s
}

// combinedSums returns the combined statistics of a key.
func (t *tracker) combinedSums(k key) *sums { return sumsOf(t.combined, k) }

// observe adds an outcome that this daemon saw.
func (t *tracker) observe(o Outcome) {
	var delta sums
	if o.Rated {
		delta.Buckets[bucket(o.Rating)]++
	}
	if o.Duration > 0 {
		delta.Answers, delta.Cost = 1, float64(o.Cost)
		delta.FirstToken, delta.Duration = o.FirstToken.Seconds(), o.Duration.Seconds()
	}
	// The prompt of an escalated answer is a hard one. The rating counts for the pair of versions, not for the second one alone.
	k := key{class: o.Class, first: o.Version}
	if o.EscalatedFrom != "" {
		delta.Buckets = [bucketCount]float64{}
		t.addOwn(k, delta)
		if !o.Rated {
			return
		}
		k, delta = key{class: o.Class, first: o.EscalatedFrom, second: o.Version}, sums{}
		delta.Buckets[bucket(o.EscalatedFromRating)] = 1
		delta.Seconds[bucket(o.EscalatedFromRating)] = float64(o.Rating)
	}
	t.addOwn(k, delta)
}

// addOwn adds delta to this daemon's totals and to the combined statistics.
func (t *tracker) addOwn(k key, delta sums) {
	sumsOf(t.totals[t.origin], k).add(&delta)
	t.changed[k] = true
	t.accumulate(k, delta)
}

// accumulate adds delta to the combined statistics.
func (t *tracker) accumulate(k key, delta sums) {
	s := t.combinedSums(k)
	s.add(&delta)
	s.discount()
}

// message returns this daemon's totals that changed since the last message.
func (t *tracker) message() Message {
	m := Message{Origin: t.origin}
	for k := range t.changed {
		m.Totals = append(m.Totals, Total{Class: k.class, First: k.first, Second: k.second, Sums: *t.totals[t.origin][k]})
	}
	slices.SortFunc(m.Totals, func(x, y Total) int {
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.First, y.First), cmp.Compare(x.Second, y.Second))
	})
	clear(t.changed)
	return m
}

// merge adds what is new in a peer's totals. It ignores a message of an unknown incarnation once maxOrigins are retained.
func (t *tracker) merge(m Message) {
	if m.Origin == t.origin {
		return
	}
	known, ok := t.totals[m.Origin]
	if !ok && len(t.totals) >= maxOrigins {
		return
	}
	if !ok {
		known = make(map[key]*sums)
		t.totals[m.Origin] = known
	}
	for _, total := range m.Totals {
		k := key{class: total.Class, first: total.First, second: total.Second}
		before := sumsOf(known, k)
		if !total.Sums.isNewer(before) {
			continue
		}
		delta := total.Sums
		delta.subtract(before)
		*before = total.Sums
		t.accumulate(k, delta)
	}
}

// bucket returns the index of the bucket that a rating falls into.
func bucket(q crlid.Quality) int { return min(bucketCount-1, max(0, int(q*bucketCount))) }

// isNewer reports whether s is later than o, where both are totals of the same incarnation and key. Totals only grow.
func (s *sums) isNewer(o *sums) bool {
	return s.Answers+s.ratings() > o.Answers+o.ratings()
}

// ratings returns the number of ratings.
func (s *sums) ratings() float64 {
	n := 0.0
	for _, count := range s.Buckets {
		n += count
	}
	return n
}

// moments returns the number of ratings, their sum and the sum of their squares, from which their mean and variance follow.
// Each rating is taken as the middle of its bucket.
func (s *sums) moments() (count, sum, squares float64) {
	for i, n := range s.Buckets {
		middle := float64(lowerEdge(i)) + 0.5/bucketCount
		count += n
		sum += n * middle
		squares += n * middle * middle
	}
	return count, sum, squares
}

func (s *sums) add(o *sums) { s.combine(o, 1) }

func (s *sums) subtract(o *sums) { s.combine(o, -1) }

// combine adds o times sign, which is 1 or -1.
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

// discount halves the statistics that have grown past their bound, so that newer observations count more than older ones.
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
