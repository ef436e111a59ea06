package crlfleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpartition"
)

// Entry is what a backend server announces about itself.
type Entry struct {
	Server    crlid.Server
	Service   crlid.Service
	Address   string        // host and port
	Domain    crlid.Domain  // failure domain
	Version   crlid.Version // version of the software that the server runs
	Leaving   bool          // finishes its open requests and gets no new ones
	ColdLeft  time.Duration // remaining time for which the server is cold and can handle only little load
	Slots     int           // requests that the server works on at once, 0 if not announced
	StartedAt time.Time     // start time of the server's process; when it changes, the server has lost its state
}

// Config configures a Fleet.
type Config struct {
	Domain  crlid.Domain // failure domain of this daemon
	Slots   Slots        // this daemon's part of the limits of cold servers
	Daemons func() int   // returns the number of daemons that send requests to the servers
	// Rank returns this daemon's position, from 0, in the order of all daemons for a key, and their number; ok is false if it isn't known to be one of
	// them. It divides the places of brittle servers. nil stands for a daemon that is alone.
	Rank         func(key uint64) (rank, daemons int, ok bool)
	ColdRatio    float64        // a cold server gets at most ColdRatio * Need.ColdRate + ColdSlack requests in any second
	ColdSlack    float64        // requests that a cold server may get beyond the ratio in any second, from all daemons together
	Loads        Loads          // exchanges the load of model engines with other daemons; nil for none
	Random       func() float64 // returns random numbers in [0, 1), called with the fleet locked; nil for math/rand/v2
	Now          crlclock.Clock
	OnTransition func(Transition) // called on each change of a server's state, with the fleet locked; nil for none
}

// Slots tells which slots this daemon may use, of those into which the limits that daemons share are divided.
type Slots interface {
	// Count returns the number of slots of all daemons.
	Count() int
	// Holds reports whether this daemon may use a slot. No other daemon may use it at the same time.
	Holds(slot crlbudget.Slot, now crlclock.Instant) bool
}

//go:generate go run github.com/dmarkham/enumer -type=State -trimprefix=State -transform=kebab -linecomment -text -output=state_enumer.go

// State is a state that a server enters. Log lines show the text that its String method returns.
type State int

// The states of a server. The comment at the end of a constant's line, if any, is the text that String returns.
const (
	// StateInService servers accept requests.
	StateInService State = iota // in
	// StateLeaving servers have announced, or stated in an answer, that they are shutting down.
	StateLeaving
	// StateGone servers no longer have an entry.
	StateGone
	// StateRestarted servers have announced another start time or address.
	StateRestarted // reborn
	// StateCold servers can handle only little load.
	StateCold
	// StateSuspect servers failed and are in a backoff time.
	StateSuspect
	// StatePaused servers have asked for no requests for a time.
	StatePaused
	// StateLimited servers state in their answers how many requests per second they take.
	StateLimited
	// StateBrittle servers state in their answers how many requests per second they can turn away.
	StateBrittle
)

// Transition is one change of the state of a server.
type Transition struct {
	Server crlid.Server
	Entry  Entry  // newest entry; the last one if State is StateGone
	State  State  // state that the server entered
	Cause  string // why the state changed, for the log
}

// server is one backend server, with this daemon's observations. The fields that every selection reads come first: those of all servers
// then fit into the processor's cache.
type server struct {
	removed         bool             // the server no longer has an entry
	statedLeaving   bool             // an answer stated that the server leaves
	isEvacuated     bool             // the failure domain of the server is evacuated
	coldUntil       crlclock.Instant // the server is cold until then
	newVersionUntil crlclock.Instant // other servers are preferred until then; see newVersionDelay
	pausedUntil     crlclock.Instant
	answeredAt      crlclock.Instant // when the latest request that it answered was sent, 0 for none
	limit           *statedLimit     // nil without one
	pendingWork     float64          // work of this daemon's open requests, in seconds of an unloaded server
	tokens          float64          // tokens of this daemon's open requests, if their load is exchanged
	remote          remoteLoad
	place           crlpartition.Place // as of serviceLoad.placedAt
	segment         int                // that the place belongs to
	version         int                // index in serviceLoad.versions
	health          health
	brittle         brittleness
	entry           Entry
	coldBuckets     []crlbudget.Bucket // limit the rate of requests while the server is cold; each belongs to a slot
	openRequests    int
	announcedAt     crlclock.Instant // when the server's process was announced first
	order           uint64           // see placeOrder
}

// Fleet holds the known servers of all services. It is safe for concurrent use.
type Fleet struct {
	config    Config
	mu        sync.Mutex // guards the fields below
	servers   map[crlid.Server]*server
	services  map[crlid.Service][]*server
	evacuated map[crlid.Domain]bool
	loads     map[crlid.Service]*serviceLoad
	entryAge  entryAge
	leaving   map[crlid.Server]time.Time // start times of the servers that stated in an answer that they leave

	brittleRejections int // see BrittleState

	candidates []candidate      // reused by selections
	verdicts   []versionVerdict // reused by selections
	hashed     []byte           // reused by holderHashes
	generator  *rand.PCG        // used without Config.Random
}

// serviceLoad holds what this daemon's requests showed about the load of a service.
type serviceLoad struct {
	latencyFactor average // time to the first byte as a multiple of the expected one
	excessWait    average // time to the first byte beyond the expected one, in seconds
	bySize        [crlpartition.BucketCount]sizeBacklog
	segments      [segmentCount]segmentWait
	partition     crlpartition.Partition
	placedAt      crlclock.Instant // when the places of the servers were last computed
	ordered       []*server        // servers of the service in the order of their places, empty if not known
	versions      []crlid.Version  // of these servers
	holders       [holderKeyCount]holderHashes
	remote        remoteState
	brittle       serviceBrittleness
}

// serviceLoad returns the load of a service, and adds an empty one first if there is none.
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
	if config.OnTransition == nil {
		config.OnTransition = func(Transition) {}
	}
	if config.Rank == nil {
		config.Rank = func(uint64) (rank, daemons int, ok bool) { return 0, 1, true }
	}
	return &Fleet{
		config: config, generator: rand.NewPCG(rand.Uint64(), rand.Uint64()), servers: make(map[crlid.Server]*server), services: make(map[crlid.Service][]*server),
		evacuated: make(map[crlid.Domain]bool), loads: make(map[crlid.Service]*serviceLoad),
		leaving: make(map[crlid.Server]time.Time),
	}
}

// random returns a random number in [0, 1).
func (f *Fleet) random() float64 {
	if f.config.Random != nil {
		return f.config.Random()
	}
	const bits = 53 // of the mantissa
	return float64(f.generator.Uint64()>>(64-bits)) / (1 << bits)
}

// random2 returns two random numbers in [0, 1), of 32 bits each without Config.Random. A selection takes two for each server: the generator
// of math/rand/v2, which is safe for concurrent use, takes several times as long for them.
func (f *Fleet) random2() (first, second float64) {
	if f.config.Random != nil {
		return f.config.Random(), f.config.Random()
	}
	const bits = 32
	both := f.generator.Uint64()
	return float64(both>>bits) / (1 << bits), float64(uint32(both)) / (1 << bits)
}

// Announce adds a server or replaces its entry. Entries of one server must be announced from the oldest to the newest.
func (f *Fleet) Announce(e Entry, now crlclock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[e.Server]
	if !ok {
		s = &server{entry: e, announcedAt: now, order: placeOrder(e.Server), statedLeaving: f.hasStatedLeaving(e)}
		if f.isNewVersion(e, now) {
			s.newVersionUntil = now.Add(newVersionDelay)
		}
		f.servers[e.Server] = s
		f.services[e.Service] = append(f.services[e.Service], s)
		f.forgetOrder(e.Service)
		f.serviceLoad(e.Service).remote.refreshedAt = 0 // Without an estimate, the server would look idle.
		f.config.OnTransition(Transition{Server: e.Server, Entry: e, State: StateInService, Cause: "announced"})
	}
	before := s.entry
	s.entry, s.removed = e, false
	if before.Service != e.Service {
		f.removeFromService(s, before.Service)
		f.services[e.Service] = append(f.services[e.Service], s)
	}
	if before.Service != e.Service || before.Domain != e.Domain || before.Version != e.Version {
		f.forgetOrder(e.Service)
	}
	s.isEvacuated = f.evacuated[e.Domain]
	if !before.StartedAt.Equal(e.StartedAt) || before.Address != e.Address {
		s.health, s.limit, s.statedLeaving, s.pausedUntil, s.brittle, s.announcedAt = health{}, nil, false, 0, brittleness{}, now
		f.config.OnTransition(Transition{Server: e.Server, Entry: e, State: StateRestarted, Cause: "announced another start time or address"})
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

// newVersionDelay is how long a new server is picked only if no other can be, when its version is new to the service: the
// roll-out order for that version may not have arrived yet.
const newVersionDelay = 3 * time.Second

// isNewVersion reports whether the entry's service has servers, but none of the entry's version whose newVersionDelay is over.
func (f *Fleet) isNewVersion(e Entry, now crlclock.Instant) bool {
	servers := f.services[e.Service]
	for _, s := range servers {
		if s.entry.Version == e.Version && s.newVersionUntil <= now {
			return false
		}
	}
	return len(servers) > 0
}

// Remove removes a server that no longer has an entry. It has no effect on an unknown server.
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

// removeFromService removes a server from the list of a service.
func (f *Fleet) removeFromService(s *server, service crlid.Service) {
	list := f.services[service]
	kept := make([]*server, 0, len(list))
	for _, other := range list {
		if other != s {
			kept = append(kept, other)
		}
	}
	f.services[service] = kept
	f.forgetOrder(service)
}

// Servers returns the IDs of all servers that have an entry, in no particular order.
func (f *Fleet) Servers() []crlid.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]crlid.Server, 0, len(f.servers))
	for id := range f.servers {
		ids = append(ids, id)
	}
	return ids
}

// Addresses returns the addresses of all servers that are in service.
func (f *Fleet) Addresses() (addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if f.inService(s) {
			addresses = append(addresses, s.entry.Address)
		}
	}
	return addresses
}

// Evacuate starts the evacuation of a failure domain if evacuated is true, and ends it otherwise. Servers in an evacuated domain
// get no new requests.
func (f *Fleet) Evacuate(domain crlid.Domain, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[domain] = evacuated
	for _, s := range f.servers {
		s.isEvacuated = f.evacuated[s.entry.Domain]
	}
}

// Capacity returns the number of a service's servers that accept new requests: those of the given version and all others.
func (f *Fleet) Capacity(service crlid.Service, version crlid.Version) (target, others int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services[service] {
		switch {
		case !f.inService(s):
		case s.entry.Version == version:
			target++
		default:
			others++
		}
	}
	return target, others
}

// inService reports whether a server accepts new requests, regardless of its health.
func (f *Fleet) inService(s *server) bool {
	return !s.removed && !s.entry.Leaving && !s.statedLeaving && !s.isEvacuated
}
