package crlquarantine

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Crash is the crash of a server that ran a request.
type Crash struct {
	Request crlid.Request `json:"request"`
	Server  crlid.Server  `json:"server"`
}

// Record is what is known of a suspect.
type Record struct {
	Suspect Suspect `json:"-"`       // the key of the record in the store
	Crashes []Crash `json:"crashes"` // the newest maxCrashes, without repeats
	Probes  int     `json:"probes"`  // requests that were sent although the suspect was quarantined, to see whether servers still crash
}

const (
	maxCrashes    = 8   // crashes of a suspect that are kept
	maxPartBytes  = 200 // longer identifiers, and empty ones, are not suspected; a key in the store has 1 to 255 bytes
	minRequests   = 2   // requests with a suspect that must have crashed servers before it is quarantined
	minServers    = 2   // servers that must have crashed with a suspect before it is quarantined
	maxValueBytes = 16 << 10
)

// Encode returns the value of the record in the store.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode returns the record of a suspect from its value in the store. It fails for a value that isn't that of a record.
func Decode(suspect Suspect, value []byte) (Record, error) {
	r := Record{Suspect: suspect}
	if len(value) > maxValueBytes {
		return r, fmt.Errorf("record of %s has %d bytes, allowed are %d", suspect, len(value), maxValueBytes)
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("decode record of %s: %w", suspect, err)
	}
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-maxCrashes):]
	return r, nil
}

// quarantined reports whether requests with the suspect are kept from servers.
func (r Record) quarantined() bool {
	requests, servers := make(map[crlid.Request]bool), make(map[crlid.Server]bool)
	for _, c := range r.Crashes {
		requests[c.Request], servers[c.Server] = true, true
	}
	return len(requests) >= minRequests && len(servers) >= minServers
}

// explains reports whether every crash of another suspect is one of this one too.
func (r Record) explains(other Record) bool {
	for _, c := range other.Crashes {
		if !slices.Contains(r.Crashes, c) {
			return false
		}
	}
	return true
}

// explainsAll reports whether every crash of the suspects of some entries is one of this suspect too.
func (r Record) explainsAll(entries []*entry) bool {
	return !slices.ContainsFunc(entries, func(e *entry) bool { return !r.explains(e.record) })
}

// merge returns the record with the crashes and probes of another version of it.
func (r Record) merge(other Record) Record {
	merged := slices.Clone(r.Crashes)
	for _, c := range other.Crashes {
		if !slices.Contains(merged, c) {
			merged = append(merged, c)
		}
	}
	r.Crashes = merged[max(0, len(merged)-maxCrashes):]
	r.Probes = max(r.Probes, other.Probes)
	return r
}
