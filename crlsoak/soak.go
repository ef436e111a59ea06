package crlsoak

import (
	"context"
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
	Program   string        // Program is the router's binary.
	Directory string        // Directory takes settings and logs of the processes.
	Seed      uint64        // Seed draws the faults; odd ones draw planned changes only.
	For       time.Duration // For is how long faults are injected.
	Routers   int
	Engines   int
	Callers   int // Callers is the number for each router.
}

// Report is the result of one run.
type Report struct {
	Seed       uint64
	Requests   int
	Answered   int
	Faults     map[string]int
	Violations []string
}

// soak is one run.
type soakRun struct {
	config               Config
	random               *rand.Rand
	store                *standin.Store
	engines              []*engine
	routers              []*router
	observations         *observations
	faults               map[string]int
	configurationVersion int
	keys                 []string
}

// engine is a backend server with its link.
type engine struct {
	*standin.Engine
	link     *proxy
	server   *http.Server
	mu       sync.Mutex // mu guards sequence.
	sequence int
	leaving  sync.Mutex // away is held while the engine has announced that it leaves.
}

// Run plays one seed and returns what was broken; an error means that the run could not be played, a *StallError that it
// could not be judged.
func Run(config Config) (Report, error) {
	s := &soakRun{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), store: standin.NewStore(), faults: make(map[string]int),
		observations: &observations{journal: standin.NewRunLog(), revoked: make(map[string]time.Time), leaving: make(map[string][]span)},
		keys:         []string{"key-0", "key-1", "key-2", "key-3"},
	}
	defer s.stop()
	watching, stop := context.WithCancel(context.Background())
	defer stop()
	stalls := watchStalls(watching, time.Sleep)
	if err := s.start(); err != nil {
		return Report{}, fmt.Errorf("start the soak: %w", err)
	}
	s.injectFaults()
	s.checkRecovery()
	stop()
	if longest := <-stalls; longest > maxStall {
		return Report{}, &StallError{Stall: longest}
	}
	report := Report{Seed: config.Seed, Requests: len(s.observations.outcomes), Faults: s.faults, Violations: s.observations.violations()}
	for _, o := range s.observations.outcomes {
		if o.status == http.StatusOK && o.complete {
			report.Answered++
		}
	}
	return report, nil
}

// settleTime is how long routers may take until they serve.
const startTimeout = 15 * time.Second

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
	for n := range s.config.Routers {
		if err := s.startRouter(n, listener.Addr().String()); err != nil {
			return err
		}
	}
	return s.waitReady()
}

func (s *soakRun) publishConfiguration() {
	s.configurationVersion++
	s.store.Put(standin.ConfigurationTopic, standin.ConfigurationKey, standin.Configuration(s.configurationVersion, s.keys))
}

func (s *soakRun) startEngine(n int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	link, err := newProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	e := &engine{Engine: &standin.Engine{ID: fmt.Sprintf("i-%d", n), RunLog: s.observations.journal}, link: link}
	e.server = &http.Server{Handler: e.Engine, ReadHeaderTimeout: startTimeout}
	go func() { _ = e.server.Serve(listener) }()
	s.engines = append(s.engines, e)
	s.announce(e, "ready")
	return nil
}

func (s *soakRun) announce(e *engine, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	s.store.Put(standin.ServersTopic, e.ID, standin.ServerEntry(e.link.address(), "zone-a", state, e.sequence))
}

// seeds is the number of routers that each names to later ones, as the platform does.
const seedRouters = 3

func (s *soakRun) startRouter(n int, store string) error {
	link, err := newProxy(store)
	if err != nil {
		return err
	}
	ip := fmt.Sprintf("127.0.1.%d", n+1)
	port, err := freePorts(ip, int(rand.Uint32N(portSpan))/portsPerRouter*portsPerRouter)
	if err != nil {
		return err
	}
	r := &router{
		name: fmt.Sprintf("router-%d", n), program: s.config.Program, directory: s.config.Directory, link: link,
		settings: standin.RouterSettings{Name: fmt.Sprintf("router-%d", n), Zone: "zone-a", IP: ip, Port: port, Store: link.address()},
	}
	for _, other := range s.routers[:min(len(s.routers), seedRouters)] {
		r.settings.Seeds = append(r.settings.Seeds, other.settings.ControlAddress())
	}
	s.routers = append(s.routers, r)
	return r.start()
}

// waitReady waits until every router serves each kind of request.
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
				return fmt.Errorf("%s serves no %s within %s: status %d", r.name, o.kind, startTimeout, o.status)
			}
			if o.status != http.StatusOK {
				n-- // The same kind again.
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

// play lets callers call while faults come and go, some of them together.
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
		s.faults[fault.name]++
		faults.Go(func() {
			began := time.Now()
			if err := fault.inject(); err != nil {
				s.observations.addFailure("%s: %v", fault.name, err)
			}
			if !fault.planned {
				s.observations.addDisturbance(began, time.Now())
			}
		})
		time.Sleep(time.Duration(s.random.IntN(int(maxFaultInterval))))
	}
	faults.Wait()
	cancel()
	callers.Wait()
}

// recover checks that everything is served again soon after the last fault.
func (s *soakRun) checkRecovery() {
	if err := s.waitReady(); err != nil {
		s.observations.addFailure("recovery: %v", err)
	}
}

func (s *soakRun) stop() {
	for _, r := range s.routers {
		r.kill()
		r.link.stop()
	}
	for _, e := range s.engines {
		e.link.stop()
		_ = e.server.Close()
	}
}

// KeepLogs reports whether the directory of a run is worth keeping, and removes it otherwise.
func (r Report) KeepLogs(directory string) (bool, error) {
	if len(r.Violations) > 0 {
		return true, nil
	}
	return false, os.RemoveAll(directory)
}

const (
	maxFaultInterval = 900 * time.Millisecond // longestGap between two faults is shorter than most faults, so that they overlap.
	maxFaultDuration = 3 * time.Second
)

// fault is one disturbance, which strikes and ends.
type fault struct {
	name    string
	planned bool
	inject  func() error
}

// draw returns the next fault.
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
	link := LinkFault(1 + s.random.IntN(len(LinkFaultValues())-1))
	store := standin.Fault(1 + s.random.IntN(len(standin.FaultValues())-1))
	percent := int32(10 + s.random.IntN(40))
	unplanned := []fault{
		{"kill", false, func() error { return r.restart(syscall.SIGKILL, d/3) }},
		{"pause", false, func() error { return r.pause(d) }},
		{"store-" + store.String(), false, func() error {
			s.store.SetFault(store)
			time.Sleep(d)
			s.store.SetFault(standin.FaultNone)
			return nil
		}},
		{"store-link-" + link.String(), false, func() error { r.link.setFault(link); time.Sleep(d); r.link.setFault(LinkHealthy); return nil }},
		{"server-link-" + link.String(), false, func() error { e.link.setFault(link); time.Sleep(d); e.link.setFault(LinkHealthy); return nil }},
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
	}
	return f
}

// revoke takes the oldest key away, but never the last one.
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

// leave lets a server announce that it leaves, and come back.
func (s *soakRun) leaveAndReturn(e *engine, d time.Duration) {
	e.leaving.Lock()
	defer e.leaving.Unlock()
	s.announce(e, "draining")
	began := time.Now()
	time.Sleep(d)
	s.observations.mu.Lock()
	s.observations.leaving[e.ID] = append(s.observations.leaving[e.ID], span{began, time.Now()})
	s.observations.mu.Unlock()
	s.announce(e, "ready")
}
