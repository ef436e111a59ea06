package crlsoak

import (
	"net"
	"sync"
	"time"
)

//go:generate go run github.com/dmarkham/enumer -type=LinkFault -trimprefix=Link -transform=kebab -text -output=linkfault_enumer.go

// LinkFault is how a link misbehaves.
type LinkFault int

// The faults of a link.
const (
	LinkHealthy       LinkFault = iota
	LinkDelayed                 // LinkDelayed links carry each piece late.
	LinkDropsOutbound           // LinkCutOut links lose what the caller sends.
	LinkDropsInbound            // LinkCutBack links lose what the callee sends.
	LinkDropsAll                // LinkSilent links lose everything and don't say so.
	LinkReset                   // LinkReset links reset their connections and take new ones.
)

// linkDelay is the delay of a delayed link each way.
const linkDelay = 100 * time.Millisecond

// proxy carries connections to a target.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex // mu guards the fields below.
	fault    LinkFault
	open     map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(map[net.Conn]bool)}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) acceptLoop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.open[in], p.open[out] = true, true
		p.mu.Unlock()
		go p.copy(out, in, LinkDropsOutbound)
		go p.copy(in, out, LinkDropsInbound)
	}
}

// copy carries one direction of a connection, which a fault of its own loses.
func (p *proxy) copy(to, from net.Conn, own LinkFault) {
	defer p.close(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch fault := p.currentFault(); fault {
		case LinkDropsAll, own:
			continue
		case LinkDelayed:
			time.Sleep(linkDelay)
		case LinkHealthy, LinkReset, LinkDropsOutbound, LinkDropsInbound:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) close(pair ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range pair {
		_ = c.Close()
		delete(p.open, c)
	}
}

func (p *proxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// set makes the link misbehave. Connections that lost bytes are reset when it is whole again.
func (p *proxy) setFault(fault LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reset := fault == LinkReset || fault == LinkHealthy && p.fault != LinkDelayed && p.fault != LinkHealthy
	p.fault = fault
	for c := range p.open {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.setFault(LinkReset)
}
