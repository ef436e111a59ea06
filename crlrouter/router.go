package crlrouter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlforward"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlpace"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlquarantine"
	"github.com/cranberrylock/cranberrylock/crlrelay"
	"github.com/cranberrylock/cranberrylock/crlrollout"
	"github.com/cranberrylock/cranberrylock/crlworkload"
)

// Topics are the names of the store's topics that the router reads.
type Topics struct {
	Orders  string // operators' orders
	Servers string // backend servers' entries
	Status  string // status of roll-outs, which routers write
	// Quarantine holds what is suspected to crash backend servers, which routers write.
	Quarantine string
}

// Config configures a Router.
type Config struct {
	Settings *Settings
	Store    KeyedLog
	Topics   Topics
	Codec    Codec
	Dialect  crlforward.Dialect
	Logger   *crllog.Logger
	Peers    crlrelay.Caller // calls other routers; nil for TCP
	Listen   Listen          // opens listeners; nil for TCP
	// Transport carries sends to backend servers.
	Transport http.RoundTripper
	Probe     crlforward.Probe // checks whether backend servers accept connections; nil for TCP
	Clock     crlclock.Clock   // for ages of confirmations; must advance while the VM is suspended
	// Hangup receives SIGHUP when the settings have changed. The caller must register it when the process starts, as the signal
	// ends a process that does not handle it.
	Hangup <-chan os.Signal
	Reload func() (*Settings, error) // reads the settings again
	Build  string                    // names the build of the program in logs and metrics, empty if unknown
}

// Listen opens a listener on an address, as [net.Listen] does.
type Listen func(network, address string) (net.Listener, error)

// Router is one daemon of a fleet of routers.
type Router struct {
	config      Config
	orders      *orderProcessor
	servers     *serverEntries
	reporter    *statusReporter
	members     *membership
	follower    *crlrelay.Follower
	workload    *crlworkload.Table
	exchanges   *exchanges
	brittleness *crlfleet.BrittlenessExchange
	pace        *crlpace.Estimator
	quarantine  *quarantineLedger
	replicas    map[crlrelay.Topic]*crlrelay.Replica
	fleet       *crlfleet.Fleet
	service     *crlforward.Service
	registry    *prometheus.Registry
	stop        chan struct{} // closed when Run ends its goroutines

	incarnation   crlid.Incarnation
	grace         atomic.Int64 // Bounds.Grace of the settings in force, in nanoseconds
	storeRestores atomic.Int64 // topics of which a return of the store from an older copy was seen
	failingTopics atomic.Int32 // number of topics whose last read from the store failed
}

const (
	statusLongPoll = 5 * time.Second // long because a status is rarely written, and the read ends when one is
	// confirmationAgeFraction of Bounds.Revocation is the longest accepted age of a confirmation. The rest allows for coarse clocks.
	confirmationAgeFraction = 0.9
	requestMemoryBytes      = 64 << 10 // memory taken by one open request with its body and buffers
	memoryLimitFraction     = 0.6      // soft memory limit of the Go runtime / Settings.MemoryBytes
	requestMemoryFraction   = 0.6      // memory taken by open requests with their bodies / Settings.MemoryBytes
	gcPercent               = 40       // below the default of 100; lowers peak memory at the cost of CPU time, which is spare
)

// New returns a router that is not serving yet. Config.Settings must not change afterwards.
func New(config Config) *Router {
	config.setDefaults()
	s := config.Settings
	r := &Router{config: config, registry: prometheus.NewRegistry(), stop: make(chan struct{}), incarnation: crlid.NewIncarnation()}
	r.replicas = make(map[crlrelay.Topic]*crlrelay.Replica)
	rollouts := crlrollout.NewTracker(crlrollout.Config{
		Self: r.incarnation, Daemons: func() int { return r.follower.Count() }, Alone: func() bool { return r.isAlone() }, Exposure: s.Bounds.Exposure,
		ExposureSlack: s.Bounds.ExposureSlack,
	})
	r.pace = crlpace.New(crlpace.Config{Self: r.incarnation, Now: config.Clock})
	r.workload, r.exchanges = r.newExchanges(rollouts)
	r.follower = r.newFollower()
	r.follower.SetSeeds(s.Seeds)
	r.members = &membership{
		store: config.Store, follower: r.follower, logger: config.Logger, now: config.Clock,
		slots: crlbudget.NewSlotLeases(groupTopics * s.partitions()), partitions: s.partitions(),
	}
	r.fleet = crlfleet.New(crlfleet.Config{
		Domain: s.Domain, Slots: r.members.slots, Daemons: r.follower.Count, Rank: r.follower.Rank, ColdRatio: s.Bounds.ColdRatio, ColdSlack: s.Bounds.ColdSlack,
		Loads: r.workload, Now: config.Clock, OnTransition: logTransition(config.Logger),
	})
	r.brittleness = crlfleet.NewBrittlenessExchange(r.fleet)
	r.exchanges.add(exchangeBrittle, r.brittleness)
	r.orders = &orderProcessor{
		codec: config.Codec, fleet: r.fleet, rollouts: rollouts, now: config.Clock, logger: config.Logger, tablePosition: crlid.NoPosition,
	}
	r.servers = &serverEntries{
		codec: config.Codec, fleet: r.fleet, now: config.Clock, logger: config.Logger, lapsed: make(map[crlid.Server]bool),
		announced: make(map[crlid.Server]crlid.Position),
	}
	r.reporter = &statusReporter{
		codec: config.Codec, store: config.Store, topic: config.Topics.Status, rollouts: rollouts, fleet: r.fleet,
		daemonCount: r.follower.Count, now: config.Clock, logger: config.Logger,
	}
	r.grace.Store(int64(s.Bounds.Grace))
	r.addReplicas()
	r.fleet.LimitEntryAge(r.replicas[topicServers].ConfirmedAt, s.Bounds.drain())
	r.quarantine = r.newQuarantineLedger()
	confirmationAge := defaultConfirmationAge
	if s.Bounds.Revocation > 0 {
		confirmationAge = time.Duration(confirmationAgeFraction * float64(s.Bounds.Revocation))
	}
	r.service = crlforward.New(crlforward.Config{
		Dialect: config.Dialect, State: r.state, Domain: s.Domain, Peers: r.handoverPeers(), PlacePeers: r.placePeers(), Fleet: r.fleet, Rollouts: rollouts, Quarantine: r.quarantine.registry,
		Retries: crlbudget.NewRetryBudget(crlbudget.RetryBudgetConfig{
			Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow, Share: r.members.share,
		}),
		Admission: r.fleet.IsLarge, Transport: config.Transport, Pace: r.pace, Probe: config.Probe, Log: config.Logger, Metrics: crlforward.NewMetrics(r.registry),
		Now: config.Clock, MaxConfirmationAge: confirmationAge, MaxDenialAge: s.Bounds.configuration(), SessionTimeout: s.Bounds.SessionTimeout,
		// Open requests may use half of the memory limit.
		MaxOpenRequests: max(int(float64(s.MemoryBytes)*memoryLimitFraction/2/requestMemoryBytes), minOpenRequests),
		MaxHeldBytes:    max(int64(float64(s.MemoryBytes)*memoryLimitFraction/4), minHeldBytes),
		MaxRequestBytes: int64(float64(s.MemoryBytes) * requestMemoryFraction),
		RequestBytes:    requestMemoryBytes,
	})
	r.registry.MustRegister(append(r.gauges(), r.exchangeCounters()...)...)
	return r
}

// addReplicas adds the replicas of all topics but that of the quarantine.
func (r *Router) addReplicas() {
	config := r.config
	r.replicas[topicOrders] = crlrelay.NewReplica(crlrelay.ReplicaConfig{
		OnChange: r.orders.apply, Now: config.Clock, InForce: r.orders.positionInForce,
		Restoration: crlrelay.RestorationConfig{
			Window: orderRestorationWindow, Order: r.orders.compare, OnRestated: r.orders.restate, OnRestore: r.logRestore(topicOrders),
		},
	})
	r.replicas[topicServers] = crlrelay.NewReplica(crlrelay.ReplicaConfig{
		OnChange: r.servers.apply, Same: r.servers.sameEntry, Now: config.Clock, OutageAfter: outageThreshold, Settle: lapseGracePeriod,
		Revision:    crlrelay.RevisionConfig{Of: r.servers.revision, WriteDelay: entryWriteDelay, OnLate: r.servers.noteLate},
		Restoration: crlrelay.RestorationConfig{Window: lapseGracePeriod, OnRestore: r.logRestore(topicServers)},
	})
	r.reporter.replica = crlrelay.NewReplica(crlrelay.ReplicaConfig{
		OnChange: r.reporter.apply, Now: config.Clock, Restoration: crlrelay.RestorationConfig{Own: true, OnRestore: r.logRestore(topicStatus)},
	})
	r.replicas[topicStatus] = r.reporter.replica
}

// newFollower returns the follower that keeps the router's replicas up to date.
func (r *Router) newFollower() *crlrelay.Follower {
	s := r.config.Settings
	return crlrelay.NewFollower(crlrelay.FollowerConfig{
		Self:     crlrelay.Member{Address: s.PeerListen, Domain: s.Domain, Strength: s.Strength},
		Replicas: r.replicas, ApplyOrder: topicApplyOrder, Peers: r.config.Peers, Now: r.config.Clock, Log: r.config.Logger,
		StoreFailing: func() bool { return r.failingTopics.Load() > 0 },
		MaxAge: map[crlrelay.Topic]time.Duration{
			topicOrders: s.Bounds.ordersMaxAge(), topicServers: s.Bounds.serversMaxAge(), topicStatus: 2*statusLongPoll + maxRelayDelay,
		},
		Bound: map[crlrelay.Topic]time.Duration{topicOrders: s.Bounds.configuration(), topicServers: s.Bounds.drain()}, Exchange: r.exchanges,
	})
}

// newQuarantineLedger returns the ledger of suspected parts with its replica.
func (r *Router) newQuarantineLedger() *quarantineLedger {
	l := &quarantineLedger{
		registry: crlquarantine.New(crlquarantine.Config{
			Owns: ownsPart(r.members.slots, r.config.Clock), Now: r.config.Clock, OnTransition: logQuarantine(r.config.Logger),
		}),
		store: r.config.Store, topic: r.config.Topics.Quarantine, logger: r.config.Logger, daemons: r.follower.Count, now: r.config.Clock,
	}
	l.replica = crlrelay.NewReplica(crlrelay.ReplicaConfig{
		OnChange: l.apply, Now: r.config.Clock, Optional: true,
		Restoration: crlrelay.RestorationConfig{Own: true, OnRestore: r.logRestore(topicQuarantine)},
	})
	r.replicas[topicQuarantine] = l.replica
	return l
}

// orderRestorationWindow is the time that operators have for writing lost orders again before the store's older ones count. A configuration never reverts to
// an older version.
const orderRestorationWindow = 10 * time.Second

// logRestore returns a function that logs that the store has come back from an older copy, and counts it. A daemon that learns the store's first era has
// seen no such return.
func (r *Router) logRestore(topic crlrelay.Topic) func(before, era crlid.Era) {
	return func(before, era crlid.Era) {
		if before > 0 {
			r.storeRestores.Add(1)
		}
		r.config.Logger.Event(EventStoreEra, slog.String("topic", string(topic)), slog.Int64("before", int64(before)), slog.Int64("era", int64(era)))
	}
}

// hasEngines reports whether the configuration in force has services of model engines.
func (r *Router) hasEngines() bool {
	current := r.orders.current.Load()
	return current != nil && current.table != nil && current.table.HasEngines()
}

// isAlone reports whether neither the store nor any other router is known to be reachable.
func (r *Router) isAlone() bool { return r.follower.ShouldReadStore() && r.failingTopics.Load() > 0 }

// setDefaults sets the fields of the network that are nil to TCP.
func (c *Config) setDefaults() {
	if c.Peers == nil {
		c.Peers = newPeerClient(nil)
	}
	if c.Listen == nil {
		c.Listen = net.Listen
	}
}

// newPeerClient returns the client for calls to other routers; a nil dial stands for TCP.
func newPeerClient(dial crlpeer.Dial) *crlpeer.Client {
	return crlpeer.NewClient(crlpeer.ClientConfig{
		ConnectTimeout: peerConnectTimeout, CallTimeout: crlrelay.FollowWait + peerConnectTimeout, TransferTimeout: peerTransferTimeout, Dial: dial,
	})
}

// Names of the store's topics in calls between routers.
const (
	topicOrders     crlrelay.Topic = "orders"
	topicServers    crlrelay.Topic = "servers"
	topicStatus     crlrelay.Topic = "status"
	topicQuarantine crlrelay.Topic = "quarantine"
)

// topicApplyOrder is the order in which changes of the topics are applied: a crlrollout.Tracker needs the status of a roll-out
// before its order.
var topicApplyOrder = []crlrelay.Topic{topicStatus, topicOrders, topicServers, topicQuarantine}

const (
	// peerConnectTimeout is many times the round trip between failure domains.
	peerConnectTimeout = 400 * time.Millisecond
	// peerTransferTimeout is the time that a call may take while its reply arrives. Giving it up would send the whole reply again, from
	// another router, over the same link.
	peerTransferTimeout = 5 * time.Second
)

// state returns the routing state for a request that arrives now.
func (r *Router) state() crlforward.State {
	state := crlforward.State{ConfirmedAt: r.replicas[topicOrders].ConfirmedAt()}
	if current := r.orders.current.Load(); current != nil {
		state.Table, state.AppliedAt = current.table, current.appliedAt
	}
	return state
}

const (
	defaultConfirmationAge = time.Minute // longest accepted age of a confirmation in deployments without a bound on revocation
	minHeldBytes           = 16 << 20    // lower bound of MaxHeldBytes, for the same settings
	minOpenRequests        = 64          // lower bound of MaxOpenRequests, for settings that state little or no memory
)

func (r *Router) gauges() []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cranberrylock_router_" + name, Help: help}, value)
	}
	return []prometheus.Collector{
		gauge("proof_age_seconds", "Age of the proof that the configuration is the newest.", func() float64 {
			return r.config.Clock().Sub(r.state().ConfirmedAt).Seconds()
		}),
		gauge("configuration_version", "Version of the configuration in force, 0 without one.", func() float64 {
			if table := r.state().Table; table != nil {
				return float64(table.Version())
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cranberrylock_router_build_info", Help: "Always 1; the label names the build of the program.",
			ConstLabels: prometheus.Labels{"build": r.config.Build},
		}, func() float64 { return 1 }),
		gauge("shared_limits_part", "The daemon's part of limits that all daemons share.", r.members.share),
		gauge("open_requests", "Requests that are held.", func() float64 { return float64(r.service.OpenRequests()) }),
		gauge("body_bytes", "Bytes of requests' bodies that are held, beyond 16 KiB of each.", func() float64 { return float64(r.service.BodyBytes()) }),
		gauge("answer_bytes", "Bytes of plain answers that are held, beyond 16 KiB of each.", func() float64 { return float64(r.service.HeldBytes()) }),
		gauge("quarantined_parts", "Parts of prompts and requests that are kept from backend servers.", func() float64 {
			return float64(r.quarantine.registry.Quarantined())
		}),
		gauge("brittle_servers", "Backend servers that count as brittle.", func() float64 { return float64(r.fleet.BrittleState().Servers) }),
		gauge("brittle_places", "Requests that this router may have open at brittle servers.", func() float64 {
			return float64(r.fleet.BrittleState().Places)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cranberrylock_router_brittle_rejections_total", Help: "Requests that brittle servers have turned away.",
		}, func() float64 { return float64(r.fleet.BrittleState().Rejections) }),
		gauge("load_known_routers", "Other routers whose load of model engines is known.", func() float64 { return r.workload.Known(r.config.Clock()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cranberrylock_router_store_restores_total", Help: "Topics of which this router saw that the store has come back from an older copy.",
		}, func() float64 { return float64(r.storeRestores.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cranberrylock_router_late_entries_total", Help: "Entries of servers that were not used, as the store carried out their writes late.",
		}, func() float64 { return float64(r.servers.late.Load()) }),
		gauge("store_era", "Era of the store in which the orders were last read, 0 for a store that states none.", func() float64 {
			return float64(r.replicas[topicOrders].End().Era)
		}),
		gauge("log_lines_dropped", "Log lines that were not written.", func() float64 { return float64(r.config.Logger.Dropped()) }),
	}
}

// Log events of a router's start, reload and shutdown.
const (
	EventStart  crllog.Event = "start"
	EventStop   crllog.Event = "stop"
	EventReload crllog.Event = "reload"
	EventDrain  crllog.Event = "drain"
	EventAbort  crllog.Event = "abort" // logged when the grace time ends with open requests
	// EventUnanswered is logged when the router closes a connection after a request has begun to arrive, without an answer.
	EventUnanswered crllog.Event = "unanswered"
	// EventStalled is logged when the router aborts an answer because its caller doesn't read it.
	EventStalled crllog.Event = "caller-stalled"
)

// Run serves until ctx ends or a task fails, and then drains open requests. It returns nil after a drain that the end of ctx
// started, also if requests were cut off, and an error if it can't listen on one of its addresses or a task failed. Run must be
// called at most once.
func (r *Router) Run(ctx context.Context) error {
	s := r.config.Settings
	debug.SetGCPercent(gcPercent)
	r.applySettings(s)
	r.config.Logger.Event(EventStart, slog.String("daemon", string(s.Daemon)), slog.String("failure-domain", string(s.Domain)),
		slog.String("incarnation", string(r.incarnation)), slog.String("build", r.config.Build))
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	draining, startDrain := context.WithCancelCause(ctx)
	defer startDrain(nil)
	group := &supervisor{logger: r.config.Logger, ended: taskCtx.Done(), startDrain: startDrain}
	for _, task := range append(r.tasks(), r.reload) {
		group.Add(func() error { return task(taskCtx) }, func(error) { cancel() })
	}
	if err := r.listen(draining, taskCtx, group); err != nil {
		return err
	}
	err := group.Run()
	r.config.Logger.Event(EventStop, slog.String("cause", fmt.Sprint(err)), slog.Int("open-requests", r.service.OpenRequests()))
	if errors.Is(err, errDrained) {
		return failure(draining)
	}
	return err
}

// tasks returns the loops that keep the router's state in step with the store and the other routers.
func (r *Router) tasks() []func(context.Context) error {
	status := r.newWatcher(watcherConfig{topic: r.config.Topics.Status, replica: r.replicas[topicStatus], longPoll: statusLongPoll})
	orders := r.newWatcher(watcherConfig{topic: r.config.Topics.Orders, replica: r.replicas[topicOrders], longPoll: r.config.Settings.Bounds.ordersLongPoll()})
	quarantine := r.newWatcher(watcherConfig{
		topic: r.config.Topics.Quarantine, replica: r.replicas[topicQuarantine], longPoll: quarantineLongPoll, optional: true,
	})
	servers := r.newWatcher(watcherConfig{
		topic: r.config.Topics.Servers, replica: r.replicas[topicServers], pause: r.config.Settings.Bounds.serversPause(), history: true,
	})
	// The status of roll-outs must be known before their orders are applied, or a running roll-out starts over.
	ordersAfterStatus := func(ctx context.Context) error {
		for ctx.Err() == nil && !r.replicas[topicStatus].Loaded() {
			crlclock.Sleep(ctx, initialPollInterval)
		}
		return orders.run(ctx)
	}
	return []func(context.Context) error{
		status.run, ordersAfterStatus, servers.run, quarantine.run, r.servers.run, r.reporter.run, r.quarantine.run, r.members.run, r.follower.Run,
	}
}

// backoffPerDaemon keeps the reads of a failing store by all daemons under about 50 a second, over its three topics.
const backoffPerDaemon = 60 * time.Millisecond

// outageBackoff returns the extra pause between reads of a failing store. It is zero for readers, which keep retrying and
// relay the result to the others.
func (r *Router) outageBackoff() time.Duration {
	if r.follower.IsReader() {
		return 0
	}
	return time.Duration(r.follower.Count()) * backoffPerDaemon
}

func (r *Router) newWatcher(config watcherConfig) *watcher {
	config.store, config.now, config.logger, config.shouldRead = r.config.Store, r.config.Clock, r.config.Logger, r.follower.ShouldReadStore
	config.failingTopics, config.outageBackoff = &r.failingTopics, r.outageBackoff
	if config.optional {
		config.failingTopics = new(atomic.Int32)
	}
	return newWatcher(config)
}

// listen opens the listeners and adds their servers to the group. The end of ctx starts the drain, after which the group
// ends taskCtx.
func (r *Router) listen(ctx, taskCtx context.Context, group *supervisor) error {
	s := r.config.Settings
	callers, err := r.openListener(s.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers' requests: %w", err)
	}
	readiness, err := r.openListener(s.ReadinessListen)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for readiness probes: %w", err), callers.Close())
	}
	metrics, err := r.openListener(s.MetricsListen)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for metrics scrapes on %q: %w", s.MetricsListen, err), callers.Close(), readiness.Close())
	}
	peers, err := r.openListener(s.PeerListen)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for calls from other routers: %w", err), callers.Close(), readiness.Close(), metrics.Close())
	}
	if err := r.listenForHandovers(taskCtx, group); err != nil {
		return errors.Join(err, callers.Close(), readiness.Close(), metrics.Close(), peers.Close())
	}
	mux := crlpeer.NewMux()
	mux.Register(crlrelay.MethodFollow, crlpeer.Typed(crlrelay.NewServer(crlrelay.ServerConfig{
		Address: s.PeerListen, Self: r.incarnation, Replicas: r.replicas, Roster: r.follower.Roster, UpdateRoster: r.follower.UpdateRoster,
		Now: r.config.Clock, Exchange: r.exchanges,
	}).Follow))
	group.Add(func() error { return mux.Serve(taskCtx, peers) }, func(error) { _ = peers.Close() })
	probe := &http.Server{Handler: r.probeHandler(), ReadHeaderTimeout: probeHeaderTimeout}
	group.Add(func() error { return probe.Serve(readiness) }, func(error) { _ = probe.Close() })
	group.Add(func() error { return probe.Serve(metrics) }, func(error) { _ = probe.Close() })
	server := r.newCallerServer(callers)
	group.Add(func() error { return server.serve(taskCtx) }, func(error) { _ = server.http.Close() })
	group.AddDrain(func() error { return server.drain(ctx) }, func(error) { close(r.stop) })
	return nil
}

const (
	probeHeaderTimeout  = 2 * time.Second       // limit on the time for reading the header of a readiness probe or a metrics scrape
	initialPollInterval = 10 * time.Millisecond // time between checks for what must be loaded first
)

// probeHandler serves the readiness probe and the metrics.
func (r *Router) probeHandler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/readyz", func(c echo.Context) error {
		if !r.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})))
	return e
}

// ready reports whether readiness probes succeed: the router has a configuration, and neither drains nor has stopped.
func (r *Router) ready() bool {
	select {
	case <-r.stop:
		return false
	default:
	}
	state := r.state()
	return state.Table != nil && !r.service.Draining()
}
