package crlmember

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Stream is the log stream of rosters.
const Stream crlid.Stream = "roster"

// KindRecord is the kind of a journal entry whose body is a Record.
const KindRecord crljournal.Kind = 1

// NoTerm is the term before the first roster.
const NoTerm = crlid.Term(crlid.NoOffset)

// Record proposes the roster that follows the one of its base term.
type Record struct {
	Base    crlid.Term `cbor:"1,keyasint"` // term of the roster that the proposed one follows
	Author  Member     `cbor:"2,keyasint"`
	Orphan  bool       `cbor:"3,keyasint"` // whether every member of the base has ended, so that the author can be none of them
	Members []Member   `cbor:"4,keyasint"`
	Former  []Member   `cbor:"5,keyasint"` // past members whose permits may still be in use
}

// Roster is the agreed list of daemons of a term. It is immutable once published.
type Roster struct {
	Term    crlid.Term
	Members []Member
	Former  []Member
}

// Has reports whether the given run of a daemon is a member.
func (r *Roster) Has(member Member) bool { return slices.ContainsFunc(r.Members, member.Same) }

// Home returns the member that grants permits for the server, false if the roster is empty. It is a member of the server's
// failure domain if there is one, and changes only when that member leaves or a member that ranks higher for
// the server joins.
func (r *Roster) Home(server crlid.Server, domain crlid.Domain) (Member, bool) {
	var home Member
	var bestScore uint64
	found, homeInDomain := false, false
	for _, m := range r.Members {
		inDomain := m.Domain == domain
		if homeInDomain && !inDomain {
			continue
		}
		score := xxhash.Sum64String(string(m.Name) + "\x00" + string(server))
		if !found || inDomain && !homeInDomain || score > bestScore {
			home, bestScore, found, homeInDomain = m, score, true, inDomain
		}
	}
	return home, found
}

// Fold determines the roster in force by applying the records of the stream in offset order. The same entries give the same
// roster on every daemon.
type Fold struct {
	roster Roster
}

// NewFold returns a Fold with an empty roster of term NoTerm.
func NewFold() *Fold { return &Fold{roster: Roster{Term: NoTerm}} }

// Roster returns the roster in force, which has term NoTerm before the first.
func (f *Fold) Roster() Roster { return f.roster }

// Restore replaces the roster by that of a checkpoint, unless the checkpoint's is of an earlier term or the same.
func (f *Fold) Restore(roster Roster) {
	if roster.Term > f.roster.Term {
		f.roster = roster
	}
}

// Apply applies one entry and reports whether it began a term. Entries that don't decode and records that don't follow the
// roster in force are ignored.
func (f *Fold) Apply(entry crljournal.LoggedEntry) bool {
	var record Record
	if entry.Kind != KindRecord || entry.Decode(&record) != nil {
		return false
	}
	term := crlid.Term(entry.Position.Offset)
	// Only a member of the base may append its successor, since a home that extends its lease has promises of these members only.
	entitled := f.roster.Term == NoTerm || record.Orphan || f.roster.Has(record.Author)
	if record.Base != f.roster.Term || term <= f.roster.Term || !entitled || len(record.Members) == 0 {
		return false
	}
	f.roster = Roster{Term: term, Members: record.Members, Former: record.Former}
	return true
}
