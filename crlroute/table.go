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

// Kind classifies the requests of a route by whether they may be repeated, and how they are answered.
type Kind int

// The kinds of routes.
const (
	KindIdempotent    Kind = iota // requests may run more than once
	KindNonIdempotent             // requests run at most once
	KindStream                    // answers are streams of events
)

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service crlid.Service
	Weight  int // relative to the sum over the route's targets
}

// Route specifies how the requests for one host and path prefix are handled.
type Route struct {
	Name      crlid.Route
	Host      string // in lower case, without a port
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // longest time from a request's arrival to the end of its answer, 0 for no limit
	Objective time.Duration // latency objective: an answer has its full value only within it; 0 for none
	MaxPause  time.Duration // longest pause between two events of a stream that has its full value, 0 if not stated
	Priority  int           // rank of the route's requests at their server, 0 for the most urgent
	Attempts  int           // largest number of sends of one request
	Public    bool          // requests need no API key, whatever TableConfig.RequireKeys says
	Resumable bool          // another backend server may continue an interrupted stream
	Affinity  bool          // prefer backend servers that have the prompt's shared parts cached
	Models    []crlid.Model // models from which the router chooses, smallest first; empty if the caller names the model
	Targets   []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Pick returns the service for a request with the given hash, by the targets' weights; a repeated request gets the same
// service. ok is false when no target has weight.
func (r *Route) Pick(hash uint64) (service crlid.Service, ok bool) {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return "", false
	}
	remainder := int(hash % uint64(total))
	for _, t := range r.Targets {
		if remainder -= t.Weight; remainder < 0 {
			return t.Service, true
		}
	}
	return "", false
}

// Service describes the backend servers of one service.
type Service struct {
	Name           crlid.Service
	ColdRate       float64      // requests per second that a cold (just started) server can handle, 0 for no limit
	Slots          int          // batch size of a model engine, 0 for services without one
	MemoryTokens   crlid.Tokens // tokens of running requests and cached prompts that a model engine has memory for, 0 if not stated
	EventTokens    crlid.Tokens // tokens in one event of a model engine's stream, 0 if not stated
	MaxConnections int          // connections that a server accepts from all daemons together, 0 if not stated
	Models         []ModelCost  // models of an engine with their stated costs, in the order of the configuration
}

// ModelCost is the stated cost of a model.
type ModelCost struct {
	Model crlid.Model
	Cost  float64 // relative cost of a generated token
}

// Organisation is a customer, whose API keys give access to routes that are not Public.
type Organisation struct {
	Name        crlid.Organisation
	Priority    int  // replaces Route.Priority if HasPriority is set
	HasPriority bool // the organisation has a priority of its own
}

// Limits bound what a caller may send and how long it may take. A limit of 0 is not set.
type Limits struct {
	HeaderBytes   int           // limit on the size of all headers of one request
	BodyBytes     int64         // limit on the size of the body of one request
	HeaderTimeout time.Duration // limit on the time for reading the headers of one request
	IdleTimeout   time.Duration // limit on the time between two requests on one connection
}

// TableConfig is the content of a Table.
type TableConfig struct {
	Version     int64 // assigned by the operators
	Routes      []Route
	Services    []Service
	Keys        map[string]Organisation // by API key
	RequireKeys bool                    // requests need an API key on all routes that are not Public
	Limits      Limits
}

// Table is an immutable routing configuration.
type Table struct {
	config   TableConfig
	byHost   map[string][]*Route // longest prefix first
	services map[crlid.Service]*Service
}

// NewTable returns a table with the given content. It keeps the slices and maps of config, which must not change afterwards.
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

// Version returns the configuration's version, which the operators assign.
func (t *Table) Version() int64 { return t.config.Version }

// RequiresKeys reports whether requests need an API key on all routes that are not Public.
func (t *Table) RequiresKeys() bool { return t.config.RequireKeys }

// Limits returns the limits on what callers send.
func (t *Table) Limits() Limits { return t.config.Limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.config.Routes) }

// Match returns the route for a request: of the host's routes with whose prefix the path begins, the one with the longest prefix.
// It returns nil if there is none. The case and the port of host are ignored.
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

// Service returns the service of a name, or nil if it is not configured.
func (t *Table) Service(name crlid.Service) *Service { return t.services[name] }

// HasEngines reports whether any service is a model engine.
func (t *Table) HasEngines() bool {
	return slices.ContainsFunc(t.config.Services, func(s Service) bool { return s.Slots > 0 })
}

// Organisation returns the organisation that an API key belongs to; ok is false for an unknown key.
func (t *Table) Organisation(key string) (organisation Organisation, ok bool) {
	organisation, ok = t.config.Keys[key]
	return organisation, ok
}
