package crlbill

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
)

// Periods and bounds of a courier.
const (
	sendWindow        = 20 * time.Millisecond // courierWindow gathers what peers are told.
	livenessPeriod    = 5 * time.Second       // alivePeriod is well below goneAfter.
	failedPeerBackoff = 5 * time.Second       // peerPause is how long a peer that failed is asked last.
	wantedHolders     = 2
	maxUnsentEntries  = 16 << 10 // courierEntries bounds what waits to be told.
)

// courier tells two peers what a daemon owes the log.
type holdSender struct {
	config LedgerConfig

	mu        sync.Mutex // mu guards the fields below.
	next      HoldRequest
	waiters   []chan struct{}        // waiting is closed once peers hold the bills of next.
	uncounted map[crlid.Request]Bill // owed holds what the log has not shown yet; peers hear it again, since holders die too.
	wake      chan struct{}

	// The fields below belong to run.
	domains     map[crlid.Daemon]crlid.Domain
	lastFailure map[crlid.Daemon]time.Time
	holders     map[crlid.Daemon]crlid.Incarnation // told holds the peers that may hold something of this daemon.
	holderLost  bool                               // lost is true once such a peer failed or was replaced.
}

func newHoldSender(config LedgerConfig) *holdSender {
	return &holdSender{
		config: config, wake: make(chan struct{}, 1),
		domains: make(map[crlid.Daemon]crlid.Domain), lastFailure: make(map[crlid.Daemon]time.Time),
		holders: make(map[crlid.Daemon]crlid.Incarnation), uncounted: make(map[crlid.Request]Bill),
	}
}

func (c *holdSender) openRequest(bill Bill) {
	c.update(func() { c.next.Open = appendBounded(c.next.Open, bill) })
}

func (c *holdSender) closeRequest(request crlid.Request) {
	c.update(func() { c.next.Closed = appendBounded(c.next.Closed, request) })
}

// hold asks peers to hold a bill; the result is closed once two do.
func (c *holdSender) requestHold(bill Bill) <-chan struct{} {
	done := make(chan struct{})
	c.update(func() {
		if len(c.next.Bills) < maxUnsentEntries {
			c.next.Bills = append(c.next.Bills, bill)
			c.waiters = append(c.waiters, done)
			if len(c.uncounted) < maxHeldBills {
				c.uncounted[bill.Request] = bill
			}
		}
	})
	return done
}

// counted forgets the bills that the fold has counted.
func (c *holdSender) dropCounted(whole func(crlid.Request) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request := range c.uncounted {
		if whole(request) {
			delete(c.uncounted, request)
		}
	}
}

// repeat puts every bill that is still owed into the next holding.
func (c *holdSender) requeueUncounted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := make(map[crlid.Request]bool, len(c.next.Bills))
	for _, b := range c.next.Bills {
		waiting[b.Request] = true
	}
	for request, bill := range c.uncounted {
		if !waiting[request] {
			c.next.Bills = appendBounded(c.next.Bills, bill)
		}
	}
}

// appendBounded leaves out what exceeds the bound: a peer then learns it late or not at all.
func appendBounded[T any](list []T, element T) []T {
	if len(list) >= maxUnsentEntries {
		return list
	}
	return append(list, element)
}

func (c *holdSender) update(change func()) {
	c.mu.Lock()
	change()
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *holdSender) takeNext() (HoldRequest, []chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	holding, waiting := c.next, c.waiters
	c.next, c.waiters = HoldRequest{}, nil
	holding.From = c.config.Incarnation
	return holding, waiting
}

// putBack keeps bills that no two peers took for the next try.
func (c *holdSender) requeue(holding HoldRequest, waiting []chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next.Bills = append(holding.Bills, c.next.Bills...)
	c.waiters = append(waiting, c.waiters...)
}

// run tells peers what is new, and now and then that this daemon lives, until ctx ends.
func (c *holdSender) run(ctx context.Context) error {
	alive := time.NewTicker(livenessPeriod)
	defer alive.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		case <-alive.C:
			if c.holderLost {
				c.requeueUncounted()
			}
			c.holderLost = false
		}
		if crlclock.Sleep(ctx, sendWindow); ctx.Err() != nil {
			return ctx.Err()
		}
		c.sendNext(ctx)
	}
}

func (c *holdSender) sendNext(ctx context.Context) {
	holding, waiting := c.takeNext()
	if c.sendToPeers(ctx, holding) {
		for _, done := range waiting {
			close(done)
		}
		return
	}
	if len(holding.Bills) == 0 {
		return
	}
	c.requeue(holding, waiting)
	if crlclock.Sleep(ctx, 10*sendWindow); ctx.Err() == nil {
		c.update(func() {})
	}
}

// spread gives a holding to peers until enough hold it, and reports whether they do.
//
// Peers that were told something before learn what is closed and that this daemon lives.
func (c *holdSender) sendToPeers(ctx context.Context, holding HoldRequest) bool {
	held, candidates := 0, c.candidates()
	wanted := min(wantedHolders, len(candidates))
	for _, peer := range candidates {
		switch {
		case held < wanted:
			if c.sendToPeer(ctx, peer, holding) {
				held++
			}
		case c.holders[peer] != "":
			c.sendToPeer(ctx, peer, HoldRequest{From: holding.From, Closed: holding.Closed})
		}
	}
	return held == wanted && wanted > 0
}

// give hands a holding to a peer and reports whether the peer holds it.
func (c *holdSender) sendToPeer(ctx context.Context, peer crlid.Daemon, holding HoldRequest) bool {
	before := c.holders[peer]
	receipt, err := c.config.HoldClient.Hold(ctx, peer, holding)
	if err != nil {
		klog.V(1).Infof("bill: %s holds nothing: %v", peer, err)
		c.lastFailure[peer] = time.Now()
		c.holderLost = c.holderLost || before != ""
		return false
	}
	c.holderLost = c.holderLost || before != "" && before != receipt.Incarnation
	if before != "" || len(holding.Open)+len(holding.Bills) > 0 {
		c.holders[peer] = receipt.Incarnation
	}
	delete(c.lastFailure, peer)
	c.domains[peer] = receipt.Domain
	return receipt.Held
}

// candidates returns the peers: those of other failure domains first, those that failed a moment ago last.
func (c *holdSender) candidates() []crlid.Daemon {
	peers := crljournal.Rendezvous(string(c.config.Incarnation), c.config.Peers())
	rank := func(peer crlid.Daemon) int {
		switch domain, known := c.domains[peer]; {
		case time.Since(c.lastFailure[peer]) < failedPeerBackoff:
			return 2
		case known && domain == c.config.Domain:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(peers, func(a, b crlid.Daemon) int { return rank(a) - rank(b) })
	return peers
}
