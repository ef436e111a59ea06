package crlsoak

import (
	"net"
	"sync"
	"time"
)

//go:generate go run github.com/dmarkham/enumer -type=LinkFault -trimprefix=Link -transform=kebab -linecomment -text -output=linkfault_enumer.go

// LinkFault is a fault of a network link, the connections from one process (the client) to another (the server).
type LinkFault int

// The faults of a link. The generator uses a comment at the end of a line as the value's text.
const (
	// LinkHealthy links forward everything.
	LinkHealthy LinkFault = iota // whole
	// LinkDelayed links forward data late, by linkDelay in each direction.
	LinkDelayed
	// LinkDropsOutbound links drop what the client sends.
	LinkDropsOutbound // cut-out
	// LinkDropsInbound links drop what the server sends.
	LinkDropsInbound // cut-back
	// LinkDropsAll links drop everything and keep the connections open, so that neither end notices.
	LinkDropsAll // silent
	// LinkReset links reset the open connections once and forward new ones.
	LinkReset
	// LinkRefused links refuse new connections and reset the open ones.
	LinkRefused
	// LinkRefusesNew links refuse new connections and forward the open ones.
	LinkRefusesNew // refused-new
)

// linkDelay is how long a delayed link holds back each piece of data that it reads.
const linkDelay = 100 * time.Millisecond

// proxy forwards TCP connections to a target and injects link faults.
type proxy struct {
	listen   string // address of the listener
	target   string
	mu       sync.Mutex   // guards the fields below
	listener net.Listener // nil while new connections are refused
	fault    LinkFault
	open     map[net.Conn]bool
}

// newProxy starts a proxy on a free port of loopback.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listen: listener.Addr().String(), listener: listener, target: target, open: make(map[net.Conn]bool)}
	go p.acceptLoop(listener)
	return p, nil
}

func (p *proxy) address() string { return p.listen }

// acceptLoop accepts connections until the listener is closed.
func (p *proxy) acceptLoop(listener net.Listener) {
	for {
		in, err := listener.Accept()
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

// copy forwards one direction of a connection; dropFault is the fault that drops the data of just this direction.
func (p *proxy) copy(to, from net.Conn, dropFault LinkFault) {
	defer p.close(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch fault := p.currentFault(); fault {
		case LinkDropsAll, dropFault:
			continue
		case LinkDelayed:
			time.Sleep(linkDelay)
		case LinkHealthy, LinkReset, LinkRefused, LinkRefusesNew, LinkDropsOutbound, LinkDropsInbound:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// close closes both sides of a connection.
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

// setFault changes the fault of the link. When a link that dropped data becomes healthy, its connections are reset, since
// bytes are missing from them. It fails if a link that refused connections can't listen again.
func (p *proxy) setFault(fault LinkFault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	dropped := p.fault == LinkDropsAll || p.fault == LinkDropsInbound || p.fault == LinkDropsOutbound
	reset := fault == LinkReset || fault == LinkRefused || fault == LinkHealthy && dropped
	p.fault = fault
	for c := range p.open {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
	refuses := fault == LinkRefused || fault == LinkRefusesNew
	switch {
	case refuses && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
	case !refuses && p.listener == nil:
		listener, err := net.Listen("tcp", p.listen)
		if err != nil {
			return err
		}
		p.listener = listener
		go p.acceptLoop(listener)
	}
	return nil
}

// stop resets all connections and refuses new ones.
func (p *proxy) stop() { _ = p.setFault(LinkRefused) }
