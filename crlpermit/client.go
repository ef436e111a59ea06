package crlpermit

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// Methods between the daemons that send attempts and the homes of servers.
const (
	MethodAsk        crlpeer.Method = "ask-permits"
	MethodReturn     crlpeer.Method = "return-permits"
	MethodRevoke     crlpeer.Method = "revoke-permits"
	MethodReportHeld crlpeer.Method = "tell-permits"
)

// Caller calls methods of peers by their address.
type Caller interface {
	Call(ctx context.Context, address string, method crlpeer.Method, params, result any) error
}

// Loop runs tasks on the goroutine that owns control state.
type Loop interface {
	Do(ctx context.Context, task func()) error
}

// Seat is the home of a server in a term.
type HomeInfo struct {
	Term        crlid.Term
	Incarnation crlid.Incarnation
	Address     string
}

// Directory tells homes and addresses; it is safe for concurrent use.
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
	Home       *Home // Home is owned by the loop.
	Self       crlid.Incarnation
	MaxAttempt time.Duration                // Hold bounds an attempt.
	Ended      func(crlid.Incarnation) bool // Ended runs on the loop and reports proof that a run ended.
}

// Client gets permits from the homes of servers and gives them back.
type Client struct {
	config       ClientConfig
	returnsReady chan struct{} // returns holds a token while permits wait to be given back.

	mu             sync.Mutex // mu guards the fields below.
	pool           *Pool
	asks           map[crlid.Server]*askState
	boots          map[crlid.Server]crlid.Boot
	pendingReturns []Returned
}

// asking is what a client knows of its calls for one server.
type askState struct {
	inFlight chan struct{} // open is closed when the open call ends, nil when none is open.
	deniedAt time.Time     // denied is when the home last had no room.
}

// NewClient returns a client without permits.
func NewClient(config ClientConfig) *Client {
	return &Client{
		config: config, returnsReady: make(chan struct{}, 1), asks: make(map[crlid.Server]*askState),
		pool: NewPool(PoolConfig{Self: config.Self, MaxAttempt: config.MaxAttempt}), boots: make(map[crlid.Server]crlid.Boot),
	}
}

// deniedPause is how long a home that had no room is not asked again.
const deniedBackoff = 5 * time.Millisecond

// Acquire returns a permit for the server; ok is false when its home grants none now.
func (c *Client) Acquire(ctx context.Context, server crlconfig.Server) (permit Permit, ok bool) {
	for {
		permit, open, again := c.takeOrAsk(server.ID)
		switch {
		case permit.Number != 0:
			return permit, true
		case open != nil:
			select {
			case <-open:
			case <-ctx.Done():
				return Permit{}, false
			}
		case !again || !c.ask(ctx, server):
			return Permit{}, false
		}
	}
}

// take spends a permit, or returns the open call to wait for, or reports whether to ask.
func (c *Client) takeOrAsk(server crlid.Server) (permit Permit, open <-chan struct{}, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	permit, ok, expired := c.pool.Take(server, time.Now())
	for _, p := range expired {
		c.queueReturn(Returned{Server: server, PermitID: p.id()})
	}
	if ok {
		return permit, nil, false
	}
	a, known := c.asks[server]
	if !known {
		a = &askState{}
		c.asks[server] = a
	}
	if a.inFlight != nil {
		return Permit{}, a.inFlight, false
	}
	if time.Since(a.deniedAt) < deniedBackoff {
		return Permit{}, nil, false
	}
	a.inFlight = make(chan struct{})
	return Permit{}, nil, true
}

// ask calls the home of the server and reports whether it granted permits that can be used.
func (c *Client) ask(ctx context.Context, server crlconfig.Server) bool {
	seat, ok := c.config.Directory.HomeOf(server)
	c.mu.Lock()
	ask := c.pool.Ask(server.ID, seat.Term, maxBatch)
	c.mu.Unlock()
	sent := time.Now()
	var grant Grant
	var err error
	switch {
	case !ok:
	case seat.Incarnation == c.config.Self:
		grant, err = c.ServeAsk(ctx, ask)
	default:
		err = c.config.Peers.Call(ctx, seat.Address, MethodAsk, ask, &grant)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := ok && err == nil && c.pool.ApplyGrant(ask, grant, sent, time.Now())
	a := c.asks[server.ID]
	close(a.inFlight)
	a.inFlight = nil
	if !usable {
		a.deniedAt = time.Now()
	}
	return usable
}

// Done takes a permit back after its attempt ended.
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

// Answered takes in the boot of a server as soon as it begins to answer, since an answer may take minutes.
func (c *Client) Answered(server crlid.Server, boot crlid.Boot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recordBoot(server, boot) {
		c.queueReturn(Returned{Server: server, PermitID: PermitID{Number: bootOnlyNumber}, Outcome: Outcome{Boot: boot}})
	}
}

// sawBoot gives up what is unspent if the boot is a new one and reports whether it is; the caller holds mu.
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

// revoke gives back what is unspent; the caller holds mu.
func (c *Client) revoke(server crlid.Server) {
	for _, p := range c.pool.Revoke(server) {
		c.queueReturn(Returned{Server: server, PermitID: p.id()})
	}
}

// giveBack queues a permit for its home; the caller holds mu.
func (c *Client) queueReturn(r Returned) {
	c.pendingReturns = append(c.pendingReturns, r)
	select {
	case c.returnsReady <- struct{}{}:
	default:
	}
}
