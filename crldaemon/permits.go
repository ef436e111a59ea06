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

// directory looks up homes, addresses and servers in the newest roster and configuration. It implements crlpermit.Directory and
// is safe for concurrent use.
type directory struct {
	roster    atomic.Pointer[crlmember.Roster] // nil until updateAssignment has applied one
	snapshots *crlsnapshot.Holder
}

// HomeOf returns the home of a server, and false if there is no roster yet or the roster has no home for it.
func (d *directory) HomeOf(server crlconfig.Server) (crlpermit.HomeInfo, bool) {
	r := d.roster.Load()
	if r == nil {
		return crlpermit.HomeInfo{}, false
	}
	home, ok := r.Home(server.ID, server.Domain)
	return crlpermit.HomeInfo{Term: r.Term, Incarnation: home.Incarnation, Address: home.Address}, ok
}

// Address returns the address of a member of the roster, or of a past member that it still lists.
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

// Configured returns a server by its name in the configuration in force.
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

// updateAssignment gives home the servers that the newest roster and configuration assign to this daemon, unless home already
// has the assignment of this roster and configuration. It runs on the control loop.
func (d *Daemon) updateAssignment() {
	roster := d.membership.registrar.Roster()
	s := d.snapshots.Load()
	if s.Configuration == nil || roster.Term == crlmember.NoTerm || d.assignment == (assignmentVersion{roster.Term, s.Offset}) {
		return
	}
	d.assignment = assignmentVersion{roster.Term, s.Offset}
	a := crlpermit.Assignment{Term: roster.Term, Servers: make(map[crlid.Server]crlpermit.Limits)}
	for id, server := range s.Configuration.Servers {
		if home, ok := roster.Home(id, server.Domain); ok && home.Same(d.membership.self) {
			a.Servers[id] = crlpermit.Limits{Cold: server.ColdLimit, Warm: server.WarmLimit, ColdTime: server.ColdTime}
		}
	}
	for _, m := range slices.Concat(roster.Members, roster.Former) {
		a.Holders = append(a.Holders, m.Incarnation)
	}
	d.home.ApplyAssignment(a, time.Now())
	d.directory.roster.Store(&roster)
}

// assignmentVersion identifies an assignment by the term of its roster and the log offset of its configuration.
type assignmentVersion struct {
	term   crlid.Term
	offset crlid.Offset
}
