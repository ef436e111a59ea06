package main

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay passes connections on to an address until it is cut.
type tcpProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex // mu guards the fields below.
	cut      bool
	open     map[net.Conn]bool
}

// startRelay listens on a free port of loopback.
func startProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &tcpProxy{listener: listener, target: target, open: make(map[net.Conn]bool)}
	go r.acceptLoop()
	t.Cleanup(func() {
		_ = listener.Close()
		r.setCut(true)
	})
	return r
}

func (r *tcpProxy) acceptLoop() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil || !r.track(in, out) {
			_ = in.Close()
			continue
		}
		go r.copy(in, out)
		go r.copy(out, in)
	}
}

// keep notes a pair of connections unless the relay is cut.
func (r *tcpProxy) track(pair ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range pair {
		if r.cut {
			_ = c.Close()
		} else {
			r.open[c] = true
		}
	}
	return !r.cut
}

func (r *tcpProxy) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, to)
	delete(r.open, from)
}

// setCut closes every connection and refuses new ones, or lets them pass again.
func (r *tcpProxy) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for c := range r.open {
		if cut {
			_ = c.Close()
		}
	}
}
