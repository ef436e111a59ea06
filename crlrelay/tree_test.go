package crlrelay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// fleetRoster returns a roster of members that are spread over failure domains.
func fleetRoster(members, domains int) Roster {
	roster := Roster{Generation: 1}
	for n := range members {
		roster.Members = append(roster.Members, Member{Address: fmt.Sprint("m", n), Domain: crlid.Domain(fmt.Sprint("d", n%domains))})
	}
	return roster
}

// TestFollowersAreSpread guards against two readers that feed all others, whatever their failure domain: with 300 daemons their links were full
// and every configuration came too late (sweep-300: CONFIG). It bounds the followers of each daemon and those in other domains.
func TestFollowersAreSpread(t *testing.T) {
	const maxFollowers = 24
	for _, c := range []struct{ members, domains int }{{9, 3}, {24, 3}, {63, 4}, {75, 4}, {295, 6}, {360, 5}, {1000, 6}} {
		roster := fleetRoster(c.members, c.domains)
		followers, across := make(map[string]int), 0
		for _, m := range roster.Members {
			p := findPlace(roster, nil, m)
			if p.reader {
				continue
			}
			source := p.sources[0]
			followers[source.Address]++
			if source.Domain != m.Domain {
				across++
			}
		}
		for address, count := range followers {
			// Readers of very large fleets have more: a thousand daemons have 60 feeders.
			if limit := max(maxFollowers, c.members/20); count > limit {
				t.Errorf("%d daemons: %s has %d followers, want at most %d", c.members, address, count, limit)
			}
		}
		if limit := max(maxFollowers, c.members/10); across > limit {
			t.Errorf("%d daemons: %d follow one of another failure domain, want at most %d", c.members, across, limit)
		}
	}
}

// fleet is a fleet of daemons that follow each other, in virtual time. Its readers are confirmed and get the changes.
type fleet struct {
	daemons   []*testDaemon
	followers []*Follower
	network   *network
}

// startFleet starts a fleet whose daemons know the roster.
func startFleet(ctx context.Context, members, domains int) *fleet {
	now := crlclock.NewMonotonic()
	roster := fleetRoster(members, domains)
	f := &fleet{network: newNetwork(make(map[string]*testDaemon))}
	for i, m := range roster.Members {
		d := newDaemon(crlid.Incarnation(m.Address), now)
		d.roster, d.delay = roster, 2*time.Millisecond
		f.network.put(m.Address, d)
		follower := newFollower(d, f.network, m.Address)
		follower.config.Self = m
		follower.UpdateRoster(roster)
		f.daemons, f.followers = append(f.daemons, d), append(f.followers, follower)
		if i < ReaderCount {
			d.replica.Replace([]crlplatform.KeyedRecord{record("config", 0, "1")}, at(1))
			go confirmPeriodically(ctx, d)
		}
		go func() { _ = follower.Run(ctx) }()
	}
	return f
}

// write gives the readers a change.
func (f *fleet) write(offset crlid.Offset, value string) {
	for _, d := range f.daemons[:ReaderCount] {
		d.replica.Apply([]crlplatform.KeyedRecord{record("config", offset, value)}, at(offset+1))
	}
}

// lacking returns the number of daemons that can be reached but lack a value.
func (f *fleet) lacking(value string) (count int) {
	for _, d := range f.daemons {
		if !d.cut.Load() && d.contents() != "map[config:"+value+"]" {
			count++
		}
	}
	return count
}

// TestChangesReachLargeFleets bounds the time until a change is everywhere and the age of confirmations, in a calm fleet and after the loss
// of feeders and of a whole failure domain with a reader. No daemon may turn to the store while a reader serves.
func TestChangesReachLargeFleets(t *testing.T) {
	for _, c := range []struct{ members, domains int }{{9, 3}, {63, 4}, {295, 6}, {1000, 6}} {
		if testing.Short() && c.members > 63 {
			continue
		}
		t.Run(fmt.Sprint(c.members), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := startFleet(ctx, c.members, c.domains)
				time.Sleep(3 * time.Second)
				f.write(1, "2")
				time.Sleep(200 * time.Millisecond)
				if count := f.lacking("2"); count > 0 {
					t.Errorf("%d of %d daemons lack a change after 200 ms", count, c.members)
				}
				for _, d := range f.daemons {
					if age := d.now().Sub(d.replica.ConfirmedAt()); age > 2*time.Second {
						t.Errorf("a daemon was last confirmed %s ago, want at most 2s", age)
					}
				}
				// The first feeders of all domains, and the first domain with a reader, are lost.
				for i, d := range f.daemons {
					if i >= ReaderCount && i < ReaderCount+c.domains || i%c.domains == 0 {
						d.cut.Store(true)
					}
				}
				f.write(2, "3")
				time.Sleep(3 * time.Second)
				if count := f.lacking("3"); count > 0 {
					t.Errorf("%d of %d daemons lack a change 3 s after the loss of feeders and of a failure domain", count, c.members)
				}
				reading := 0
				for i, follower := range f.followers {
					if i >= ReaderCount && !f.daemons[i].cut.Load() && follower.ShouldReadStore() {
						reading++
					}
				}
				if reading > 0 {
					t.Errorf("%d daemons read the store although a reader serves", reading)
				}
				cancel()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestNewSourceSendsDifferences guards against whole topics that are sent again when a daemon turns to another source.
func TestNewSourceSendsDifferences(t *testing.T) {
	now := crlclock.NewMonotonic()
	source := newDaemon("b", now)
	source.replica.Replace([]crlplatform.KeyedRecord{record("s1", 3, "in"), record("s2", 5, "in")}, at(6))
	source.replica.Apply([]crlplatform.KeyedRecord{record("s3", 8, "in"), record("s1", 9, "")}, at(10))
	for _, c := range []struct {
		end     crlid.Position
		full    bool
		records int
	}{
		{crlid.NoPosition, true, 3}, // a daemon that has nothing
		{at(10), false, 0},
		{at(9), false, 1},
		{at(6), false, 2},
		{at(5), true, 3}, // The source may not know of keys that were deleted before it began.
		{at(12), false, 0},
	} {
		if d := source.replica.since(0, c.end, nil); d.full != c.full || len(d.records) != c.records {
			t.Errorf("complete up to %s: got %d records (all keys %v), want %d (%v)", c.end, len(d.records), d.full, c.records, c.full)
		}
	}
}

// TestHeldRosterIsHashedOnce guards against a hash over all members in each call and each reply, which grows with the fleet.
func TestHeldRosterIsHashedOnce(t *testing.T) {
	for _, members := range []int{9, 63, 295, 1000} {
		roster := fleetRoster(members, 6)
		f := newFollower(newDaemon("a", crlclock.NewMonotonic()), nil, "a")
		f.UpdateRoster(roster)
		if got, want := f.Roster().digest(), roster.digest(); got != want {
			t.Errorf("%d members: the held roster has digest %d, want %d", members, got, want)
		}
		if allocations := testing.AllocsPerRun(10, func() { _ = f.Roster().digest() }); allocations > 0 {
			t.Errorf("%d members: %v allocations for the digest of a held roster, want none", members, allocations)
		}
		changed := f.Roster()
		changed.Generation++
		f.UpdateRoster(changed)
		if got, before := f.Roster().digest(), roster.digest(); got == before {
			t.Errorf("%d members: a roster of another generation has the same digest", members)
		}
	}
}
