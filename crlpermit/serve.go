package crlpermit

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// Register adds the methods that other daemons call.
func (c *Client) Register(mux *crlpeer.Mux) {
	mux.Register(MethodAsk, crlpeer.Typed(c.ServeAsk))
	mux.Register(MethodReturn, crlpeer.Typed(c.serveReturn))
	mux.Register(MethodRevoke, crlpeer.Typed(c.serveRevoke))
	mux.Register(MethodReportHeld, crlpeer.Typed(c.serveReportHeld))
}

// ServeAsk answers a holder as the home of the server.
func (c *Client) ServeAsk(ctx context.Context, ask Ask) (Grant, error) {
	var grant Grant
	err := c.config.Loop.Do(ctx, func() { grant = c.config.Home.Grant(ask, time.Now()) })
	if err == nil && grant.LapsedBy(time.Now()) {
		err = c.config.Loop.Do(ctx, func() { grant = c.config.Home.CancelGrant(ask.Server, grant, time.Now()) })
	}
	return grant, err
}

// Returns are permits given back in one call.
type ReturnBatch struct {
	Permits []Returned `json:"p"`
}

// Servers names servers in a call, with the term of the caller.
type ServerList struct {
	Term    crlid.Term     `json:"t"`
	Servers []crlid.Server `json:"s"`
}

// Told lists what a run holds.
type HeldPermits struct {
	Incarnation crlid.Incarnation           `json:"i"`
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
		klog.V(1).Infof("permit: revoke: %v", err)
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

// serveTell gives up what earlier homes granted and tells what is in use.
func (c *Client) serveReportHeld(ctx context.Context, s ServerList) (HeldPermits, error) {
	err := c.config.Loop.Do(ctx, func() { c.config.Home.Relinquish(s.Term, s.Servers) })
	if err != nil {
		return HeldPermits{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	told := HeldPermits{Incarnation: c.config.Self, Held: make(map[crlid.Server][]PermitID)}
	for _, server := range s.Servers {
		told.Held[server] = c.pool.ReportHeld(s.Term, server)
	}
	return told, nil
}

// Periods of the client's work beside its calls.
const (
	returnWindow   = 2 * time.Millisecond
	returnRetry    = 100 * time.Millisecond
	takeoverPeriod = 100 * time.Millisecond
)

// RunReturns gives permits back to their homes, several in a call, until ctx ends.
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
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendReturns makes one call to each home and keeps what did not arrive.
func (c *Client) sendReturns(ctx context.Context) bool {
	c.mu.Lock()
	back := c.pendingReturns
	c.pendingReturns = nil
	c.mu.Unlock()
	byHome := make(map[HomeInfo][]Returned)
	for _, r := range back {
		server, ok := c.config.Directory.Configured(r.Server)
		if !ok {
			continue
		}
		seat, _ := c.config.Directory.HomeOf(server)
		byHome[seat] = append(byHome[seat], r)
	}
	var calls sync.WaitGroup
	failed := make(chan []Returned, len(byHome))
	for seat, permits := range byHome {
		calls.Go(func() {
			if err := c.sendReturn(ctx, seat, permits); err != nil {
				failed <- permits
			}
		})
	}
	calls.Wait()
	close(failed)
	whole := true
	for permits := range failed {
		whole = false
		c.requeue(permits)
	}
	return whole
}

// keptReturns bounds the permits that wait for a home; what is beyond it counts as used until it can't be.
const maxPendingReturns = 16 << 10

func (c *Client) requeue(permits []Returned) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range permits[:min(len(permits), max(0, maxPendingReturns-len(c.pendingReturns)))] {
		c.queueReturn(r)
	}
}

// errNoHome is the cause when a permit can't be given back since no home is known.
var errNoAddress = errors.New("server has no home")

func (c *Client) sendReturn(ctx context.Context, seat HomeInfo, permits []Returned) error {
	switch seat.Incarnation {
	case "":
		return errNoAddress
	case c.config.Self:
		_, err := c.serveReturn(ctx, ReturnBatch{Permits: permits})
		return err
	}
	return c.config.Peers.Call(ctx, seat.Address, MethodReturn, ReturnBatch{Permits: permits}, &empty{})
}

// RunTakeovers asks every run that may hold permits of earlier homes until ctx ends.
func (c *Client) RunTakeovers(ctx context.Context) error {
	ticker := time.NewTicker(takeoverPeriod)
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

func (c *Client) takeOver(ctx context.Context) error {
	var waiting map[crlid.Incarnation][]crlid.Server
	var term crlid.Term
	err := c.config.Loop.Do(ctx, func() {
		waiting, term = c.config.Home.AwaitedHolders(time.Now()), c.config.Home.Term()
		for holder := range waiting {
			if c.config.Ended(holder) {
				c.config.Home.HolderEnded(holder, time.Now())
				delete(waiting, holder)
			}
		}
	})
	if err != nil {
		return err
	}
	var calls sync.WaitGroup
	for holder, servers := range waiting {
		calls.Go(func() { c.takeOverFrom(ctx, holder, ServerList{Term: term, Servers: servers}) })
	}
	calls.Wait()
	return nil
}

func (c *Client) takeOverFrom(ctx context.Context, holder crlid.Incarnation, s ServerList) {
	told, err := c.requestHeld(ctx, holder, s)
	var refused *crlpeer.Error
	ended := errors.As(err, &refused) && refused.Refused() || err == nil && told.Incarnation != holder
	if err != nil && !ended {
		return
	}
	_ = c.config.Loop.Do(ctx, func() {
		// The call was sent after this daemon knew of the run, so another run that answers proves its end.
		if ended {
			c.config.Home.HolderEnded(holder, time.Now())
			return
		}
		for server, held := range told.Held {
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
	var told HeldPermits
	err := c.config.Peers.Call(ctx, address, MethodReportHeld, s, &told)
	return told, err
}
