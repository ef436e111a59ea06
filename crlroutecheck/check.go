package crlroutecheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// Key is an API key. It prints as a placeholder, so that no message contains it.
type Key string

// String returns a placeholder.
func (Key) String() string { return "(key)" }

// GoString returns a placeholder.
func (Key) GoString() string { return "(key)" }

// MarshalText returns a placeholder.
func (Key) MarshalText() ([]byte, error) { return []byte("(key)"), nil }

// Organisation is an organisation with its API keys.
type Organisation struct {
	crlroute.Organisation
	Keys []Key
}

// Configuration is the content of a routing table. Organisations replaces Table.Keys, which can't hold a key twice.
type Configuration struct {
	Table         crlroute.TableConfig
	Organisations []Organisation
}

//go:generate go run github.com/dmarkham/enumer -type=Kind -trimprefix=Kind -transform=kebab -text -output=kind_enumer.go

// Kind is the kind of part of a configuration that a finding or a difference is about.
type Kind int

// The kinds of parts.
const (
	KindConfiguration Kind = iota
	KindRoute
	KindService
	KindOrganisation
	KindLimits
)

// Subject is the part of a configuration that a finding is about.
type Subject struct {
	Kind  Kind   `json:"kind"`
	Index int    `json:"index"` // in Routes, Services or Organisations; 0 for the other kinds
	Name  string `json:"name,omitempty"`
}

//go:generate go run github.com/dmarkham/enumer -type=Rule -trimprefix=Rule -transform=kebab -text -output=rule_enumer.go

// Rule is what a configuration violates.
type Rule int

// The rules.
const (
	RuleNeverMatches   Rule = iota // no request can match the route
	RulePrefix                     // the prefix also matches other path segments
	RuleName                       // a name is empty or used twice
	RuleWeight                     // a share of a split is not above 0
	RuleUnknownService             // a route sends to a service that isn't configured
	RuleModel                      // a model is listed twice, or isn't one of the service
	RuleLimit                      // a limit is negative, contradicts another or is below what the routes need
	RuleAttempts                   // a request may be sent more often than there are servers
	RuleKey                        // a key is empty or belongs to two organisations, or nobody has one
	RuleVersion                    // the version isn't above the one in force
)

// Finding is a violation of a rule.
type Finding struct {
	Rule    Rule    `json:"rule"`
	Subject Subject `json:"subject"`
	Message string  `json:"message"`
}

// Servers holds the numbers of servers of services, as far as they are known.
type Servers map[crlid.Service]int

// Check returns the findings on a configuration by subject. Services that servers doesn't contain are not checked against the
// number of their servers.
func Check(c Configuration, servers Servers) []Finding {
	k := &check{Configuration: c, servers: servers, services: make(map[crlid.Service]*crlroute.Service)}
	for i := range c.Table.Services {
		k.checkService(i)
	}
	hosts := make(map[[2]string]int) // first route by host and prefix
	names := make(map[crlid.Route]bool)
	for i := range c.Table.Routes {
		k.checkMatch(i, hosts)
		k.checkRouteName(i, names)
		k.checkTargets(i)
		k.checkRouteLimits(i)
	}
	k.checkLimits()
	k.checkKeys()
	slices.SortStableFunc(k.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Subject.Kind, b.Subject.Kind), cmp.Compare(a.Subject.Index, b.Subject.Index))
	})
	return k.findings
}

// check is the state of one call of Check.
type check struct {
	Configuration
	servers  Servers
	services map[crlid.Service]*crlroute.Service
	findings []Finding
}

func (k *check) add(s Subject, rule Rule, format string, values ...any) {
	k.findings = append(k.findings, Finding{Rule: rule, Subject: s, Message: fmt.Sprintf(format, values...)})
}

func (k *check) route(i int) (*crlroute.Route, Subject) {
	r := &k.Table.Routes[i]
	return r, Subject{Kind: KindRoute, Index: i, Name: string(r.Name)}
}

func (k *check) checkService(i int) {
	s := &k.Table.Services[i]
	subject := Subject{Kind: KindService, Index: i, Name: string(s.Name)}
	if s.Name == "" {
		k.add(subject, RuleName, "the service has no name")
	} else if k.services[s.Name] != nil {
		k.add(subject, RuleName, "the name is used twice; only the last service of the name has an effect")
	}
	k.services[s.Name] = s
	if s.ColdRate < 0 || s.Slots < 0 {
		k.add(subject, RuleLimit, "the cold rate of %v requests per second or the number of slots, %d, is negative", s.ColdRate, s.Slots)
	}
	if s.MaxConnections > 0 && s.MaxConnections < s.Slots {
		k.add(subject, RuleLimit, "a server accepts %d connections but has %d slots, which can't all be used", s.MaxConnections, s.Slots)
	}
	if s.MemoryTokens > 0 && s.EventTokens > s.MemoryTokens {
		k.add(subject, RuleLimit, "an event has %d tokens but a server has memory for %d", s.EventTokens, s.MemoryTokens)
	}
	models := make(map[crlid.Model]bool)
	for _, m := range s.Models {
		if models[m.Model] {
			k.add(subject, RuleModel, "model %q is listed twice", m.Model)
		}
		models[m.Model] = true
	}
}

// checkMatch finds routes that crlroute.Table.Match never returns. Of the routes with the same host and prefix it returns the
// first. A longer prefix takes over only a part of a shorter one's requests.
func (k *check) checkMatch(i int, first map[[2]string]int) {
	r, subject := k.route(i)
	switch {
	case r.Host == "" || r.Host != strings.ToLower(r.Host):
		k.add(subject, RuleNeverMatches, "host %q is empty or not in lower case, as the hosts of requests are when they are compared", r.Host)
	case strings.Contains(r.Host, ":"):
		k.add(subject, RuleNeverMatches, "host %q contains a port, which the hosts of requests don't when they are compared", r.Host)
	case !strings.HasPrefix(r.Prefix, "/"):
		k.add(subject, RuleNeverMatches, "prefix %q doesn't begin with a slash, as all paths do", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		k.add(subject, RulePrefix, "prefix %q doesn't end with a slash, so that it also matches longer path segments", r.Prefix)
	}
	key := [2]string{r.Host, r.Prefix}
	if j, ok := first[key]; ok {
		k.add(subject, RuleNeverMatches, "route %q before it has the same host and prefix", k.Table.Routes[j].Name)
	} else {
		first[key] = i
	}
}

func (k *check) checkRouteName(i int, names map[crlid.Route]bool) {
	r, subject := k.route(i)
	if r.Name == "" {
		k.add(subject, RuleName, "the route has no name")
	} else if names[r.Name] {
		k.add(subject, RuleName, "the name is used twice")
	}
	names[r.Name] = true
}

func (k *check) checkTargets(i int) {
	r, subject := k.route(i)
	models := make(map[crlid.Model]bool)
	for _, m := range r.Models {
		if models[m] {
			k.add(subject, RuleModel, "model %q is listed twice", m)
		}
		models[m] = true
	}
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			k.add(subject, RuleWeight, "service %q has a weight of %d, so that it gets no requests", t.Service, t.Weight)
		}
		service := k.services[t.Service]
		if service == nil {
			k.add(subject, RuleUnknownService, "service %q isn't configured", t.Service)
			continue
		}
		for _, m := range r.Models {
			if len(service.Models) > 0 && !slices.ContainsFunc(service.Models, func(c crlroute.ModelCost) bool { return c.Model == m }) {
				k.add(subject, RuleModel, "service %q has no model %q", t.Service, m)
			}
		}
		if n, known := k.servers[t.Service]; known && r.Attempts > n {
			k.add(subject, RuleAttempts, "a request may be sent %d times, but service %q has %d servers", r.Attempts, t.Service, n)
		}
	}
}

func (k *check) checkRouteLimits(i int) {
	r, subject := k.route(i)
	if r.Timeout < 0 || r.Objective < 0 || r.MaxPause < 0 {
		k.add(subject, RuleLimit, "the timeout, %v, the objective, %v, or the longest pause, %v, is negative", r.Timeout, r.Objective, r.MaxPause)
	}
	for _, c := range []struct {
		name  string
		limit time.Duration
	}{{"objective", r.Objective}, {"longest pause", r.MaxPause}} {
		if r.Timeout > 0 && c.limit > r.Timeout {
			k.add(subject, RuleLimit, "the %s, %v, is above the timeout, %v", c.name, c.limit, r.Timeout)
		}
	}
	if r.MaxPause > 0 && r.Kind != crlroute.KindStream {
		k.add(subject, RuleLimit, "a longest pause between events is stated, but answers are not streams")
	}
}

func (k *check) checkLimits() {
	subject, l := Subject{Kind: KindLimits}, k.Table.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		k.add(subject, RuleLimit, "a limit on what callers send is negative")
	}
	longest := 0 // least size of the request line and the key of a request
	for i := range k.Table.Routes {
		r := &k.Table.Routes[i]
		key := 0
		if k.Table.RequireKeys && !r.Public {
			key = k.longestKey()
		}
		longest = max(longest, len(r.Host)+len(r.Prefix)+key)
	}
	if l.HeaderBytes > 0 && l.HeaderBytes < longest {
		k.add(subject, RuleLimit, "headers may have %d bytes, but host, prefix and key of a request have up to %d", l.HeaderBytes, longest)
	}
}

func (k *check) longestKey() (longest int) {
	for i := range k.Organisations {
		for _, key := range k.Organisations[i].Keys {
			longest = max(longest, len(key))
		}
	}
	return longest
}

func (k *check) checkKeys() {
	owners := make(map[Key]int) // first organisation that has a key
	for i := range k.Organisations {
		o := &k.Organisations[i]
		subject := Subject{Kind: KindOrganisation, Index: i, Name: string(o.Name)}
		for _, key := range o.Keys {
			first, ok := owners[key]
			switch {
			case key == "":
				k.add(subject, RuleKey, "a key is empty")
			case !ok:
				owners[key] = i
			case first != i:
				k.add(subject, RuleKey, "organisation %q has one of its keys too", k.Organisations[first].Name)
			}
		}
	}
	protected := slices.ContainsFunc(k.Table.Routes, func(r crlroute.Route) bool { return !r.Public })
	if k.Table.RequireKeys && protected && len(owners) == 0 {
		k.add(Subject{Kind: KindConfiguration}, RuleKey, "routes need a key, but no organisation has one")
	}
}
