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
	Seed     uint64
	Requests int
	Answered int
	Faults   map[string]int
	Broken   []string
}

// soak is one run.
type soak struct {
	config  Config
	random  *rand.Rand
	store   *standin.Store
	engines []*engine
	routers []*router
	history *history
	faults  map[string]int
	version int
	keys    []string
}

// engine is a backend server with its link.
type engine struct {
	*standin.Engine
	link     *proxy
	server   *http.Server
	mu       sync.Mutex // mu guards sequence.
	sequence int
	away     sync.Mutex // away is held while the engine has announced that it leaves.
}

// Run plays one seed and returns what was broken; an error means that the run could not be played, a *StallError that it
// could not be judged.
func Run(config Config) (Report, error) {
	s := &soak{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), store: standin.NewStore(), faults: make(map[string]int),
		history: &history{journal: standin.NewRunLog(), revoked: make(map[string]time.Time), leaving: make(map[string][]span)},
		keys:    []string{"key-0", "key-1", "key-2", "key-3"},
	}
	defer s.end()
	watching, stop := context.WithCancel(context.Background())
	defer stop()
	stalls := watchStalls(watching, time.Sleep)
	if err := s.begin(); err != nil {
		return Report{}, fmt.Errorf("start the soak: %w", err)
	}
	s.play()
	s.recover()
	stop()
	if longest := <-stalls; longest > stallBound {
		return Report{}, &StallError{Longest: longest}
	}
	report := Report{Seed: config.Seed, Requests: len(s.history.outcomes), Faults: s.faults, Broken: s.history.check()}
	for _, o := range s.history.outcomes {
		if o.status == http.StatusOK && o.whole {
			report.Answered++
		}
	}
	return report, nil
}

// settleTime is how long routers may take until they serve.
const settleTime = 15 * time.Second

func (s *soak) begin() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s.store, ReadHeaderTimeout: settleTime}).Serve(listener) }()
	s.configure()
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

func (s *soak) configure() {
	s.version++
	s.store.Put(standin.ConfigurationTopic, standin.ConfigurationKey, standin.Configuration(s.version, s.keys))
}

func (s *soak) startEngine(n int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	link, err := newProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	e := &engine{Engine: &standin.Engine{ID: fmt.Sprintf("i-%d", n), RunLog: s.history.journal}, link: link}
	e.server = &http.Server{Handler: e.Engine, ReadHeaderTimeout: settleTime}
	go func() { _ = e.server.Serve(listener) }()
	s.engines = append(s.engines, e)
	s.announce(e, "ready")
	return nil
}

func (s *soak) announce(e *engine, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	s.store.Put(standin.ServersTopic, e.ID, standin.ServerEntry(e.link.address(), "zone-a", state, e.sequence))
}

// seeds is the number of routers that each names to later ones, as the platform does.
const seeds = 3

func (s *soak) startRouter(n int, store string) error {
	link, err := newProxy(store)
	if err != nil {
		return err
	}
	ip := fmt.Sprintf("127.0.1.%d", n+1)
	port, err := freePorts(ip, int(rand.Uint32N(portSpan))/portsPerSite*portsPerSite)
	if err != nil {
		return err
	}
	r := &router{
		name: fmt.Sprintf("router-%d", n), program: s.config.Program, directory: s.config.Directory, link: link,
		settings: standin.RouterSettings{Name: fmt.Sprintf("router-%d", n), Zone: "zone-a", IP: ip, Port: port, Store: link.address()},
	}
	for _, other := range s.routers[:min(len(s.routers), seeds)] {
		r.settings.Seeds = append(r.settings.Seeds, other.settings.ControlAddress())
	}
	s.routers = append(s.routers, r)
	return r.start()
}

// waitReady waits until every router serves each kind of request.
func (s *soak) waitReady() error {
	client := newClient()
	defer client.CloseIdleConnections()
	key := s.keys[len(s.keys)-1]
	for _, r := range s.routers {
		deadline := time.Now().Add(settleTime)
		for n := 0; ; n++ {
			o := call(client, r, kinds[n%len(kinds)], fmt.Sprintf("ready-%s-%d-%d", r.name, time.Now().UnixNano(), n), key)
			if o.status == http.StatusOK && o.whole && n%len(kinds) == len(kinds)-1 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s serves no %s within %s: status %d", r.name, o.kind, settleTime, o.status)
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
func (s *soak) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers, faults sync.WaitGroup
	for _, r := range s.routers {
		for n := range s.config.Callers {
			c := &caller{
				name: fmt.Sprintf("%s-%d-%d", r.name, s.config.Seed, n), router: r, key: s.keys[n%len(s.keys)], lastKey: s.keys[len(s.keys)-1],
				random: rand.New(rand.NewPCG(s.random.Uint64(), 0)), report: s.history.add,
			}
			callers.Go(func() { c.run(ctx) })
		}
	}
	for end := time.Now().Add(s.config.For); time.Now().Before(end); {
		fault := s.draw()
		s.faults[fault.name]++
		faults.Go(func() {
			began := time.Now()
			if err := fault.strike(); err != nil {
				s.history.fail("%s: %v", fault.name, err)
			}
			if !fault.planned {
				s.history.disturbed(began, time.Now())
			}
		})
		time.Sleep(time.Duration(s.random.IntN(int(longestGap))))
	}
	faults.Wait()
	cancel()
	callers.Wait()
}

// recover checks that everything is served again soon after the last fault.
func (s *soak) recover() {
	if err := s.waitReady(); err != nil {
		s.history.fail("recovery: %v", err)
	}
}

func (s *soak) end() {
	for _, r := range s.routers {
		r.end()
		r.link.end()
	}
	for _, e := range s.engines {
		e.link.end()
		_ = e.server.Close()
	}
}

// KeepLogs reports whether the directory of a run is worth keeping, and removes it otherwise.
func (r Report) KeepLogs(directory string) (bool, error) {
	if len(r.Broken) > 0 {
		return true, nil
	}
	return false, os.RemoveAll(directory)
}

const (
	longestGap   = 900 * time.Millisecond // longestGap between two faults is shorter than most faults, so that they overlap.
	longestFault = 3 * time.Second
)

// fault is one disturbance, which strikes and ends.
type fault struct {
	name    string
	planned bool
	strike  func() error
}

// draw returns the next fault.
func (s *soak) draw() fault {
	r, e := s.routers[s.random.IntN(len(s.routers))], s.engines[s.random.IntN(len(s.engines))]
	d := time.Duration(s.random.IntN(int(longestFault)))
	planned := []fault{
		{"configuration", true, func() error { return nil }},
		{"sigterm", true, func() error { return r.restart(syscall.SIGTERM, 0) }},
		{"sighup", true, func() error { r.mu.Lock(); defer r.mu.Unlock(); return r.signal(syscall.SIGHUP) }},
		{"server-leaves", true, func() error { s.leave(e, d+2*drainBound); return nil }},
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
		{"store-link-" + link.String(), false, func() error { r.link.set(link); time.Sleep(d); r.link.set(LinkWhole); return nil }},
		{"server-link-" + link.String(), false, func() error { e.link.set(link); time.Sleep(d); e.link.set(LinkWhole); return nil }},
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
		s.configure()
	case "revoke":
		s.revoke()
	}
	return f
}

// revoke takes the oldest key away, but never the last one.
func (s *soak) revoke() {
	if len(s.keys) == 1 {
		return
	}
	key := s.keys[0]
	s.keys = s.keys[1:]
	s.configure()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.revoked[key] = time.Now()
}

// leave lets a server announce that it leaves, and come back.
func (s *soak) leave(e *engine, d time.Duration) {
	e.away.Lock()
	defer e.away.Unlock()
	s.announce(e, "draining")
	began := time.Now()
	time.Sleep(d)
	s.history.mu.Lock()
	s.history.leaving[e.ID] = append(s.history.leaving[e.ID], span{began, time.Now()})
	s.history.mu.Unlock()
	s.announce(e, "ready")
}
