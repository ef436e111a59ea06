package crldaemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlclaim"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlcontrol"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
	"github.com/cranberrylock/cranberrylock/crlmember"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlpermit"
	"github.com/cranberrylock/cranberrylock/crlqueue"
	"github.com/cranberrylock/cranberrylock/crlsession"
	"github.com/cranberrylock/cranberrylock/crlsettings"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// Log is the platform's log service.
type Log interface {
	crljournal.Appender
	crljournal.Reader
}

// Caller calls methods of peers by their address.
type Caller interface {
	Call(ctx context.Context, address string, method crlpeer.Method, params, result any) error
}

// Config holds the settings of a daemon and its connections to other systems.
type Config struct {
	Settings *crlsettings.Settings
	Log      Log
	Engines  crlentry.Engines
	Peers    Caller
	Rater    crlentry.Rater     // nil if answers are not rated
	VMs      crlmember.VMLister // nil if the platform has no list of VMs
}

// Daemon is one daemon without its listening sockets. Its exported methods are safe for concurrent use.
type Daemon struct {
	config      Config
	incarnation crlid.Incarnation
	loop        *crlcontrol.Loop
	snapshots   *crlsnapshot.Holder
	mux         *crlpeer.Mux
	writers     map[crlid.Stream]*crljournal.Writer   // batch this daemon's entries for relay
	combiners   map[crlid.Stream]*crljournal.Combiner // join batches of several daemons into one append
	relay       *crljournal.Relay                     // passes batches to an appender, or to the log if there is none
	roster      atomic.Pointer[crlmember.Roster]      // nil until a roster was confirmed
	store       *crlconfig.Store
	registry    *crlclaim.Registry
	ledger      *crlbill.Ledger
	membership  membership
	home        *crlpermit.Home   // grants permits for the backend servers whose home this daemon is
	permits     *crlpermit.Client // gets permits from the homes of backend servers
	directory   *directory
	assignment  assignmentVersion // last one that was applied to home
	entry       *crlentry.Service // handles callers' requests
	policy      *policy
	metrics     *metrics
	draining    atomic.Bool
}

// New returns a daemon that has started nothing yet; Run starts it. It fails only if the sealing keys of the settings are
// invalid.
func New(config Config) (*Daemon, error) {
	sealer, err := crlsession.NewSealer(crlsession.SealerConfig{Keys: config.Settings.Keys, Newest: config.Settings.NewestKey})
	if err != nil {
		return nil, fmt.Errorf("sealing keys: %w", err)
	}
	d := &Daemon{
		config: config, incarnation: crlid.NewIncarnation(), loop: crlcontrol.NewLoop(),
		snapshots: crlsnapshot.NewHolder(), mux: crlpeer.NewMux(), writers: make(map[crlid.Stream]*crljournal.Writer),
	}
	d.combiners = make(map[crlid.Stream]*crljournal.Combiner)
	d.relay = d.newRelay()
	d.newMetrics()
	d.newFolds()
	d.newPolicy()
	d.newMembership()
	d.newPermits()
	d.newEntry(sealer)
	d.registerMethods()
	return d, nil
}

// Mux returns the dispatcher of the methods that peers may call.
func (d *Daemon) Mux() *crlpeer.Mux { return d.mux }

// Entry returns the service that handles callers' requests.
func (d *Daemon) Entry() *crlentry.Service { return d.entry }

// Store returns the store of the configuration in force.
func (d *Daemon) Store() *crlconfig.Store { return d.store }

// Ledger returns the ledger, which records and sums bills.
func (d *Daemon) Ledger() *crlbill.Ledger { return d.ledger }

// Status returns the present state of the daemon as operators and the balancer see it.
func (d *Daemon) Status() crladmin.Status {
	s := d.snapshots.Load()
	return crladmin.Status{
		Daemon: d.config.Settings.Name, Domain: d.config.Settings.Domain, Incarnation: d.incarnation,
		Offset: s.Offset, Ready: s.Fresh(time.Now(), d.config.Settings.Limits.Freshness),
		Draining: d.draining.Load(), ConfirmationAge: time.Since(s.ConfirmedAt), Term: s.Term,
	}
}

// Drain marks the daemon as draining, which its readiness check reports, so that the balancer sends it no new requests. It
// also announces to peers that the daemon leaves the roster. It doesn't wait.
func (d *Daemon) Drain() {
	d.draining.Store(true)
	d.leave()
	klog.Infof("daemon: %s is draining", d.config.Settings.Name)
}

// Flush appends the bills that the daemon holds for peers, and waits until the log has acknowledged every pending entry of
// every stream, or ctx ends.
func (d *Daemon) Flush(ctx context.Context) error {
	if err := d.ledger.Drain(ctx); err != nil {
		return fmt.Errorf("append bills held for peers: %w", err)
	}
	for stream, w := range d.writers {
		if err := w.Flush(ctx); err != nil {
			return fmt.Errorf("flush pending entries of stream %s: %w", stream, err)
		}
	}
	return nil
}

// Run runs the control loop and all background work of the daemon until ctx ends or one of these fails.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	add := func(actor func(context.Context) error) {
		group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	add(d.loop.Run)
	add(d.runExchange)
	for _, w := range d.writers {
		add(w.Run)
	}
	for _, c := range d.combiners {
		add(c.Run)
	}
	add(d.ledger.Run)
	for _, c := range d.checkpointers() {
		add(c.Run)
	}
	for _, t := range d.tails() {
		add(t.Run)
	}
	add(d.runPeerPolls)
	for _, actor := range d.memberActors() {
		add(actor)
	}
	return group.Run()
}

// newFolds sets the parts that apply the streams of configurations, claims and bills.
func (d *Daemon) newFolds() {
	d.store = crlconfig.NewStore(crlconfig.StoreConfig{
		Loop: d.loop, Writer: d.newWriter(crlconfig.Stream), OnChange: d.configurationChanged,
	})
	d.registry = crlclaim.NewRegistry(crlclaim.RegistryConfig{
		Loop: d.loop, Writer: d.newWriter(crlclaim.Stream), Incarnation: d.incarnation,
		Lifetime: d.config.Settings.Limits.KeyLifetime, MaxStaleness: maxClaimStaleness,
	})
	d.ledger = d.newLedger()
}

// newEntry sets the service that handles callers' requests. The parts that it uses must be set before.
func (d *Daemon) newEntry(sealer *crlsession.Sealer) {
	limits := d.config.Settings.Limits
	d.entry = crlentry.NewService(d.instrument(crlentry.ServiceConfig{
		Snapshots: d.snapshots, Sealer: sealer, Claims: d.registry, Bills: d.ledger,
		Permits:  d.permits,
		Queue:    crlqueue.New(crlqueue.Config{Limit: limits.Requests}),
		Planner:  d.policy.planner,
		Balancer: d.policy.balancer,
		Engines:  d.config.Engines,
		Rater:    d.config.Rater,
		Limits: crlentry.Limits{
			Freshness: limits.Freshness, Attempts: limits.Attempts, Claim: limits.Claim, Dispatch: limits.Dispatch,
			Record: limits.Record, Answer: limits.Answer, Rating: limits.RatingTimeout,
			PermitRetry: permitRetryDelay,
		},
	}))
}

// configurationChanged publishes a snapshot with the accepted configuration, which was last confirmed current at
// confirmedAt. It runs on the control loop.
func (d *Daemon) configurationChanged(accepted crlconfig.Accepted, confirmedAt time.Time) {
	if accepted.Configuration != nil && accepted.Offset != d.snapshots.Load().Offset {
		d.policy.configure(accepted.Configuration)
	}
	d.snapshots.Update(func(s *crlsnapshot.Snapshot) {
		s.Offset, s.Configuration = accepted.Offset, accepted.Configuration
		if confirmedAt.After(s.ConfirmedAt) {
			s.ConfirmedAt = confirmedAt
		}
	})
	d.updateAssignment()
}
