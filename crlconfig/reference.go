package crlconfig

import (
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlini"
)

// later runs a check once every section is read.
func (p *parser) deferCheck(check func()) { p.deferredChecks = append(p.deferredChecks, check) }

func (p *parser) requireVersion(s *crlini.Section, id crlid.Version) {
	p.deferCheck(func() {
		if _, ok := p.result.Versions[id]; !ok {
			s.Problemf("versions", "no section [version %s]", id)
		}
	})
}

func (p *parser) requireService(s *crlini.Section, key string, id crlid.Service) {
	p.deferCheck(func() {
		if _, ok := p.result.Services[id]; !ok {
			s.Problemf(key, "no section [service %s]", id)
		}
	})
}

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

// own gives an organisation its key's digest, which no other may have, since the key tells them apart.
func (p *parser) registerKeyDigest(s *crlini.Section, o Organisation) {
	if other, ok := p.result.organisationByDigest[o.KeyDigest]; ok {
		s.Problemf("key-digest", "organisation %s has the same key-digest", other)
		return
	}
	p.result.organisationByDigest[o.KeyDigest] = o.ID
}
