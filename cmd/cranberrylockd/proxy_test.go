package main

import (
	"io"
	"net"
	"sync"
	"testing"
)

// tcpProxy forwards TCP connections to a target. While it is cut off, it has no open connections and closes new ones.
type tcpProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex        // guards the fields below
	cut      bool              // the proxy is cut off
	open     map[net.Conn]bool // both sides of each connection
}

// startProxy starts a proxy on a free port of loopback, which stops at the end of the test.
func startProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target, open: make(map[net.Conn]bool)}
	go p.acceptLoop()
	t.Cleanup(func() {
		_ = listener.Close()
		p.setCut(true)
	})
	return p
}

// acceptLoop forwards connections until the listener is closed.
func (p *tcpProxy) acceptLoop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil || !p.track(in, out) {
			_ = in.Close()
			continue
		}
		go p.copy(in, out)
		go p.copy(out, in)
	}
}

// track registers both sides of a connection. While the proxy is cut off it closes them and returns false.
func (p *tcpProxy) track(pair ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range pair {
		if p.cut {
			_ = c.Close()
		} else {
			p.open[c] = true
		}
	}
	return !p.cut
}

// copy forwards one direction of a connection and closes both sides when it ends.
func (p *tcpProxy) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, to)
	delete(p.open, from)
}

// setCut(true) cuts the proxy off and closes all connections; setCut(false) makes it forward new ones again.
func (p *tcpProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for c := range p.open {
		if cut {
			_ = c.Close()
		}
	}
}
