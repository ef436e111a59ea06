package crlfleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// candidate is a server that a selection may pick.
type candidate struct {
	server   *server
	index    int     // in the list of the service
	isInside bool    // whether the server is in the request's interval
	penalty  float64 // delay in seconds that is expected outside of the interval
}

// candidatesOf returns the candidates of a selection, see best. The slice is valid until the next call.
func (f *Fleet) candidatesOf(c *scoreContext, preferred, available bool) []candidate {
	need, now := c.need, c.now
	candidates := f.candidates[:0]
	for i, s := range f.services[need.Service] {
		if !f.inService(s) || s.pausedUntil > now || s.brittle != nil && !f.hasPlace(s, now) ||
			len(need.Exclude) > 0 && need.Exclude[s.entry.Server] || !need.Allows(s.entry.Version) ||
			preferred && !need.Prefers(s.entry.Version) || available && max(s.health.backoffUntil, s.newVersionUntil) > now {
			continue
		}
		candidates = append(candidates, candidate{server: s, index: i})
	}
	f.candidates = candidates
	if available {
		candidates = fewest(candidates, need.FewServers)
	}
	candidates = c.withRoom(candidates)
	for i := range candidates {
		n := &candidates[i]
		n.isInside = c.interval.Contains(n.server.place)
		if !n.isInside {
			n.penalty = c.interval.Penalty(n.server.place)
		}
	}
	return candidates
}

// fewest returns the candidates without those beyond the given number of servers of their version, by the order of their IDs, which is
// the same at all daemons.
func fewest(candidates []candidate, limits map[crlid.Version]int) []candidate {
	if len(limits) == 0 {
		return candidates
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.server.entry.Server, b.server.entry.Server) })
	for version, limit := range limits {
		count := 0
		candidates = slices.DeleteFunc(candidates, func(n candidate) bool {
			if n.server.entry.Version != version {
				return false
			}
			count++
			return count > limit
		})
	}
	return candidates
}

// withRoom returns the candidates that have memory for the request, or all of them if none has.
func (c *scoreContext) withRoom(candidates []candidate) []candidate {
	if c.need.MemoryTokens <= 0 || !c.load.remote.active {
		return candidates
	}
	limit := float64(c.need.MemoryTokens - c.need.Tokens)
	lacksRoom := func(n candidate) bool { return !(n.server.tokens+n.server.remote.tokens <= limit) }
	if !slices.ContainsFunc(candidates, func(n candidate) bool { return !lacksRoom(n) }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, lacksRoom)
}

const (
	holderKeyCount = 16  // affinity keys of a service for which the hashes of all servers are kept
	maxHolderKey   = 256 // bytes of the longest such key, to bound the memory
)

// holderHashes are the hashes of an affinity key with each server of a service.
type holderHashes struct {
	key    string   // empty if the hashes are out of date
	hashes []uint64 // in the order of the service's list
}

// holder returns the candidate that is assumed to have the prompt's part cached, of those in the request's interval if there are any. It is
// chosen by rendezvous hashing, so that all daemons agree without exchanging messages: the highest hash of key and server wins.
func (f *Fleet) holder(c *scoreContext, candidates []candidate) *server {
	if c.need.Affinity.Key == "" {
		return nil
	}
	hashes := f.holderHashes(c.load, c.need)
	var holder *candidate
	for i := range candidates {
		n := &candidates[i]
		switch {
		case holder == nil, n.isInside && !holder.isInside, n.isInside == holder.isInside && hashes[n.index] > hashes[holder.index]:
			holder = n
		}
	}
	if holder == nil {
		return nil
	}
	return holder.server
}

// holderHashes returns the hashes of a request's affinity key with each server of its service. They are kept for some keys, as computing them
// takes longer than all else in a selection.
func (f *Fleet) holderHashes(l *serviceLoad, need *Need) []uint64 {
	key := need.Affinity.Key
	kept := &l.holders[xxhash.Sum64String(key)%holderKeyCount]
	if kept.key == key {
		return kept.hashes
	}
	kept.key, kept.hashes = "", kept.hashes[:0]
	if len(key) <= maxHolderKey {
		kept.key = key
	}
	f.hashed = append(f.hashed[:0], key...)
	for _, s := range f.services[need.Service] {
		f.hashed = append(f.hashed[:len(key)], s.entry.Server...)
		kept.hashes = append(kept.hashes, xxhash.Sum64(f.hashed))
	}
	return kept.hashes
}
