package crlsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// Config configures one run.
type Config struct {
	Program string // path of the router's binary
	// Through is the command that runs a router whose connections to backend servers go over proxies. It is followed by the arguments of RunRouter.
	Through   []string
	Directory string        // for settings files and logs of the routers
	Seed      uint64        // seed of the random faults; an odd one draws planned changes only
	For       time.Duration // how long faults are injected
	Routers   int
	Engines   int
	Callers   int // number of callers for each router
}

// Report is the result of one run.
type Report struct {
	Seed       uint64
	Requests   int            // requests that the callers sent
	Answered   int            // requests that got a complete answer with status 200
	Faults     map[string]int // number of injections by the fault's name
	Violations []string       // one description for each broken guarantee
}

// soakRun is the state of one run.
type soakRun struct {
	config               Config
	random               *rand.Rand // seeded by Config.Seed
	store                *standin.Store
	engines              []*engine
	routers              []*router
	observations         *observations
	faultCounts          map[string]int // number of injections by the fault's name
	restoring            sync.Mutex     // held while the store is copied and comes back
	published            sync.Mutex     // guards configuration
	configuration        string         // the newest one
	configurationVersion int            // version of the newest configuration in the store
	keys                 []string       // valid API keys, the oldest first
}

// engine is a backend server and the proxy through which routers reach it.
type engine struct {
	*standin.Engine
	link     *proxy
	server   *http.Server
	mu       sync.Mutex // guards sequence and state
	sequence int        // number of the engine's newest entry in the store
	state    string     // in that entry
	leaving  sync.Mutex // held from the announcement that the engine leaves until it is ready again
}

// Run runs one seed and returns its report.
//
// The error is a *StallError if the run can't be judged. Any other error means that the store, a backend server or a router
// could not be started.
func Run(config Config) (Report, error) {
	s := &soakRun{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), store: standin.NewStore(), faultCounts: make(map[string]int),
		observations: &observations{runLog: standin.NewRunLog(), revoked: make(map[string]time.Time), leaving: make(map[string][]span)},
		keys:         []string{"key-0", "key-1", "key-2", "key-3"},
	}
	defer s.stop()
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	stalls := watchStalls(watching, time.Sleep)
	if err := s.start(); err != nil {
		return Report{}, fmt.Errorf("start routers and backend servers: %w", err)
	}
	s.injectFaults()
	s.checkRecovery()
	stopWatching()
	if longest := <-stalls; longest > maxStall {
		return Report{}, &StallError{Stall: longest}
	}
	report := Report{Seed: config.Seed, Requests: len(s.observations.outcomes), Faults: s.faultCounts, Violations: s.observations.violations()}
	for _, o := range s.observations.outcomes {
		if o.status == http.StatusOK && o.complete {
			report.Answered++
		}
	}
	return report, nil
}

// startTimeout bounds the time until a router serves, after all routers were started and again after the last fault.
const startTimeout = 15 * time.Second

// start starts the store, the backend servers and the routers, and waits until all routers serve.
func (s *soakRun) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s.store, ReadHeaderTimeout: startTimeout}).Serve(listener) }()
	s.publishConfiguration()
	for n := range s.config.Engines {
		if err := s.startEngine(n); err != nil {
			return err
		}
	}
	var ips []string
	for n := range s.config.Routers {
		ips = append(ips, routerIP(n))
	}
	// The search for ports starts at a random port that does not depend on the run's seed.
	port, err := freePorts(ips, int(rand.Uint32N(portSpan))/portsPerRouter*portsPerRouter)
	if err != nil {
		return err
	}
	for n := range s.config.Routers {
		if err := s.startRouter(n, port, listener.Addr().String()); err != nil {
			return err
		}
	}
	return s.waitReady()
}

// publishConfiguration writes the next version of the configuration, with the current API keys, to the store.
func (s *soakRun) publishConfiguration() {
	s.configurationVersion++
	s.published.Lock()
	defer s.published.Unlock()
	s.configuration = standin.Configuration(s.configurationVersion, s.keys)
	s.store.Put(standin.ConfigurationTopic, standin.ConfigurationKey, s.configuration)
}

// lostConfigurations is the number of configurations that are written between the copy of the store and its return. Only the newest is written again, so
// later ones get offsets that routers have read before.
const lostConfigurations = 3

// restoreStore brings the store back from a copy after d, after it was away for a moment. The operator writes the newest configuration and the engines write
// their entries again, before or after the first calls are answered.
func (s *soakRun) restoreStore(copied standin.Copy, d time.Duration, late bool) {
	const away = 500 * time.Millisecond
	s.restoring.Lock()
	defer s.restoring.Unlock()
	time.Sleep(d)
	s.store.SetFault(standin.FaultBusy)
	time.Sleep(away)
	s.published.Lock()
	var write func(put func(topic, key, value string))
	if !late {
		write = func(put func(topic, key, value string)) {
			put(standin.ConfigurationTopic, standin.ConfigurationKey, s.configuration)
		}
	}
	s.store.Restore(copied, write)
	s.store.SetFault(standin.FaultNone)
	if late {
		time.Sleep(away / 2)
		s.store.Put(standin.ConfigurationTopic, standin.ConfigurationKey, s.configuration)
	}
	s.published.Unlock()
	for _, e := range s.engines {
		e.mu.Lock()
		state := e.state
		e.mu.Unlock()
		s.announce(e, state)
	}
}

// startEngine starts backend server n behind a proxy and announces the server in the store.
func (s *soakRun) startEngine(n int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	link, err := newProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	e := &engine{Engine: &standin.Engine{ID: fmt.Sprintf("i-%d", n), RunLog: s.observations.runLog}, link: link}
	e.server = &http.Server{Handler: e.Engine, ReadHeaderTimeout: startTimeout}
	go func() { _ = e.server.Serve(listener) }()
	s.engines = append(s.engines, e)
	s.announce(e, "ready")
	return nil
}

// announce writes the engine's entry with a state to the store.
func (s *soakRun) announce(e *engine, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	e.state = state
	s.store.Put(standin.ServersTopic, e.ID, standin.ServerEntry(e.link.address(), "zone-a", state, e.sequence))
}

// maxSeedRouters is the largest number of earlier routers whose addresses the settings of a router list as its seeds, as those
// that the platform writes do. They are unrelated to the random seed of a run.
const maxSeedRouters = 3

// startRouter starts router n, whose first port is given, with its own proxy to the store.
func (s *soakRun) startRouter(n, port int, store string) error {
	link, err := newProxy(store)
	if err != nil {
		return err
	}
	r := &router{
		name: fmt.Sprintf("router-%d", n), program: s.config.Program, directory: s.config.Directory, link: link,
		settings: standin.RouterSettings{Name: fmt.Sprintf("router-%d", n), Zone: "zone-a", IP: routerIP(n), Port: port, Store: link.address()},
	}
	for _, other := range s.routers[:min(len(s.routers), maxSeedRouters)] {
		r.settings.Seeds = append(r.settings.Seeds, other.settings.ControlAddress())
	}
	if len(s.config.Through) > 0 && n%2 == 1 {
		if err := s.linkToServers(r); err != nil {
			return err
		}
	}
	s.routers = append(s.routers, r)
	return r.start()
}

// linkToServers gives a router a proxy of its own to each backend server.
func (s *soakRun) linkToServers(r *router) error {
	r.runner = s.config.Through
	for _, e := range s.engines {
		link, err := newProxy(e.link.address())
		if err != nil {
			return err
		}
		r.servers = append(r.servers, link)
		r.through = append(r.through, e.link.address()+"="+link.address())
	}
	return nil
}

// waitReady returns once every router has answered one request of each kind, or an error for the first router that does not
// within startTimeout.
func (s *soakRun) waitReady() error {
	client := newClient()
	defer client.CloseIdleConnections()
	key := s.keys[len(s.keys)-1]
	for _, r := range s.routers {
		deadline := time.Now().Add(startTimeout)
		for n := 0; ; n++ {
			o := call(client, r, requestKinds[n%len(requestKinds)], fmt.Sprintf("ready-%s-%d-%d", r.name, time.Now().UnixNano(), n), key)
			if o.status == http.StatusOK && o.complete && n%len(requestKinds) == len(requestKinds)-1 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not answer a %q request with status 200 within %s: last status %d",
					r.name, o.kind, startTimeout, o.status)
			}
			if o.status != http.StatusOK {
				n-- // retry the same kind
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

// injectFaults runs the callers and injects faults, several of which may overlap, for Config.For.
func (s *soakRun) injectFaults() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers, faults sync.WaitGroup
	for _, r := range s.routers {
		for n := range s.config.Callers {
			c := &caller{
				name: fmt.Sprintf("%s-%d-%d", r.name, s.config.Seed, n), router: r, key: s.keys[n%len(s.keys)], lastKey: s.keys[len(s.keys)-1],
				random: rand.New(rand.NewPCG(s.random.Uint64(), 0)), record: s.observations.addOutcome,
			}
			callers.Go(func() { c.run(ctx) })
		}
	}
	for end := time.Now().Add(s.config.For); time.Now().Before(end); {
		fault := s.nextFault()
		s.faultCounts[fault.name]++
		faults.Go(func() {
			started := time.Now()
			if err := fault.inject(); err != nil {
				s.observations.addFailure("%s: %v", fault.name, err)
			}
			if !fault.planned {
				s.observations.addDisturbance(started, time.Now())
			}
		})
		time.Sleep(time.Duration(s.random.IntN(int(maxFaultInterval))))
	}
	faults.Wait()
	s.cutOffRouters()
	cancel()
	callers.Wait()
}

// cutOffRouters cuts every router that has links of its own to the backend servers off from all of them, while nothing else is disturbed.
func (s *soakRun) cutOffRouters() {
	time.Sleep(recoveryTime)
	mode := []LinkFault{LinkRefused, LinkRefusesNew}[s.random.IntN(2)]
	cut := cutSpan{routers: make(map[string]bool)}
	var links []*proxy
	for _, r := range s.routers {
		if len(r.servers) > 0 {
			links, cut.routers[r.name] = append(links, r.servers...), true
		}
	}
	start := time.Now()
	if err := faultFor(contactTime+cutCheckTime, mode, links...); err != nil {
		s.observations.addFailure("cut routers off from the servers: %v", err)
	}
	s.faultCounts["cut-off-"+mode.String()]++
	s.observations.addDisturbance(start, time.Now())
	cut.span = span{start.Add(contactTime), start.Add(contactTime + cutCheckTime)}
	s.observations.mu.Lock()
	defer s.observations.mu.Unlock()
	s.observations.cuts = append(s.observations.cuts, cut)
}

// checkRecovery records a failure unless every router serves again within startTimeout of the last fault.
func (s *soakRun) checkRecovery() {
	if err := s.waitReady(); err != nil {
		s.observations.addFailure("after the last fault: %v", err)
	}
}

// stop ends the routers, the proxies and the backend servers.
func (s *soakRun) stop() {
	for _, r := range s.routers {
		r.kill()
		r.link.stop()
		for _, l := range r.servers {
			l.stop()
		}
	}
	for _, e := range s.engines {
		e.link.stop()
		_ = e.server.Close()
	}
}

// KeepLogs reports whether the run found violations, so that its directory is kept. Otherwise it removes the directory.
func (r Report) KeepLogs(directory string) (bool, error) {
	if len(r.Violations) > 0 {
		return true, nil
	}
	return false, os.RemoveAll(directory)
}

const (
	maxFaultInterval = 900 * time.Millisecond // longest time between the starts of two faults; shorter than most faults, so that they overlap
	maxFaultDuration = 3 * time.Second
)

// fault is one change that the soak test makes to the system.
type fault struct {
	name    string
	planned bool         // an operator may make the change at any time, so it excuses no broken guarantee
	inject  func() error // makes the change and, if it is temporary, undoes it before it returns
}

// nextFault draws a fault from the seed. It makes changes to the configuration itself rather than in inject, which runs on a
// goroutine of its own, since the API keys may be used only by the goroutine of Run.
func (s *soakRun) nextFault() fault {
	r, e := s.routers[s.random.IntN(len(s.routers))], s.engines[s.random.IntN(len(s.engines))]
	d := time.Duration(s.random.IntN(int(maxFaultDuration)))
	planned := []fault{
		{"configuration", true, func() error { return nil }},
		{"sigterm", true, func() error { return r.restart(syscall.SIGTERM, 0) }},
		{"sighup", true, func() error { r.mu.Lock(); defer r.mu.Unlock(); return r.signal(syscall.SIGHUP) }},
		{"server-leaves", true, func() error { s.leaveAndReturn(e, d+2*drainLimit); return nil }},
		{"revoke", true, func() error { return nil }},
	}
	link := LinkFault(1 + s.random.IntN(len(LinkFaultValues())-1)) // any but LinkHealthy
	cut := []LinkFault{LinkRefused, LinkRefusesNew, LinkDropsAll}[s.random.IntN(3)]
	store := standin.Fault(1 + s.random.IntN(len(standin.FaultValues())-1)) // any but standin.FaultNone
	percent := int32(10 + s.random.IntN(40))                                // percentage of requests that are refused or broken off
	var copied standin.Copy
	unplanned := []fault{
		{"kill", false, func() error { return r.restart(syscall.SIGKILL, d/3) }},
		{"pause", false, func() error { return r.pause(d) }},
		{"store-" + store.String(), false, func() error {
			s.store.SetFault(store)
			time.Sleep(d)
			s.store.SetFault(standin.FaultNone)
			return nil
		}},
		{"store-restored", false, func() error { s.restoreStore(copied, d, percent%2 == 0); return nil }},
		{"store-link-" + link.String(), false, func() error { return faultFor(d, link, r.link) }},
		{"server-link-" + link.String(), false, func() error { return faultFor(d, link, e.link) }},
		{"servers-cut-" + cut.String(), false, func() error { return faultFor(d, cut, r.servers...) }},
		{"server-full", false, func() error { e.RefusePercent.Store(percent); time.Sleep(d); e.RefusePercent.Store(0); return nil }},
		{"server-loses", false, func() error { e.AbortPercent.Store(percent); time.Sleep(d); e.AbortPercent.Store(0); return nil }},
	}
	choices := planned
	if s.config.Seed%2 == 0 {
		choices = append(choices, unplanned...)
	}
	f := choices[s.random.IntN(len(choices))]
	switch f.name {
	case "configuration":
		s.publishConfiguration()
	case "revoke":
		s.revokeOldestKey()
	case "store-restored":
		copied = s.store.Copy()
		for range lostConfigurations {
			s.publishConfiguration()
		}
	}
	return f
}

// faultFor gives links a fault for a time.
func faultFor(d time.Duration, fault LinkFault, links ...*proxy) error {
	var errs []error
	for _, l := range links {
		errs = append(errs, l.setFault(fault))
	}
	time.Sleep(d)
	for _, l := range links {
		errs = append(errs, l.setFault(LinkHealthy))
	}
	return errors.Join(errs...)
}

// revokeOldestKey publishes a configuration without the oldest API key, unless only one key is left.
func (s *soakRun) revokeOldestKey() {
	if len(s.keys) == 1 {
		return
	}
	key := s.keys[0]
	s.keys = s.keys[1:]
	s.publishConfiguration()
	s.observations.mu.Lock()
	defer s.observations.mu.Unlock()
	s.observations.revoked[key] = time.Now()
}

// leaveAndReturn makes a backend server announce that it leaves and, after d, that it is ready again.
func (s *soakRun) leaveAndReturn(e *engine, d time.Duration) {
	e.leaving.Lock()
	defer e.leaving.Unlock()
	s.announce(e, "draining")
	announced := time.Now()
	time.Sleep(d)
	s.observations.mu.Lock()
	s.observations.leaving[e.ID] = append(s.observations.leaving[e.ID], span{announced, time.Now()})
	s.observations.mu.Unlock()
	s.announce(e, "ready")
}
