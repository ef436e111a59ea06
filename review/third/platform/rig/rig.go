//go:build review

package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// Rig is the store, the record and the processes of one case.
type Rig struct {
	Start   time.Time
	Store   *standin.Store
	store   string // address of Store
	dir     string // of settings files and logs
	program string
	mu      sync.Mutex // guards record
	record  *os.File
	routers []*Router
}

// New starts a store and opens the record. The caller calls Close.
func New() (*Rig, error) {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Rig{Start: time.Now(), Store: standin.NewStore(), store: listener.Addr().String(), dir: dir, program: os.Getenv("ROUTER"), record: record}
	go func() { _ = http.Serve(listener, r.Store) }()
	return r, nil
}

// Note writes one line to the record.
func (r *Rig) Note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%9.3f %s\n", time.Since(r.Start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	for _, router := range r.routers {
		router.Kill()
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
}

// Router is one router process.
type Router struct {
	Settings standin.RouterSettings
	Link     *Link // to the store
	rig      *Rig
	command  *exec.Cmd
	exited   chan struct{}
}

// StartRouters starts so many routers, each with an IP address and a link to the store of its own, and waits until all of them are ready.
func (r *Rig) StartRouters(count int) error {
	port, err := freePorts(count)
	if err != nil {
		return err
	}
	for n := range count {
		link, err := NewLink(r.store)
		if err != nil {
			return err
		}
		router := &Router{rig: r, Link: link, Settings: standin.RouterSettings{
			Name: fmt.Sprintf("router-%d", n+1), Zone: fmt.Sprintf("zone-%c", 'a'+n%2), IP: routerIP(n), Port: port, Store: link.Address(),
		}}
		for _, other := range r.routers[:min(len(r.routers), 3)] {
			router.Settings.Seeds = append(router.Settings.Seeds, other.Settings.ControlAddress())
		}
		r.routers = append(r.routers, router)
		if err := router.Run(); err != nil {
			return err
		}
	}
	for _, router := range r.routers {
		if err := router.WaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// Routers returns the routers.
func (r *Rig) Routers() []*Router { return r.routers }

// Run starts the process.
func (r *Router) Run() error {
	path := filepath.Join(r.rig.dir, r.Settings.Name+".toml")
	if err := os.WriteFile(path, []byte(standin.Settings(r.Settings)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(r.rig.dir, r.Settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(r.rig.program)
	command.Env = []string{"CRANBERRYLOCK_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		r.rig.Note("%s: process ended (%v)", r.Settings.Name, command.ProcessState)
		close(exited)
	}()
	r.command, r.exited = command, exited
	r.rig.Note("%s: process started", r.Settings.Name)
	return nil
}

// Front returns the address for callers.
func (r *Router) Front() string { return fmt.Sprintf("%s:%d", r.Settings.IP, r.Settings.Port) }

// Process returns the process.
func (r *Router) Process() *os.Process { return r.command.Process }

// Exited returns a channel that is closed when the process has ended.
func (r *Router) Exited() <-chan struct{} { return r.exited }

// Signal sends a signal and notes it.
func (r *Router) Signal(s syscall.Signal) error {
	r.rig.Note("%s: signal %v", r.Settings.Name, s)
	return r.command.Process.Signal(s)
}

// Kill ends the process if it runs.
func (r *Router) Kill() {
	if r.command == nil {
		return
	}
	_ = r.command.Process.Kill()
	<-r.exited
}

// WaitReady waits until the readiness probe succeeds.
func (r *Router) WaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", r.Settings.IP, r.Settings.Port+1))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New(r.Settings.Name + " did not become ready")
}

func routerIP(n int) string { return fmt.Sprintf("127.0.3.%d", n+1) }

// freePorts returns the first of five consecutive ports that are free at the addresses of so many routers.
func freePorts(routers int) (int, error) {
	for port := 21000 + os.Getpid()%200*40; port < 39000; port += 5 {
		free := true
		for n := range 5 * routers {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", routerIP(n/5), port+n%5))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// JSON returns the JSON text of a value.
func JSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(text)
}
