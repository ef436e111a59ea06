package crlroutecheck

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// newConfiguration returns a configuration without findings, changed by change.
func newConfiguration(change func(*Configuration)) Configuration {
	c := Configuration{
		Table: crlroute.TableConfig{
			Version: 8, RequireKeys: true, Limits: crlroute.Limits{HeaderBytes: 16384},
			Routes: []crlroute.Route{{
				Name: "digest", Host: "a.example", Prefix: "/digest/", Kind: crlroute.KindStream, Timeout: 20 * time.Second,
				Objective: 6 * time.Second, MaxPause: time.Second, Attempts: 2, Models: []crlid.Model{"m0"},
				Targets: []crlroute.Target{{Service: "engines", Weight: 1}},
			}},
			Services: []crlroute.Service{{
				Name: "engines", Slots: 32, MemoryTokens: 1000, EventTokens: 8, MaxConnections: 64, Models: []crlroute.ModelCost{{Model: "m0"}},
			}},
		},
		Organisations: []Organisation{{Organisation: crlroute.Organisation{Name: "firm"}, Keys: []Key{"secret-1"}}},
	}
	change(&c)
	return c
}

// TestRules guards against violations of each rule that are not found, or that are reported for another part or under other rules.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c *Configuration)
		want   []string // rule, kind and index of each finding
	}{
		{"none", func(*Configuration) {}, nil},
		{"same host and prefix", func(c *Configuration) {
			c.Table.Routes = append(c.Table.Routes, c.Table.Routes[0])
			c.Table.Routes[1].Name = "other"
		}, []string{"never-matches route 1"}},
		{"longer prefix", func(c *Configuration) {
			c.Table.Routes = append(c.Table.Routes, c.Table.Routes[0])
			c.Table.Routes[1].Name, c.Table.Routes[1].Prefix = "other", "/digest/daily/"
		}, nil},
		{"upper case", func(c *Configuration) { c.Table.Routes[0].Host = "A.example" }, []string{"never-matches route 0"}},
		{"no host", func(c *Configuration) { c.Table.Routes[0].Host = "" }, []string{"never-matches route 0"}},
		{"port", func(c *Configuration) { c.Table.Routes[0].Host = "a:80" }, []string{"never-matches route 0"}},
		{"no slash", func(c *Configuration) { c.Table.Routes[0].Prefix = "digest/" }, []string{"never-matches route 0"}},
		{"no final slash", func(c *Configuration) { c.Table.Routes[0].Prefix = "/digest" }, []string{"prefix route 0"}},
		{"no name", func(c *Configuration) { c.Table.Routes[0].Name = "" }, []string{"name route 0"}},
		{"name of a service twice", func(c *Configuration) {
			c.Table.Services = append(c.Table.Services, c.Table.Services[0])
		}, []string{"name service 1"}},
		{"weight 0", func(c *Configuration) { c.Table.Routes[0].Targets[0].Weight = 0 }, []string{"weight route 0"}},
		{"unknown service", func(c *Configuration) { c.Table.Routes[0].Targets[0].Service = "x" }, []string{"unknown-service route 0"}},
		{"unknown model", func(c *Configuration) { c.Table.Routes[0].Models[0] = "m9" }, []string{"model route 0"}},
		{"model twice", func(c *Configuration) { c.Table.Routes[0].Models = []crlid.Model{"m0", "m0"} }, []string{"model route 0"}},
		{"objective above the timeout", func(c *Configuration) { c.Table.Routes[0].Objective = time.Minute }, []string{"limit route 0"}},
		{"no timeout", func(c *Configuration) { c.Table.Routes[0].Timeout = 0 }, nil},
		{"pause above the timeout", func(c *Configuration) { c.Table.Routes[0].MaxPause = time.Minute }, []string{"limit route 0"}},
		{"pause without events", func(c *Configuration) { c.Table.Routes[0].Kind = crlroute.KindIdempotent }, []string{"limit route 0"}},
		{"negative timeout", func(c *Configuration) { c.Table.Routes[0].Timeout = -1 }, []string{"limit route 0"}},
		{"attempts", func(c *Configuration) { c.Table.Routes[0].Attempts = 4 }, []string{"attempts route 0"}},
		{"connections", func(c *Configuration) { c.Table.Services[0].MaxConnections = 31 }, []string{"limit service 0"}},
		{"memory", func(c *Configuration) { c.Table.Services[0].MemoryTokens = 7 }, []string{"limit service 0"}},
		{"headers", func(c *Configuration) { c.Table.Limits.HeaderBytes = 24 }, []string{"limit limits 0"}},
		{"negative limit", func(c *Configuration) { c.Table.Limits.BodyBytes = -1 }, []string{"limit limits 0"}},
		{"key of two", func(c *Configuration) {
			c.Organisations = append(c.Organisations, c.Organisations[0])
		}, []string{"key organisation 1"}},
		{"key twice in one", func(c *Configuration) { c.Organisations[0].Keys = []Key{"secret-1", "secret-1"} }, nil},
		{"empty key", func(c *Configuration) { c.Organisations[0].Keys = []Key{"secret-1", ""} }, []string{"key organisation 0"}},
		{"nobody has a key", func(c *Configuration) { c.Organisations = nil }, []string{"key configuration 0"}},
		{"nobody needs a key", func(c *Configuration) { c.Organisations, c.Table.Routes[0].Public = nil, true }, nil},
	} {
		var got []string
		for _, f := range Check(newConfiguration(c.change), Servers{"engines": 3}) {
			got = append(got, fmt.Sprint(f.Rule, " ", f.Subject.Kind, " ", f.Subject.Index))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: findings %q, want %q", c.name, got, c.want)
		}
	}
}

// TestAttemptsNeedKnownServers guards against findings on services whose number of servers nobody stated.
func TestAttemptsNeedKnownServers(t *testing.T) {
	c := newConfiguration(func(c *Configuration) { c.Table.Routes[0].Attempts = 99 })
	if findings := Check(c, nil); len(findings) > 0 {
		t.Errorf("findings %v, want none", findings)
	}
}

// TestNeverMatchesAgreesWithTable guards against routes that are said never to match although the table returns them, and the
// reverse.
func TestNeverMatchesAgreesWithTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Configuration
		for i := range rapid.IntRange(1, 6).Draw(t, "routes") {
			c.Table.Routes = append(c.Table.Routes, crlroute.Route{
				Name:   crlid.Route(fmt.Sprint(i)),
				Host:   rapid.SampledFrom([]string{"a", "b", "A", "a:1"}).Draw(t, "host"),
				Prefix: rapid.SampledFrom([]string{"/", "/x/", "/x/y/", "/x", "x/"}).Draw(t, "prefix"),
			})
		}
		flagged := make(map[int]bool)
		for _, f := range Check(c, nil) {
			flagged[f.Subject.Index] = flagged[f.Subject.Index] || f.Rule == RuleNeverMatches
		}
		table := crlroute.NewTable(c.Table)
		for i := range c.Table.Routes {
			r := &c.Table.Routes[i]
			found := strings.HasPrefix(r.Prefix, "/") && table.Match(strings.ToLower(r.Host), r.Prefix) == r
			if found == flagged[i] {
				t.Errorf("route %+v: matches its own prefix: %t, said never to match: %t", r, found, flagged[i])
			}
		}
	})
}

// TestCompare guards against differences that are left out, and against a changed configuration with an old version.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(c *Configuration)
		want     string
		findings int
	}{
		{"none", func(*Configuration) {}, "", 0},
		{"higher version only", func(c *Configuration) { c.Table.Version++ }, "", 0},
		{"same version", func(c *Configuration) { c.Table.Routes[0].Attempts = 3 }, "[{route digest changed [attempts: 2 -> 3]}]", 1},
		{"field", func(c *Configuration) {
			c.Table.Version++
			c.Table.Services[0].ColdRate = 2
		}, "[{service engines changed [cold-rate: 0 -> 2]}]", 0},
		{"renamed", func(c *Configuration) {
			c.Table.Version++
			c.Table.Routes[0].Name = "other"
		}, "[{route other added []} {route digest removed []}]", 0},
		{"empty list", func(c *Configuration) {
			c.Table.Version, c.Table.Routes[0].Targets = 9, c.Table.Routes[0].Targets[:1:1]
		}, "", 0},
		{"key", func(c *Configuration) {
			c.Table.Version++
			c.Organisations[0].Keys = []Key{"secret-2"}
		}, "[{organisation firm changed []}]", 0},
		{"order of keys and entries", func(c *Configuration) {
			c.Organisations = []Organisation{{Organisation: c.Organisations[0].Organisation}, c.Organisations[0]}
		}, "", 0},
	} {
		differences, findings := Compare(newConfiguration(func(*Configuration) {}), newConfiguration(c.change))
		got := ""
		if len(differences) > 0 {
			got = fmt.Sprint(differences)
		}
		if got != c.want || len(findings) != c.findings {
			t.Errorf("%s: differences %s, findings %v; want %s and %d findings", c.name, got, findings, c.want, c.findings)
		}
	}
}

// TestKeysAreNotPrinted guards against API keys in findings and differences, as text and as JSON.
func TestKeysAreNotPrinted(t *testing.T) {
	organisations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Organisation {
		return Organisation{
			Organisation: crlroute.Organisation{Name: crlid.Organisation(rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "name"))},
			Keys:         rapid.SliceOf(rapid.SampledFrom([]Key{"secret-1", "secret-2", "secret-3", ""})).Draw(t, "keys"),
		}
	}), 0, 4)
	rapid.Check(t, func(t *rapid.T) {
		next := newConfiguration(func(c *Configuration) { c.Organisations = organisations.Draw(t, "next") })
		inForce := newConfiguration(func(c *Configuration) { c.Organisations = organisations.Draw(t, "in force") })
		differences, findings := Compare(inForce, next)
		output := []any{differences, findings, Check(next, nil), next.Organisations}
		encoded, err := json.Marshal(output)
		if err != nil {
			t.Fatal(err)
		}
		if text := fmt.Sprintf("%v %+v %#v %s", output, output, output, encoded); strings.Contains(text, "secret") {
			t.Errorf("a key is in %s", text)
		}
	})
}
