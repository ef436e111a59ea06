package crlconfig

import (
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlini"
)

// deferCheck runs a check after all sections have been parsed.
func (p *parser) deferCheck(check func()) { p.deferredChecks = append(p.deferredChecks, check) }

// requireVersion adds a problem at the section's key "versions" unless the file has a section for the version.
func (p *parser) requireVersion(s *crlini.Section, id crlid.Version) {
	p.deferCheck(func() {
		if _, ok := p.result.Versions[id]; !ok {
			s.Problemf("versions", "no section [version %s]", id)
		}
	})
}

// requireService adds a problem at the section's key unless the file has a section for the service.
func (p *parser) requireService(s *crlini.Section, key string, id crlid.Service) {
	p.deferCheck(func() {
		if _, ok := p.result.Services[id]; !ok {
			s.Problemf(key, "no section [service %s]", id)
		}
	})
}

// runDeferredChecks runs the checks that need the whole file, such as those of references between sections.
func (p *parser) runDeferredChecks() {
	for _, check := range p.deferredChecks {
		check()
	}
	if p.result.Name == "" {
		p.file.Problemf("section [configuration] with the key \"name\" is required")
	}
	if len(p.result.Classes) == 0 {
		p.file.Problemf("at least one section [class NAME] is required")
	}
}

// registerKeyDigest indexes an organisation by the digest of its API key. Callers are identified by the key, so two
// organisations can't have the same digest.
func (p *parser) registerKeyDigest(s *crlini.Section, o Organisation) {
	if other, ok := p.result.organisationByDigest[o.KeyDigest]; ok {
		s.Problemf("key-digest", "organisation %s has the same key-digest", other)
		return
	}
	p.result.organisationByDigest[o.KeyDigest] = o.ID
}
