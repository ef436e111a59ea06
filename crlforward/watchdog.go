package crlforward

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
)

// errUnresponsive is the cause with which a watchdog cancels a send. Operators' commands match the text.
var errUnresponsive = errors.New("server is silent and can't be reached")

const (
	// unresponsiveAfter is the time without a byte from a server after which it is probed. The usual pause between the events
	// of a stream is many times shorter.
	unresponsiveAfter = 500 * time.Millisecond
	// probeTimeout is the time within which none of probeTries probes, probeInterval apart, gets a reply from an unreachable host.
	// On the VM's own link, packets may wait 0.5 s in each direction when it is saturated, and two of the probes may be lost.
	probeTimeout  = 2 * time.Second
	probeInterval = 400 * time.Millisecond
	probeTries    = 3
	// hostSilentAfter is the time without a packet on a send's own connection after which its host may count as unreachable. A host
	// that is up acknowledges a TCP keep-alive probe every keepAliveInterval, whatever its process does.
	hostSilentAfter = 2400 * time.Millisecond
)

// Probe opens a connection to the server at an address, and returns the error of the dial if that fails or ctx ends.
type Probe func(ctx context.Context, address string) error

// dialProbe is the default Probe. It opens a TCP connection and closes it.
func dialProbe(ctx context.Context, address string) error {
	connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}

// isNoReply reports whether a probe failed because no reply came from the host of a server. A refusal or reset comes from a host
// that is up: if the process behind an open connection had ended, that connection would have been closed too. Any other error,
// such as a lack of descriptors, arises on this VM.
func isNoReply(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, syscall.EHOSTUNREACH)
}

// probes runs probes such that concurrent sends to one server share a probe.
type probes struct {
	probe   Probe
	silence silenceFunc
	mu      sync.Mutex              // guards running
	running map[string]*sharedProbe // by address
}

// sharedProbe is a probe in progress. reachable is valid once done is closed.
type sharedProbe struct {
	done      chan struct{}
	reachable bool
}

func newProbes(probe Probe) *probes {
	if probe == nil {
		probe = dialProbe
	}
	return &probes{probe: probe, silence: tcpSilence, running: make(map[string]*sharedProbe)}
}

// reachable reports whether the host of a server replies, or may do so. It also returns true when ctx ends before the probe does.
func (p *probes) reachable(ctx context.Context, address string) bool {
	p.mu.Lock()
	probe, ok := p.running[address]
	if !ok {
		probe = &sharedProbe{done: make(chan struct{})}
		p.running[address] = probe
		go p.run(context.WithoutCancel(ctx), address, probe)
	}
	p.mu.Unlock()
	select {
	case <-probe.done:
		return probe.reachable
	case <-ctx.Done():
		return true
	}
}

// hasEnded reports whether the host of a server replies that the server accepts no connections, as after its end.
func (p *probes) hasEnded(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return errors.Is(p.probe(ctx, address), syscall.ECONNREFUSED)
}

// run probes an address until a probe doesn't lack a reply or probeTimeout has passed, and hands the result to all that wait for it.
func (p *probes) run(ctx context.Context, address string, probe *sharedProbe) {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	var reachable atomic.Bool
	for n := range probeTries {
		time.AfterFunc(time.Duration(n)*probeInterval, func() {
			if ctx.Err() == nil && !isNoReply(p.probe(ctx, address)) {
				reachable.Store(true)
				stop()
			}
		})
	}
	<-ctx.Done()
	probe.reachable = reachable.Load()
	p.mu.Lock()
	delete(p.running, address)
	p.mu.Unlock()
	close(probe.done)
}

// watchdog cancels a send when a read of its answer has waited for unresponsiveAfter, the server's host does not reply to probes, and
// no packet has come on the send's own connection for hostSilentAfter. A server whose host replies may only be slow or full, so the
// send continues.
type watchdog struct {
	timer       *time.Timer
	readSilence silenceFunc
	phase       atomic.Int64                 // number of waits that have begun and ended, so odd while a read or the head is awaited
	connection  atomic.Pointer[syscall.Conn] // the send's connection; nil until it is opened, and if it can't be examined
}

// newWatchdog starts a watchdog for a send to an address. It runs until ctx ends, and cancels with errUnresponsive.
func (p *probes) newWatchdog(ctx context.Context, cancel context.CancelCauseFunc, address string) *watchdog {
	w := &watchdog{readSilence: p.silence}
	w.phase.Store(1)
	// The timer's function uses w.timer, so the timer must not fire before the field is set: it starts with longestWait.
	w.timer = time.AfterFunc(longestWait, func() {
		phase := w.phase.Load()
		if phase%2 == 0 {
			return // What has arrived waits for the caller, so the send doesn't depend on the server's host. The next read starts the timer.
		}
		if !p.reachable(ctx, address) && w.hostIsSilent(ctx) && w.phase.Load() == phase {
			cancel(errUnresponsive)
		}
		if ctx.Err() == nil {
			w.timer.Reset(unresponsiveAfter)
		}
	})
	w.timer.Reset(unresponsiveAfter)
	context.AfterFunc(ctx, func() { w.timer.Stop() })
	return w
}

// startWait starts the timer, as a read waits for bytes from now on.
func (w *watchdog) startWait() {
	w.phase.Add(1)
	w.timer.Reset(unresponsiveAfter)
}

// endWait records that the read that waited has ended.
func (w *watchdog) endWait() { w.phase.Add(1) }

// setConnection makes the connection of the send known to the watchdog.
func (w *watchdog) setConnection(connection net.Conn) {
	if c, ok := connection.(syscall.Conn); ok {
		w.connection.Store(&c)
	}
}

// hostIsSilent reports whether no packet has come on the send's connection for hostSilentAfter, and waits until that time has passed
// since the last one. It returns true if that can't be known.
func (w *watchdog) hostIsSilent(ctx context.Context) bool {
	silence, ok := w.silence()
	if !ok || silence >= hostSilentAfter {
		return true
	}
	crlclock.Sleep(ctx, hostSilentAfter-silence+silenceGranularity)
	silence, ok = w.silence()
	return !ok || silence >= hostSilentAfter
}

// silenceGranularity is the longest tick in which Linux counts the times that tcpSilence returns.
const silenceGranularity = 10 * time.Millisecond

// silence returns the time since the last packet on the send's connection. ok is false if that is unknown.
func (w *watchdog) silence() (silence time.Duration, ok bool) {
	connection := w.connection.Load()
	if connection == nil {
		return 0, false
	}
	return w.readSilence(*connection)
}

// silenceFunc returns the time since the last packet on a connection; ok is false if that is unknown.
type silenceFunc func(connection syscall.Conn) (silence time.Duration, ok bool)

// tcpSilence is the silenceFunc of TCP connections on Linux.
func tcpSilence(connection syscall.Conn) (silence time.Duration, ok bool) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(fd uintptr) { info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || optionErr != nil {
		return 0, false
	}
	return silenceFrom(info)
}

// silenceFrom returns the time since the last packet that TCP_INFO reports. ok is false if the kernel doesn't record the times of
// packets: then all are zero, which can't be on a connection that has been silent since it sent a request.
func silenceFrom(info *unix.TCPInfo) (silence time.Duration, ok bool) {
	if info.Last_data_sent == 0 && info.Last_data_recv == 0 && info.Last_ack_recv == 0 {
		return 0, false
	}
	return time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond, true
}

// watchedBody is the body of an answer whose reads are watched.
type watchedBody struct {
	io.ReadCloser
	watchdog *watchdog
}

// Read reads from the body. The watchdog runs until it returns.
func (b *watchedBody) Read(content []byte) (int, error) {
	b.watchdog.startWait()
	defer b.watchdog.endWait()
	return b.ReadCloser.Read(content)
}

// endedLocally reports whether a send was ended by the caller, a deadline or the fallback timer, rather than by a failure of
// its server.
func endedLocally(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errUnresponsive) && !errors.Is(context.Cause(ctx), errIncomplete)
}

// failureOutcome returns the outcome that a failed send has for its server's health. The context of such a send ends only
// when the watchdog found the server unreachable, or when the head of the answer was not completed.
func failureOutcome(ctx context.Context) crlfleet.Outcome {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errIncomplete) {
		return crlfleet.OutcomeUnreachable
	}
	return crlfleet.OutcomeFailed
}
