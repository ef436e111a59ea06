package crlfleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Entry is what a backend server announces of itself.
type Entry struct {
	Server   crlid.Server
	Service  crlid.Service
	Address  string
	Domain   crlid.Domain
	Version  crlid.Version
	Leaving  bool          // Leaving servers finish their work and get nothing new.
	ColdLeft time.Duration // ColdLeft is how much longer the server bears only little load.
	Born     time.Time     // Born is the start of the server; another one means that it lost all it held.
}

// Config configures a Fleet.
type Config struct {
	Domain       crlid.Domain     // Domain is the daemon's own failure domain.
	Share        func() float64   // Share returns the daemon's part of limits that all daemons share, above 0 and at most 1.
	Daemons      func() int       // Daemons returns the number of daemons that send to the servers.
	ColdRatio    float64          // ColdRatio and ColdSlack bound the requests to a cold server in a second: rate * ratio + slack.
	ColdSlack    float64          // ColdSlack is in requests.
	Random       func() float64   // Random returns numbers in [0, 1); nil for the runtime's.
	Now          crlclock.Clock   // Now tells the time.
	OnTransition func(Transition) // Log takes each change of what the fleet believes of a server.
}

//go:generate go run github.com/dmarkham/enumer -type=Belief -trimprefix=Belief -transform=kebab -text -output=belief_enumer.go

// Belief is what the fleet believes of a server.
type State int

// What the fleet may come to believe.
const (
	StateInService State = iota // BeliefIn servers take work.
	StateLeaving                // BeliefLeaving servers have announced that they leave.
	StateGone                   // BeliefGone servers have no entry any more.
	StateRestarted              // BeliefReborn servers have started again.
	StateCold                   // BeliefCold servers bear only little load.
	StateSuspect                // BeliefSuspect servers failed and rest for a while.
)

// Transition is one change of what the fleet believes of a server.
type Transition struct {
	Server crlid.Server
	Entry  Entry
	State  State
	Cause  string
}

// server is one backend server with what the daemon saw of it.
type server struct {
	entry           Entry
	coldUntil       crlclock.Instant
	newVersionUntil crlclock.Instant // newUntil is the end of the rest of a server whose version is new.
	coldBucket      crlbudget.Bucket
	openRequests    int
	pendingWork     float64 // work is the open work in seconds of an unloaded server.
	health          health
	removed         bool
}

// Fleet holds the known servers; it may be used by several goroutines.
type Fleet struct {
	config    Config
	mu        sync.Mutex // mu guards all below.
	servers   map[crlid.Server]*server
	services  map[crlid.Service][]*server
	evacuated map[crlid.Domain]bool
	loads     map[crlid.Service]*serviceLoad
}

// load is what the daemon's own requests show of a service.
type serviceLoad struct {
	latencyFactor  average // pace is the usual latency of its answers against what was expected.
	excessWait     average // waits is the usual latency beyond what was expected, in seconds.
	unansweredWork float64 // reading is the work of sends whose answers have not begun, in seconds of an unloaded server.
	unanswered     int     // unread is the number of those sends.
}

// load returns what is known of a service.
func (f *Fleet) serviceLoad(service crlid.Service) *serviceLoad {
	l, ok := f.loads[service]
	if !ok {
		l = &serviceLoad{}
		f.loads[service] = l
	}
	return l
}

// New returns a fleet without servers.
func New(config Config) *Fleet {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.OnTransition == nil {
		config.OnTransition = func(Transition) {}
	}
	return &Fleet{
		config: config, servers: make(map[crlid.Server]*server), services: make(map[crlid.Service][]*server),
		evacuated: make(map[crlid.Domain]bool), loads: make(map[crlid.Service]*serviceLoad),
	}
}

// Announce takes the entry of a server, the newest that there is.
func (f *Fleet) Announce(e Entry, now crlclock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[e.Server]
	if !ok {
		s = &server{entry: e}
		if f.isNewVersion(e, now) {
			s.newVersionUntil = now.Add(newVersionDelay)
		}
		f.servers[e.Server] = s
		f.services[e.Service] = append(f.services[e.Service], s)
		f.config.OnTransition(Transition{Server: e.Server, Entry: e, State: StateInService, Cause: "announced"})
	}
	before := s.entry
	s.entry, s.removed = e, false
	if before.Service != e.Service {
		f.removeFromService(s, before.Service)
		f.services[e.Service] = append(f.services[e.Service], s)
	}
	if !before.Born.Equal(e.Born) || before.Address != e.Address {
		s.health = health{}
		f.config.OnTransition(Transition{Server: e.Server, Entry: e, State: StateRestarted, Cause: "announced another start"})
	}
	if e.Leaving && !before.Leaving {
		f.config.OnTransition(Transition{Server: e.Server, Entry: e, State: StateLeaving, Cause: "announced"})
	}
	if e.ColdLeft > 0 {
		if s.coldUntil < now {
			f.config.OnTransition(Transition{Server: e.Server, Entry: e, State: StateCold, Cause: "announced"})
		}
		s.coldUntil = max(s.coldUntil, now.Add(e.ColdLeft))
	}
}

// newVersionRest is the rest of a server whose version is new to its service: the order to move to it may still be on its way.
const newVersionDelay = 3 * time.Second

// newVersion reports whether a service has servers, but none of the entry's version.
func (f *Fleet) isNewVersion(e Entry, now crlclock.Instant) bool {
	servers := f.services[e.Service]
	for _, s := range servers {
		if s.entry.Version == e.Version && s.newVersionUntil <= now {
			return false
		}
	}
	return len(servers) > 0
}

// Remove takes that a server has no entry any more.
func (f *Fleet) Remove(id crlid.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	if !ok {
		return
	}
	s.removed = true
	delete(f.servers, id)
	f.removeFromService(s, s.entry.Service)
	f.config.OnTransition(Transition{Server: id, Entry: s.entry, State: StateGone, Cause: "entry removed"})
}

// unlist takes a server off the list of a service.
func (f *Fleet) removeFromService(s *server, service crlid.Service) {
	list := f.services[service]
	kept := make([]*server, 0, len(list))
	for _, other := range list {
		if other != s {
			kept = append(kept, other)
		}
	}
	f.services[service] = kept
}

// Servers returns the ids of all servers that have an entry.
func (f *Fleet) Servers() []crlid.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]crlid.Server, 0, len(f.servers))
	for id := range f.servers {
		ids = append(ids, id)
	}
	return ids
}

// Evacuate takes whether a failure domain is to get nothing.
func (f *Fleet) Evacuate(domain crlid.Domain, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[domain] = out
}

// Capacity returns how many servers of a service take work, those of one version and all others.
func (f *Fleet) Capacity(service crlid.Service, version crlid.Version) (of, others int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services[service] {
		switch {
		case !f.inService(s):
		case s.entry.Version == version:
			of++
		default:
			others++
		}
	}
	return of, others
}

func (f *Fleet) inService(s *server) bool {
	return !s.removed && !s.entry.Leaving && !f.evacuated[s.entry.Domain]
}
