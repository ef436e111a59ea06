package crlhealth

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// maxOrigins bounds the incarnations whose totals are kept. The one with the oldest last message is evicted first.
const maxOrigins = 1024

// countKey identifies the counts of a version in a class.
type countKey struct {
	version crlid.Version
	class   crlid.Class
}

// origin holds the totals received from one incarnation, or counted by this one.
type origin struct {
	lastMessage time.Time
	versions    map[countKey]Totals
	servers     map[crlid.Server]ServerCounts
}

func newOrigin() *origin {
	return &origin{versions: make(map[countKey]Totals), servers: make(map[crlid.Server]ServerCounts)}
}

// version is the state of one version: its verdict and its tests.
type version struct {
	verdict      Verdict
	failures     rateTest
	slow         rateTest
	ratings      map[crlid.Class]*ratingTest
	recent       map[*rateTest]*rates  // recent input of each rate test, with exponential decay
	decayedAt    time.Time             // last time that the decay was applied to recent
	stageAnswers int64                 // answers since the present stage began
	servers      map[crlid.Server]bool // servers in service that serve the version
}

// Config configures a Tracker.
type Config struct {
	Origin crlid.Incarnation // incarnation of this daemon
}

// Tracker keeps counts, tests and verdicts. It must be used by one goroutine only.
type Tracker struct {
	config        Config
	configuration *crlconfig.Configuration
	origins       map[crlid.Incarnation]*origin
	versions      map[crlid.Version]*version // the versions of configuration
	servers       map[crlid.Server]*rateTest // failure test of each backend server
	suspectUntil  map[crlid.Server]time.Time // end of the hold of each server that is on hold
	dirtyVersions map[countKey]bool          // counts to send in the next message
	dirtyServers  map[crlid.Server]bool      // servers whose counts to send in the next message
}

// NewTracker returns a tracker without counts.
func NewTracker(config Config) *Tracker {
	return &Tracker{
		config: config, origins: map[crlid.Incarnation]*origin{config.Origin: newOrigin()},
		versions: make(map[crlid.Version]*version), servers: make(map[crlid.Server]*rateTest),
		suspectUntil: make(map[crlid.Server]time.Time), dirtyVersions: make(map[countKey]bool), dirtyServers: make(map[crlid.Server]bool),
	}
}

// Configure applies a configuration. A version that the previous configuration didn't have starts at StageTrickle; all
// versions of the first configuration start at StageFull.
func (tr *Tracker) Configure(c *crlconfig.Configuration, now time.Time) {
	first := tr.configuration == nil
	tr.configuration = c
	for id := range c.Versions {
		if tr.versions[id] != nil {
			continue
		}
		v := tr.version(id, now)
		if !first {
			tr.setStage(v, StageTrickle, now)
		}
	}
	maps.DeleteFunc(tr.versions, func(id crlid.Version, _ *version) bool {
		_, ok := c.Versions[id]
		return !ok
	})
	for _, v := range tr.versions {
		clear(v.servers)
	}
	for id, s := range c.Servers {
		if !c.InService(id) {
			continue
		}
		for _, version := range s.Versions {
			if v := tr.versions[version]; v != nil {
				v.servers[id] = true
			}
		}
	}
}

// Observe counts an attempt or a rating that this daemon saw.
func (tr *Tracker) Observe(e Event, now time.Time) {
	own, key := tr.origins[tr.config.Origin], countKey{version: e.Version, class: e.Class}
	after := own.versions[key]
	if e.Rated {
		after.Ratings++
		after.RatingSum += float64(e.Rating)
		after.RatingSquares += float64(e.Rating * e.Rating)
	} else {
		after.Answers++
		after.Failures += boolToInt(e.Failed)
		after.Slow += boolToInt(tr.isSlow(e))
		tr.observeServer(own, e, now)
	}
	tr.dirtyVersions[key] = true
	tr.applyCounts(key, after.minus(own.versions[key]), now)
	own.versions[key] = after
}

func (tr *Tracker) observeServer(own *origin, e Event, now time.Time) {
	if e.Server == "" {
		return
	}
	s := own.servers[e.Server]
	s.Server = e.Server
	s.Answers++
	s.Failures += boolToInt(e.Failed)
	own.servers[e.Server] = s
	// A success alone isn't worth a message: the totals include it when the next failure is sent.
	if e.Failed {
		tr.dirtyServers[e.Server] = true
	}
	tr.applyServerCounts(e.Server, rates{answers: 1, bad: float64(boolToInt(e.Failed))}, now)
}

func boolToInt(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}

// isSlow reports whether the first token came later than the limit of the class.
func (tr *Tracker) isSlow(e Event) bool {
	if tr.configuration == nil || e.Failed {
		return false
	}
	class, ok := tr.configuration.Classes[e.Class]
	return ok && e.FirstToken > class.FirstToken
}

// Message returns this daemon's totals that changed since the previous call, and every verdict that was ever changed, here or
// at a peer. A server's totals that changed by successes alone are left out.
func (tr *Tracker) Message() Message {
	own, m := tr.origins[tr.config.Origin], Message{Origin: tr.config.Origin}
	for key := range tr.dirtyVersions {
		m.Versions = append(m.Versions, VersionCounts{Version: key.version, Class: key.class, Totals: own.versions[key]})
	}
	for id := range tr.dirtyServers {
		m.Servers = append(m.Servers, own.servers[id])
	}
	for _, v := range tr.versions {
		if v.verdict.UpdatedNanos > 0 {
			m.Verdicts = append(m.Verdicts, v.verdict)
		}
	}
	slices.SortFunc(m.Versions, func(x, y VersionCounts) int {
		return cmp.Or(cmp.Compare(x.Version, y.Version), cmp.Compare(x.Class, y.Class))
	})
	slices.SortFunc(m.Servers, func(x, y ServerCounts) int { return cmp.Compare(x.Server, y.Server) })
	slices.SortFunc(m.Verdicts, func(x, y Verdict) int { return cmp.Compare(x.Version, y.Version) })
	clear(tr.dirtyVersions)
	clear(tr.dirtyServers)
	return m
}

// MarkAll makes the next message carry all totals, for peers that may have missed earlier messages.
func (tr *Tracker) MarkAll() {
	own := tr.origins[tr.config.Origin]
	for key := range own.versions {
		tr.dirtyVersions[key] = true
	}
	for id := range own.servers {
		tr.dirtyServers[id] = true
	}
}

// Merge applies a peer's message. A message that was applied before, or is older than one that was, has no effect.
func (tr *Tracker) Merge(m Message, now time.Time) {
	if m.Origin == tr.config.Origin {
		return
	}
	o, known := tr.origins[m.Origin]
	if !known {
		tr.evictOldestOrigin()
		o = newOrigin()
		tr.origins[m.Origin] = o
	}
	o.lastMessage = now
	for _, counts := range m.Versions {
		tr.mergeVersion(o, counts, known, now)
	}
	for _, counts := range m.Servers {
		tr.mergeServer(o, counts, known, now)
	}
	for _, verdict := range m.Verdicts {
		tr.mergeVerdict(verdict)
	}
}

// mergeVersion feeds the increase of the counts to the version's tests. The first totals of an incarnation (known is
// false) go to the baseline.
func (tr *Tracker) mergeVersion(o *origin, counts VersionCounts, known bool, now time.Time) {
	key := countKey{version: counts.Version, class: counts.Class}
	before := o.versions[key]
	after := before.merged(counts.Totals)
	o.versions[key] = after
	if known {
		tr.applyCounts(key, after.minus(before), now)
		return
	}
	tr.addBaseline(key, after)
}

// mergeServer feeds the increase of the counts to the server's test. The first totals of an incarnation (known is false)
// are only recorded.
func (tr *Tracker) mergeServer(o *origin, counts ServerCounts, known bool, now time.Time) {
	before := o.servers[counts.Server]
	after := ServerCounts{
		Server: counts.Server, Answers: max(before.Answers, counts.Answers), Failures: max(before.Failures, counts.Failures),
	}
	o.servers[counts.Server] = after
	if known {
		tr.applyServerCounts(counts.Server, rates{
			answers: float64(after.Answers - before.Answers), bad: float64(after.Failures - before.Failures),
		}, now)
	}
}

func (tr *Tracker) evictOldestOrigin() {
	if len(tr.origins) < maxOrigins {
		return
	}
	var oldest crlid.Incarnation
	for id, o := range tr.origins {
		if id != tr.config.Origin && (oldest == "" || o.lastMessage.Before(tr.origins[oldest].lastMessage)) {
			oldest = id
		}
	}
	delete(tr.origins, oldest)
}
