package crlrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// TestReaderRefersADaemonOnce guards against readers that feed all daemons which start at the same time (295 of 295 first loads came from the two
// readers), and against daemons that are referred in a circle when no feeder has anything.
func TestReaderRefersADaemonOnce(t *testing.T) {
	roster := fleetRoster(295, 6)
	serverOf := func(n int) *Server {
		return NewServer(ServerConfig{Address: roster.Members[n].Address, Roster: func() Roster { return roster }, Now: crlclock.NewMonotonic()})
	}
	reader, other := serverOf(0), serverOf(294)
	for n, m := range roster.Members[ReaderCount:] {
		p := findPlace(roster, nil, m)
		request := FollowRequest{Self: &m}
		first, second := reader.redirect(request), reader.redirect(request)
		if (first != nil) != (p.depth == 2) || second != nil {
			t.Fatalf("member %d at depth %d is referred to %v, and then to %v", n, p.depth, first, second)
		}
		if p.depth < 2 {
			continue
		}
		if first[0] != p.sources[0] {
			t.Fatalf("member %d is referred to %v first, want %v", n, first[0], p.sources[0])
		}
		for range 2 {
			if m.Address != other.config.Address && other.redirect(request) == nil {
				t.Fatalf("member %d isn't referred by a daemon that feeds nobody", n)
			}
		}
	}
	if m := roster.Members[294]; len(reader.redirect(FollowRequest{Self: &m})) > 0 {
		t.Error("a daemon that called again is referred once more")
	}
}

// TestSourceThatLoadsHoldsFirstCalls guards against followers that turn to the readers because their feeder, which started at the same time, has
// nothing yet. In small fleets and for followers with a copy the reply still comes at once.
func TestSourceThatLoadsHoldsFirstCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		request FollowRequest
		load    bool
		want    time.Duration
	}{
		{"large fleet", FollowRequest{LargeFleet: true}, true, 200 * time.Millisecond},
		{"never loaded", FollowRequest{LargeFleet: true}, false, FollowWait},
		{"small fleet", FollowRequest{}, true, 0},
		{"has a copy", FollowRequest{LargeFleet: true, Ends: map[Topic]crlid.Offset{testTopic: 4}}, true, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			now := crlclock.NewMonotonic()
			d := newDaemon("feeder", now)
			c.request.MaxWait = Milliseconds(FollowWait.Milliseconds())
			if c.load {
				go func() {
					time.Sleep(200 * time.Millisecond)
					d.replica.Replace([]crlplatform.KeyedRecord{record("config", 0, "1")}, at(1))
					d.replica.Confirm(now(), 0)
				}()
			}
			began := now()
			response, err := d.server.Follow(t.Context(), c.request)
			if took := now().Sub(began); err != nil || took != c.want {
				t.Errorf("%s: the call took %s (%v), want %s", c.name, took, err, c.want)
			}
			if got := len(response.Topics[testTopic].Records); c.want > 0 && c.load != (got == 1) {
				t.Errorf("%s: the reply has %d records", c.name, got)
			}
			time.Sleep(time.Second)
		})
	}
}
