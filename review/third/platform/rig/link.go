//go:build review

package rig

import (
	"net"
	"sync"
)

// Link forwards TCP connections to a target.
type Link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex // guards the fields below
	open     map[*pair]bool
}

// pair is a connection with the one that it is forwarded to.
type pair struct {
	in, out net.Conn
	silent  bool // nothing is forwarded any more
}

// NewLink starts a link on a free port of loopback.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, open: make(map[*pair]bool)}
	go l.accept()
	return l, nil
}

// Address returns the address to connect to.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Silence makes all connections that are open now silent for good, without closing them, and returns their number. New ones work.
func (l *Link) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for p := range l.open {
		if !p.silent {
			p.silent = true
			count++
		}
	}
	return count
}

func (l *Link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p := &pair{in: in, out: out}
		l.mu.Lock()
		l.open[p] = true
		l.mu.Unlock()
		go l.copy(p, out, in)
		go l.copy(p, in, out)
	}
}

// copy forwards one direction of a connection.
func (l *Link) copy(p *pair, to, from net.Conn) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !p.silent || from == p.in {
			_, _ = p.in.Close(), p.out.Close()
			delete(l.open, p)
		}
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		l.mu.Lock()
		silent := p.silent
		l.mu.Unlock()
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
