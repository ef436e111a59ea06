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
	Settle       time.Duration // how long a change must last before it is appended
	Stagger      time.Duration // additional wait per member in order of name, so that few append at once
	Lease        time.Duration // how long a home may grant permits after its roster was last confirmed
	GuardedLease time.Duration // the lease plus an allowance for differences between clocks
	FormerPeriod time.Duration // how long the permits of a past member may still be in use
}

// View is the state from which a Proposer decides.
type View struct {
	Roster        Roster
	ConfirmedAt   time.Time         // when the log was last known to hold no later roster
	Present       []Member          // daemons that are alive or suspected, sorted by name
	HasEnded      func(Member) bool // reports whether no process of the member's incarnation exists any more
	AppendPending bool              // whether the log has yet to acknowledge an append of this daemon
}

// Proposer decides when this daemon appends a roster, and keeps its promises not to.
type Proposer struct {
	config        ProposerConfig
	desired       []Member                        // members of the roster that should follow: the daemons that are present
	desiredSince  time.Time                       // since when the desired members have been the same
	orphanedSince time.Time                       // since when every member of the roster is known to have ended, zero if one may be running
	promisedUntil time.Time                       // end of the latest promise to append no roster
	removedAt     map[crlid.Incarnation]time.Time // when a member was first found to be no longer desired
}

// NewProposer returns a Proposer without promises.
func NewProposer(config ProposerConfig) *Proposer {
	return &Proposer{config: config, removedAt: make(map[crlid.Incarnation]time.Time)}
}

// Promise promises to append, for a guarded lease from now, no roster that follows the term, and reports whether it did. It
// refuses if the term is not the current one, or while an append may still reach the log.
func (p *Proposer) Promise(term crlid.Term, v View, now time.Time) bool {
	if v.AppendPending || v.Roster.Term != term {
		return false
	}
	p.promisedUntil = now.Add(p.config.GuardedLease)
	return true
}

// Step returns the record to append now, false if there is none.
func (p *Proposer) Step(v View, now time.Time) (Record, bool) {
	p.trackDesired(v, now)
	changed := !slices.EqualFunc(p.desired, v.Roster.Members, Member.Same)
	// Append nothing while the log is unreachable: an unacknowledged append may reach it late and so rules out every promise,
	// which would keep the lease from being extended.
	reachable := now.Sub(v.ConfirmedAt) < p.config.Lease/2
	if !changed || v.AppendPending || !reachable || now.Before(p.promisedUntil) {
		return Record{}, false
	}
	record := Record{Base: v.Roster.Term, Author: p.config.Self, Members: p.desired, Former: p.former(v, now)}
	if v.Roster.Term == NoTerm {
		return record, now.Sub(p.desiredSince) >= p.config.Settle
	}
	if v.Roster.Has(p.config.Self) {
		return record, now.Sub(p.desiredSince) >= p.config.Settle+p.rank(v)*p.config.Stagger
	}
	record.Orphan = true
	return record, !p.orphanedSince.IsZero() && now.Sub(p.orphanedSince) >= p.config.GuardedLease
}

// trackDesired updates desired, desiredSince and orphanedSince from the view.
func (p *Proposer) trackDesired(v View, now time.Time) {
	if p.desiredSince.IsZero() || !slices.EqualFunc(p.desired, v.Present, Member.Same) {
		p.desired, p.desiredSince = slices.Clone(v.Present), now
	}
	mayRun := func(m Member) bool { return !v.HasEnded(m) }
	switch {
	case v.Roster.Term == NoTerm || slices.ContainsFunc(v.Roster.Members, mayRun):
		p.orphanedSince = time.Time{}
	case p.orphanedSince.IsZero():
		p.orphanedSince = now
	}
}

// rank returns the number of desired members that are in the roster and precede this daemon; they append first.
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

// former returns the past members whose permits may still be in use, except for those that are known to have ended.
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
