package crlsoak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// router is one router process and the proxy through which it reaches the store.
type router struct {
	name      string
	program   string // path of the router's binary
	directory string // for the settings file and the log
	settings  standin.RouterSettings
	link      *proxy
	runner    []string   // command that runs it with links of its own to the backend servers; empty for program
	servers   []*proxy   // these links
	through   []string   // by server: its address, an equals sign and that of the link
	mu        sync.Mutex // held while the process is started, signalled or stopped
	command   *exec.Cmd
	exited    chan struct{} // closed when the process has exited
	started   time.Time
}

// The range of ports for routers, each of which needs portsPerRouter consecutive ones.
const (
	firstPort      = 20000
	portSpan       = 20000 // number of ports from firstPort on
	portsPerRouter = 5
)

// freePorts returns the first of portsPerRouter consecutive ports that are free at each of the IP addresses, as all routers use the same. The
// search starts at an offset into the range and goes to its end.
func freePorts(ips []string, offset int) (int, error) {
	for port := firstPort + offset%portSpan; port < firstPort+portSpan+portsPerRouter; port += portsPerRouter {
		if !slices.ContainsFunc(ips, func(ip string) bool { return !portsAreFree(ip, port) }) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports at %s for routers", portsPerRouter, ips)
}

// portsAreFree reports whether portsPerRouter ports from the given one on are free at an IP address.
func portsAreFree(ip string, port int) bool {
	for n := range portsPerRouter {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+n))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// routerIP returns the IP address of router n.
func routerIP(n int) string { return fmt.Sprintf("127.0.1.%d", n+1) }

// address returns the address at which the router accepts requests.
func (r *router) address() string { return fmt.Sprintf("%s:%d", r.settings.IP, r.settings.Port) }

// start writes the settings file and starts the process. Its output is appended to a log in the run's directory.
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
	arguments := []string{r.program, "--settings", path}
	if len(r.runner) > 0 {
		arguments = append(slices.Clone(r.runner), append([]string{path}, r.through...)...)
	}
	command := exec.Command(arguments[0], arguments[1:]...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// The exit status is ignored: signals end the process, and its log shows any other cause.
		_ = command.Wait()
		close(exited)
	}()
	r.command, r.exited, r.started = command, exited, time.Now()
	return nil
}

// signalHandlerDelay is how long a process may take after its start to install signal handlers. Before that, the default action
// of a signal ends the process.
const signalHandlerDelay = 300 * time.Millisecond

// signal sends a signal to the process, once it has had time to install its signal handlers.
func (r *router) signal(s syscall.Signal) error {
	time.Sleep(signalHandlerDelay - time.Since(r.started))
	return r.command.Process.Signal(s)
}

// stopTimeout bounds a graceful stop; it is longer than the grace period in the router's settings.
const stopTimeout = 12 * time.Second

// restart ends the process by a signal and starts it again once it has been down for a given time.
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
		return fmt.Errorf("%s did not exit within %s of signal %q", r.name, stopTimeout, s)
	}
	time.Sleep(down)
	return r.start()
}

// pause suspends the process for a duration with SIGSTOP.
func (r *router) pause(d time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return r.signal(syscall.SIGCONT)
}

// kill ends the process with SIGKILL and waits until it has exited. A suspended process is resumed first.
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
