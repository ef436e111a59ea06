package crlanswer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Transport is an http.RoundTripper whose answers have well-formed heads and were not cut off.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that makes its requests with base, whose connections it wraps; base isn't used otherwise. Its errors may wrap a
// *[HeadError], or [syscall.ECONNRESET] for a connection whose end was none of an answer.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(inner), nil
	}
	return &Transport{base: base}
}

// RoundTrip makes one request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Context().Value(tracedKey{}) == nil {
		r = r.WithContext(WithTrace(r.Context(), new(httptrace.ClientTrace)))
	}
	return t.base.RoundTrip(r)
}

// tracedKey is the key of a context that WithTrace returned.
type tracedKey struct{}

// WithTrace returns a context with a trace for a single request, as [httptrace.WithClientTrace] does, and saves the cost of joining two traces at a
// [Transport], which has to follow the request too. It changes the trace's functions.
func WithTrace(ctx context.Context, trace *httptrace.ClientTrace) context.Context {
	var used atomic.Pointer[conn]
	gotConn, wroteRequest := trace.GotConn, trace.WroteRequest
	trace.GotConn = func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(interface{ checked() *conn }); ok {
			c.checked().begin()
			used.Store(c.checked())
		}
		if gotConn != nil {
			gotConn(info)
		}
	}
	trace.WroteRequest = func(info httptrace.WroteRequestInfo) {
		if c := used.Load(); c != nil {
			c.endRequest(info.Err)
		}
		if wroteRequest != nil {
			wroteRequest(info)
		}
	}
	return httptrace.WithClientTrace(context.WithValue(ctx, tracedKey{}, true), trace)
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// earlyEndWait is how long an end of a connection that comes before its request was written waits for the write to fail. A host whose process has gone
// replies to the next bytes with a reset, within a round trip.
const earlyEndWait = 300 * time.Millisecond

// conn is a connection whose answers are checked.
type conn struct {
	net.Conn
	writing chan struct{} // holds a token while a write is in progress
	mu      sync.Mutex    // guards the fields below
	used    bool          // whether a request was made on it
	head    headChecker   // of the answer to the request in progress
	written chan struct{} // closed when that request was written or its write failed; nil before the first one
	failed  error         // of the first write of that request that failed
}

// addressableConn is a conn whose socket options can be read.
type addressableConn struct {
	*conn
	syscall.Conn
}

// newConn returns a conn, which is a syscall.Conn too if inner is one.
func newConn(inner net.Conn) net.Conn {
	c := &conn{Conn: inner, writing: make(chan struct{}, 1)}
	if raw, ok := inner.(syscall.Conn); ok {
		return &addressableConn{conn: c, Conn: raw}
	}
	return c
}

// checked returns the connection itself, for those that embed it.
func (c *conn) checked() *conn { return c }

// begin starts the exchange of a request. net/http uses a connection for one at a time, and calls this before it writes the request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used {
		c.head = headChecker{} // What a server sends on a new connection before it gets a request is part of the first answer.
	}
	c.used, c.written, c.failed = true, make(chan struct{}), nil
}

// endRequest records that the request was written, or why not. net/http may report the write of a request that it repeats on another connection after it
// has got that one.
func (c *conn) endRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
	select {
	case <-c.written:
	default:
		close(c.written)
	}
}

// fail records the error of a write; the caller holds mu.
func (c *conn) fail(err error) {
	if c.failed == nil {
		c.failed = err
	}
}

// Write writes b and records an error.
func (c *conn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.fail(err)
	}
	return n, err
}

// Read reads into b. It fails with a *[HeadError] if the answer's head is none, and instead of [io.EOF] with an error if the connection was not ended by
// its peer in order.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	headErr := c.head.check(b[:n])
	c.mu.Unlock()
	if headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		err = c.judgeEnd()
	}
	return n, err
}

// judgeEnd returns io.EOF if the peer has ended the connection in order, or an error if the request's write failed or fails soon.
func (c *conn) judgeEnd() error {
	timer := time.NewTimer(earlyEndWait)
	defer timer.Stop()
	// A reset that a write was told of is on record once that write has returned, also if the request counts as written: its last bytes are written later.
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-timer.C:
		return io.EOF // The peer's host is there, as nothing has reset the write.
	}
	c.mu.Lock()
	written, failed := c.written, c.failed
	c.mu.Unlock()
	if failed == nil && written != nil {
		select {
		case <-written:
		case <-timer.C:
		}
		c.mu.Lock()
		failed = c.failed
		c.mu.Unlock()
	}
	if failed != nil {
		return fmt.Errorf("connection ended while the request was written (%w): %w", failed, syscall.ECONNRESET)
	}
	return io.EOF
}
