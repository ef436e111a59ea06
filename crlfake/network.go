package crlfake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// Node is the name of a process on a Network.
type Node string

// NetworkConfig configures a Network.
type NetworkConfig struct {
	Latency time.Duration // time until written data arrives
	// BytesPerSecond returns the rate of a node's link, in each direction, 0 for one without limit. All sockets of a node share its link. Nil
	// stands for links without limit.
	BytesPerSecond func(Node) float64
}

// Network connects the nodes (processes) of a test in memory. Nodes can be paused and killed, and links can be cut.
//
// Its sockets are pipes, so that tests can run whole daemons under synctest. A paused node neither reads nor writes. A cut
// link delays written data until it is healed or the socket is closed, as TCP retransmits on a network that drops packets.
// All methods may be called concurrently.
type Network struct {
	config    NetworkConfig
	mu        sync.Mutex // guards the fields below
	listeners map[string]*pipeListener
	paused    map[Node]bool
	killed    map[Node]bool
	cuts      map[[2]Node]bool // links that are cut, by the key that the function link returns
	sockets   map[*socket]struct{}
	linkFree  map[direction]time.Time // when what was sent so far has passed the link
	changed   chan struct{}           // closed and replaced when a node is paused, resumed or killed or a link is cut or healed
}

// errRefused is the cause of a failed dial to an address on which no node listens.
var errRefused error = syscall.ECONNREFUSED

// errReset is the cause of failed calls on a socket that was reset, and of dials by a killed node.
var errReset = errors.New("connection reset")

// NewNetwork returns a network without listeners.
func NewNetwork(config NetworkConfig) *Network {
	return &Network{
		config: config, listeners: make(map[string]*pipeListener), paused: make(map[Node]bool),
		killed: make(map[Node]bool), cuts: make(map[[2]Node]bool), sockets: make(map[*socket]struct{}),
		linkFree: make(map[direction]time.Time), changed: make(chan struct{}),
	}
}

// Listen starts a listener of a node. An address has at most one listener.
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

// Dialer returns the function with which a node opens connections. It ignores the network argument.
func (n *Network) Dialer(node Node) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, node, address) }
}

// Pause stops a node from reading, writing and dialling until Resume.
func (n *Network) Pause(node Node) { n.change(func() { n.paused[node] = true }) }

// Resume ends a pause.
func (n *Network) Resume(node Node) { n.change(func() { delete(n.paused, node) }) }

// Cut stops the delivery of data between two nodes, and dials between them, until Heal.
func (n *Network) Cut(a, b Node) { n.change(func() { n.cuts[link(a, b)] = true }) }

// Heal ends a cut; data written meanwhile is delivered.
func (n *Network) Heal(a, b Node) { n.change(func() { delete(n.cuts, link(a, b)) }) }

// Kill closes every socket and listener of a node at once and fails its later dials.
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

// Close closes every socket.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.sockets {
		s.reset()
	}
}

// change applies a change of the state under mu and notifies those who wait for one.
func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// direction is one direction of a node's link.
type direction struct {
	node     Node
	outbound bool
}

// transmit returns the moment at which data of the given size has passed the sender's link and then the receiver's, after all that was
// sent before.
func (n *Network) transmit(from, to Node, size int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.pass(direction{node: from, outbound: true}, time.Now(), size)
	return n.pass(direction{node: to}, sent, size)
}

// Transmit waits until data of the given size has passed the links of both nodes, or until ctx ends, whose error it returns. It reports
// each part to the stall time-out of ctx. It is for tests that carry some messages outside of sockets.
func (n *Network) Transmit(ctx context.Context, from, to Node, size int) error {
	for size > 0 && ctx.Err() == nil {
		segment := min(size, segmentBytes)
		crlclock.Sleep(ctx, time.Until(n.transmit(from, to, segment)))
		size -= segment
		crlclock.Progress(ctx)
	}
	return ctx.Err()
}

// pass queues data at one direction of a link and returns when it has passed. The caller holds mu.
func (n *Network) pass(d direction, at time.Time, size int) time.Time {
	rate := 0.0
	if n.config.BytesPerSecond != nil {
		rate = n.config.BytesPerSecond(d.node)
	}
	if rate == 0 {
		return at
	}
	if free := n.linkFree[d]; free.After(at) {
		at = free
	}
	at = at.Add(time.Duration(float64(size) / rate * float64(time.Second)))
	n.linkFree[d] = at
	return at
}

// link returns the key of the link between two nodes, in whichever order they are given.
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

// findListener returns the listener at an address. While the dialling node is paused or the link is cut, it returns a channel
// instead, which is closed when the state of the network changes.
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

// blocked reports whether node a is paused or its link to node b is cut; the caller holds mu.
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

// waitUntilUnblocked waits while the socket's node is paused, if forPause is true, or while the socket's link is cut, if
// forPause is false. It returns errReset once the socket is reset.
func (n *Network) waitUntilUnblocked(s *socket, forPause bool) error {
	for {
		n.mu.Lock()
		blocked, changed := n.cuts[link(s.node, s.peer)], n.changed
		if forPause {
			blocked = n.paused[s.node]
		}
		n.mu.Unlock()
		if !blocked {
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

// pipeListener is a net.Listener on a Network.
type pipeListener struct {
	network  *Network
	node     Node
	address  string
	accepted chan net.Conn // server sides of new connections
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

// Close stops listening and frees the address.
func (l *pipeListener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closeLocked()
	return nil
}

// closeLocked stops listening and frees the address. The caller holds the network's mu.
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

// Network returns "pipe".
func (pipeAddress) Network() string { return "pipe" }

// String returns the address.
func (a pipeAddress) String() string { return string(a) }

// socketBufferBytes is the size of a socket's send buffer, whose role is that of a kernel's buffer. One larger write is
// accepted when the buffer is empty.
const socketBufferBytes = 256 << 10

// segmentBytes is the size of the parts in which data passes a link. Sockets that share a link take turns after each.
const segmentBytes = 64 << 10

// socket is one end of a connection. Writes are buffered; a goroutine per socket delivers them.
type socket struct {
	net.Conn
	network    *Network
	node, peer Node
	closed     chan struct{} // closed by reset
	once       sync.Once     // for reset
	mu         sync.Mutex    // guards buffer and closing
	buffer     []byte        // written data that isn't on its way yet
	closing    bool          // Close was called
	ready      chan struct{} // signals pump that data was buffered or Close was called
	drained    chan struct{} // signals a waiting writer that the buffer was emptied
}

// Read waits for data. It returns none while the node is paused, even if the pause begins while Read waits.
func (s *socket) Read(p []byte) (int, error) {
	if err := s.network.waitUntilUnblocked(s, true); err != nil {
		return 0, err
	}
	count, err := s.Conn.Read(p)
	if resetErr := s.network.waitUntilUnblocked(s, true); resetErr != nil {
		return 0, resetErr
	}
	return count, err
}

// Write buffers the data, which is delivered later. It waits while the node is paused or the buffer is full.
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

// put appends data to the buffer and reports whether there was space.
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

// take empties the buffer and returns its data, and whether Close was called.
func (s *socket) take() (data []byte, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, s.buffer = s.buffer, nil
	signal(s.drained)
	return data, s.closing
}

// pump delivers buffered data until the socket is reset, or is closed and its buffer empty.
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

// deliver passes data on, in segments if links have limits.
func (s *socket) deliver(data []byte) error {
	for len(data) > 0 {
		size := len(data)
		if s.network.config.BytesPerSecond != nil {
			size = min(size, segmentBytes)
		}
		if err := s.deliverSegment(data[:size]); err != nil {
			return err
		}
		data = data[size:]
	}
	return nil
}

// deliverSegment writes data to the pipe after the network's latency, when it has passed the links of both nodes, and once
// the link between them isn't cut.
func (s *socket) deliverSegment(data []byte) error {
	passed := s.network.transmit(s.node, s.peer, len(data))
	arrival, cancel := context.WithTimeout(context.Background(), s.network.config.Latency+time.Until(passed))
	defer cancel()
	select {
	case <-arrival.Done():
	case <-s.closed:
		return errReset
	}
	if err := s.network.waitUntilUnblocked(s, false); err != nil {
		return err
	}
	_, err := s.Conn.Write(data)
	return err
}

// Close fails reads from now on and closes the connection once all buffered data is delivered.
func (s *socket) Close() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	signal(s.ready)
	// A read deadline in the past fails the reads.
	_ = s.SetReadDeadline(time.Unix(1, 0))
	return nil
}

// reset closes the connection at once and drops buffered data.
func (s *socket) reset() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.Conn.Close()
	})
}

// signal puts a signal into a channel of capacity 1 unless it holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
