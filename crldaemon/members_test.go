package crldaemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlmember"
)

// rosterConvergenceLimit is the maximum time from a start or an end of a daemon until the rosters of all daemons reflect it.
const rosterConvergenceLimit = 20 * time.Second

// roster returns the newest roster that the daemon knows.
func (d *daemonNode) roster(t *testing.T) crlmember.Roster {
	t.Helper()
	var r crlmember.Roster
	if err := d.daemon.Load().loop.Do(context.Background(), func() { r = d.daemon.Load().membership.registrar.Roster() }); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRosterFollowsKillsRestartsAndStops checks that the roster drops daemons that were killed or stopped, includes a restarted
// one again, and that its terms rise.
func TestRosterFollowsKillsRestartsAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", 9)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		expect := func(event string, members int) crlmember.Roster {
			t.Helper()
			time.Sleep(rosterConvergenceLimit)
			r := cluster.daemons[0].roster(t)
			if len(r.Members) != members {
				t.Fatalf("%s: term %d has %d members, want %d", event, r.Term, len(r.Members), members)
			}
			return r
		}
		started := expect("start", 9)
		cluster.killDaemon(cluster.daemons[4])
		killed := expect("kill", 8)
		cluster.awaitEnd(cluster.daemons[4])
		cluster.startDaemon(cluster.daemons[4])
		back := expect("restart", 9)
		if len(back.Former) != 0 {
			t.Fatalf("the ended incarnation is still listed as a former member: %v", back.Former)
		}
		cluster.daemons[5].stop()
		expect("graceful stop", 8)
		if started.Term >= killed.Term || killed.Term >= back.Term {
			t.Fatalf("terms %d, %d, %d do not rise", started.Term, killed.Term, back.Term)
		}
	})
}

// TestRosterAfterAllDaemonsRestarted kills and restarts all daemons at the same time, so that no incarnation in the last roster is
// left to append the next one. The new incarnations must still agree on a roster with all of them.
func TestRosterAfterAllDaemonsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", 3)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		for _, d := range cluster.daemons {
			cluster.killDaemon(d)
		}
		for _, d := range cluster.daemons {
			cluster.awaitEnd(d)
			cluster.startDaemon(d)
		}
		time.Sleep(2 * rosterConvergenceLimit)
		r := cluster.daemons[0].roster(t)
		for _, d := range cluster.daemons {
			if !r.Has(d.daemon.Load().membership.self) {
				t.Fatalf("roster of term %d lacks %s: %v", r.Term, d.Name, r.Members)
			}
		}
	})
}
