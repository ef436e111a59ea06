package crlbalance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Request describes an attempt that needs a backend server. Either Version or Service is set.
type Request struct {
	Configuration *crlconfig.Configuration
	Version       crlid.Version         // version that the attempt needs, for model engines
	Service       crlid.Service         // service that the attempt needs, for plain services
	Prefer        crlid.Server          // server that may hold the session's cache, empty for none
	Prefix        uint64                // hash of the first part of the prompt, 0 when unknown
	Exclude       map[crlid.Server]bool // servers that must not be picked
}

// Result is the outcome of an attempt at a server.
type Result struct {
	Server     crlid.Server
	Version    crlid.Version
	Class      crlid.Class
	Boot       crlid.Boot    // boot of the server, as stated in its answer; empty when unknown
	Load       int           // open attempts that the server reported, 0 when unknown
	FirstToken time.Duration // time to the first token
	Failed     bool
}

// Config configures a Balancer.
type Config struct {
	Domain crlid.Domain // failure domain of this daemon
	Seed   uint64       // seed of the random choices, 0 for a random seed
}

// Balancer counts the daemon's open attempts and picks servers. It is safe for concurrent use.
type Balancer struct {
	config  Config
	current atomic.Pointer[index] // index of the newest configuration, nil before the first pick
	random  *random
	mu      sync.Mutex               // guards servers, the replacement of current, and ejections
	servers map[crlid.Server]*server // states of all servers that were ever seen
}

// New returns a balancer without open attempts.
func New(config Config) *Balancer {
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	return &Balancer{config: config, servers: make(map[crlid.Server]*server), random: newRandom(config.Seed)}
}

// Pick returns the server for an attempt. ok is false if the version or service has no server in service, or if the
// request excludes all of them.
func (b *Balancer) Pick(request Request) (id crlid.Server, ok bool) {
	return b.pick(request, time.Now())
}

// Started counts an attempt as open.
func (b *Balancer) Started(server crlid.Server) { b.server(server).open.Add(1) }

// Reported records the number of open attempts of all daemons that a server reported in the headers of an answer.
func (b *Balancer) Reported(server crlid.Server, load int) { b.reported(server, load, time.Now()) }

// Finished counts an attempt as closed and records whether it failed; several failures in a row eject the server.
func (b *Balancer) Finished(result Result) { b.finished(result, time.Now()) }

// Eject excludes a server from picks for a while, unless more than half of the servers of one of its versions, or of its
// service, would then be ejected.
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

// server returns the state of a server, which is kept as long as the balancer.
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

// random is a seeded random source that is safe for concurrent use.
type random struct {
	mu     sync.Mutex // guards source
	source *rand.PCG
}

func newRandom(seed uint64) *random { return &random{source: rand.NewPCG(seed, seed)} }

func (r *random) next() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint64()
}
