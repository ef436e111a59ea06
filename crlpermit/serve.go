package crlpermit

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// Register registers the methods that other daemons call.
func (c *Client) Register(mux *crlpeer.Mux) {
	mux.Register(MethodAsk, crlpeer.Typed(c.ServeAsk))
	mux.Register(MethodReturn, crlpeer.Typed(c.serveReturn))
	mux.Register(MethodRevoke, crlpeer.Typed(c.serveRevoke))
	mux.Register(MethodReportHeld, crlpeer.Typed(c.serveReportHeld))
}

// ServeAsk handles a holder's request for permits, as the home of the server.
func (c *Client) ServeAsk(ctx context.Context, ask Ask) (Grant, error) {
	var grant Grant
	err := c.config.Loop.Do(ctx, func() { grant = c.config.Home.Grant(ask, time.Now()) })
	if err == nil && grant.LapsedBy(time.Now()) {
		err = c.config.Loop.Do(ctx, func() { grant = c.config.Home.CancelGrant(ask.Server, grant, time.Now()) })
	}
	return grant, err
}

// ReturnBatch holds the permits that are returned in one call.
type ReturnBatch struct {
	Permits []Returned `json:"p"`
}

// ServerList names the servers that a call concerns, with the term of the caller.
type ServerList struct {
	Term    crlid.Term     `json:"t"`
	Servers []crlid.Server `json:"s"`
}

// HeldPermits lists the permits that a holder has in use.
type HeldPermits struct {
	Incarnation crlid.Incarnation           `json:"i"` // incarnation of the holder
	Held        map[crlid.Server][]PermitID `json:"h"`
}

type empty struct{}

func (c *Client) serveReturn(ctx context.Context, r ReturnBatch) (empty, error) {
	revoke := make(map[crlid.Incarnation][]crlid.Server)
	err := c.config.Loop.Do(ctx, func() {
		for _, p := range r.Permits {
			for _, holder := range c.config.Home.Return(p, time.Now()) {
				revoke[holder] = append(revoke[holder], p.Server)
			}
		}
	})
	for holder, servers := range revoke {
		go c.sendRevoke(context.WithoutCancel(ctx), holder, servers)
	}
	return empty{}, err
}

// sendRevoke makes a holder return its unused permits for the servers. A failed call isn't repeated: the permits count as
// used until the holder returns them or they expire.
func (c *Client) sendRevoke(ctx context.Context, holder crlid.Incarnation, servers []crlid.Server) {
	if holder == c.config.Self {
		_, _ = c.serveRevoke(ctx, ServerList{Servers: servers})
		return
	}
	address, ok := c.config.Directory.Address(holder)
	if !ok {
		return
	}
	if err := c.config.Peers.Call(ctx, address, MethodRevoke, ServerList{Servers: servers}, &empty{}); err != nil {
		klog.V(1).Infof("permit: revoke of unused permits for servers %v held by incarnation %s failed: %v", servers, holder, err)
	}
}

func (c *Client) serveRevoke(_ context.Context, s ServerList) (empty, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, server := range s.Servers {
		c.revoke(server)
	}
	return empty{}, nil
}

// serveReportHeld drops the unused permits that earlier homes granted and returns the permits in use. It also removes the
// servers from this daemon's own Home if the term is later than that of the Home, as the caller is now their home.
func (c *Client) serveReportHeld(ctx context.Context, s ServerList) (HeldPermits, error) {
	err := c.config.Loop.Do(ctx, func() { c.config.Home.Relinquish(s.Term, s.Servers) })
	if err != nil {
		return HeldPermits{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	report := HeldPermits{Incarnation: c.config.Self, Held: make(map[crlid.Server][]PermitID)}
	for _, server := range s.Servers {
		report.Held[server] = c.pool.ReportHeld(s.Term, server)
	}
	return report, nil
}

// Periods of the client's background tasks.
const (
	returnWindow   = 2 * time.Millisecond   // pause between batches, in which more returns collect
	returnRetry    = 100 * time.Millisecond // pause after a batch that failed in part
	takeoverPeriod = 100 * time.Millisecond // time between calls to the holders that are awaited
)

// RunReturns sends the queued returns to the homes, in batches, until ctx ends.
func (c *Client) RunReturns(ctx context.Context) error {
	for {
		select {
		case <-c.returnsReady:
		case <-ctx.Done():
			return ctx.Err()
		}
		pause := returnWindow
		if !c.sendReturns(ctx) {
			pause = returnRetry
		}
		if crlclock.Sleep(ctx, pause); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// sendReturns makes one call to each home, queues the permits of failed calls again and reports whether none failed.
func (c *Client) sendReturns(ctx context.Context) bool {
	c.mu.Lock()
	pending := c.pendingReturns
	c.pendingReturns = nil
	c.mu.Unlock()
	byHome := make(map[HomeInfo][]Returned)
	for _, r := range pending {
		server, ok := c.config.Directory.Configured(r.Server)
		if !ok {
			continue
		}
		home, _ := c.config.Directory.HomeOf(server)
		byHome[home] = append(byHome[home], r)
	}
	var calls sync.WaitGroup
	failed := make(chan []Returned, len(byHome))
	for home, permits := range byHome {
		calls.Go(func() {
			if err := c.sendReturn(ctx, home, permits); err != nil {
				failed <- permits
			}
		})
	}
	calls.Wait()
	close(failed)
	complete := true
	for permits := range failed {
		complete = false
		c.requeue(permits)
	}
	return complete
}

// maxPendingReturns is the queue length up to which the permits of a failed call are queued for return again. The others
// are dropped; their home counts them as used until they expire.
const maxPendingReturns = 16 << 10

func (c *Client) requeue(permits []Returned) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range permits[:min(len(permits), max(0, maxPendingReturns-len(c.pendingReturns)))] {
		c.queueReturn(r)
	}
}

// errNoAddress is returned when the home of a server, or the address of a holder, isn't known.
var errNoAddress = errors.New("no address is known for the home or holder of the permits")

func (c *Client) sendReturn(ctx context.Context, home HomeInfo, permits []Returned) error {
	switch home.Incarnation {
	case "":
		return errNoAddress
	case c.config.Self:
		_, err := c.serveReturn(ctx, ReturnBatch{Permits: permits})
		return err
	}
	return c.config.Peers.Call(ctx, home.Address, MethodReturn, ReturnBatch{Permits: permits}, &empty{})
}

// RunTakeovers asks the holders that this daemon's home awaits for the permits that they have in use, until ctx ends.
func (c *Client) RunTakeovers(ctx context.Context) error {
	ticker := crlclock.NewTicker(takeoverPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.takeOver(ctx); err != nil {
			return err
		}
	}
}

// takeOver makes one round of calls to the awaited holders, except those that are known to have ended.
func (c *Client) takeOver(ctx context.Context) error {
	var awaited map[crlid.Incarnation][]crlid.Server
	var term crlid.Term
	err := c.config.Loop.Do(ctx, func() {
		awaited, term = c.config.Home.AwaitedHolders(time.Now()), c.config.Home.Term()
		for holder := range awaited {
			if c.config.Ended(holder) {
				c.config.Home.HolderEnded(holder, time.Now())
				delete(awaited, holder)
			}
		}
	})
	if err != nil {
		return err
	}
	var calls sync.WaitGroup
	for holder, servers := range awaited {
		calls.Go(func() { c.takeOverFrom(ctx, holder, ServerList{Term: term, Servers: servers}) })
	}
	calls.Wait()
	return nil
}

// takeOverFrom asks a holder for its permits in use and records the reply at the home. A holder that can't be called is
// asked again in the next period.
func (c *Client) takeOverFrom(ctx context.Context, holder crlid.Incarnation, s ServerList) {
	report, err := c.requestHeld(ctx, holder, s)
	var refused *crlpeer.Error
	ended := errors.As(err, &refused) && refused.Refused() || err == nil && report.Incarnation != holder
	if err != nil && !ended {
		return
	}
	_ = c.config.Loop.Do(ctx, func() {
		// This daemon already knew the holder's incarnation when it sent the call. If the address refuses connections, or
		// another incarnation answers there, the holder has therefore ended.
		if ended {
			c.config.Home.HolderEnded(holder, time.Now())
			return
		}
		for server, held := range report.Held {
			c.config.Home.HolderReported(s.Term, server, holder, held, time.Now())
		}
	})
}

func (c *Client) requestHeld(ctx context.Context, holder crlid.Incarnation, s ServerList) (HeldPermits, error) {
	if holder == c.config.Self {
		return c.serveReportHeld(ctx, s)
	}
	address, ok := c.config.Directory.Address(holder)
	if !ok {
		return HeldPermits{}, errNoAddress
	}
	var report HeldPermits
	err := c.config.Peers.Call(ctx, address, MethodReportHeld, s, &report)
	return report, err
}
