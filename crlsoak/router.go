package crlsoak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// router is one process of the router with its way to the store.
type router struct {
	name, program, directory string
	settings                 standin.RouterSettings
	link                     *proxy
	mu                       sync.Mutex // mu is held by whoever changes the process.
	command                  *exec.Cmd
	exited                   chan struct{}
	started                  time.Time
}

// Ports of the routers, tried from a random one on.
const (
	firstPort      = 20000
	portSpan       = 20000
	portsPerRouter = 4
)

// freePorts returns the first of four ports in a row that are free at an address.
func freePorts(ip string, from int) (int, error) {
	for port := firstPort + from%portSpan; port < firstPort+portSpan+portsPerRouter; port += portsPerRouter {
		free := true
		for n := range portsPerRouter {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+n))
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

func (r *router) address() string { return fmt.Sprintf("%s:%d", r.settings.IP, r.settings.Port) }

// start starts the process; its output is kept in the run's directory.
func (r *router) start() error {
	path := filepath.Join(r.directory, r.name+".toml")
	if err := os.WriteFile(path, []byte(standin.Settings(r.settings)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(r.directory, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(r.program, "--settings", path)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		// How it ended shows in its log; the soak asks only that it did.
		_ = command.Wait()
		close(ended)
	}()
	r.command, r.exited, r.started = command, ended, time.Now()
	return nil
}

// handlerTime is how long a process may take to install its signal handlers; before that, the system's default ends it.
const signalHandlerDelay = 300 * time.Millisecond

// signal sends a signal to the process, by its id.
func (r *router) signal(s syscall.Signal) error {
	time.Sleep(signalHandlerDelay - time.Since(r.started))
	return r.command.Process.Signal(s)
}

// endLimit is longer than the grace time of the settings.
const stopTimeout = 12 * time.Second

// restart ends the process by a signal and starts it again.
func (r *router) restart(s syscall.Signal, down time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.signal(s); err != nil {
		return err
	}
	select {
	case <-r.exited:
	case <-time.After(stopTimeout):
		_ = r.signal(syscall.SIGKILL)
		<-r.exited
		return fmt.Errorf("%s did not end within %s of signal %s", r.name, stopTimeout, s)
	}
	time.Sleep(down)
	return r.start()
}

// pause stops the process for a while.
func (r *router) pause(d time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return r.signal(syscall.SIGCONT)
}

func (r *router) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.command == nil {
		return
	}
	_ = r.signal(syscall.SIGCONT)
	_ = r.signal(syscall.SIGKILL)
	<-r.exited
}
