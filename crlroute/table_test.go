package crlroute

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
)

func newTestTable() *Table {
	return NewTable(TableConfig{
		Version: 3, RequireKeys: true,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Services: []Service{{Name: "drafts"}},
		Keys:     map[string]Organisation{"secret": {Name: "firm"}},
	})
}

// TestMatch checks that the longest prefix of the host's routes wins, and that only whole path segments match.
func TestMatch(t *testing.T) {
	table := newTestTable()
	for _, c := range []struct {
		host, path string
		want       crlid.Route
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:8080", "/x/y/1", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/1", ""},
		{"a.example", "//x/1", ""},
		{"c.example", "/x/1", ""},
	} {
		var got crlid.Route
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Match(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestOrganisationNeedsTheWholeKey checks that a part of a key, or a key with a space after it, is not accepted.
func TestOrganisationNeedsTheWholeKey(t *testing.T) {
	table := newTestTable()
	if o, ok := table.Organisation("secret"); !ok || o.Name != "firm" {
		t.Errorf("Organisation of the whole key = %q, %v, want firm, true", o.Name, ok)
	}
	for _, key := range []string{"", "secre", "secret "} {
		if _, ok := table.Organisation(key); ok {
			t.Errorf("key %q is accepted", key)
		}
	}
}

// TestSplitFollowsWeights checks that Pick gives each target a share of the hashes equal to its weight, and picks none when
// no target has weight.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 4).Draw(t, "weights")
		r, total := Route{}, 0
		for i, w := range weights {
			r.Targets = append(r.Targets, Target{Service: crlid.Service(rune('a' + i)), Weight: w})
			total += w
		}
		counts := make(map[crlid.Service]int)
		for hash := range total {
			service, ok := r.Pick(uint64(hash))
			if !ok {
				t.Fatalf("no target for hash %d with weights %v", hash, weights)
			}
			counts[service]++
		}
		for i, w := range weights {
			if got := counts[crlid.Service(rune('a'+i))]; got != w {
				t.Fatalf("target %d of weights %v got %d hashes, want %d", i, weights, got, w)
			}
		}
		if _, ok := r.Pick(1); ok != (total > 0) {
			t.Fatalf("weights %v: Pick(1) found a target: %v", weights, ok)
		}
	})
}
