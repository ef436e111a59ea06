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

// Bounds of heartbeats and rosters, in heartbeat periods where they are counts.
const (
	suspectPeriods   = 4
	evictPeriods     = 240
	settlePeriods    = 2
	updateRepeats    = 12
	maxDigestUpdates = 6
	clockAllowance   = 500 * time.Millisecond
)

// membership holds the parts of a daemon that know the others.
type membership struct {
	self      crlmember.Member
	table     *crlmember.Table
	gossip    *crlmember.Gossip
	registrar *crlmember.Registrar
}

// guard is how long after a new term no home of an earlier one grants any more.
func guardedLease(l crlsettings.Limits) time.Duration {
	return time.Duration(float64(l.Lease)*l.ClockRate) + clockAllowance
}

func (d *Daemon) newMembership() {
	settings := d.config.Settings
	limits := settings.Limits
	m := &d.membership
	m.self = crlmember.Member{Name: settings.Name, Incarnation: d.incarnation, Address: settings.Peer, Domain: settings.Domain}
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

// localState tells peers which configuration is in force; it runs on the loop.
func (d *Daemon) localConfiguration() crlmember.LocalConfiguration {
	s := d.snapshots.Load()
	return crlmember.LocalConfiguration{
		Offset: s.Offset, ConfirmedAt: s.ConfirmedAt, LogUnreachable: d.membership.registrar.LogUnreachable(time.Now()),
	}
}

// peerState takes over a peer's proof that the same configuration is current; it runs on the loop.
func (d *Daemon) applyPeerConfiguration(state crlmember.PeerConfiguration) {
	s := d.snapshots.Load()
	if s.Offset == crlid.NoOffset || state.Offset != s.Offset || !state.ConfirmedAt.After(s.ConfirmedAt) {
		return
	}
	d.snapshots.Update(func(s *crlsnapshot.Snapshot) { s.ConfirmedAt = state.ConfirmedAt })
}

// rosterConfirmed takes in that a roster was the newest at a moment; it runs on the loop.
func (d *Daemon) rosterConfirmed(roster crlmember.Roster, at time.Time) {
	if roster.Term != d.snapshots.Load().Term {
		d.snapshots.Update(func(s *crlsnapshot.Snapshot) { s.Term = roster.Term })
		d.applyRoster(roster)
	}
	d.updateAssignment()
	d.home.Confirm(roster.Term, at)
}

// memberActors are the goroutines that Run starts for membership.
func (d *Daemon) memberActors() []func(context.Context) error {
	return []func(context.Context) error{
		d.membership.gossip.Run, d.membership.registrar.Run, d.newTail(crlmember.Stream, d.membership.registrar.Deliver).Run,
		d.permits.RunReturns, d.permits.RunTakeovers,
	}
}

// leave asks peers to give this daemon's homes to others; its own attempts go on until they end.
func (d *Daemon) leave() {
	// The queue of the loop is bounded, and a stop does not wait for it.
	go func() { _ = d.loop.Post(context.Background(), d.membership.table.Leave) }()
}
