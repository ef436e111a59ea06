package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// run is one run of a request at a server.
type run struct {
	request, server, version string
	at                       time.Time
}

// server is a backend server. It writes its entry to the store about every 1.2 s.
type server struct {
	id, address, service, version string
	fleet                         *fleet
	http                          *http.Server
	handler                       func(s *server, w http.ResponseWriter, r *http.Request)
	mu                            sync.Mutex
	sequence                      int
	state                         string
	stopped                       chan struct{}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.fleet.mu.Lock()
	s.fleet.runs = append(s.fleet.runs, run{id, s.id, s.version, time.Now()})
	s.fleet.mu.Unlock()
	s.fleet.record.line("server %s (%s) runs %s", s.id, s.version, id)
	w.Header().Set("Response-Stamp", "stamp."+s.id)
	s.handler(s, w, r)
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.store.put("keyed.servers", s.id, s.nextEntry())
}

// nextEntry returns the next entry of the server. The caller holds s.mu.
func (s *server) nextEntry() map[string]any {
	s.sequence++
	return map[string]any{
		"service": s.service, "addr": s.address, "zone": "zone-a", "version": s.version, "slots": 64, "state": s.state,
		"coldLeftMs": 0, "sequence": s.sequence, "born": s.fleet.born,
	}
}

// beatLate writes the server's entry with a call that gets no answer and that the store carries out after d.
func (s *server) beatLate(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.nextEntry()
	s.fleet.record.line("server %s writes its entry, state %v, sequence %v; the store doesn't answer", s.id, entry["state"], entry["sequence"])
	time.AfterFunc(d, func() {
		s.fleet.store.put("keyed.servers", s.id, entry)
		s.fleet.record.line("store: the entry of %s with sequence %v is written, %s late", s.id, entry["sequence"], d)
	})
}

// setState changes the server's state and writes its entry at once.
func (s *server) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.beat()
}

func (s *server) beats() {
	for {
		s.beat()
		select {
		case <-s.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// router is a process of the deploy file's only role.
type router struct {
	name, ip, settings string
	command            *exec.Cmd
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record  *record
	store   *store
	servers []*server
	routers []*router
	port    int // of all routers, the first of those that they use
	dir     string
	born    int64
	memory  int
	grace   int // graceS of the settings, in seconds
	storeAt string
	mu      sync.Mutex
	runs    []run
}

// portsPerRouter: callers, readiness, control, and three of the range for the routers themselves.
const portsPerRouter = 6

func newFleet(r *record, routers, memoryMB int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, store: newStore(), dir: dir, born: time.Now().UnixMilli(), memory: memoryMB, grace: 8}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, f.store) }()
	f.storeAt = listener.Addr().String()
	for n := range routers {
		f.routers = append(f.routers, &router{name: fmt.Sprintf("edge-%d", n+1), ip: fmt.Sprintf("127.0.2.%d", n+1)})
	}
	if f.port = f.freePorts(); f.port == 0 {
		return nil, fmt.Errorf("no free ports")
	}
	return f, nil
}

// freePorts returns the first of consecutive ports that are free at the addresses of all routers.
func (f *fleet) freePorts() int {
	for port := 21000 + os.Getpid()%1000*portsPerRouter; port < 32000; port += portsPerRouter {
		free := true
		for _, r := range f.routers {
			for n := range portsPerRouter {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.ip, port+n))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return port
		}
	}
	return 0
}

// addServer starts a server and announces it.
func (f *fleet) addServer(id, service, version string, handler func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, address: listener.Addr().String(), service: service, version: version, fleet: f, handler: handler, state: "ready",
		stopped: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	go s.beats()
	f.servers = append(f.servers, s)
	return s, nil
}

const settingsText = `node = %q
role = "router"
machineClass = "edge"
serves = ["edge","control"]
ip = %q
zone = "zone-a"
region = "region-a"
portRange = [%d,%d]
seeds = [%s]
bootstrap = true
heartbeatMs = 1200
[zones]
zone-a = "region-a"
[listen]
front = "%s:%d"
readiness = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = %d
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
strictRevoke = true
revokeMs = 5000
budgetRatio = 0.9
budgetWindowS = 10
budgetSlack = 52
exposeShare = 0.15
exposeSlack = 30
rollbackMs = 5000
coldOver = 1.5
coldSlack = 5
evacuateMs = 5000
recoverS = 12
sessionS = 5
[platform]
addr = %q
form = "log"
parts = 12
ttlMinMs = 1000
`

func (f *fleet) front(r *router) string { return fmt.Sprintf("%s:%d", r.ip, f.port) }

// writeSettings writes a router's settings file, as the platform does at each start and when the settings change.
func (f *fleet) writeSettings(r *router) error {
	var seeds []string
	for _, other := range f.routers[:min(3, len(f.routers))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", other.ip, f.port+2)))
	}
	r.settings = filepath.Join(f.dir, r.name+".toml")
	text := fmt.Sprintf(settingsText, r.name, r.ip, f.port+3, f.port+5, strings.Join(seeds, ","), r.ip, f.port, r.ip, f.port+1,
		r.ip, f.port+2, f.memory, f.grace, f.storeAt)
	if err := os.WriteFile(r.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(r.settings+".new", r.settings)
}

// start starts a router process as the deploy file does, with the settings in the variable that the platform sets.
func (f *fleet) start(r *router) error {
	if err := f.writeSettings(r); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.command = exec.Command("target/cranberrylock-router")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CRANBERRYLOCK_NODE_FILE=" + r.settings}
	r.command.Stdout, r.command.Stderr = log, log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return r.command.Start()
}

// startAll starts all routers and waits until each is ready.
func (f *fleet) startAll() error {
	for _, r := range f.routers {
		if err := f.start(r); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := f.waitReady(r); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) waitReady(r *router) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", r.ip, f.port+1))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready after 15 s", r.name)
}

// stop ends all processes that the case started.
func (f *fleet) stop() {
	for _, r := range f.routers {
		if r.command != nil && r.command.Process != nil && r.command.ProcessState == nil {
			_ = r.command.Process.Kill()
			_ = r.command.Wait()
		}
	}
	_ = os.RemoveAll(f.dir)
}

// ran returns how often a request ran.
func (f *fleet) ran(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runs {
		if r.request == request {
			n++
		}
	}
	return n
}
