package crlconfig

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=VersionState -trimprefix=Version -transform=kebab -json -text -output=versionstate_enumer.go
//go:generate go tool enumer -type=ServiceState -trimprefix=Service -transform=kebab -json -text -output=servicestate_enumer.go
//go:generate go tool enumer -type=ServerKind -trimprefix=Kind -transform=kebab -json -text -output=serverkind_enumer.go

// VersionState is what operators decided about a version.
type VersionState int

// The states of a version.
const (
	VersionLive      VersionState = iota // VersionLive takes all work.
	VersionRetiring                      // VersionRetiring takes calls of its sessions only.
	VersionWithdrawn                     // VersionWithdrawn takes no new work at all.
)

// ServiceState is what operators decided about a failure domain or a backend server.
type ServiceState int

// The states of a failure domain or a backend server.
const (
	ServiceInService ServiceState = iota
	ServiceOut
)

// ServerKind tells model engines from plain services.
type ServerKind int

// The kinds of backend servers.
const (
	KindEngine ServerKind = iota
	KindService
)

// Configuration is one whole file as operators applied it; it never changes once parsed.
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

// Organisation says what an organisation may use and its share of the fleet.
type Organisation struct {
	ID        crlid.Organisation
	KeyDigest string // KeyDigest is the SHA-256 of the caller's key in hexadecimal.
	Weight    float64
	Guarantee int // Guarantee is the number of concurrent requests that are never shed for others.
	Versions  map[crlid.Version]bool
	Services  map[crlid.Service]bool
}

// Version describes a deployable version of a model.
type Version struct {
	ID           crlid.Version
	Model        crlid.Model
	State        VersionState
	CostPerToken crlid.MicroCost
	Quality      crlid.Quality // Quality is the operators' estimate before any rating is known.
}

// Class describes a class of requests.
type Class struct {
	ID            crlid.Class
	Target        crlid.Quality
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Patient       bool
}

// Domain describes a failure domain.
type Domain struct {
	ID    crlid.Domain
	State ServiceState
}

// Service describes a plain service.
type Service struct {
	ID         crlid.Service
	Idempotent bool
	Cost       crlid.MicroCost // Cost is billed for each call.
}

// Server describes a backend server.
type Server struct {
	ID        crlid.Server
	Address   string // Address is an IP number and a port.
	Domain    crlid.Domain
	Kind      ServerKind
	State     ServiceState
	Versions  []crlid.Version // Versions are those that the server should serve.
	Service   crlid.Service
	WarmLimit int
	ColdLimit int
	ColdTime  time.Duration // ColdTime is the longest that a cold start takes.
	Fencing   bool          // Fencing is true when the server refuses orders with an old term.
}

// InService reports whether the server and its failure domain take new work.
func (c *Configuration) InService(id crlid.Server) bool {
	s, ok := c.Servers[id]
	if !ok || s.State != ServiceInService {
		return false
	}
	d, ok := c.Domains[s.Domain]
	return ok && d.State == ServiceInService
}

// Allows reports whether the organisation may use the version.
func (c *Configuration) Allows(organisation crlid.Organisation, version crlid.Version) bool {
	return c.Organisations[organisation].Versions[version]
}

// TakesNew reports whether the version takes work that belongs to no session.
func (c *Configuration) AcceptsNewWork(version crlid.Version) bool {
	v, ok := c.Versions[version]
	return ok && v.State == VersionLive
}

// TakesSession reports whether the version takes calls of sessions that began on it.
func (c *Configuration) AcceptsSessionCalls(version crlid.Version) bool {
	v, ok := c.Versions[version]
	return ok && v.State != VersionWithdrawn
}

// Organisation returns the organisation whose key has the digest in hexadecimal.
func (c *Configuration) Organisation(digest string) (Organisation, bool) {
	id, ok := c.organisationByDigest[digest]
	return c.Organisations[id], ok
}
