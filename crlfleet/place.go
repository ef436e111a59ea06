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
	f.updateOrder(l, service)
	if l.placedAt > 0 && now.Sub(l.placedAt) < placesInterval {
		return
	}
	l.placedAt = now
	for begin, end := 0, 0; begin < len(l.ordered); begin = end {
		inService := 0
		for ; end < len(l.ordered) && l.ordered[end].entry.Domain == l.ordered[begin].entry.Domain; end++ {
			if f.inService(l.ordered[end]) {
				inService++
			}
		}
		rank := 0
		for _, s := range l.ordered[begin:end] {
			s.place = crlpartition.Place{}
			if f.inService(s) {
				s.place = crlpartition.NewPlace(rank, inService)
				rank++
			}
			s.segment = segment(s.place)
		}
	}
}

// updateOrder orders a service's servers and numbers their versions, unless that was done since the last change.
func (f *Fleet) updateOrder(l *serviceLoad, service crlid.Service) {
	if len(l.ordered) > 0 {
		return
	}
	l.ordered = append(l.ordered, f.services[service]...)
	slices.SortFunc(l.ordered, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.entry.Domain, b.entry.Domain), cmp.Compare(a.order, b.order))
	})
	l.versions = l.versions[:0]
	for _, s := range l.ordered {
		s.version = slices.Index(l.versions, s.entry.Version)
		if s.version < 0 {
			s.version = len(l.versions)
			l.versions = append(l.versions, s.entry.Version)
		}
	}
}

// forgetOrder discards what was computed from the list of a service's servers, their domains and their versions.
func (f *Fleet) forgetOrder(service crlid.Service) {
	l := f.serviceLoad(service)
	clear(l.ordered)
	l.ordered = l.ordered[:0]
	for i := range l.holders {
		l.holders[i].key = ""
	}
}

// placeOrder returns the key by which all daemons order the servers of a group.
func placeOrder(id crlid.Server) uint64 { return xxhash.Sum64String(string(id)) }
