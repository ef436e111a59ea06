package crlrelay

import (
	"fmt"
	"testing"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// rankedFollowers returns a follower for each of count daemons. The roster lists all of them but those that are left out.
func rankedFollowers(count int, leftOut ...int) []*Follower {
	roster := Roster{Generation: 1}
	absent := make(map[int]bool)
	for _, n := range leftOut {
		absent[n] = true
	}
	member := func(n int) Member { return Member{Address: fmt.Sprintf("10.0.%d.%d:1", n/250, n%250)} }
	for n := range count {
		if !absent[n] {
			roster.Members = append(roster.Members, member(n))
		}
	}
	followers := make([]*Follower, 0, count)
	for n := range count {
		f := NewFollower(FollowerConfig{Self: member(n), Now: crlclock.NewMonotonic()})
		f.UpdateRoster(roster)
		followers = append(followers, f)
	}
	return followers
}

// TestRanksAreAPermutation guards against two daemons that both count themselves as the owner of one part of a common limit, and parts without an owner.
func TestRanksAreAPermutation(t *testing.T) {
	for _, count := range []int{1, 2, 9, 75, 295} {
		followers := rankedFollowers(count)
		for key := range uint64(20) {
			seen, order := make(map[int]bool), followers[0].First(key, count+1)
			for _, f := range followers {
				rank, n, ok := f.Rank(key)
				if !ok || n != count || rank < 0 || rank >= count || seen[rank] {
					t.Fatalf("%d daemons, key %d: rank %d of %d, listed %t, seen before %t", count, key, rank, n, ok, seen[rank])
				}
				seen[rank] = true
				if len(order) != count || order[rank] != f.Self() {
					t.Fatalf("%d daemons, key %d: First has %d daemons, and %v where %v has rank %d", count, key, len(order), order[rank], f.Self(), rank)
				}
			}
		}
	}
}

// TestRanksChangeLittle guards against many parts of a common limit that change their owners, while rosters differ, because one daemon has left.
func TestRanksChangeLittle(t *testing.T) {
	const count, gone = 75, 31
	before, after := rankedFollowers(count), rankedFollowers(count, gone)
	for key := range uint64(50) {
		left, _, _ := before[gone].Rank(key)
		for n := range count {
			was, _, _ := before[n].Rank(key)
			is, all, ok := after[n].Rank(key)
			want := was
			if was > left {
				want--
			}
			if n == gone && (ok || all != count-1) || n != gone && is != want {
				t.Fatalf("key %d: daemon %d has rank %d of %d, listed %t, want %d", key, n, is, all, ok, want)
			}
		}
	}
}
