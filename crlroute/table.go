package crlroute

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go run github.com/dmarkham/enumer -type=Kind -trimprefix=Kind -transform=kebab -text -output=kind_enumer.go

// Kind tells what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	KindIdempotent    Kind = iota // KindIdempotent requests may run more than once.
	KindNonIdempotent             // KindNonIdempotent requests run at most once.
	KindStream                    // KindStream answers are series of events.
)

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service crlid.Service
	Weight  int // Weight is relative to the sum over the route's targets.
}

// Route says how requests of one host and path prefix are handled.
type Route struct {
	Name      crlid.Route
	Host      string
	Prefix    string // Prefix begins and ends with a slash.
	Kind      Kind
	Timeout   time.Duration // Timeout is the longest that a request is kept waiting.
	Objective time.Duration // Objective is the latency within which an answer counts in full.
	Priority  int           // Priority ranks routes, 0 is the most urgent.
	Attempts  int           // Attempts bounds the backend servers that one request may be sent to.
	Open      bool          // Open routes need no key.
	Resumable bool          // Resumable streams may be carried on at another backend server.
	Affinity  bool          // Affinity asks for servers that hold the prompt's shared parts.
	Models    []crlid.Model // Models lists the models of a cascade, smallest first; empty where the caller names the model.
	Targets   []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Pick returns the service for a request, chosen by a hash so that repeats of it agree.
func (r *Route) Pick(hash uint64) (service crlid.Service, ok bool) {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return "", false
	}
	rest := int(hash % uint64(total))
	for _, t := range r.Targets {
		if rest -= t.Weight; rest < 0 {
			return t.Service, true
		}
	}
	return "", false
}

// Service describes the backend servers of one service.
type Service struct {
	Name     crlid.Service
	ColdRate float64 // ColdRate is the requests per second that a cold server bears, 0 for no limit.
	Slots    int     // Slots is the batch of a model engine, 0 for plain services.
}

// Organisation is a customer whose keys open routes.
type Organisation struct {
	Name     crlid.Organisation
	Priority int // Priority goes before the route's where Ranked is set.
	Ranked   bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// TableConfig is the content of a Table.
type TableConfig struct {
	Version     int64
	Routes      []Route
	Services    []Service
	Keys        map[string]Organisation // Keys maps each key to its organisation.
	RequireKeys bool                    // Keyed is set when routes that aren't open need a key.
	Limits      Limits
}

// Table is an immutable routing configuration.
type Table struct {
	config   TableConfig
	byHost   map[string][]*Route
	services map[crlid.Service]*Service
}

// NewTable returns the table of a configuration.
func NewTable(config TableConfig) *Table {
	t := &Table{config: config, byHost: make(map[string][]*Route), services: make(map[crlid.Service]*Service)}
	for i := range config.Routes {
		r := &config.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

// Version is the operators' number of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Keyed reports whether routes that aren't open need a key.
func (t *Table) RequiresKeys() bool { return t.config.RequireKeys }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Routes returns the number of routes.
func (t *Table) RouteCount() int { return len(t.config.Routes) }

// Match returns the route with the longest prefix of the path among those of the host, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil when it is not configured.
func (t *Table) Service(name crlid.Service) *Service { return t.services[name] }

// Organisation returns the holder of a key.
func (t *Table) Organisation(key string) (organisation Organisation, ok bool) {
	organisation, ok = t.config.Keys[key]
	return organisation, ok
}
