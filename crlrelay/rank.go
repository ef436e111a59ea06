package crlrelay

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns this daemon's position, from 0, in the order of all count daemons of the roster for a key; ok is false if the roster doesn't list this
// daemon. Daemons with the same roster compute the same order, and a daemon that is added or removed leaves the others in their order.
func (f *Follower) Rank(key uint64) (rank, count int, ok bool) {
	f.mu.Lock()
	hashes, self := f.roster.hashes, f.roster.self
	f.mu.Unlock()
	if self < 0 || len(hashes) == 0 {
		return 0, len(hashes), false
	}
	own := weight(hashes[self], key)
	for i, h := range hashes {
		if w := weight(h, key); w > own || w == own && i < self {
			rank++
		}
	}
	return rank, len(hashes), true
}

// First returns the first daemons of the roster in the order of Rank for a key, all of them if there are fewer than count.
func (f *Follower) First(key uint64, count int) []Member {
	f.mu.Lock()
	members, hashes := f.roster.Members, f.roster.hashes
	f.mu.Unlock()
	type ranked struct {
		weight uint64
		index  int
	}
	order := make([]ranked, 0, len(hashes))
	for i, h := range hashes {
		order = append(order, ranked{weight(h, key), i})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index)) })
	first := make([]Member, 0, min(count, len(order)))
	for _, r := range order[:min(count, len(order))] {
		first = append(first, members[r.index])
	}
	return first
}

// prepare computes what Rank and digest need of a roster that is kept. self is the address of this daemon.
func (r *Roster) prepare(self string) {
	r.knownDigest = 0 // The caller may have changed a roster that was held.
	r.knownDigest = r.digest()
	r.self, r.hashes = -1, make([]uint64, 0, len(r.Members))
	for i, m := range r.Members {
		r.hashes = append(r.hashes, xxhash.Sum64String(m.Address))
		if m.Address == self {
			r.self = i
		}
	}
}

// weight returns the weight of a daemon for a key; the order is by weight.
func weight(daemon, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], daemon)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}
