package crlfleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpartition"
)

// placesInterval is the longest time for which the places of servers are used after a server has come or gone. Computing them takes longer
// than the choice of a server.
const placesInterval = 200 * time.Millisecond

// updatePlaces computes the places of a service's servers anew unless that was done a moment ago. Servers of all versions are ordered
// together, so that those of a new version get the same mix of sizes as the others, which a roll-out compares them with.
func (f *Fleet) updatePlaces(service crlid.Service, now crlclock.Instant) {
	l := f.serviceLoad(service)
	if l.placedAt > 0 && now.Sub(l.placedAt) < placesInterval {
		return
	}
	l.placedAt = now
	groups := make(map[crlid.Domain][]*server)
	for _, s := range f.services[service] {
		s.place = crlpartition.Place{}
		if f.inService(s) {
			groups[s.entry.Domain] = append(groups[s.entry.Domain], s)
		}
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b *server) int { return cmp.Compare(a.order, b.order) })
		for rank, s := range group {
			s.place = crlpartition.Place{Rank: rank, Servers: len(group)}
		}
	}
}

// placeOrder returns the key by which all daemons order the servers of a group.
func placeOrder(id crlid.Server) uint64 { return xxhash.Sum64String(string(id)) }

// preferredBy returns the candidates in the interval, or all if there is none.
func preferredBy(interval *crlpartition.Interval, candidates []*server) []*server {
	var preferred []*server
	for _, s := range candidates {
		if interval.Contains(s.place) {
			preferred = append(preferred, s)
		}
	}
	if len(preferred) == 0 {
		return candidates
	}
	return preferred
}
