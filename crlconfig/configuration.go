package crlconfig

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=VersionState -trimprefix=Version -transform=kebab -json -text -output=versionstate_enumer.go
//go:generate go tool enumer -type=OperatingState -trimprefix=State -transform=kebab -json -text -output=operatingstate_enumer.go
//go:generate go tool enumer -type=ServerKind -trimprefix=Kind -transform=kebab -json -text -output=serverkind_enumer.go

// VersionState is the operators' setting for which requests a version accepts.
type VersionState int

// The states of a version.
const (
	VersionLive      VersionState = iota // accepts all requests
	VersionRetiring                      // accepts only calls of sessions that began on the version
	VersionWithdrawn                     // accepts no requests, not even of sessions that began on the version
)

// OperatingState is the operators' setting for whether a failure domain or a backend server gets new requests.
type OperatingState int

// The states of a failure domain or a backend server.
const (
	StateInService OperatingState = iota
	StateOut                      // gets no new requests
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

// Organisation is a customer: what it may use and its share of the fleet. Package crlqueue receives Weight and
// Guarantee, but does not apply them yet.
type Organisation struct {
	ID        crlid.Organisation
	KeyDigest string                 // SHA-256 of the callers' API key, in lower-case hexadecimal
	Weight    float64                // share of the fleet's capacity under overload, relative to other organisations
	Guarantee int                    // number of concurrent requests that are never shed in favour of other organisations
	Versions  map[crlid.Version]bool // versions that the organisation may use
	Services  map[crlid.Service]bool // plain services that the organisation may use
}

// Version is a deployable version of a model.
type Version struct {
	ID           crlid.Version
	Model        crlid.Model
	State        VersionState
	CostPerToken crlid.MicroCost // billed for each token of the prompt and of the answer
	Quality      crlid.Quality   // operators' estimate, used until ratings of answers are known
}

// Class is a class of requests, such as drafts of documents, with its service-level goals.
type Class struct {
	ID            crlid.Class
	Target        crlid.Quality // lowest quality that an answer should have
	FirstToken    time.Duration // goal for the time until the first token
	BetweenTokens time.Duration // goal for the time between two tokens
	Patient       bool          // requests tolerate waiting; engines get them with the priority "patient", not "interactive"
}

// Domain is a failure domain: servers and daemons that may fail together.
type Domain struct {
	ID    crlid.Domain
	State OperatingState
}

// Service is a plain service: HTTP calls that no model answers.
type Service struct {
	ID         crlid.Service
	Idempotent bool            // a call may run more than once
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
	WarmLimit int             // largest number of concurrent requests once the server is warm
	ColdLimit int             // largest number of concurrent requests during a cold start
	ColdTime  time.Duration   // upper bound of a cold start
	Fencing   bool            // the server refuses orders, such as to load a model, that carry an outdated term; parsed, but nothing reads it
}

// InService reports whether the server and its failure domain are in service. It is false for an unknown server.
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

// AcceptsRequestsWithoutSession reports whether the version accepts requests that belong to no session yet.
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
