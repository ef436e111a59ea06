package crlfake

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// ErrNoDescriptor is the error of an Accept that finds no free descriptor.
var ErrNoDescriptor error = &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}

// Listener is an in-memory listener without an address, for tests of one server. Unlike the listeners of a Network, its Accept
// can be made to fail.
type Listener struct {
	connections chan net.Conn
	failures    chan error
	closed      chan struct{}
	once        sync.Once // for closed
}

// NewListener returns an open Listener.
func NewListener() *Listener {
	return &Listener{connections: make(chan net.Conn), failures: make(chan error), closed: make(chan struct{})}
}

// Accept returns the next connection, or the error of a call of Fail.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case err := <-l.failures:
		return nil, err
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "pipe", Err: net.ErrClosed}
	}
}

// Fail makes one Accept return an error, and waits until it does or ctx ends.
func (l *Listener) Fail(ctx context.Context, err error) {
	select {
	case l.failures <- err:
	case <-ctx.Done():
	}
}

// DialContext opens a connection and waits until it is accepted. It ignores the network and the address.
func (l *Listener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.connections <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: errRefused}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close makes every Accept and DialContext fail from now on.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address that can't be dialled.
func (l *Listener) Addr() net.Addr { return pipeAddress("listener") }
