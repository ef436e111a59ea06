package crlworkload

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Config configures a Table.
type Config struct {
	Address     string            // of this daemon; other daemons replace its earlier messages by it
	Incarnation crlid.Incarnation // of this daemon
	// Rank returns the place of this daemon in an order that all daemons agree on, from 1, and 0 if it has none yet. A source comes before
	// its followers, unless these are looking for another one. The order prevents that load returns to where it came from.
	Rank    func() int
	Daemons func() int  // returns the number of daemons that send requests to the servers, including this one
	Active  func() bool // reports whether there are services whose load is exchanged; nil for always
	Now     crlclock.Clock
}

// Table holds the load of backend servers, by this daemon and by others.
type Table struct {
	config      Config
	self        daemonKey
	incarnation uint32
	mu          sync.Mutex // guards the fields below
	own         serverLoads
	flows       map[serviceKey]*recentFlows
	followers   map[daemonKey]*report
	source      *report
	sourceKey   daemonKey   // of the daemon that sent source
	sourceKeys  []serverKey // servers in the newest reply; the next one may leave them out
	total       *load       // load of other daemons, as of totalAt; nil when it must be summed up again
	totalAt     crlclock.Instant
	sent        sentState
	// sourceTakes reports whether the source takes changes, and supplied is what it holds. confirmed is set once it replied to the latest request.
	sourceTakes bool
	confirmed   bool
	supplied    supplied
	awakeUntil  crlclock.Instant // until then, other daemons are known to have load
	exchangedAt crlclock.Instant // when this daemon last called a source
	sequence    uint64
	drops       Drops
}

// daemonKey identifies a daemon in messages.
type daemonKey uint32

// New returns a table without load.
func New(config Config) *Table {
	if config.Active == nil {
		config.Active = func() bool { return true }
	}
	return &Table{
		config: config, self: daemonKey(xxhash.Sum64String(config.Address)), incarnation: uint32(xxhash.Sum64String(string(config.Incarnation))),
		flows: make(map[serviceKey]*recentFlows), followers: make(map[daemonKey]*report),
	}
}

// Begin adds load that this daemon puts on a server.
func (t *Table) Begin(server crlid.Server, amount Amount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := serverKeyOf(server)
	t.own.set(key, t.own.get(key).plus(amount, 1))
}

// End removes load that was added with Begin. It may be removed in parts.
func (t *Table) End(server crlid.Server, amount Amount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := serverKeyOf(server)
	left := t.own.get(key).plus(amount, -1)
	if left.Requests < 0.5 {
		// Rounding errors of the other fields end with the last request.
		t.own.remove(key)
		return
	}
	t.own.set(key, Amount{Requests: left.Requests, PromptSeconds: max(left.PromptSeconds, 0), Tokens: max(left.Tokens, 0)})
}

// Others returns the load that other daemons are known to put on a server, by its weight, and the mean age of that knowledge. Two servers
// with the same key appear with the sum of both.
func (t *Table) Others(server crlid.Server, now crlclock.Instant) (amount Amount, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := t.others(now)
	return others.servers.get(serverKeyOf(server)), others.meanAge()
}

// Known returns the number of other daemons whose load Others holds, by its weight.
func (t *Table) Known(now crlclock.Instant) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.others(now).daemons
}

// Drops are the numbers of messages of other daemons that were ignored, by cause.
type Drops struct {
	Malformed    int // undecodable
	OtherVersion int // of another version of this package
	Implausible  int // more daemons than there are, or more load than servers can have
	Outdated     int // older than maxAge, or sent before one that was received
	Looped       int // returned to their sender, or passed on by too many daemons
	Misdirected  int // of followers that the source may depend on itself
	Excess       int // of more followers than a daemon has
}

// Drops returns the numbers of messages that were ignored so far.
func (t *Table) Drops() Drops {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drops
}

// totalInterval is the time for which the sum of other daemons' load is used while no messages arrive.
const totalInterval = 50 * time.Millisecond

// others returns the load of other daemons, which the caller must not change.
func (t *Table) others(now crlclock.Instant) *load {
	if t.total != nil && now.Sub(t.totalAt) < totalInterval {
		return t.total
	}
	t.total, t.totalAt = t.collect(now, 0, true), now
	t.limit(t.total)
	return t.total
}

// limit reduces a sum over all daemons but one if it holds more of them than there are. A daemon that has changed its source counts twice until
// the former source drops its report, most of all while the store is away and all daemons look for sources.
func (t *Table) limit(sum *load) {
	if most := float64(max(t.config.Daemons()-1, 0)); sum.daemons > most {
		sum.scale(most / sum.daemons)
	}
}

// collect returns the sum of the load of all followers but one and, if withSource is set, of the source. It drops old reports.
func (t *Table) collect(now crlclock.Instant, except daemonKey, withSource bool) *load {
	sum := newLoad()
	for key, r := range t.followers {
		if r.isDropped(now) {
			delete(t.followers, key)
		} else if key != except {
			sum.add(r.load, now.Sub(r.receivedAt))
		}
	}
	if t.source.isDropped(now) {
		t.source = nil
	} else if withSource {
		sum.add(t.source.load, now.Sub(t.source.receivedAt))
	}
	return sum
}

// addOwn adds this daemon's own load to a sum.
func (t *Table) addOwn(sum *load, now crlclock.Instant) {
	own := &load{daemons: 1, servers: t.own, services: make(map[serviceKey]*vector, len(t.flows))}
	for key, recent := range t.flows {
		if v := recent.decayed(now); v.isNotable() {
			own.services[key] = &v
		} else {
			delete(t.flows, key)
		}
	}
	sum.add(own, 0)
}

// isNotable reports whether a message about the vector would hold any figure.
func (v *vector) isNotable() bool {
	for _, f := range v {
		if encodeNumber(f.work, workUnit) > 0 || encodeNumber(f.count, countUnit) > 0 {
			return true
		}
	}
	return false
}
