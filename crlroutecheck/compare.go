package crlroutecheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

//go:generate go run github.com/dmarkham/enumer -type=Change -trimprefix=Change -transform=kebab -text -output=change_enumer.go

// Change is how a part of a configuration differs from the one in force.
type Change int

// The changes.
const (
	ChangeAdded Change = iota
	ChangeRemoved
	ChangeChanged
)

// Difference is a part of a configuration that differs from the one in force.
type Difference struct {
	Kind   Kind     `json:"kind"`
	Name   string   `json:"name,omitempty"`
	Change Change   `json:"change"`
	Fields []string `json:"fields,omitempty"` // as "name: old -> new"; empty for organisations, whose keys are secret
}

// Compare returns the differences of a configuration from the one in force, in the order of the kinds and then of the parts. Parts
// are compared by name. It returns a finding if the version doesn't increase while there are differences.
func Compare(inForce, next Configuration) ([]Difference, []Finding) {
	var differences []Difference
	differences = append(differences, compareParts(KindRoute, inForce.Table.Routes, next.Table.Routes,
		func(r crlroute.Route) string { return string(r.Name) })...)
	differences = append(differences, compareParts(KindService, inForce.Table.Services, next.Table.Services,
		func(s crlroute.Service) string { return string(s.Name) })...)
	differences = append(differences, compareOrganisations(inForce.Organisations, next.Organisations)...)
	if fields := changedFields(inForce.Table.Limits, next.Table.Limits); len(fields) > 0 {
		differences = append(differences, Difference{Kind: KindLimits, Change: ChangeChanged, Fields: fields})
	}
	if old, now := inForce.Table.RequireKeys, next.Table.RequireKeys; old != now {
		field := fmt.Sprintf("require-keys: %t -> %t", old, now)
		differences = append(differences, Difference{Kind: KindConfiguration, Change: ChangeChanged, Fields: []string{field}})
	}
	if old, now := inForce.Table.Version, next.Table.Version; len(differences) > 0 && now <= old {
		message := fmt.Sprintf("version %d has differences from version %d, which is in force, but isn't above it", now, old)
		return differences, []Finding{{Rule: RuleVersion, Message: message}}
	}
	return differences, nil
}

// compareParts compares two lists of structs by name. Of parts with the same name, it compares the first.
func compareParts[P any](kind Kind, inForce, next []P, name func(P) string) (differences []Difference) {
	old, present := make(map[string]P), make(map[string]bool)
	for _, p := range slices.Backward(inForce) {
		old[name(p)] = p
	}
	for _, p := range next {
		n := name(p)
		if present[n] {
			continue
		}
		present[n] = true
		if before, ok := old[n]; !ok {
			differences = append(differences, Difference{Kind: kind, Name: n, Change: ChangeAdded})
		} else if fields := changedFields(before, p); len(fields) > 0 {
			differences = append(differences, Difference{Kind: kind, Name: n, Change: ChangeChanged, Fields: fields})
		}
	}
	for _, p := range inForce {
		if n := name(p); !present[n] {
			present[n] = true
			differences = append(differences, Difference{Kind: kind, Name: n, Change: ChangeRemoved})
		}
	}
	return differences
}

// compareOrganisations compares organisations by name, with all keys of entries that have the same name.
func compareOrganisations(inForce, next []Organisation) []Difference {
	merge := func(entries []Organisation) (merged []Organisation) {
		index := make(map[crlid.Organisation]int)
		for _, o := range entries {
			i, ok := index[o.Name]
			if !ok {
				i = len(merged)
				index[o.Name] = i
				merged = append(merged, Organisation{Organisation: o.Organisation})
			}
			merged[i].Keys = append(merged[i].Keys, o.Keys...)
		}
		for i := range merged {
			slices.Sort(merged[i].Keys)
			merged[i].Keys = slices.Compact(merged[i].Keys)
		}
		return merged
	}
	differences := compareParts(KindOrganisation, merge(inForce), merge(next), func(o Organisation) string { return string(o.Name) })
	for i := range differences {
		differences[i].Fields = nil
	}
	return differences
}

// changedFields returns the fields in which two structs of the same type differ.
func changedFields(before, after any) (fields []string) {
	old, now := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		a, b := old.Field(i).Interface(), now.Field(i).Interface()
		if reflect.DeepEqual(a, b) || old.Field(i).Kind() == reflect.Slice && old.Field(i).Len()+now.Field(i).Len() == 0 {
			continue
		}
		fields = append(fields, fmt.Sprintf("%s: %v -> %v", kebab(old.Type().Field(i).Name), a, b))
	}
	return fields
}

// kebab converts the name of a field to kebab case.
func kebab(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && unicode.IsUpper(r) {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
