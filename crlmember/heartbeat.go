package crlmember

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// MethodHeartbeat sends a heartbeat to a peer, which replies with its own.
const MethodHeartbeat crlpeer.Method = "heartbeat"

// Heartbeat is the message that a daemon sends to a peer, both as the call and as its reply.
type Heartbeat struct {
	From            MemberState   `json:"f"`           // state of the sender
	Updates         []MemberState `json:"w,omitempty"` // states of other daemons
	Term            crlid.Term    `json:"r"`           // term of the sender's roster
	Offset          crlid.Offset  `json:"o"`           // offset of the configuration in force at the sender
	ConfirmationAge time.Duration `json:"p"`           // time since Offset was last confirmed current, in nanoseconds
	LogUnreachable  bool          `json:"x,omitempty"` // whether the sender's own reads of the log fail
}

// LocalConfiguration describes the configuration that this daemon has in force.
type LocalConfiguration struct {
	Offset         crlid.Offset
	ConfirmedAt    time.Time // when the configuration was last confirmed current
	LogUnreachable bool      // whether this daemon's own reads of the log fail
}

// PeerConfiguration describes the configuration that a peer has in force, as of its reply and in times of the receiver's clock.
type PeerConfiguration struct {
	Member Member
	Offset crlid.Offset
	// ConfirmedAt is no later than the moment at which the peer confirmed Offset as current. It is computed from the time at
	// which the heartbeat was sent, so a slow exchange never makes it newer.
	ConfirmedAt    time.Time
	LogUnreachable bool // whether the peer's own reads of the log failed
}

// Caller calls a method of a peer at an address and decodes the reply into result.
type Caller interface {
	Call(ctx context.Context, address string, method crlpeer.Method, params, result any) error
}

// Loop runs tasks one at a time on the goroutine that owns a daemon's control state; Do returns after the task.
type Loop interface {
	Do(ctx context.Context, task func()) error
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	List(ctx context.Context) ([]crlplatform.VM, error)
}

// GossipConfig configures a Gossip. Its functions run on the loop.
type GossipConfig struct {
	Loop               Loop
	Peers              Caller
	Table              *Table
	Seeds              map[crlid.Daemon]string // addresses of peers from the settings, tried until the table holds them as present
	VMs                VMLister                // nil if the platform has no list of VMs
	Period             time.Duration           // time between two heartbeats that this daemon sends
	MaxUpdates         int                     // limit on the updates about other daemons in a heartbeat
	Term               func() crlid.Term       // returns the term of this daemon's roster
	LocalConfiguration func() LocalConfiguration
	// OnPeerConfiguration is called after each heartbeat that was answered; a configuration with a newer Offset may be fetched
	// from Member.Address.
	OnPeerConfiguration func(PeerConfiguration)
	OnTerm              func(crlid.Term) // called with the term in each heartbeat that arrives
}

// Gossip exchanges heartbeats with one peer per period and keeps the table up to date from them. Its state is accessed only
// by Run and on the loop.
type Gossip struct {
	config        GossipConfig
	seeds         []crlid.Daemon          // peers from the settings and from the list of VMs
	addresses     map[crlid.Daemon]string // addresses of the daemons in seeds
	listedVMs     map[crlid.Daemon]bool   // daemons in the latest list of VMs
	lastSeedIndex int                     // index of the seed that was considered last
	rounds        int                     // heartbeat rounds started so far
}

// NewGossip returns a Gossip, which sends nothing until Run is called.
func NewGossip(config GossipConfig) *Gossip {
	g := &Gossip{config: config, addresses: make(map[crlid.Daemon]string)}
	for name, address := range config.Seeds {
		g.addSeed(name, address)
	}
	return g
}

// Serve merges a peer's heartbeat and returns this daemon's own.
func (g *Gossip) Serve(ctx context.Context, in Heartbeat) (Heartbeat, error) {
	var out Heartbeat
	err := g.config.Loop.Do(ctx, func() {
		g.merge(in)
		out = g.heartbeat()
	})
	return out, err
}

// Run sends a heartbeat in each period until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	ticker := crlclock.NewTicker(g.config.Period)
	defer ticker.Stop()
	for {
		if err := g.round(ctx); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// vmListRounds is the number of heartbeats that are sent between two reads of the list of VMs.
const vmListRounds = 10

// round sends one heartbeat, if there is a peer to send it to.
func (g *Gossip) round(ctx context.Context) error {
	if g.config.VMs != nil && g.rounds%vmListRounds == 0 {
		g.readVMList(ctx)
	}
	g.rounds++
	var target Member
	var out Heartbeat
	found := false
	err := g.config.Loop.Do(ctx, func() {
		g.config.Table.Advance(time.Now())
		target, found = g.nextTarget()
		out = g.heartbeat()
	})
	if err != nil || !found {
		return err
	}
	return g.exchange(ctx, target, out)
}

// exchange sends a heartbeat to the target and records its reply or its failure.
func (g *Gossip) exchange(ctx context.Context, target Member, out Heartbeat) error {
	sentAt := time.Now()
	var in Heartbeat
	failure := g.config.Peers.Call(ctx, target.Address, MethodHeartbeat, out, &in)
	return g.config.Loop.Do(ctx, func() {
		now := time.Now()
		var callError *crlpeer.Error
		switch {
		case errors.As(failure, &callError) && callError.Refused():
			g.config.Table.RecordRefusal(target.Name, sentAt, now)
		case failure != nil || in.From.Name != target.Name: // No reply, or one of another daemon at the same address.
			g.config.Table.RecordFailure(target, now)
		default:
			g.config.Table.RecordReply(in.From, sentAt, now)
			g.merge(in)
			g.config.OnPeerConfiguration(PeerConfiguration{
				Member: in.From.Member, Offset: in.Offset, ConfirmedAt: sentAt.Add(-in.ConfirmationAge), LogUnreachable: in.LogUnreachable,
			})
		}
	})
}

// merge applies a heartbeat except for its confirmation, which only the sender of a call can date: it knows when it sent the call.
func (g *Gossip) merge(in Heartbeat) {
	now := time.Now()
	g.config.Table.RecordCall(in.From, now)
	for _, update := range in.Updates {
		g.config.Table.MergeUpdate(update, now)
	}
	g.config.OnTerm(in.Term)
}

// heartbeat returns a heartbeat with the current state of this daemon.
func (g *Gossip) heartbeat() Heartbeat {
	local := g.config.LocalConfiguration()
	return Heartbeat{
		Updates: g.config.Table.Digest(g.config.MaxUpdates), From: g.config.Table.Self(), Term: g.config.Term(),
		Offset: local.Offset, ConfirmationAge: time.Since(local.ConfirmedAt), LogUnreachable: local.LogUnreachable,
	}
}

// nextTarget returns the peer for the next heartbeat: the next present member or, every second time and if there is no present
// member, a seed that isn't present.
func (g *Gossip) nextTarget() (Member, bool) {
	if g.rounds%2 == 0 {
		if m, ok := g.nextSeed(); ok {
			return m, true
		}
	}
	if m, ok := g.config.Table.NextProbe(); ok {
		return m, true
	}
	return g.nextSeed()
}

// nextSeed returns the next seed in turn that the table doesn't hold as present, false if there is none.
func (g *Gossip) nextSeed() (Member, bool) {
	for range g.seeds {
		g.lastSeedIndex = (g.lastSeedIndex + 1) % len(g.seeds)
		name := g.seeds[g.lastSeedIndex]
		if !g.config.Table.IsPresent(name) {
			return Member{Name: name, Address: g.addresses[name]}, true
		}
	}
	return Member{}, false
}

// addSeed adds a seed or updates its address; this daemon itself is left out.
func (g *Gossip) addSeed(name crlid.Daemon, address string) {
	if name == g.config.Table.Self().Name {
		return
	}
	if _, ok := g.addresses[name]; !ok {
		g.seeds = append(g.seeds, name)
	}
	g.addresses[name] = address
}

// readVMList adds the listed VMs to the seeds, and records the removal of VMs that are no longer listed.
func (g *Gossip) readVMList(ctx context.Context) {
	vms, err := g.config.VMs.List(ctx)
	if err != nil {
		return
	}
	_ = g.config.Loop.Do(ctx, func() {
		listed := make(map[crlid.Daemon]bool, len(vms))
		for _, vm := range vms {
			listed[vm.Daemon] = true
			g.addSeed(vm.Daemon, vm.Address)
		}
		for name := range g.listedVMs {
			if !listed[name] {
				g.config.Table.RecordVMRemoval(name, time.Now())
			}
		}
		g.listedVMs = listed
	})
}
