package crlhealth

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// maxOrigins bounds the incarnations whose totals are kept; the one silent for longest is forgotten first.
const maxOrigins = 1024

// cellKey names a cell.
type countKey struct {
	version crlid.Version
	class   crlid.Class
}

// origin holds the totals of one incarnation.
type origin struct {
	lastMessage time.Time
	versions    map[countKey]Totals
	servers     map[crlid.Server]ServerCounts
}

func newOrigin() *origin {
	return &origin{versions: make(map[countKey]Totals), servers: make(map[crlid.Server]ServerCounts)}
}

// version is what a book knows of one version.
type version struct {
	verdict      Verdict
	failures     rateTest
	slow         rateTest
	ratings      map[crlid.Class]*ratingTest
	recent       map[*rateTest]*rates // recent holds what each rate test took lately.
	decayedAt    time.Time
	stageAnswers int64 // answers counts those since the stage began.
	servers      map[crlid.Server]bool
}

// Config configures a Book.
type Config struct {
	Origin crlid.Incarnation // Origin is the daemon's own incarnation.
}

// Book keeps counts, tests and verdicts; one goroutine owns it.
type Tracker struct {
	config        Config
	configuration *crlconfig.Configuration
	origins       map[crlid.Incarnation]*origin
	versions      map[crlid.Version]*version
	servers       map[crlid.Server]*rateTest
	suspectUntil  map[crlid.Server]time.Time // suspects holds when the hold of a server ends.
	dirtyVersions map[countKey]bool
	dirtyServers  map[crlid.Server]bool
}

// NewBook returns a book that has seen nothing.
func NewTracker(config Config) *Tracker {
	return &Tracker{
		config: config, origins: map[crlid.Incarnation]*origin{config.Origin: newOrigin()},
		versions: make(map[crlid.Version]*version), servers: make(map[crlid.Server]*rateTest),
		suspectUntil: make(map[crlid.Server]time.Time), dirtyVersions: make(map[countKey]bool), dirtyServers: make(map[crlid.Server]bool),
	}
}

// Configure takes a configuration; versions that it adds to the one before begin on the first step.
func (b *Tracker) Configure(c *crlconfig.Configuration, now time.Time) {
	first := b.configuration == nil
	b.configuration = c
	for id := range c.Versions {
		if b.versions[id] != nil {
			continue
		}
		v := b.version(id, now)
		if !first {
			b.setStage(v, StageTrickle, now)
		}
	}
	maps.DeleteFunc(b.versions, func(id crlid.Version, _ *version) bool {
		_, ok := c.Versions[id]
		return !ok
	})
	for _, v := range b.versions {
		clear(v.servers)
	}
	for id, s := range c.Servers {
		if !c.InService(id) {
			continue
		}
		for _, version := range s.Versions {
			if v := b.versions[version]; v != nil {
				v.servers[id] = true
			}
		}
	}
}

// Observe takes what the daemon itself saw.
func (b *Tracker) Observe(e Event, now time.Time) {
	own, key := b.origins[b.config.Origin], countKey{version: e.Version, class: e.Class}
	after := own.versions[key]
	if e.Rated {
		after.Ratings++
		after.RatingSum += float64(e.Rating)
		after.RatingSquares += float64(e.Rating * e.Rating)
	} else {
		after.Answers++
		after.Failures += boolToInt(e.Failed)
		after.Slow += boolToInt(b.isSlow(e))
		b.observeServer(own, e, now)
	}
	b.dirtyVersions[key] = true
	b.applyCounts(key, after.minus(own.versions[key]), now)
	own.versions[key] = after
}

func (b *Tracker) observeServer(own *origin, e Event, now time.Time) {
	if e.Server == "" {
		return
	}
	s := own.servers[e.Server]
	s.Server = e.Server
	s.Answers++
	s.Failures += boolToInt(e.Failed)
	own.servers[e.Server] = s
	// A success alone need not travel: it goes along with the next failure.
	if e.Failed {
		b.dirtyServers[e.Server] = true
	}
	b.applyServerCounts(e.Server, rates{answers: 1, bad: float64(boolToInt(e.Failed))}, now)
}

func boolToInt(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}

func (b *Tracker) isSlow(e Event) bool {
	if b.configuration == nil || e.Failed {
		return false
	}
	class, ok := b.configuration.Classes[e.Class]
	return ok && e.FirstToken > class.FirstToken
}

// Message returns the totals that changed since the last one, and every verdict that was ever changed.
func (b *Tracker) Message() Message {
	own, m := b.origins[b.config.Origin], Message{Origin: b.config.Origin}
	for key := range b.dirtyVersions {
		m.Versions = append(m.Versions, VersionCounts{Version: key.version, Class: key.class, Totals: own.versions[key]})
	}
	for id := range b.dirtyServers {
		m.Servers = append(m.Servers, own.servers[id])
	}
	for _, v := range b.versions {
		if v.verdict.UpdatedNanos > 0 {
			m.Verdicts = append(m.Verdicts, v.verdict)
		}
	}
	slices.SortFunc(m.Versions, func(x, y VersionCounts) int {
		return cmp.Or(cmp.Compare(x.Version, y.Version), cmp.Compare(x.Class, y.Class))
	})
	slices.SortFunc(m.Servers, func(x, y ServerCounts) int { return cmp.Compare(x.Server, y.Server) })
	slices.SortFunc(m.Verdicts, func(x, y Verdict) int { return cmp.Compare(x.Version, y.Version) })
	clear(b.dirtyVersions)
	clear(b.dirtyServers)
	return m
}

// MarkAll makes the next message hold every total, for a peer that may have missed some.
func (b *Tracker) MarkAll() {
	own := b.origins[b.config.Origin]
	for key := range own.versions {
		b.dirtyVersions[key] = true
	}
	for id := range own.servers {
		b.dirtyServers[id] = true
	}
}

// Merge takes a peer's message; a repeated, late or misordered one changes nothing.
func (b *Tracker) Merge(m Message, now time.Time) {
	if m.Origin == b.config.Origin {
		return
	}
	o, known := b.origins[m.Origin]
	if !known {
		b.evictOldestOrigin()
		o = newOrigin()
		b.origins[m.Origin] = o
	}
	o.lastMessage = now
	for _, cell := range m.Versions {
		b.mergeVersion(o, cell, known, now)
	}
	for _, cell := range m.Servers {
		b.mergeServer(o, cell, known, now)
	}
	for _, verdict := range m.Verdicts {
		b.mergeVerdict(verdict)
	}
}

// mergeCell feeds what is new to the tests; totals of an incarnation not heard before are its past.
func (b *Tracker) mergeVersion(o *origin, cell VersionCounts, known bool, now time.Time) {
	key := countKey{version: cell.Version, class: cell.Class}
	before := o.versions[key]
	after := before.merged(cell.Totals)
	o.versions[key] = after
	if known {
		b.applyCounts(key, after.minus(before), now)
		return
	}
	b.addBaseline(key, after)
}

func (b *Tracker) mergeServer(o *origin, cell ServerCounts, known bool, now time.Time) {
	before := o.servers[cell.Server]
	after := ServerCounts{
		Server: cell.Server, Answers: max(before.Answers, cell.Answers), Failures: max(before.Failures, cell.Failures),
	}
	o.servers[cell.Server] = after
	if known {
		b.applyServerCounts(cell.Server, rates{
			answers: float64(after.Answers - before.Answers), bad: float64(after.Failures - before.Failures),
		}, now)
	}
}

func (b *Tracker) evictOldestOrigin() {
	if len(b.origins) < maxOrigins {
		return
	}
	var oldest crlid.Incarnation
	for id, o := range b.origins {
		if id != b.config.Origin && (oldest == "" || o.lastMessage.Before(b.origins[oldest].lastMessage)) {
			oldest = id
		}
	}
	delete(b.origins, oldest)
}
