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
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlforward"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlrelay"
	"github.com/cranberrylock/cranberrylock/crlrollout"
)

// Topics name the topics of the store that the router follows.
type Topics struct {
	Orders  string
	Servers string
	Status  string
}

// Config configures a Router.
type Config struct {
	Settings *Settings
	Store    KeyedLog
	Topics   Topics
	Codec    Codec
	Dialect  crlforward.Dialect
	Logger   *crllog.Logger
	Peers    crlrelay.Caller // Peers calls other routers; nil for TCP.
	Clock    crlclock.Clock  // Clock counts ages of proofs, also while the machine is suspended.
	// Hangup takes a signal when the settings have changed; it is notified from the start of the process on, as the
	// signal ends a process that isn't.
	Hangup <-chan os.Signal
	Reload func() (*Settings, error)
}

// Router is one daemon of the fleet of routers.
type Router struct {
	config   Config
	orders   *orderProcessor
	servers  *serverEntries
	reporter *statusReporter
	members  *membership
	follower *crlrelay.Follower
	replicas map[crlrelay.Topic]*crlrelay.Replica
	fleet    *crlfleet.Fleet
	service  *crlforward.Service
	registry *prometheus.Registry
	stop     chan struct{}

	incarnation   crlid.Incarnation
	failingTopics atomic.Int32 // failing counts the topics that this daemon can't read.
}

const (
	ordersLongPoll          = 1500 * time.Millisecond // ordersWait renews the proof of the configuration several times within its age.
	statusLongPoll          = 5 * time.Second         // statusWait is long because states are rare and a read ends when one is written.
	confirmationAgeFraction = 0.9                     // proofFraction of the bound on revocations leaves a tenth for coarse clocks.
	requestMemoryBytes      = 64 << 10                // inFlightBytes is the memory that one request takes with its body and buffers.
	memoryLimitFraction     = 0.6                     // memoryPart of the memory is the runtime's soft limit.
	gcPercent               = 40                      // gcPercent trades processor time, which is spare, for peak memory.
)

// New returns a router that has not begun to serve.
func New(config Config) *Router {
	s := config.Settings
	r := &Router{config: config, registry: prometheus.NewRegistry(), stop: make(chan struct{}), incarnation: crlid.NewIncarnation()}
	if config.Peers == nil {
		config.Peers = crlpeer.NewClient(crlpeer.ClientConfig{ConnectTimeout: peerConnectTimeout, CallTimeout: crlrelay.FollowWait + peerConnectTimeout})
	}
	r.replicas = make(map[crlrelay.Topic]*crlrelay.Replica)
	r.follower = crlrelay.NewFollower(crlrelay.FollowerConfig{
		Self:     crlrelay.Member{Address: s.Peer, Domain: s.Domain, Strength: s.Strength},
		Replicas: r.replicas, ApplyOrder: topicApplyOrder, Peers: config.Peers, Now: config.Clock, Log: config.Logger,
		StoreFailing: func() bool { return r.failingTopics.Load() > 0 },
		MaxAge: map[crlrelay.Topic]time.Duration{
			topicOrders: ordersLongPoll + relayDelay, topicServers: s.Bounds.serversPause() + relayDelay, topicStatus: 2*statusLongPoll + relayDelay,
		},
	})
	r.follower.SetSeeds(s.Seeds)
	r.members = &membership{
		store: config.Store, follower: r.follower, logger: config.Logger, now: config.Clock, shares: newShareCalculator(r.follower.Self(), s.First),
	}
	r.fleet = crlfleet.New(crlfleet.Config{
		Domain: s.Domain, Share: r.members.share, Daemons: r.follower.Count, ColdRatio: s.Bounds.ColdRatio, ColdSlack: s.Bounds.ColdSlack,
		Now: config.Clock, OnTransition: logTransition(config.Logger),
	})
	rollouts := crlrollout.NewTracker(crlrollout.Config{Daemons: r.follower.Count, Exposure: s.Bounds.Exposure})
	r.orders = &orderProcessor{
		codec: config.Codec, fleet: r.fleet, rollouts: rollouts, now: config.Clock, logger: config.Logger, tableOffset: crlid.NoOffset,
	}
	r.servers = &serverEntries{
		codec: config.Codec, fleet: r.fleet, now: config.Clock, logger: config.Logger, lapsed: make(map[crlid.Server]bool),
	}
	r.reporter = &statusReporter{
		codec: config.Codec, store: config.Store, topic: config.Topics.Status, rollouts: rollouts, fleet: r.fleet, daemonCount: r.follower.Count,
		now: config.Clock, logger: config.Logger,
	}
	r.replicas[topicOrders] = crlrelay.NewReplica(crlrelay.ReplicaConfig{OnChange: r.orders.apply, Now: config.Clock})
	r.replicas[topicServers] = crlrelay.NewReplica(crlrelay.ReplicaConfig{
		OnChange: r.servers.apply, Same: r.servers.sameEntry, Now: config.Clock, OutageAfter: outageThreshold, Settle: lapseGracePeriod,
	})
	r.reporter.replica = crlrelay.NewReplica(crlrelay.ReplicaConfig{OnChange: r.reporter.apply, Now: config.Clock})
	r.replicas[topicStatus] = r.reporter.replica
	proofAge := defaultConfirmationAge
	if s.Bounds.Revocation > 0 {
		proofAge = time.Duration(confirmationAgeFraction * float64(s.Bounds.Revocation))
	}
	r.service = crlforward.New(crlforward.Config{
		Dialect: config.Dialect, State: r.state, Fleet: r.fleet, Rollouts: rollouts,
		Retries: crlbudget.NewRetryBudget(crlbudget.RetryBudgetConfig{
			Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow, Share: r.members.share,
		}),
		Transport: crlforward.NewTransport(), Log: config.Logger, Metrics: crlforward.NewMetrics(r.registry),
		Now: config.Clock, MaxConfirmationAge: proofAge, SessionTimeout: s.Bounds.Session,
		MaxOpenRequests: max(int(float64(s.MemoryBytes)*memoryLimitFraction/2/requestMemoryBytes), minInFlight),
	})
	r.registry.MustRegister(r.gauges()...)
	return r
}

// Topics as routers name them to each other.
const (
	topicOrders  crlrelay.Topic = "orders"
	topicServers crlrelay.Topic = "servers"
	topicStatus  crlrelay.Topic = "status"
)

// topicOrder has the states of roll-outs before the orders that they belong to.
var topicApplyOrder = []crlrelay.Topic{topicStatus, topicOrders, topicServers}

// relaySlack is how much older than at its reader a proof may be, with calls that take their time. With it a follower leaves
// a reader that the store refuses well before the gap in its proof looks like an outage.
const relayDelay = 2 * crlrelay.FollowWait // 1 s

// peerConnect bounds opening a connection to another router, many times the round trip between failure domains.
const peerConnectTimeout = 400 * time.Millisecond

// state returns what holds for a request that arrives now.
func (r *Router) state() crlforward.State {
	return crlforward.State{Table: r.orders.table.Load(), ConfirmedAt: r.replicas[topicOrders].ConfirmedAt()}
}

const (
	defaultConfirmationAge = time.Minute // longestProof is for deployments that don't bound revocations.
	minInFlight            = 64          // minInFlight is for VMs whose memory is not stated.
)

func (r *Router) gauges() []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cranberrylock_router_" + name, Help: help}, value)
	}
	return []prometheus.Collector{
		gauge("proof_age_seconds", "Age of the proof that the configuration is the newest.", func() float64 {
			return r.config.Clock().Sub(r.state().ConfirmedAt).Seconds()
		}),
		gauge("shared_limits_part", "The daemon's part of limits that all daemons share.", r.members.share),
		gauge("open_requests", "Requests that are held.", func() float64 { return float64(r.service.OpenRequests()) }),
		gauge("log_lines_dropped", "Log lines that were not written.", func() float64 { return float64(r.config.Logger.Dropped()) }),
	}
}

// Events of the router's own life.
const (
	EventStart  crllog.Event = "start"
	EventStop   crllog.Event = "stop"
	EventReload crllog.Event = "reload"
	EventDrain  crllog.Event = "drain"
)

// Run serves until ctx ends and then drains.
func (r *Router) Run(ctx context.Context) error {
	s := r.config.Settings
	debug.SetGCPercent(gcPercent)
	r.applySettings(s)
	r.config.Logger.Event(EventStart, slog.String("daemon", string(s.Daemon)), slog.String("failure-domain", string(s.Domain)),
		slog.String("incarnation", string(r.incarnation)))
	var group run.Group
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for _, task := range append(r.tasks(), r.reload) {
		group.Add(func() error { return task(work) }, func(error) { cancel() })
	}
	if err := r.listen(ctx, work, &group); err != nil {
		return err
	}
	err := group.Run()
	r.config.Logger.Event(EventStop, slog.String("cause", fmt.Sprint(err)), slog.Int("open-requests", r.service.OpenRequests()))
	if errors.Is(err, errDrained) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// tasks returns the loops that keep the router's knowledge.
func (r *Router) tasks() []func(context.Context) error {
	status := r.newWatcher(watcherConfig{topic: r.config.Topics.Status, replica: r.replicas[topicStatus], longPoll: statusLongPoll})
	orders := r.newWatcher(watcherConfig{topic: r.config.Topics.Orders, replica: r.replicas[topicOrders], longPoll: ordersLongPoll})
	servers := r.newWatcher(watcherConfig{
		topic: r.config.Topics.Servers, replica: r.replicas[topicServers], pause: r.config.Settings.Bounds.serversPause(),
	})
	// States of roll-outs are known before the orders that they belong to.
	ordersAfterStatus := func(ctx context.Context) error {
		for ctx.Err() == nil && !r.replicas[topicStatus].Loaded() {
			crlclock.Sleep(ctx, initialTablePollInterval)
		}
		return orders.run(ctx)
	}
	return []func(context.Context) error{
		status.run, ordersAfterStatus, servers.run, r.servers.run, r.reporter.run, r.members.run, r.follower.Run,
	}
}

// spreadPerDaemon keeps the tries of all daemons in an outage under about 50 a second for three topics.
const backoffPerDaemon = 60 * time.Millisecond

// spread returns how long a daemon that isn't a reader leaves a store alone that failed it; readers try on, and tell.
func (r *Router) outageBackoff() time.Duration {
	if r.follower.IsReader() {
		return 0
	}
	return time.Duration(r.follower.Count()) * backoffPerDaemon
}

func (r *Router) newWatcher(config watcherConfig) *watcher {
	config.store, config.now, config.logger, config.shouldRead = r.config.Store, r.config.Clock, r.config.Logger, r.follower.ShouldReadStore
	config.failingTopics, config.outageBackoff = &r.failingTopics, r.outageBackoff
	return newWatcher(config)
}

// listen opens the addresses and adds what serves them to the group.
func (r *Router) listen(ctx, work context.Context, group *run.Group) error {
	s := r.config.Settings
	front, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readiness, err := net.Listen("tcp", s.Readiness)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for the balancer: %w", err), front.Close())
	}
	metrics, err := net.Listen("tcp", s.Metrics)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for metrics on setting %q: %w", s.Metrics, err), front.Close(), readiness.Close())
	}
	peers, err := net.Listen("tcp", s.Peer)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for other routers: %w", err), front.Close(), readiness.Close(), metrics.Close())
	}
	mux := crlpeer.NewMux()
	mux.Register(crlrelay.MethodFollow, crlpeer.Typed(crlrelay.NewServer(crlrelay.ServerConfig{
		Self: r.incarnation, Replicas: r.replicas, Roster: r.follower.Roster, Now: r.config.Clock,
	}).Follow))
	group.Add(func() error { return mux.Serve(work, peers) }, func(error) { _ = peers.Close() })
	probe := &http.Server{Handler: r.probeHandler(), ReadHeaderTimeout: probeHeaderTimeout}
	group.Add(func() error { return probe.Serve(readiness) }, func(error) { _ = probe.Close() })
	group.Add(func() error { return probe.Serve(metrics) }, func(error) { _ = probe.Close() })
	callers := &http.Server{Handler: r.service}
	group.Add(func() error { return r.serve(work, callers, front) }, func(error) { _ = callers.Close() })
	group.Add(func() error { return r.drain(ctx, callers) }, func(error) { close(r.stop) })
	return nil
}

const (
	probeHeaderTimeout       = 2 * time.Second         // probeTimeout bounds the head of a question to the probes.
	initialTableTimeout      = time.Second             // firstTableWait is how long callers' connections wait for a first configuration.
	initialTablePollInterval = 10 * time.Millisecond   // firstTablePeriod is how often it is looked for.
	defaultIdleTimeout       = time.Minute             // defaultIdle is the idle timeout before a configuration states one.
	defaultHeaderTimeout     = 3 * time.Second         // defaultHeader is the time for a request's head before a configuration states one.
	drainAcceptDuration      = 2500 * time.Millisecond // drainListen gives the balancer time for two misses; what comes after three seconds would have to be finished.
	shutdownMargin           = 400 * time.Millisecond  // drainMargin is left of the grace time for the process to end.
	drainPollInterval        = 20 * time.Millisecond
)

// serve accepts callers, with the limits of the first configuration if it comes soon.
func (r *Router) serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	for waited := time.Duration(0); r.orders.table.Load() == nil && waited < initialTableTimeout; waited += initialTablePollInterval {
		crlclock.Sleep(ctx, initialTablePollInterval)
	}
	server.IdleTimeout, server.ReadHeaderTimeout = defaultIdleTimeout, defaultHeaderTimeout
	if table := r.orders.table.Load(); table != nil {
		limits := table.Limits()
		server.MaxHeaderBytes = limits.HeaderBytes
		if limits.IdleTimeout > 0 {
			server.IdleTimeout = limits.IdleTimeout
		}
		if limits.HeaderTimeout > 0 {
			server.ReadHeaderTimeout = limits.HeaderTimeout
		}
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-ctx.Done() // Requests that are held go on until the drain ends.
	return ctx.Err()
}

// probes answers the balancer and serves metrics.
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

// ready reports whether the router can serve: it knows a configuration that is proved, and it does not drain.
func (r *Router) ready() bool {
	select {
	case <-r.stop:
		return false
	default:
	}
	state := r.state()
	return state.Table != nil && !r.service.Draining()
}

var errDrained = errors.New("drained")

// drain waits for the end of ctx, lets the balancer notice and finishes the requests that are held.
func (r *Router) drain(ctx context.Context, server *http.Server) error {
	select {
	case <-ctx.Done():
	case <-r.stop:
		return errDrained
	}
	began := time.Now()
	r.service.Drain()
	r.config.Logger.Event(EventDrain, slog.Int("open-requests", r.service.OpenRequests()))
	// Idle connections close, so that their callers come back over the balancer.
	server.SetKeepAlivesEnabled(false)
	grace := r.config.Settings.Bounds.Grace - shutdownMargin
	for time.Since(began) < drainAcceptDuration {
		time.Sleep(drainPollInterval)
	}
	r.service.Close()
	for time.Since(began) < grace && r.service.OpenRequests() > 0 {
		time.Sleep(drainPollInterval)
	}
	remaining, cancel := context.WithTimeout(context.Background(), max(grace-time.Since(began), drainPollInterval))
	defer cancel()
	if err := server.Shutdown(remaining); err != nil {
		return fmt.Errorf("%w with requests cut: %w", errDrained, err)
	}
	return errDrained
}
