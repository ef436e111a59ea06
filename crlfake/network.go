package crlfake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Node names a process on a Network.
type Node string

// NetworkConfig configures a Network.
type NetworkConfig struct {
	Latency time.Duration // Latency is the time that a write takes to arrive.
}

// Network connects processes of a test in memory, with pauses, deaths and cut links.
//
// Its sockets are pipes, so that tests can run whole daemons under synctest. A
// paused node neither reads nor writes; a cut link holds what was written to it,
// as a network that drops packets does, until it is healed or the socket ends.
type Network struct {
	config    NetworkConfig
	mu        sync.Mutex // mu guards the fields below.
	listeners map[string]*pipeListener
	paused    map[Node]bool
	killed    map[Node]bool
	cuts      map[[2]Node]bool
	sockets   map[*socket]struct{}
	changed   chan struct{} // changed is closed and replaced when a pause or a cut changes.
}

// errRefused is the cause of a dial to an address on which nobody listens.
var errRefused error = syscall.ECONNREFUSED

// errReset is the cause of calls on a socket whose process died.
var errReset = errors.New("connection reset")

// NewNetwork returns a network without nodes.
func NewNetwork(config NetworkConfig) *Network {
	return &Network{
		config: config, listeners: make(map[string]*pipeListener), paused: make(map[Node]bool),
		killed: make(map[Node]bool), cuts: make(map[[2]Node]bool), sockets: make(map[*socket]struct{}),
		changed: make(chan struct{}),
	}
}

// Listen opens an address for a node.
func (n *Network) Listen(node Node, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("listen on %s: address in use", address)
	}
	l := &pipeListener{network: n, node: node, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns the function with which a node opens connections.
func (n *Network) Dialer(node Node) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, node, address) }
}

// Pause stops a node from reading and writing until Resume.
func (n *Network) Pause(node Node) { n.change(func() { n.paused[node] = true }) }

// Resume lets a paused node go on.
func (n *Network) Resume(node Node) { n.change(func() { delete(n.paused, node) }) }

// Cut holds everything between two nodes until Heal.
func (n *Network) Cut(a, b Node) { n.change(func() { n.cuts[link(a, b)] = true }) }

// Heal lets a cut link carry again.
func (n *Network) Heal(a, b Node) { n.change(func() { delete(n.cuts, link(a, b)) }) }

// Kill ends every socket of a node at once; the node can't open others.
func (n *Network) Kill(node Node) {
	n.change(func() {
		n.killed[node] = true
		for s := range n.sockets {
			if s.node == node || s.peer == node {
				s.reset()
			}
		}
		for _, l := range n.listeners {
			if l.node == node {
				l.closeLocked()
			}
		}
	})
}

// Close ends every socket.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.sockets {
		s.reset()
	}
}

func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// link returns the key of a link whatever its direction.
func link(a, b Node) [2]Node { return [2]Node{min(a, b), max(a, b)} }

func (n *Network) dial(ctx context.Context, node Node, address string) (net.Conn, error) {
	for {
		l, wait, err := n.findListener(node, address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		if wait == nil {
			return n.connect(ctx, node, l)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
		}
	}
}

// look returns the listener, or a channel to wait on while the link carries nothing.
func (n *Network) findListener(node Node, address string) (*pipeListener, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed[node] {
		return nil, nil, errReset
	}
	l, ok := n.listeners[address]
	if !ok {
		return nil, nil, errRefused
	}
	if n.blocked(node, l.node) {
		return nil, n.changed, nil
	}
	return l, nil, nil
}

// held reports whether a link carries nothing; the caller holds mu.
func (n *Network) blocked(a, b Node) bool { return n.paused[a] || n.cuts[link(a, b)] }

func (n *Network) connect(ctx context.Context, node Node, l *pipeListener) (net.Conn, error) {
	near, far := net.Pipe()
	client := n.newSocket(near, node, l.node)
	server := n.newSocket(far, l.node, node)
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		client.reset()
		server.reset()
		return nil, fmt.Errorf("dial %s: %w", l.address, errRefused)
	case <-ctx.Done():
		client.reset()
		server.reset()
		return nil, fmt.Errorf("dial %s: %w", l.address, ctx.Err())
	}
}

func (n *Network) newSocket(pipe net.Conn, node, peer Node) *socket {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &socket{
		Conn: pipe, network: n, node: node, peer: peer, closed: make(chan struct{}),
		ready: make(chan struct{}, 1), drained: make(chan struct{}, 1),
	}
	n.sockets[s] = struct{}{}
	go s.pump()
	return s
}

// gate waits until the process runs, or for the network until the link carries, or the socket is closed.
func (n *Network) waitUntilUnblocked(s *socket, process bool) error {
	for {
		n.mu.Lock()
		held, changed := n.cuts[link(s.node, s.peer)], n.changed
		if process {
			held = n.paused[s.node]
		}
		n.mu.Unlock()
		if !held {
			return nil
		}
		select {
		case <-changed:
		case <-s.closed:
			return errReset
		}
	}
}

func (n *Network) remove(s *socket) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sockets, s)
}

// pipeListener accepts what nodes dial.
type pipeListener struct {
	network  *Network
	node     Node
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (l *pipeListener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closeLocked()
	return nil
}

// shut frees the address; the caller holds the network's mu.
func (l *pipeListener) closeLocked() {
	l.once.Do(func() { close(l.closed) })
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
}

// Addr returns the address.
func (l *pipeListener) Addr() net.Addr { return pipeAddress(l.address) }

// pipeAddress is an address on a Network.
type pipeAddress string

// Network returns the kind of the address.
func (pipeAddress) Network() string { return "pipe" }

// String returns the address.
func (a pipeAddress) String() string { return string(a) }

// socketBufferBytes bounds what a socket holds for the network, as the buffer of a kernel does.
const socketBufferBytes = 256 << 10

// socket is one end of a connection.
type socket struct {
	net.Conn
	network    *Network
	node, peer Node
	closed     chan struct{}
	once       sync.Once
	mu         sync.Mutex // mu guards buffer and closing.
	buffer     []byte
	closing    bool
	ready      chan struct{} // wake has a signal for the pump.
	drained    chan struct{} // drained has a signal for a writer that waits for room.
}

// Read waits for data and for the process to run.
func (s *socket) Read(p []byte) (int, error) {
	if err := s.network.waitUntilUnblocked(s, true); err != nil {
		return 0, err
	}
	count, err := s.Conn.Read(p)
	if gateErr := s.network.waitUntilUnblocked(s, true); gateErr != nil {
		return 0, gateErr
	}
	return count, err
}

// Write waits for the process to run and hands data to the network, which delivers it later.
func (s *socket) Write(p []byte) (int, error) {
	if err := s.network.waitUntilUnblocked(s, true); err != nil {
		return 0, err
	}
	for !s.put(p) {
		select {
		case <-s.drained:
		case <-s.closed:
			return 0, errReset
		}
	}
	return len(p), nil
}

// put keeps data for the pump unless the buffer is full.
func (s *socket) put(p []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer) > 0 && len(s.buffer)+len(p) > socketBufferBytes {
		return false
	}
	s.buffer = append(s.buffer, p...)
	signal(s.ready)
	return true
}

// take removes what is buffered and reports whether the socket is closing.
func (s *socket) take() (data []byte, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, s.buffer = s.buffer, nil
	signal(s.drained)
	return data, s.closing
}

// pump delivers what is written, after the latency and while the link carries.
func (s *socket) pump() {
	defer s.network.remove(s)
	defer s.reset()
	for {
		data, closing := s.take()
		if len(data) == 0 && closing {
			return
		}
		if len(data) > 0 && s.deliver(data) != nil {
			return
		}
		if len(data) > 0 {
			continue
		}
		select {
		case <-s.ready:
		case <-s.closed:
			return
		}
	}
}

func (s *socket) deliver(data []byte) error {
	select {
	case <-time.After(s.network.config.Latency):
	case <-s.closed:
		return errReset
	}
	if err := s.network.waitUntilUnblocked(s, false); err != nil {
		return err
	}
	_, err := s.Conn.Write(data)
	return err
}

// Close ends the connection once what was written is delivered.
func (s *socket) Close() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	signal(s.ready)
	_ = s.SetReadDeadline(time.Unix(1, 0))
	return nil
}

func (s *socket) reset() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.Conn.Close()
	})
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
