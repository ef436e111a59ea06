package crlconfig

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=VersionState -trimprefix=Version -transform=kebab -json -text -output=versionstate_enumer.go
//go:generate go tool enumer -type=ServiceState -trimprefix=Service -transform=kebab -json -text -output=servicestate_enumer.go
//go:generate go tool enumer -type=ServerKind -trimprefix=Kind -transform=kebab -json -text -output=serverkind_enumer.go

// VersionState is the operators' setting for which work a version accepts.
type VersionState int

// The states of a version.
const (
	VersionLive      VersionState = iota // accepts all work
	VersionRetiring                      // accepts only calls of sessions that began on it
	VersionWithdrawn                     // accepts no new work, not even of its sessions
)

// ServiceState is the operators' setting for whether a failure domain or a backend server accepts new work.
type OperatingState int

// The states of a failure domain or a backend server.
const (
	StateInService OperatingState = iota
	StateOut
)

// ServerKind distinguishes model engines from plain services.
type ServerKind int

// The kinds of backend servers.
const (
	KindEngine ServerKind = iota
	KindService
)

// Configuration is the content of one configuration file. It is immutable, so goroutines share it without locks.
type Configuration struct {
	Name          string
	Organisations map[crlid.Organisation]Organisation
	Versions      map[crlid.Version]Version
	Classes       map[crlid.Class]Class
	Domains       map[crlid.Domain]Domain
	Services      map[crlid.Service]Service
	Servers       map[crlid.Server]Server

	organisationByDigest map[string]crlid.Organisation
}

// Organisation is a customer: what it may use and its share of the fleet.
type Organisation struct {
	ID        crlid.Organisation
	KeyDigest string  // SHA-256 of the callers' API key, in lower-case hexadecimal
	Weight    float64 // relative share of the fleet under overload
	Guarantee int     // number of concurrent requests that are never shed in favour of other organisations
	Versions  map[crlid.Version]bool
	Services  map[crlid.Service]bool
}

// Version is a deployable version of a model.
type Version struct {
	ID           crlid.Version
	Model        crlid.Model
	State        VersionState
	CostPerToken crlid.MicroCost
	Quality      crlid.Quality // operators' estimate, used until ratings of answers are known
}

// Class is a class of requests with its service-level goals.
type Class struct {
	ID            crlid.Class
	Target        crlid.Quality // lowest quality that an answer should have
	FirstToken    time.Duration // goal for the time until the first token
	BetweenTokens time.Duration // goal for the time between two tokens
	Patient       bool          // requests tolerate waiting in the queue
}

// Domain is a failure domain: servers and daemons that may fail together.
type Domain struct {
	ID    crlid.Domain
	State OperatingState
}

// Service is a plain service: HTTP calls that no model answers.
type Service struct {
	ID         crlid.Service
	Idempotent bool
	Cost       crlid.MicroCost // billed for each call
}

// Server is a backend server: a model engine or a server of a plain service.
type Server struct {
	ID        crlid.Server
	Address   string // IP address and port
	Domain    crlid.Domain
	Kind      ServerKind
	State     OperatingState
	Versions  []crlid.Version // versions that an engine should serve
	Service   crlid.Service   // the service of a KindService server
	WarmLimit int             // concurrent requests once the server is warm
	ColdLimit int             // concurrent requests during a cold start
	ColdTime  time.Duration   // upper bound of a cold start
	Fencing   bool            // the server refuses orders that carry an outdated term
}

// InService reports whether the server and its failure domain accept new work. It is false for an unknown server.
func (c *Configuration) InService(id crlid.Server) bool {
	s, ok := c.Servers[id]
	if !ok || s.State != StateInService {
		return false
	}
	d, ok := c.Domains[s.Domain]
	return ok && d.State == StateInService
}

// Allows reports whether the organisation may use the version.
func (c *Configuration) Allows(organisation crlid.Organisation, version crlid.Version) bool {
	return c.Organisations[organisation].Versions[version]
}

// AcceptsNewWork reports whether the version accepts work that belongs to no session yet.
func (c *Configuration) AcceptsRequestsWithoutSession(version crlid.Version) bool {
	v, ok := c.Versions[version]
	return ok && v.State == VersionLive
}

// AcceptsSessionCalls reports whether the version accepts calls of sessions that began on it.
func (c *Configuration) AcceptsSessionCalls(version crlid.Version) bool {
	v, ok := c.Versions[version]
	return ok && v.State != VersionWithdrawn
}

// Organisation returns the organisation whose API key has the digest, in lower-case hexadecimal.
func (c *Configuration) Organisation(digest string) (Organisation, bool) {
	id, ok := c.organisationByDigest[digest]
	return c.Organisations[id], ok
}
