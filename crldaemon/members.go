package crldaemon

import (
	"context"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlmember"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlsettings"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// Parameters of failure detection and of rosters. Names that end in Periods count heartbeat periods.
const (
	suspectPeriods   = 4                      // heartbeat periods in which a suspected daemon can refute the suspicion
	evictPeriods     = 240                    // heartbeat periods for which a gone daemon stays in the table
	settlePeriods    = 2                      // heartbeat periods for which a change must last before a new roster is appended
	updateRepeats    = 12                     // number of heartbeats that carry each update
	maxDigestUpdates = 6                      // limit on the updates about other daemons in one heartbeat
	clockAllowance   = 500 * time.Millisecond // part of guardedLease for differences between clocks, besides Limits.ClockRate
)

// membership holds the parts of a daemon that track other daemons and agree on the roster.
type membership struct {
	self      crlmember.Member
	table     *crlmember.Table
	gossip    *crlmember.Gossip
	registrar *crlmember.Registrar
}

// guardedLease returns the time after the start of a term beyond which no home of an earlier term grants permits: the lease,
// extended for the largest configured difference in clock speed and by clockAllowance.
func guardedLease(l crlsettings.Limits) time.Duration {
	return time.Duration(float64(l.Lease)*l.ClockRate) + clockAllowance
}

func (d *Daemon) newMembership() {
	settings := d.config.Settings
	limits := settings.Limits
	m := &d.membership
	m.self = crlmember.Member{Name: settings.Name, Incarnation: d.incarnation, Address: settings.PeerListen, Domain: settings.Domain}
	m.table = crlmember.NewTable(crlmember.TableConfig{
		Self: m.self, SuspectTimeout: suspectPeriods * limits.Heartbeat, EvictAfter: evictPeriods * limits.Heartbeat, Repeats: updateRepeats,
	})
	m.registrar = crlmember.NewRegistrar(crlmember.RegistrarConfig{
		Loop: d.loop, Peers: d.config.Peers, Table: m.table, Writer: d.newWriter(crlmember.Stream), Period: limits.Heartbeat,
		Proposer: crlmember.ProposerConfig{
			Self: m.self, Settle: settlePeriods * limits.Heartbeat, Stagger: limits.Heartbeat,
			Lease: limits.Lease, GuardedLease: guardedLease(limits), FormerPeriod: limits.PermitHold + guardedLease(limits),
		},
		OnConfirm: d.rosterConfirmed,
	})
	m.gossip = crlmember.NewGossip(crlmember.GossipConfig{
		Loop: d.loop, Peers: d.config.Peers, Table: m.table, Seeds: settings.Peers, VMs: d.config.VMs,
		Period: limits.Heartbeat, MaxUpdates: maxDigestUpdates,
		Term: func() crlid.Term { return m.registrar.Roster().Term }, OnTerm: func(crlid.Term) {},
		LocalConfiguration: d.localConfiguration, OnPeerConfiguration: d.applyPeerConfiguration,
	})
	d.mux.Register(crlmember.MethodHeartbeat, crlpeer.Typed(m.gossip.Serve))
	d.mux.Register(crlmember.MethodPromise, crlpeer.Typed(m.registrar.Serve))
}

// localConfiguration returns the state of this daemon's configuration that heartbeats carry to peers. It runs on the control
// loop.
func (d *Daemon) localConfiguration() crlmember.LocalConfiguration {
	s := d.snapshots.Load()
	return crlmember.LocalConfiguration{
		Offset: s.Offset, ConfirmedAt: s.ConfirmedAt, LogUnreachable: d.membership.registrar.LogUnreachable(time.Now()),
	}
}

// applyPeerConfiguration adopts the time at which a peer confirmed its configuration as current, if that is the configuration
// in force here and the time is newer. It runs on the control loop.
func (d *Daemon) applyPeerConfiguration(state crlmember.PeerConfiguration) {
	s := d.snapshots.Load()
	if s.Offset == crlid.NoOffset || state.Offset != s.Offset || !state.ConfirmedAt.After(s.ConfirmedAt) {
		return
	}
	d.snapshots.Update(func(s *crlsnapshot.Snapshot) { s.ConfirmedAt = state.ConfirmedAt })
}

// rosterConfirmed applies a roster that was known to be the newest at the given time, and extends the home's lease from then. It
// runs on the control loop.
func (d *Daemon) rosterConfirmed(roster crlmember.Roster, at time.Time) {
	if roster.Term != d.snapshots.Load().Term {
		d.snapshots.Update(func(s *crlsnapshot.Snapshot) { s.Term = roster.Term })
		d.applyRoster(roster)
	}
	d.updateAssignment()
	d.home.Confirm(roster.Term, at)
}

// memberActors returns the functions that Run runs for membership and permits, each in its own goroutine.
func (d *Daemon) memberActors() []func(context.Context) error {
	return []func(context.Context) error{
		d.membership.gossip.Run, d.membership.registrar.Run, d.newTail(crlmember.Stream, d.membership.registrar.Deliver).Run,
		d.permits.RunReturns, d.permits.RunTakeovers,
	}
}

// leave announces to peers that this daemon leaves the roster, so that other daemons become the homes of the backend servers
// whose home it is. Open attempts of this daemon continue until they end. leave doesn't wait.
func (d *Daemon) leave() {
	// Post may block, as the loop's queue is bounded; a graceful stop must not wait for that.
	go func() { _ = d.loop.Post(context.Background(), d.membership.table.Leave) }()
}
