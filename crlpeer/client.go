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
	ConnectTimeout time.Duration // ConnectTimeout bounds the wait for a connection.
	CallTimeout    time.Duration // CallTimeout bounds one call.
	Dial           Dial          // Dial opens connections; nil means TCP.
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls peers, over one connection each.
type Client struct {
	config      ClientConfig
	mu          sync.Mutex // mu guards peers.
	connections map[string]*clientConn
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	if config.Dial == nil {
		config.Dial = new(net.Dialer).DialContext
	}
	return &Client{config: config, connections: make(map[string]*clientConn)}
}

// peer is the connection to one address.
type clientConn struct {
	rpc        *jsonrpc2.Conn
	writeToken chan struct{} // sending holds a token while a call is written, since the connection's own lock heeds no deadline.
	lastReply  atomic.Int64  // replied is the time of the last reply in nanoseconds of the Unix epoch.
}

// Call sends params to a method of the peer and fills result, or returns an *Error.
func (c *Client) Call(ctx context.Context, address string, method Method, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	began := time.Now()
	p, err := c.connect(ctx, address)
	if err != nil {
		return &Error{Address: address, Method: string(method), Err: err}
	}
	err = p.call(ctx, method, params, result)
	var replied *jsonrpc2.Error
	if err == nil || errors.As(err, &replied) {
		p.lastReply.Store(time.Now().UnixNano())
	} else if p.unresponsive(ctx, began) {
		c.discard(address, p)
	}
	if err != nil {
		return &Error{Address: address, Method: string(method), Err: err}
	}
	return nil
}

// call writes one call and waits for its reply.
func (p *clientConn) call(ctx context.Context, method Method, params, result any) error {
	select {
	case p.writeToken <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	waiter, err := p.rpc.DispatchCall(ctx, string(method), params)
	<-p.writeToken
	if err != nil {
		return err
	}
	return waiter.Wait(ctx, result)
}

// silent reports whether the connection is broken or had no reply to any call since a moment.
func (p *clientConn) unresponsive(ctx context.Context, began time.Time) bool {
	return ctx.Err() == nil || p.lastReply.Load() < began.UnixNano()
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.connections {
		_ = p.rpc.Close()
		delete(c.connections, address)
	}
}

func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	p, ok := c.connections[address]
	c.mu.Unlock()
	if ok {
		return p, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	socket, err := c.config.Dial(dialCtx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.store(address, socket), nil
}

// keep stores a new connection unless another call was faster.
func (c *Client) store(address string, socket net.Conn) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.connections[address]; ok {
		_ = socket.Close()
		return p
	}
	stream := jsonrpc2.NewPlainObjectStream(&deadlineConn{Conn: socket, timeout: c.config.CallTimeout})
	// The connection outlives the call that opened it.
	rpc := jsonrpc2.NewConn(context.Background(), stream, ignoreCalls{}, discardLog())
	p := &clientConn{rpc: rpc, writeToken: make(chan struct{}, 1)}
	c.connections[address] = p
	return p
}

func (c *Client) discard(address string, p *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[address] == p {
		delete(c.connections, address)
	}
	_ = p.rpc.Close()
}

// deadlineConn bounds each write, so that a peer that reads nothing blocks no other call.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write sends b or fails when the peer takes nothing for too long.
func (d *deadlineConn) Write(b []byte) (int, error) {
	if err := d.SetWriteDeadline(time.Now().Add(d.timeout)); err != nil {
		return 0, err
	}
	return d.Conn.Write(b)
}

// refuseCalls ignores calls that arrive on a connection of a client.
type ignoreCalls struct{}

// Handle ignores the call.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
