package crlquarantine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Crash is the crash of a server that ran a request.
type Crash struct {
	Request crlid.Request `json:"request"`
	Server  crlid.Server  `json:"server"`
	Moment  Moment        `json:"moment,omitempty"`
	// Round separates crashes of a suspect that came one after the other from those that came together, as when a failure domain loses its power. It
	// grows from 1 on; 0 is that of earlier versions.
	Round int `json:"round,omitempty"`
}

// is reports whether two crashes are the same, whatever else is known of it.
func (c Crash) is(other Crash) bool { return c.Request == other.Request && c.Server == other.Server }

// compare orders crashes by round, server and request, and then by what else is known.
func (c Crash) compare(other Crash) int {
	return cmp.Or(
		cmp.Compare(c.Round, other.Round), cmp.Compare(c.Server, other.Server), cmp.Compare(c.Request, other.Request),
		cmp.Compare(c.Moment, other.Moment),
	)
}

// Record is what is known of a suspect.
type Record struct {
	Suspect Suspect `json:"-"`       // the key of the record in the store
	Crashes []Crash `json:"crashes"` // without repeats, at most maxRoundServers * maxServerRequests of each round
	Probes  int     `json:"probes"`  // requests that were sent although the suspect was quarantined, to see whether servers still crash
}

const (
	maxRoundServers   = 8   // servers of a round whose crashes are kept
	maxServerRequests = 2   // crashes of a server in a round that are kept, which are of different requests
	maxRound          = 3   // crashes of later rounds count as ones of this
	maxPartBytes      = 200 // longer identifiers, and empty ones, are not suspected; a key in the store has 1 to 255 bytes
	minRequests       = 2   // requests with a suspect that must have crashed servers before it is quarantined
	minServers        = 2   // servers that must have crashed with a suspect before it is quarantined
	minRounds         = 2   // rounds in which servers must have crashed with a part before it is quarantined, unless they certainly worked on its requests
	minCrashes        = 4   // crashes without an answer that refutes them before a part is quarantined, unless servers certainly worked on its requests
	maxValueBytes     = 16 << 10
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
	r.Crashes = keep(r.Crashes)
	return r, nil
}

// tally counts what some crashes have in common with a suspect.
type tally struct {
	requests map[crlid.Request]bool
	servers  map[crlid.Server]bool
	rounds   map[int]bool
}

func newTally() tally {
	return tally{requests: make(map[crlid.Request]bool), servers: make(map[crlid.Server]bool), rounds: make(map[int]bool)}
}

func (t tally) add(c Crash) {
	t.requests[c.Request], t.servers[c.Server], t.rounds[c.Round] = true, true, true
}

// suffices reports whether the requests and servers are enough for a quarantine.
func (t tally) suffices() bool { return len(t.requests) >= minRequests && len(t.servers) >= minServers }

// quarantined reports whether requests with the suspect are kept from servers. A server that ended may have run many requests; for a part, it counts in full
// only if it had begun to answer the one with the part. Otherwise servers must have ended one after the other.
func (r Record) quarantined() bool {
	all, working := newTally(), newTally()
	for _, c := range r.Crashes {
		all.add(c)
		if c.Moment == MomentHead {
			working.add(c)
		}
	}
	return working.suffices() || all.suffices() && (r.Suspect.isRequest() || len(all.rounds) >= minRounds && len(r.Crashes) >= minCrashes)
}

// refutedByStart reports whether an answer that begins shows that the suspect doesn't crash servers: they have crashed before their answers began only.
func (r Record) refutedByStart() bool {
	return !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Moment == MomentBody })
}

// hasRepeat reports whether one request has crashed several servers.
func (r Record) hasRepeat() bool {
	for i, c := range r.Crashes {
		if slices.ContainsFunc(r.Crashes[:i], func(other Crash) bool { return other.Request == c.Request && other.Server != c.Server }) {
			return true
		}
	}
	return false
}

// newestRound returns the greatest round of the crashes, 0 without any.
func (r Record) newestRound() (round int) {
	for _, c := range r.Crashes {
		round = max(round, c.Round)
	}
	return round
}

// has reports whether a crash is on record.
func (r Record) has(crash Crash) bool { return slices.ContainsFunc(r.Crashes, crash.is) }

// explains reports whether every crash of another suspect is one of this one too.
func (r Record) explains(other Record) bool {
	return !slices.ContainsFunc(other.Crashes, func(c Crash) bool { return !r.has(c) })
}

// hasWorking reports whether a server crashed that certainly worked on a request with the suspect.
func (r Record) hasWorking() bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Moment == MomentHead })
}

// without returns the record without the crashes of another suspect.
func (r Record) without(other Record) Record {
	r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), other.has)
	return r
}

// explainsAll reports whether every crash of the suspects of some entries is one of this suspect too.
func (r Record) explainsAll(entries []*entry) bool {
	return !slices.ContainsFunc(entries, func(e *entry) bool { return !r.explains(e.record) })
}

// merge returns the record with the crashes and probes of another version of it.
func (r Record) merge(other Record) Record {
	r.Crashes = keep(slices.Concat(r.Crashes, other.Crashes))
	r.Probes = max(r.Probes, other.Probes)
	return r
}

// keep returns the crashes that a record keeps of some, in the order of compare. It is the same for all daemons, in whatever order they learn of the crashes:
// of each round the first servers, and of each of these the first requests.
func keep(crashes []Crash) (kept []Crash) {
	sorted := slices.Clone(crashes)
	slices.SortFunc(sorted, func(a, b Crash) int { return cmp.Or(a.identify(b), -a.compare(b)) })
	sorted = slices.CompactFunc(sorted, Crash.is) // Of what versions state of a crash, the greatest is kept.
	slices.SortFunc(sorted, Crash.compare)
	servers, requests := 0, 0 // of the round and of the server, so far
	for i, c := range sorted {
		switch {
		case i == 0 || c.Round != sorted[i-1].Round:
			servers, requests = 1, 1
		case c.Server != sorted[i-1].Server:
			servers, requests = servers+1, 1
		default:
			requests++
		}
		if servers <= maxRoundServers && requests <= maxServerRequests {
			kept = append(kept, c)
		}
	}
	return kept
}

// identify orders crashes such that those that are the same are next to each other.
func (c Crash) identify(other Crash) int {
	return cmp.Or(cmp.Compare(c.Server, other.Server), cmp.Compare(c.Request, other.Request))
}
