package crldaemon

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlmember"
	"github.com/cranberrylock/cranberrylock/crlpermit"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// directory tells homes by the newest roster and configuration.
type directory struct {
	roster    atomic.Pointer[crlmember.Roster]
	snapshots *crlsnapshot.Holder
}

// Seat returns the home of a server.
func (d *directory) HomeOf(server crlconfig.Server) (crlpermit.HomeInfo, bool) {
	r := d.roster.Load()
	if r == nil {
		return crlpermit.HomeInfo{}, false
	}
	home, ok := r.Home(server.ID, server.Domain)
	return crlpermit.HomeInfo{Term: r.Term, Incarnation: home.Incarnation, Address: home.Address}, ok
}

// Address returns the address of a member or past member.
func (d *directory) Address(incarnation crlid.Incarnation) (string, bool) {
	r := d.roster.Load()
	if r == nil {
		return "", false
	}
	for _, m := range slices.Concat(r.Members, r.Former) {
		if m.Incarnation == incarnation {
			return m.Address, true
		}
	}
	return "", false
}

// Configured returns a server of the configuration in force.
func (d *directory) Configured(server crlid.Server) (crlconfig.Server, bool) {
	c := d.snapshots.Load().Configuration
	if c == nil {
		return crlconfig.Server{}, false
	}
	s, ok := c.Servers[server]
	return s, ok
}

func (d *Daemon) newPermits() {
	limits := d.config.Settings.Limits
	d.directory = &directory{snapshots: d.snapshots}
	d.assignment = assignmentVersion{term: crlmember.NoTerm, offset: crlid.NoOffset}
	d.home = crlpermit.NewHome(crlpermit.HomeConfig{
		Lease: limits.Lease, Guard: guardedLease(limits), Expiry: limits.PermitExpiry, MaxAttempt: limits.PermitHold, ClockRate: limits.ClockRate,
	})
	d.permits = crlpermit.NewClient(crlpermit.ClientConfig{
		Loop: d.loop, Peers: d.config.Peers, Directory: d.directory, Home: d.home, Self: d.incarnation,
		MaxAttempt: limits.PermitHold,
		Ended:      func(i crlid.Incarnation) bool { return d.membership.table.HasEnded(crlmember.Member{Incarnation: i}) },
	})
	d.permits.Register(d.mux)
}

// beginTenure gives the home its servers by the newest roster and configuration; it runs on the loop.
func (d *Daemon) updateAssignment() {
	roster := d.membership.registrar.Roster()
	s := d.snapshots.Load()
	if s.Configuration == nil || roster.Term == crlmember.NoTerm || d.assignment == (assignmentVersion{roster.Term, s.Offset}) {
		return
	}
	d.assignment = assignmentVersion{roster.Term, s.Offset}
	t := crlpermit.Assignment{Term: roster.Term, Servers: make(map[crlid.Server]crlpermit.Limits)}
	for id, server := range s.Configuration.Servers {
		if home, ok := roster.Home(id, server.Domain); ok && home.Same(d.membership.self) {
			t.Servers[id] = crlpermit.Limits{Cold: server.ColdLimit, Warm: server.WarmLimit, ColdTime: server.ColdTime}
		}
	}
	for _, m := range slices.Concat(roster.Members, roster.Former) {
		t.Holders = append(t.Holders, m.Incarnation)
	}
	d.home.ApplyAssignment(t, time.Now())
	d.directory.roster.Store(&roster)
}

// tenure identifies what the home last began.
type assignmentVersion struct {
	term   crlid.Term
	offset crlid.Offset
}
