package crlforward

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
)

// errSilent is the cause of the end of a send whose server is silent and can't be reached.
var errUnresponsive = errors.New("server is silent and can't be reached")

const (
	// silence is the time without a byte after which a server is looked for, many times the usual pause between events.
	unresponsiveAfter = 500 * time.Millisecond
	// silenceTries are connections in a row that must fail, as one may fail for a lost packet.
	probeTries = 2
)

// Probe opens and closes a connection to an address, or returns why there is none.
type Probe func(ctx context.Context, address string) error

// dialProbe is the Probe of real networks.
func dialProbe(ctx context.Context, address string) error {
	dialer := &net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}

// probes lets sends to one server share a probe.
type probes struct {
	probe   Probe
	mu      sync.Mutex // mu guards open.
	running map[string]*sharedProbe
}

// probing is a probe that is under way.
type sharedProbe struct {
	done      chan struct{}
	reachable bool
}

func newProbes(probe Probe) *probes {
	if probe == nil {
		probe = dialProbe
	}
	return &probes{probe: probe, running: make(map[string]*sharedProbe)}
}

// reached reports whether a server takes connections.
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

func (p *probes) run(ctx context.Context, address string, probe *sharedProbe) {
	for try := 0; try < probeTries && !probe.reachable; try++ {
		probe.reachable = p.probe(ctx, address) == nil
	}
	p.mu.Lock()
	delete(p.running, address)
	p.mu.Unlock()
	close(probe.done)
}

// guard ends a send when its server is silent and can't be reached. A server that is silent and can be reached may only be
// slow, and its answer is waited for.
type watchdog struct {
	timer *time.Timer
	reads atomic.Int64 // reads counts the reads that brought bytes.
}

// newGuard watches a send to an address until ctx ends.
func (p *probes) newWatchdog(ctx context.Context, cancel context.CancelCauseFunc, address string) *watchdog {
	g := &watchdog{}
	// The timer is set to its time only once the guard is whole, as it sets itself again.
	g.timer = time.AfterFunc(longestWait, func() {
		before := g.reads.Load()
		if !p.reachable(ctx, address) && g.reads.Load() == before {
			cancel(errUnresponsive)
		}
		if ctx.Err() == nil {
			g.timer.Reset(unresponsiveAfter)
		}
	})
	g.timer.Reset(unresponsiveAfter)
	context.AfterFunc(ctx, func() { g.timer.Stop() })
	return g
}

// guarded is the body of an answer under a guard.
type watchedBody struct {
	io.ReadCloser
	watchdog *watchdog
}

// Read reads from the body and tells the guard.
func (b *watchedBody) Read(content []byte) (int, error) {
	n, err := b.ReadCloser.Read(content)
	if n > 0 {
		b.watchdog.reads.Add(1)
		b.watchdog.timer.Reset(unresponsiveAfter)
	}
	return n, err
}

// given reports whether the end of a send was decided here, rather than seen at its server.
func endedLocally(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errUnresponsive)
}

// failure returns what a send that failed says of its server.
func failureOutcome(ctx context.Context) crlfleet.Outcome {
	if ctx.Err() != nil {
		return crlfleet.OutcomeUnreachable
	}
	return crlfleet.OutcomeFailed
}
