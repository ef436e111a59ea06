package crlmember

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// ProposerConfig configures a Proposer.
type ProposerConfig struct {
	Self         Member
	Settle       time.Duration // Settle is how long a change must last before it is appended.
	Stagger      time.Duration // Stagger is the further wait of each member after the first, so that few append at once.
	Lease        time.Duration // Lease is how long a home may grant without a confirmation.
	GuardedLease time.Duration // Guard is the lease with the allowance for clocks.
	FormerPeriod time.Duration // Former is how long the permits of a past member may be in use.
}

// View is what a Proposer decides from.
type View struct {
	Roster        Roster
	ConfirmedAt   time.Time // Confirmed is when the log was last known to hold no later roster.
	Present       []Member  // Alive are the members that are not gone, by name.
	HasEnded      func(Member) bool
	AppendPending bool // Pending is true while an append of this daemon is not acknowledged.
}

// Proposer decides when to append a roster, and promises to append none.
type Proposer struct {
	config        ProposerConfig
	desired       []Member
	desiredSince  time.Time // since is when wanted was first seen.
	orphanedSince time.Time // orphaned is when every member of the roster was first known to have ended.
	promisedUntil time.Time // promised is the end of the longest promise.
	removedAt     map[crlid.Incarnation]time.Time
}

// NewProposer returns a proposer that has promised nothing.
func NewProposer(config ProposerConfig) *Proposer {
	return &Proposer{config: config, removedAt: make(map[crlid.Incarnation]time.Time)}
}

// Promise reports whether the daemon binds itself to append nothing after the term for a guarded lease.
func (p *Proposer) Promise(term crlid.Term, v View, now time.Time) bool {
	if v.AppendPending || v.Roster.Term != term {
		return false
	}
	p.promisedUntil = now.Add(p.config.GuardedLease)
	return true
}

// Step returns the record to append now, if any.
func (p *Proposer) Step(v View, now time.Time) (Record, bool) {
	p.trackDesired(v, now)
	changed := !slices.EqualFunc(p.desired, v.Roster.Members, Member.Same)
	// Without the log the roster is frozen: an append that may land late would bar every promise.
	reachable := now.Sub(v.ConfirmedAt) < p.config.Lease/2
	if !changed || v.AppendPending || !reachable || now.Before(p.promisedUntil) {
		return Record{}, false
	}
	r := Record{Base: v.Roster.Term, Author: p.config.Self, Members: p.desired, Former: p.former(v, now)}
	if v.Roster.Term == NoTerm {
		return r, now.Sub(p.desiredSince) >= p.config.Settle
	}
	if v.Roster.Has(p.config.Self) {
		return r, now.Sub(p.desiredSince) >= p.config.Settle+p.rank(v)*p.config.Stagger
	}
	r.Orphan = true
	return r, !p.orphanedSince.IsZero() && now.Sub(p.orphanedSince) >= p.config.GuardedLease
}

// track notes since when the wanted members and the state of the roster's members have lasted.
func (p *Proposer) trackDesired(v View, now time.Time) {
	if p.desiredSince.IsZero() || !slices.EqualFunc(p.desired, v.Present, Member.Same) {
		p.desired, p.desiredSince = slices.Clone(v.Present), now
	}
	survives := func(m Member) bool { return !v.HasEnded(m) }
	switch {
	case v.Roster.Term == NoTerm || slices.ContainsFunc(v.Roster.Members, survives):
		p.orphanedSince = time.Time{}
	case p.orphanedSince.IsZero():
		p.orphanedSince = now
	}
}

// rank is the number of roster members that should append before this daemon.
func (p *Proposer) rank(v View) time.Duration {
	rank := 0
	for _, m := range p.desired {
		if m.Same(p.config.Self) {
			break
		}
		if v.Roster.Has(m) {
			rank++
		}
	}
	return time.Duration(rank)
}

// former returns the past members that are not proved to have ended and whose permits may still be in use.
func (p *Proposer) former(v View, now time.Time) []Member {
	var former []Member
	defer func() {
		maps.DeleteFunc(p.removedAt, func(_ crlid.Incarnation, at time.Time) bool { return now.Sub(at) >= 2*p.config.FormerPeriod })
	}()
	for _, m := range slices.Concat(v.Roster.Former, v.Roster.Members) {
		if slices.ContainsFunc(p.desired, m.Same) || v.HasEnded(m) {
			continue
		}
		at, ok := p.removedAt[m.Incarnation]
		if !ok {
			at = now
			p.removedAt[m.Incarnation] = now
		}
		if now.Sub(at) < p.config.FormerPeriod {
			former = append(former, m)
		}
	}
	return former
}
