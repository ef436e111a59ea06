package crlconfig

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlini"
)

// keyDigestBytes is the length of a SHA-256 digest.
const keyDigestBytes = 32

// Defaults of keys that a file may omit, and the bounds of an organisation's weight.
const (
	defaultWarmLimit     = 32
	defaultColdLimit     = 2
	defaultColdTime      = 10 * time.Second
	defaultQuality       = 0.8
	defaultFirstToken    = 1200 * time.Millisecond
	defaultBetweenTokens = 60 * time.Millisecond
	defaultWeight        = 1
	minWeight            = 0.001
	maxWeight            = 1000
	defaultCostPerToken  = 1 // micro-cost per token
)

// Parse checks the content of a configuration file and returns its configuration, or a *crlini.Error with every problem found.
//
// The name stands for the file in the problems and is not opened.
func Parse(name string, content []byte) (*Configuration, error) {
	file, err := crlini.Read(name, content)
	if err != nil {
		return nil, err
	}
	p := parser{file: file, result: newConfiguration()}
	for _, s := range file.Sections() {
		p.parseSection(s)
		s.Finish()
	}
	p.runDeferredChecks()
	if err := file.Err(); err != nil {
		return nil, err
	}
	return p.result, nil
}

func newConfiguration() *Configuration {
	return &Configuration{
		Organisations:        make(map[crlid.Organisation]Organisation),
		Versions:             make(map[crlid.Version]Version),
		Classes:              make(map[crlid.Class]Class),
		Domains:              make(map[crlid.Domain]Domain),
		Services:             make(map[crlid.Service]Service),
		Servers:              make(map[crlid.Server]Server),
		organisationByDigest: make(map[string]crlid.Organisation),
	}
}

// parser fills a configuration section by section and checks references between sections at the end.
type parser struct {
	file           *crlini.File
	result         *Configuration
	deferredChecks []func() // run after all sections have been parsed
}

func (p *parser) parseSection(s *crlini.Section) {
	if s.Kind != "configuration" && s.ID == "" {
		s.Problemf("", "section needs a name, such as [%s NAME]", s.Kind)
		return
	}
	switch s.Kind {
	case "configuration":
		p.result.Name = s.Required("name")
	case "organisation":
		p.parseOrganisation(s)
	case "version":
		p.parseVersion(s)
	case "class":
		p.parseClass(s)
	case "domain":
		p.parseDomain(s)
	case "service":
		p.parseService(s)
	case "server":
		p.parseServer(s)
	default:
		s.Problemf("", "unknown section, allowed are configuration, organisation, version, class, domain, service, server")
	}
}

func (p *parser) parseOrganisation(s *crlini.Section) {
	o := Organisation{
		ID:        crlid.Organisation(s.ID),
		KeyDigest: strings.ToLower(s.Required("key-digest")),
		Weight:    s.Float("weight", defaultWeight, minWeight, maxWeight),
		Guarantee: s.Int("guarantee", 0, 0),
		Versions:  make(map[crlid.Version]bool),
		Services:  make(map[crlid.Service]bool),
	}
	if raw, err := hex.DecodeString(o.KeyDigest); o.KeyDigest != "" && (err != nil || len(raw) != keyDigestBytes) {
		s.Problemf("key-digest", "key \"key-digest\" is not a SHA-256 digest of %d hexadecimal digits", 2*keyDigestBytes)
	}
	p.registerKeyDigest(s, o)
	for _, v := range s.List("versions") {
		o.Versions[crlid.Version(v)] = true
		p.requireVersion(s, crlid.Version(v))
	}
	for _, v := range s.List("services") {
		o.Services[crlid.Service(v)] = true
		p.requireService(s, "services", crlid.Service(v))
	}
	p.result.Organisations[o.ID] = o
}

func (p *parser) parseVersion(s *crlini.Section) {
	version := Version{
		ID:           crlid.Version(s.ID),
		Model:        crlid.Model(s.Required("model")),
		CostPerToken: crlid.MicroCost(s.Int("cost-per-token", defaultCostPerToken, 0)),
		Quality:      crlid.Quality(s.Float("quality", defaultQuality, 0, 1)),
	}
	s.Enum("state", VersionLive.String(), &version.State, VersionStateStrings())
	p.result.Versions[version.ID] = version
}

func (p *parser) parseClass(s *crlini.Section) {
	class := Class{
		ID:            crlid.Class(s.ID),
		Target:        crlid.Quality(s.Float("quality-target", defaultQuality, 0, 1)),
		FirstToken:    s.Duration("first-token", defaultFirstToken),
		BetweenTokens: s.Duration("between-tokens", defaultBetweenTokens),
		Patient:       s.Bool("patient", false),
	}
	p.result.Classes[class.ID] = class
}

func (p *parser) parseDomain(s *crlini.Section) {
	domain := Domain{ID: crlid.Domain(s.ID)}
	s.Enum("state", StateInService.String(), &domain.State, OperatingStateStrings())
	p.result.Domains[domain.ID] = domain
}

func (p *parser) parseService(s *crlini.Section) {
	service := Service{
		ID:         crlid.Service(s.ID),
		Idempotent: s.Bool("idempotent", false),
		Cost:       crlid.MicroCost(s.Int("cost", 0, 0)),
	}
	p.result.Services[service.ID] = service
}

func (p *parser) parseServer(s *crlini.Section) {
	server := Server{
		ID:        crlid.Server(s.ID),
		Address:   s.Address("address"),
		Domain:    crlid.Domain(s.Required("domain")),
		WarmLimit: s.Int("warm-limit", defaultWarmLimit, 1),
		ColdLimit: s.Int("cold-limit", defaultColdLimit, 1),
		ColdTime:  s.Duration("cold-time", defaultColdTime),
		Fencing:   s.Bool("fencing", false),
		Service:   crlid.Service(s.Text("service", "")),
	}
	s.Enum("kind", KindEngine.String(), &server.Kind, ServerKindStrings())
	s.Enum("state", StateInService.String(), &server.State, OperatingStateStrings())
	for _, id := range s.List("versions") {
		server.Versions = append(server.Versions, crlid.Version(id))
		p.requireVersion(s, crlid.Version(id))
	}
	p.checkServer(s, server)
	p.result.Servers[server.ID] = server
}

func (p *parser) checkServer(s *crlini.Section, server Server) {
	if server.ColdLimit > server.WarmLimit {
		s.Problemf("cold-limit", "cold-limit %d is above warm-limit %d", server.ColdLimit, server.WarmLimit)
	}
	switch server.Kind {
	case KindEngine:
		if server.Service != "" || len(server.Versions) == 0 {
			s.Problemf("", "an engine needs versions and no service")
		}
	case KindService:
		if server.Service == "" || len(server.Versions) > 0 {
			s.Problemf("", "a plain service needs the key service and no versions")
			return
		}
		p.requireService(s, "service", server.Service)
	}
	p.deferCheck(func() {
		if _, ok := p.result.Domains[server.Domain]; server.Domain != "" && !ok {
			s.Problemf("domain", "no section [domain %s]", server.Domain)
		}
	})
}
