package crlmember

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// MethodHeartbeat exchanges heartbeats.
const MethodHeartbeat crlpeer.Method = "heartbeat"

// Heartbeat is what a daemon tells a peer; both the call and its reply hold one.
type Heartbeat struct {
	From            MemberState   `json:"f"`
	Updates         []MemberState `json:"w,omitempty"`
	Term            crlid.Term    `json:"r"`
	Offset          crlid.Offset  `json:"o"`           // Offset is that of the configuration in force.
	ConfirmationAge time.Duration `json:"p"`           // ProofAge is the age of the newest proof that Offset is current, in nanoseconds.
	LogUnreachable  bool          `json:"x,omitempty"` // LogOut is true while the sender's own reads of the log fail.
}

// LocalState is what a daemon says of its configuration.
type LocalConfiguration struct {
	Offset         crlid.Offset
	ConfirmedAt    time.Time // Proof is the newest time at which the configuration was proved current.
	LogUnreachable bool      // LogOut is true while the daemon's own reads of the log fail.
}

// PeerState is what a peer's reply proved, in the clock of the receiver.
type PeerConfiguration struct {
	Member Member
	Offset crlid.Offset
	// Proof is no later than the moment at which Offset was proved current. It is counted back from
	// the moment at which the heartbeat was sent, so time that the exchange took never makes it newer.
	ConfirmedAt    time.Time
	LogUnreachable bool // LogOut is true when the peer's own reads of the log failed.
}

// Caller calls methods of peers by their address.
type Caller interface {
	Call(ctx context.Context, address string, method crlpeer.Method, params, result any) error
}

// Loop runs tasks on the goroutine that owns control state.
type Loop interface {
	Do(ctx context.Context, task func()) error
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	List(ctx context.Context) ([]crlplatform.VM, error)
}

// GossipConfig configures a Gossip; Term, Local, OnTerm and OnPeerState run on the loop.
type GossipConfig struct {
	Loop                Loop
	Peers               Caller
	Table               *Table
	Seeds               map[crlid.Daemon]string // Seeds are the peers' addresses by the settings.
	VMs                 VMLister                // VMs is nil when the platform has no VM list.
	Period              time.Duration           // Period is the time between heartbeats.
	MaxUpdates          int                     // DigestNews bounds the news of a heartbeat.
	Term                func() crlid.Term
	LocalConfiguration  func() LocalConfiguration
	OnPeerConfiguration func(PeerConfiguration) // OnPeerState is told after each answered heartbeat; a newer Offset may be fetched from Member.Address.
	OnTerm              func(crlid.Term)
}

// Gossip exchanges heartbeats with one peer in each period.
type Gossip struct {
	config        GossipConfig
	seeds         []crlid.Daemon
	addresses     map[crlid.Daemon]string
	listedVMs     map[crlid.Daemon]bool // listed are the daemons of the last VM list; it is owned by the loop.
	nextSeedIndex int
	rounds        int
}

// NewGossip returns a Gossip that sends nothing until Run is called.
func NewGossip(config GossipConfig) *Gossip {
	g := &Gossip{config: config, addresses: make(map[crlid.Daemon]string)}
	for name, address := range config.Seeds {
		g.addSeed(name, address)
	}
	return g
}

// Serve answers a peer's heartbeat.
func (g *Gossip) Serve(ctx context.Context, in Heartbeat) (Heartbeat, error) {
	var out Heartbeat
	err := g.config.Loop.Do(ctx, func() {
		g.merge(in)
		out = g.heartbeat()
	})
	return out, err
}

// Run sends heartbeats until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.config.Period)
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

// listRounds is the number of heartbeats between two reads of the VM list.
const vmListRounds = 10

func (g *Gossip) round(ctx context.Context) error {
	if g.config.VMs != nil && g.rounds%vmListRounds == 0 {
		g.readVMList(ctx)
	}
	g.rounds++
	var target Member
	var out Heartbeat
	known := false
	err := g.config.Loop.Do(ctx, func() {
		g.config.Table.Advance(time.Now())
		target, known = g.target()
		out = g.heartbeat()
	})
	if err != nil || !known {
		return err
	}
	return g.exchange(ctx, target, out)
}

func (g *Gossip) exchange(ctx context.Context, target Member, out Heartbeat) error {
	sent := time.Now()
	var in Heartbeat
	failure := g.config.Peers.Call(ctx, target.Address, MethodHeartbeat, out, &in)
	return g.config.Loop.Do(ctx, func() {
		now := time.Now()
		var refused *crlpeer.Error
		switch {
		case errors.As(failure, &refused) && refused.Refused():
			g.config.Table.RecordRefusal(target.Name, sent, now)
		case failure != nil || in.From.Name != target.Name:
			g.config.Table.RecordFailure(target, now)
		default:
			g.config.Table.RecordReply(in.From, sent, now)
			g.merge(in)
			g.config.OnPeerConfiguration(PeerConfiguration{Member: in.From.Member, Offset: in.Offset, ConfirmedAt: sent.Add(-in.ConfirmationAge), LogUnreachable: in.LogUnreachable})
		}
	})
}

// merge takes in a heartbeat but for its proof, whose age is known only to the sender of the call.
func (g *Gossip) merge(in Heartbeat) {
	now := time.Now()
	g.config.Table.RecordCall(in.From, now)
	for _, n := range in.Updates {
		g.config.Table.MergeUpdate(n, now)
	}
	g.config.OnTerm(in.Term)
}

func (g *Gossip) heartbeat() Heartbeat {
	state := g.config.LocalConfiguration()
	return Heartbeat{
		Updates: g.config.Table.Digest(g.config.MaxUpdates), From: g.config.Table.Self(), Term: g.config.Term(),
		Offset: state.Offset, ConfirmationAge: time.Since(state.ConfirmedAt), LogUnreachable: state.LogUnreachable,
	}
}

// target returns the next known member, and every second time a seed that is not known to live.
func (g *Gossip) target() (Member, bool) {
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

func (g *Gossip) nextSeed() (Member, bool) {
	for range g.seeds {
		g.nextSeedIndex = (g.nextSeedIndex + 1) % len(g.seeds)
		name := g.seeds[g.nextSeedIndex]
		if !g.config.Table.IsPresent(name) {
			return Member{Name: name, Address: g.addresses[name]}, true
		}
	}
	return Member{}, false
}

func (g *Gossip) addSeed(name crlid.Daemon, address string) {
	if name == g.config.Table.Self().Name {
		return
	}
	if _, ok := g.addresses[name]; !ok {
		g.seeds = append(g.seeds, name)
	}
	g.addresses[name] = address
}

// readList adds the listed VMs to the seeds and takes VMs that left the list as ended.
func (g *Gossip) readVMList(ctx context.Context) {
	vms, err := g.config.VMs.List(ctx)
	if err != nil {
		return
	}
	_ = g.config.Loop.Do(ctx, func() {
		listed := make(map[crlid.Daemon]bool, len(vms))
		for _, v := range vms {
			listed[v.Daemon] = true
			g.addSeed(v.Daemon, v.Address)
		}
		for name := range g.listedVMs {
			if !listed[name] {
				g.config.Table.RecordVMRemoval(name, time.Now())
			}
		}
		g.listedVMs = listed
	})
}
