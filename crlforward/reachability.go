package crlforward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crllog"
)

// EventCutOff is logged when this VM finds that it opens no connection to any backend server, and when it does again.
const EventCutOff crllog.Event = "cut-off"

const (
	// minUnreachable is the number of servers to which connections must have failed, with none opened in between, before the VM counts as
	// cut off.
	minUnreachable = 2
	// reachCheckInterval is the time between two connections that are opened to see whether the VM is still cut off.
	reachCheckInterval = 250 * time.Millisecond
)

// reachability tells whether this VM is cut off from all backend servers: connections to several have failed since the last one that was opened.
// Servers that are down look the same from one VM; what the routers answer that requests are handed over to tells these apart.
type reachability struct {
	now       crlclock.Clock
	addresses func() []string // of all servers
	probe     Probe
	log       *crllog.Logger
	suspected atomic.Bool     // whether failed has an element, so that most connections need no lock
	cutOff    atomic.Bool     // whether the VM counts as cut off
	mu        sync.Mutex      // guards the fields below
	failed    map[string]bool // addresses of servers to which connections have failed since one was opened
	checkedAt crlclock.Instant
}

// recordConnected records that a connection to a server was opened.
func (r *reachability) recordConnected() {
	if !r.suspected.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.failed)
	r.suspected.Store(false)
	if r.cutOff.Swap(false) {
		r.log.Event(EventCutOff, slog.Bool("cut-off", false))
	}
}

// recordFailed records that a connection to a server could not be opened.
func (r *reachability) recordFailed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failed) < minUnreachable {
		r.failed[address] = true
		r.suspected.Store(true)
	}
	if len(r.failed) >= minUnreachable && !r.cutOff.Swap(true) {
		r.checkedAt = r.now()
		r.log.Event(EventCutOff, slog.Bool("cut-off", true))
	}
}

// isCutOff reports whether the VM counts as cut off. If so it checks in the background, from time to time, whether that is still true.
func (r *reachability) isCutOff(ctx context.Context) bool {
	if !r.cutOff.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.now(); now.Sub(r.checkedAt) >= reachCheckInterval {
		r.checkedAt = now
		go r.check(context.WithoutCancel(ctx))
	}
	return r.cutOff.Load()
}

// check opens a connection to a random server.
func (r *reachability) check(ctx context.Context) {
	addresses := r.addresses()
	if len(addresses) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if r.probe(ctx, addresses[rand.IntN(len(addresses))]) == nil {
		r.recordConnected()
	}
}
