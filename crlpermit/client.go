package crlpermit

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// Methods that holders of permits and homes call on each other.
const (
	MethodAsk        crlpeer.Method = "ask-permits"    // a holder asks a home for permits
	MethodReturn     crlpeer.Method = "return-permits" // a holder returns permits to a home
	MethodRevoke     crlpeer.Method = "revoke-permits" // a home makes a holder return its unused permits
	MethodReportHeld crlpeer.Method = "tell-permits"   // a new home asks a holder which permits it has in use
)

// Caller calls methods of peers by their address.
type Caller interface {
	Call(ctx context.Context, address string, method crlpeer.Method, params, result any) error
}

// Loop runs tasks one after the other on the goroutine that owns the Home. Do waits until the task has run.
type Loop interface {
	Do(ctx context.Context, task func()) error
}

// HomeInfo identifies the home of a server in a term.
type HomeInfo struct {
	Term        crlid.Term
	Incarnation crlid.Incarnation
	Address     string
}

// Directory looks up homes, addresses of daemons and configured servers. It must be safe for concurrent use.
type Directory interface {
	HomeOf(server crlconfig.Server) (HomeInfo, bool)
	Address(incarnation crlid.Incarnation) (string, bool)
	Configured(server crlid.Server) (crlconfig.Server, bool)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Loop       Loop
	Peers      Caller
	Directory  Directory
	Home       *Home // used only in tasks of Loop
	Self       crlid.Incarnation
	MaxAttempt time.Duration                // longest time that an attempt may run
	Ended      func(crlid.Incarnation) bool // reports whether an incarnation is known to have ended; called in tasks of Loop
}

// Client gets permits from the homes of servers and returns them, and serves the calls of other daemons. It is safe for
// concurrent use.
type Client struct {
	config       ClientConfig
	returnsReady chan struct{} // capacity 1; signals that pendingReturns has entries

	mu             sync.Mutex // guards the fields below
	pool           *Pool
	asks           map[crlid.Server]*askState
	boots          map[crlid.Server]crlid.Boot // newest boot that each server stated
	pendingReturns []Returned
}

// askState is the state of a client's calls to the home of one server for permits.
type askState struct {
	inFlight chan struct{} // closed when the call in flight ends, nil when there is none
	deniedAt time.Time     // last time that a call failed or the home granted no usable permit
}

// NewClient returns a client without permits.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config, returnsReady: make(chan struct{}, 1), asks: make(map[crlid.Server]*askState),
		pool: NewPool(PoolConfig{Self: config.Self, MaxAttempt: config.MaxAttempt}), boots: make(map[crlid.Server]crlid.Boot),
	}
}

// deniedBackoff is the time for which the home of a server isn't asked again after a call that brought no usable permit.
const deniedBackoff = 5 * time.Millisecond

// Acquire returns a permit for the server, and asks the server's home for some if the pool has none. ok is false when the
// home grants none now, or ctx ends. Callers must pass each permit to Done.
func (c *Client) Acquire(ctx context.Context, server crlconfig.Server) (permit Permit, ok bool) {
	for {
		permit, inFlight, ask := c.takeOrAsk(server.ID)
		switch {
		case permit.Number != 0:
			return permit, true
		case inFlight != nil:
			select {
			case <-inFlight:
			case <-ctx.Done():
				return Permit{}, false
			}
		case !ask || !c.ask(ctx, server):
			return Permit{}, false
		}
	}
}

// takeOrAsk takes a permit from the pool. If there is none, it returns a channel that is closed when the call in flight
// ends; if there is no such call either, it reports whether the caller must make one.
func (c *Client) takeOrAsk(server crlid.Server) (permit Permit, inFlight <-chan struct{}, ask bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	permit, ok, expired := c.pool.Take(server, time.Now())
	for _, p := range expired {
		c.queueReturn(Returned{Server: server, PermitID: p.id()})
	}
	if ok {
		return permit, nil, false
	}
	state, known := c.asks[server]
	if !known {
		state = &askState{}
		c.asks[server] = state
	}
	if state.inFlight != nil {
		return Permit{}, state.inFlight, false
	}
	if time.Since(state.deniedAt) < deniedBackoff {
		return Permit{}, nil, false
	}
	state.inFlight = make(chan struct{})
	return Permit{}, nil, true
}

// ask calls the home of the server, adds the granted permits to the pool and reports whether one of them can be used.
func (c *Client) ask(ctx context.Context, server crlconfig.Server) bool {
	home, ok := c.config.Directory.HomeOf(server)
	c.mu.Lock()
	ask := c.pool.Ask(server.ID, home.Term, maxBatch)
	c.mu.Unlock()
	sent := time.Now()
	var grant Grant
	var err error
	switch {
	case !ok:
	case home.Incarnation == c.config.Self:
		grant, err = c.ServeAsk(ctx, ask)
	default:
		err = c.config.Peers.Call(ctx, home.Address, MethodAsk, ask, &grant)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := ok && err == nil && c.pool.ApplyGrant(ask, grant, sent, time.Now())
	state := c.asks[server.ID]
	close(state.inFlight)
	state.inFlight = nil
	if !usable {
		state.deniedAt = time.Now()
	}
	return usable
}

// Done queues a permit for its return to the home, after its attempt ended or when none was sent.
func (c *Client) Done(report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := report.Permit
	c.pool.Release(p)
	c.queueReturn(Returned{Server: p.Server, PermitID: p.id(), Outcome: Outcome{
		Sent: report.Sent, Failed: report.Failed, Incomplete: report.Incomplete, Boot: report.Boot, Latency: report.Latency,
	}})
	c.recordBoot(p.Server, report.Boot)
}

// Answered records the boot that a server stated at the start of an answer, and queues a report to the server's home if
// the boot differs from the last one. The home gets it before Done is called, since an answer may take minutes.
func (c *Client) Answered(server crlid.Server, boot crlid.Boot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recordBoot(server, boot) {
		c.queueReturn(Returned{Server: server, PermitID: PermitID{Number: bootOnlyNumber}, Outcome: Outcome{Boot: boot}})
	}
}

// recordBoot reports whether the boot differs from the last one of the server. If the server restarted, it queues the
// unused permits for return. The caller holds mu.
func (c *Client) recordBoot(server crlid.Server, boot crlid.Boot) bool {
	known := c.boots[server]
	if boot == "" || boot == known {
		return false
	}
	c.boots[server] = boot
	if known != "" {
		c.revoke(server)
	}
	return true
}

// revoke queues the unused permits of a server for return. The caller holds mu.
func (c *Client) revoke(server crlid.Server) {
	for _, p := range c.pool.Revoke(server) {
		c.queueReturn(Returned{Server: server, PermitID: p.id()})
	}
}

// queueReturn queues a permit for return to its home. The caller holds mu.
func (c *Client) queueReturn(r Returned) {
	c.pendingReturns = append(c.pendingReturns, r)
	select {
	case c.returnsReady <- struct{}{}:
	default:
	}
}
