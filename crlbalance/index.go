package crlbalance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// pool holds the servers of one version or plain service that are in service.
type pool struct {
	sameDomain   []*server // servers in the daemon's own failure domain
	otherDomains []*server
}

func (p *pool) size() int { return len(p.sameDomain) + len(p.otherDomains) }

// ejected counts the servers that are ejected.
func (p *pool) ejected(now time.Time) int {
	n := 0
	for s := range p.all {
		if s.isEjected(now) {
			n++
		}
	}
	return n
}

// endExcessEjections ends all ejections in a pool in which more than half of the servers are ejected. That happens when
// servers that weren't ejected leave the pool.
func (p *pool) endExcessEjections(now time.Time) {
	if 2*p.ejected(now) <= p.size() {
		return
	}
	for s := range p.all {
		s.ejectedUntil.Store(0)
	}
}

// all yields every server of the pool.
func (p *pool) all(yield func(*server) bool) {
	for _, group := range [][]*server{p.sameDomain, p.otherDomains} {
		for _, s := range group {
			if !yield(s) {
				return
			}
		}
	}
}

// index holds the pools of one configuration. It doesn't change once built.
type index struct {
	configuration *crlconfig.Configuration
	servers       map[crlid.Server]*server
	versions      map[crlid.Version]*pool
	services      map[crlid.Service]*pool
	pools         map[crlid.Server][]*pool // pools that contain each server
	previous      *index                   // index of the previous configuration, for requests that loaded it before the change
}

func (x *index) poolFor(request Request) *pool {
	if request.Service != "" {
		return x.services[request.Service]
	}
	return x.versions[request.Version]
}

// index returns the index of a configuration, and builds it if the configuration is new.
func (b *Balancer) index(c *crlconfig.Configuration, now time.Time) *index {
	if x := b.current.Load().find(c); x != nil {
		return x
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.current.Load()
	if x := last.find(c); x != nil {
		return x
	}
	x := b.build(c, last, now)
	b.current.Store(x)
	return x
}

// find returns the index of a configuration if it is x or the previous one, else nil.
func (x *index) find(c *crlconfig.Configuration) *index {
	switch {
	case x == nil:
		return nil
	case x.configuration == c:
		return x
	case x.previous != nil && x.previous.configuration == c:
		return x.previous
	default:
		return nil
	}
}

// build returns the index of a configuration. A server that is missing from the last index starts to ramp up, unless last
// is nil. The caller holds mu.
func (b *Balancer) build(c *crlconfig.Configuration, last *index, now time.Time) *index {
	x := &index{
		configuration: c, servers: make(map[crlid.Server]*server), versions: make(map[crlid.Version]*pool),
		services: make(map[crlid.Service]*pool), pools: make(map[crlid.Server][]*pool),
	}
	for id, configured := range c.Servers {
		if !c.InService(id) {
			continue
		}
		s := b.serverLocked(id)
		s.warmLimit.Store(int64(configured.WarmLimit))
		if last != nil && last.servers[id] == nil {
			s.rampStart.Store(now.UnixNano())
		}
		x.add(s, configured, configured.Domain == b.config.Domain)
	}
	for p := range x.all {
		p.sort()
		p.endExcessEjections(now)
	}
	if last != nil {
		x.previous = &index{
			configuration: last.configuration, servers: last.servers, versions: last.versions,
			services: last.services, pools: last.pools,
		}
	}
	return x
}

func (x *index) add(s *server, configured crlconfig.Server, sameDomain bool) {
	x.servers[s.id] = s
	if configured.Kind == crlconfig.KindService {
		x.addToPool(poolAt(x.services, configured.Service), s, sameDomain)
		return
	}
	for _, v := range configured.Versions {
		x.addToPool(poolAt(x.versions, v), s, sameDomain)
	}
}

func (x *index) addToPool(p *pool, s *server, sameDomain bool) {
	x.pools[s.id] = append(x.pools[s.id], p)
	if sameDomain {
		p.sameDomain = append(p.sameDomain, s)
		return
	}
	p.otherDomains = append(p.otherDomains, s)
}

func poolAt[K comparable](pools map[K]*pool, key K) *pool {
	p, ok := pools[key]
	if !ok {
		p = &pool{}
		pools[key] = p
	}
	return p
}

// all yields the pools of every version and plain service.
func (x *index) all(yield func(*pool) bool) {
	for _, p := range x.versions {
		if !yield(p) {
			return
		}
	}
	for _, p := range x.services {
		if !yield(p) {
			return
		}
	}
}

// sort orders the servers by name, so that one seed always gives the same choices.
func (p *pool) sort() {
	order := func(a, b *server) int { return cmp.Compare(a.id, b.id) }
	slices.SortFunc(p.sameDomain, order)
	slices.SortFunc(p.otherDomains, order)
}
