package crlfleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// candidate is a server that a selection may pick.
type candidate struct {
	server    *server
	index     int  // in the list of the service
	isOutside bool // whether the server is outside of the request's interval
}

// candidatesOf returns the candidates of a selection, see best. The slice is valid until the next call.
func (f *Fleet) candidatesOf(c *scoreContext, preferred, available bool) []candidate {
	need, now := c.need, c.now
	candidates := f.candidates[:0]
	isBrittle := c.load.brittle.isActive(now)
	for i, s := range f.services[need.Service] {
		if !f.inService(s) || s.pausedUntil > now || isBrittle && !f.hasPlace(s, now) ||
			len(need.Exclude) > 0 && need.Exclude[s.entry.Server] || !c.allows(s, preferred) ||
			available && max(s.health.backoffUntil, s.newVersionUntil) > now {
			continue
		}
		candidates = append(candidates, candidate{server: s, index: i})
	}
	f.candidates = candidates
	if available {
		candidates = fewest(candidates, need.FewServers)
	}
	candidates = c.withRoom(candidates)
	if c.interval.IsAll() {
		return candidates
	}
	for i := range candidates {
		n := &candidates[i]
		n.isOutside = !c.interval.Contains(n.server.place)
	}
	return candidates
}

// versionVerdict is what a request says about a version.
type versionVerdict struct{ isAllowed, isPreferred bool }

// judgeVersions asks the request once about each version of the service's servers. The slice is valid until the next call.
func (f *Fleet) judgeVersions(l *serviceLoad, need *Need) []versionVerdict {
	f.verdicts = f.verdicts[:0]
	for _, v := range l.versions {
		verdict := versionVerdict{isAllowed: need.Allows(v)}
		verdict.isPreferred = verdict.isAllowed && need.Prefers(v)
		f.verdicts = append(f.verdicts, verdict)
	}
	return f.verdicts
}

// allows reports whether the request may run on a server, or if preferred is set whether it should.
func (c *scoreContext) allows(s *server, preferred bool) bool {
	v := c.versions[s.version]
	return v.isPreferred || !preferred && v.isAllowed
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
	withRoom := 0
	for i := range candidates {
		if s := candidates[i].server; s.tokens+s.remote.tokens <= limit {
			withRoom++
		}
	}
	if withRoom == 0 || withRoom == len(candidates) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(n candidate) bool { return !(n.server.tokens+n.server.remote.tokens <= limit) })
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
		case holder == nil, holder.isOutside && !n.isOutside, n.isOutside == holder.isOutside && hashes[n.index] > hashes[holder.index]:
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
