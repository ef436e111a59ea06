package crlbalance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Request is what a backend server is wanted for.
type Request struct {
	Configuration *crlconfig.Configuration
	Version       crlid.Version // Version is set for model engines.
	Service       crlid.Service // Service is set for plain services.
	Prefer        crlid.Server  // Prefer is the server that may hold the session's cache.
	Prefix        uint64        // Prefix is a hash of the prompt's beginning, 0 when unknown.
	Exclude       map[crlid.Server]bool
}

// Result is how an attempt at a server ended.
type Result struct {
	Server     crlid.Server
	Version    crlid.Version
	Class      crlid.Class
	Boot       crlid.Boot
	Load       int // Load is what the server reported, 0 when unknown.
	FirstToken time.Duration
	Failed     bool
}

// Config configures a Balancer.
type Config struct {
	Domain crlid.Domain // Domain is the daemon's own failure domain.
	Seed   uint64       // Seed makes choices repeatable, 0 for a random one.
}

// Balancer counts the daemon's open attempts and chooses servers.
type Balancer struct {
	config  Config
	current atomic.Pointer[index]
	random  *random
	mu      sync.Mutex // mu guards the set of servers, the change of index and ejections.
	servers map[crlid.Server]*server
}

// New returns a balancer without open attempts.
func New(config Config) *Balancer {
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	return &Balancer{config: config, servers: make(map[crlid.Server]*server), random: newRandom(config.Seed)}
}

// Pick returns the server to send to; ok is false when none is in service.
func (b *Balancer) Pick(request Request) (id crlid.Server, ok bool) {
	return b.pick(request, time.Now())
}

// Started counts an attempt as open.
func (b *Balancer) Started(server crlid.Server) { b.server(server).open.Add(1) }

// Reported takes the load that a server stated in the head of an answer.
func (b *Balancer) Reported(server crlid.Server, load int) { b.reported(server, load, time.Now()) }

// Finished counts an attempt as closed and takes what it showed.
func (b *Balancer) Finished(result Result) { b.finished(result, time.Now()) }

// Eject takes a server out of choice for a while, unless that leaves less than half of the servers of a version.
func (b *Balancer) Eject(server crlid.Server) { b.eject(b.server(server), time.Now()) }

func (b *Balancer) pick(request Request, now time.Time) (crlid.Server, bool) {
	pool := b.index(request.Configuration, now).poolFor(request)
	if pool == nil {
		return "", false
	}
	c := chooser{request: request, pool: pool, now: now, random: b.random}
	if s := c.choose(); s != nil {
		return s.id, true
	}
	return "", false
}

func (b *Balancer) reported(id crlid.Server, load int, now time.Time) {
	if load > 0 {
		b.server(id).report(load, now)
	}
}

func (b *Balancer) finished(result Result, now time.Time) {
	s := b.server(result.Server)
	s.open.Add(-1)
	if !result.Failed {
		s.consecutiveFailures.Store(0)
		return
	}
	if s.consecutiveFailures.Add(1) >= failuresToEject {
		b.eject(s, now)
	}
}

// server returns the counters of a server, which live as long as the balancer.
func (b *Balancer) server(id crlid.Server) *server {
	if x := b.current.Load(); x != nil {
		if s, ok := x.servers[id]; ok {
			return s
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serverLocked(id)
}

func (b *Balancer) serverLocked(id crlid.Server) *server {
	s, ok := b.servers[id]
	if !ok {
		s = &server{id: id, hash: hashServer(id)}
		b.servers[id] = s
	}
	return s
}

// random is a seeded source that several goroutines may use.
type random struct {
	mu     sync.Mutex // mu guards source.
	source *rand.PCG
}

func newRandom(seed uint64) *random { return &random{source: rand.NewPCG(seed, seed)} }

func (r *random) next() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint64()
}
