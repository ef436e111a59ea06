package crlconn

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// Closed describes a connection that this process closed after bytes of a request had arrived and before any byte of the answer
// was written.
type Closed struct {
	Remote    string        // address of the caller
	Age       time.Duration // time since the connection was accepted
	Waited    time.Duration // time since the first byte of the request arrived
	ReadBytes int64         // bytes of the request that were read
	Answers   int           // requests that were answered on the connection before
}

// Config configures a Tracker.
type Config struct {
	OnUnanswered func(Closed) // called for each connection that is closed without an answer to a request; nil for none
	// StallTimeout is the time after which a write fails that makes no progress, because the caller doesn't read; 0 for no limit. The connection
	// is then reset, so that the caller can't take the answer for complete.
	StallTimeout time.Duration
	OnStalled    func(Stalled) // called for each connection whose write fails for that reason; nil for none
}

// Stalled describes a connection whose caller doesn't read its answer.
type Stalled struct {
	Remote       string        // address of the caller
	Age          time.Duration // time since the connection was accepted
	WrittenBytes int64         // bytes of the answer that were written
}

// Tracker tracks the connections of one http.Server. It is safe for concurrent use.
type Tracker struct {
	config Config
	mu     sync.Mutex // guards open
	open   map[*conn]struct{}
}

// Stats describes a connection at one moment.
type Stats struct {
	Age          time.Duration // time since the connection was accepted
	Answers      int           // requests that were answered on the connection before the open one
	WrittenBytes int64         // bytes of the open request's answer that were written
}

// contextKey is the key of the connection in the contexts of its requests.
type contextKey struct{}

// StatsOf returns the state of the connection that a request arrived on, given the request's context; ok is false if no Tracker
// tracks the connection.
func StatsOf(ctx context.Context) (stats Stats, ok bool) {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return Stats{}, false
	}
	return c.stats(), true
}

// New returns a Tracker of the connections of a server. It sets the server's ConnState and ConnContext and wraps its Handler. The
// server must serve on a listener that the Tracker's Listener method returned.
func New(config Config, server *http.Server) *Tracker {
	t := &Tracker{config: config, open: make(map[*conn]struct{})}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if tracked, ok := c.(*conn); ok && state == http.StateIdle {
			tracked.recordAnswer()
		}
	}
	server.Handler = trackHandler(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) }
	return t
}

// trackHandler returns a handler that tells its request's connection when it begins. The connection learns from the server when the answer was
// written, which is after the handler has returned.
func trackHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
			c.beginServing()
		}
		next.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener { return &listener{Listener: l, tracker: t} }

// listener is a net.Listener whose connections are tracked.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept waits for the next connection and tracks it.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, tracker: l.tracker, acceptedAt: time.Now()}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.open[c] = struct{}{}
	return c, nil
}

// Drain closes connections on which no request has begun, and waits until the others have answered theirs, until ctx ends. It
// returns nil if no connection is left. The listener must be closed before.
//
// Unlike http.Server.Shutdown, it never closes a connection whose request was read without an answer.
func (t *Tracker) Drain(ctx context.Context) error {
	for {
		open := 0
		for _, c := range t.snapshot() {
			if !c.closeIfQuiet() {
				open++
			}
		}
		if open == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("drain %d connections with open requests: %w", open, ctx.Err())
		}
		crlclock.Sleep(ctx, drainInterval)
	}
}

// drainInterval is the time between two attempts of Drain to close the connections that are left.
const drainInterval = 20 * time.Millisecond

// snapshot returns the connections that are open now.
func (t *Tracker) snapshot() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.open))
}

// remove stops tracking a connection and reports whether it was tracked.
func (t *Tracker) remove(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.open[c]
	delete(t.open, c)
	return ok
}
