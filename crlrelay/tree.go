package crlrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

const (
	// maxFlatMembers is the number of members up to which all follow the readers directly.
	maxFlatMembers = 24
	// feederFanOut is the number of followers of a feeder. A call of a follower takes little, but a change must reach all of them over the
	// feeder's link before the next one.
	feederFanOut = 16
)

// place is a daemon's place in the tree of readers, feeders and their followers, by one roster.
//
// The readers come first in the roster. In a large fleet the strongest other members of each failure domain, the feeders, follow a reader,
// and the rest of the domain follows them, so that few daemons follow a reader and few records cross between failure domains. All daemons
// derive the tree from the roster alone.
type place struct {
	reader    bool
	depth     int      // number of calls from the daemon to a reader, 0 for a reader
	sources   []Member // members to follow, in the order in which they are tried
	preferred int      // number of sources at the beginning that feed others: feeders of the own domain and readers
}

// Ranks of sources. Those with the lowest are tried first.
const (
	rankOwnFeeder = iota // feeders of the own failure domain
	rankNearReader
	rankReader
	rankFeeder // feeders of other failure domains
	rankOther
)

// rankedSource is a source with its place in the order of sources.
type rankedSource struct {
	member Member
	rank   int
	order  uint64 // among sources of the same rank
}

// findPlace returns the place of self in a roster. seeds take the place of the members while the roster has none.
func findPlace(roster Roster, seeds []Member, self Member) place {
	members := roster.Members
	if len(members) == 0 {
		members = seeds
	}
	var feeders map[string]bool
	if len(members) > maxFlatMembers {
		feeders = findFeeders(members)
	}
	p := place{depth: 1}
	var sources []rankedSource
	for i, m := range members {
		if m.Address == self.Address {
			p.reader = len(roster.Members) > 0 && i < ReaderCount
			continue
		}
		near := m.Domain == self.Domain
		s := rankedSource{member: m, rank: rankOther, order: xxhash.Sum64String(m.Address + self.Address)}
		switch {
		case i < ReaderCount && near:
			s.rank = rankNearReader
		case i < ReaderCount:
			s.rank = rankReader
		case feeders[m.Address] && near && !feeders[self.Address]:
			s.rank = rankOwnFeeder
		case feeders[m.Address]:
			s.rank = rankFeeder
		}
		if s.rank <= rankReader {
			p.preferred++
		}
		sources = append(sources, s)
	}
	if spreadOverFeeders(sources, precedingInDomain(members, feeders, self)) > 0 {
		p.depth = 2
	}
	if p.reader {
		p.depth = 0
	}
	slices.SortFunc(sources, func(a, b rankedSource) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.order, b.order)) })
	for _, s := range sources {
		p.sources = append(p.sources, s.member)
	}
	return p
}

// inLargeFleet reports whether this daemon is known to be one of a fleet with feeders: by its roster, or because a source referred it to others.
func (f *Follower) inLargeFleet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.place.depth > 1 || len(f.roster.Members) > maxFlatMembers
}

// precedingInDomain returns the number of members of self's failure domain before it that follow feeders.
func precedingInDomain(members []Member, feeders map[string]bool, self Member) (count int) {
	for i, m := range members {
		switch {
		case m.Address == self.Address:
			return count
		case i >= ReaderCount && m.Domain == self.Domain && !feeders[m.Address]:
			count++
		}
	}
	return count
}

// spreadOverFeeders sets the order of the feeders of the own domain such that each is the first choice of as many members, and returns their
// number. position is that of this daemon among these members.
func spreadOverFeeders(sources []rankedSource, position int) (feeders int) {
	for _, s := range sources {
		if s.rank == rankOwnFeeder {
			feeders++
		}
	}
	next := 0
	for i := range sources {
		if sources[i].rank == rankOwnFeeder {
			sources[i].order = uint64((next + feeders - position%feeders) % feeders)
			next++
		}
	}
	return feeders
}

// findFeeders returns the addresses of the members that feed others of their failure domain: as many of its first ones, without the
// readers, as it takes for feederFanOut followers each.
func findFeeders(members []Member) map[string]bool {
	others := make(map[crlid.Domain][]string)
	for _, m := range members[min(ReaderCount, len(members)):] {
		others[m.Domain] = append(others[m.Domain], m.Address)
	}
	feeders := make(map[string]bool)
	for _, addresses := range others {
		count := (len(addresses) + feederFanOut) / (feederFanOut + 1)
		for _, a := range addresses[:count] {
			feeders[a] = true
		}
	}
	return feeders
}

// sourceIndex returns the index of the source to call after a number of failures, among sources of which the first preferred ones feed
// others. Every second attempt goes to one of these, as they are the first to recover after an outage of the store; the attempts in
// between go through all sources.
func sourceIndex(failures, sources, preferred int) int {
	if preferred == 0 || sources <= 2*preferred {
		return failures % sources
	}
	if failures%2 == 0 {
		return failures / 2 % preferred
	}
	return (preferred + failures/2) % sources
}
