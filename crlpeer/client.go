package crlpeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	ConnectTimeout time.Duration // for opening a connection
	CallTimeout    time.Duration // for one call, including the time to connect
	// TransferTimeout is for a call whose reply is arriving when the CallTimeout ends: such a call goes on while no more than the
	// CallTimeout passes without a byte on its connection. If zero, it doesn't. It is for clients with one call at a time to each peer, as any reply counts.
	TransferTimeout time.Duration
	Dial            Dial // opens connections; nil for TCP
}

// Dial opens a connection to an address, as [net.Dialer.DialContext] does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls peers, over one connection to each address. It may be used by several goroutines.
type Client struct {
	config      ClientConfig
	mu          sync.Mutex             // guards connections
	connections map[string]*clientConn // by address
}

// NewClient returns a Client without connections; the caller closes it.
func NewClient(config ClientConfig) *Client {
	if config.Dial == nil {
		config.Dial = new(net.Dialer).DialContext
	}
	return &Client{config: config, connections: make(map[string]*clientConn)}
}

// clientConn is the connection to one address.
type clientConn struct {
	rpc        *jsonrpc2.Conn
	socket     *countingConn
	writeToken chan struct{} // holds a token while a call is written; unlike the lock of rpc, a wait for it ends with the context
	lastReply  atomic.Int64  // time of the last reply, in nanoseconds since the Unix epoch
}

// Call sends params to a method of the peer and decodes the reply into result. It takes at most the CallTimeout, or the TransferTimeout
// while a reply arrives; its errors are of type [*Error]. After a failure it closes the connection if that broke, or if the peer has replied to no call since this one
// began.
func (c *Client) Call(ctx context.Context, address string, method Method, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, max(c.config.CallTimeout, c.config.TransferTimeout))
	defer cancel()
	start := time.Now()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return &Error{Address: address, Method: string(method), Err: err}
	}
	received := conn.socket.received.Load()
	conn.socket.watchReply(ctx, received)
	ctx, stop := conn.socket.withStallTimeout(ctx, c.config.CallTimeout, start)
	err = conn.call(ctx, method, params, result)
	broken := ctx.Err() == nil
	if err != nil && !broken {
		err = context.Cause(ctx)
	}
	stop()
	var errorReply *jsonrpc2.Error
	if err == nil || errors.As(err, &errorReply) {
		conn.lastReply.Store(time.Now().UnixNano())
	} else if conn.unresponsive(broken, start) {
		c.discard(address, conn)
	}
	if err != nil {
		return &Error{Address: address, Method: string(method), Err: err, Received: conn.socket.received.Load() - received}
	}
	return nil
}

// call writes one call and waits for its reply, until ctx ends.
func (conn *clientConn) call(ctx context.Context, method Method, params, result any) error {
	select {
	case conn.writeToken <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	waiter, err := conn.rpc.DispatchCall(ctx, string(method), params)
	<-conn.writeToken
	if err != nil {
		return err
	}
	return waiter.Wait(ctx, result)
}

// unresponsive reports, after a failed call, whether the connection should be given up: it broke before the deadline of the call,
// or the peer has replied to no call since this one began.
func (conn *clientConn) unresponsive(broken bool, start time.Time) bool {
	return broken || conn.lastReply.Load() < start.UnixNano()
}

// Close closes every connection; calls that wait for a reply fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.connections {
		_ = conn.rpc.Close()
		delete(c.connections, address)
	}
}

// connect returns the connection to the address, which it opens if there is none.
func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	conn, ok := c.connections[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	socket, err := c.config.Dial(dialCtx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.store(address, socket), nil
}

// store keeps a new connection and returns it. If a concurrent call has stored a connection to the address, store closes the new
// one and returns that of the other call.
func (c *Client) store(address string, socket net.Conn) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.connections[address]; ok {
		_ = socket.Close()
		return conn
	}
	counting := &countingConn{Conn: &deadlineConn{Conn: socket, timeout: c.config.CallTimeout}}
	// The connection outlives the call that opened it.
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(counting), ignoreCalls{}, discardLog())
	conn := &clientConn{rpc: rpc, socket: counting, writeToken: make(chan struct{}, 1)}
	c.connections[address] = conn
	return conn
}

// discard closes a connection, and removes it from the client unless another has replaced it.
func (c *Client) discard(address string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[address] == conn {
		delete(c.connections, address)
	}
	_ = conn.rpc.Close()
}

// countingConn counts the bytes that a connection brings.
type countingConn struct {
	net.Conn
	received atomic.Int64
	lastRead atomic.Int64 // time of the latest bytes, in nanoseconds since the Unix epoch
}

// Read reads into b and counts what it got.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Add(int64(n))
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// withStallTimeout returns a context that ends when, since start, no byte has come on the connection for the given time. stop must be
// called at the end of its use.
func (c *countingConn) withStallTimeout(parent context.Context, timeout time.Duration, start time.Time) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	var timer *time.Timer
	check := func() {
		latest := max(c.lastRead.Load(), start.UnixNano())
		if left := time.Until(time.Unix(0, latest).Add(timeout)); left > 0 {
			timer.Reset(left)
			return
		}
		cancel(context.DeadlineExceeded)
	}
	// check uses timer, so the timer must not fire before it is set.
	timer = time.AfterFunc(longestStall, check)
	timer.Reset(max(time.Until(start.Add(timeout)), time.Nanosecond))
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// longestStall is longer than the CallTimeout of any client.
const longestStall = time.Hour

// deadlineConn limits the duration of writes, so that a peer that doesn't read can't block other calls for long.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// writeChunkBytes is the part of a write that must be accepted within the timeout.
const writeChunkBytes = 64 << 10

// Write writes b, or fails if a part of writeChunkBytes takes longer than the timeout.
func (d *deadlineConn) Write(b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		if err := d.SetWriteDeadline(time.Now().Add(d.timeout)); err != nil {
			return written, err
		}
		var n int
		n, err = d.Conn.Write(b[written:min(written+writeChunkBytes, len(b))])
		written += n
	}
	return written, err
}

// ignoreCalls drops calls that a peer sends on a connection that a Client opened; only the client side makes calls.
type ignoreCalls struct{}

// Handle drops the call without a reply.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
