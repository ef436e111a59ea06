package crlpermit

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// WalletConfig configures a Wallet.
type PoolConfig struct {
	Self       crlid.Incarnation
	MaxAttempt time.Duration // Hold bounds an attempt.
}

// Wallet holds the permits that one daemon was granted.
type Pool struct {
	config  PoolConfig
	servers map[crlid.Server]*serverPool
}

// pocket holds the permits of one server.
type serverPool struct {
	minTerm  crlid.Term // floor is the lowest term whose permits are taken.
	sequence uint64
	answered uint64
	unused   []Permit
	inUse    map[PermitID]bool // spent are permits whose attempt has not ended.
}

// NewWallet returns a wallet without permits.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, servers: make(map[crlid.Server]*serverPool)}
}

// Take spends a valid permit, if there is one, and returns the expired ones, which go back to the home.
func (w *Pool) Take(server crlid.Server, now time.Time) (permit Permit, ok bool, expired []Permit) {
	p := w.permitsOf(server)
	for len(p.unused) > 0 {
		permit = p.unused[0]
		p.unused = p.unused[1:]
		if permit.Valid(now) {
			p.inUse[permit.id()] = true
			return permit, true, expired
		}
		expired = append(expired, permit)
	}
	return Permit{}, false, expired
}

// Ask returns the call that asks for permits.
func (w *Pool) Ask(server crlid.Server, term crlid.Term, want int) Ask {
	p := w.permitsOf(server)
	p.sequence++
	return Ask{Holder: w.config.Self, Server: server, Term: term, Sequence: p.sequence, Answered: p.answered, Want: want}
}

// Granted takes in the answer to a call sent at a moment and reports whether it brought permits that can be used now.
//
// An answer is dropped when a later home asked what is held. A caller that
// asked again at once after one without use could go on without end.
func (w *Pool) ApplyGrant(ask Ask, grant Grant, sent, now time.Time) (usable bool) {
	p := w.permitsOf(ask.Server)
	if ask.Sequence != p.sequence || grant.Term < p.minTerm {
		return false
	}
	p.answered = ask.Sequence
	expiry := sent.Add(grant.Life)
	for _, n := range grant.Numbers {
		p.unused = append(p.unused, Permit{
			Server: ask.Server, Term: grant.Term, Number: n, Expiry: expiry, End: expiry.Add(w.config.MaxAttempt),
		})
	}
	return len(grant.Numbers) > 0 && now.Before(expiry)
}

// Returned forgets a permit whose attempt ended.
func (w *Pool) Release(permit Permit) { delete(w.permitsOf(permit.Server).inUse, permit.id()) }

// Tell returns the permits in use, and refuses unspent and later ones of terms before the asker's.
func (w *Pool) ReportHeld(term crlid.Term, server crlid.Server) []PermitID {
	p := w.permitsOf(server)
	if term > p.minTerm {
		p.minTerm = term
		p.unused = nil
	}
	held := make([]PermitID, 0, len(p.inUse))
	for n := range p.inUse {
		held = append(held, n)
	}
	return held
}

// Revoke gives up every unspent permit of the server.
func (w *Pool) Revoke(server crlid.Server) []Permit {
	p := w.permitsOf(server)
	revoked := p.unused
	p.unused = nil
	return revoked
}

func (w *Pool) permitsOf(server crlid.Server) *serverPool {
	p, ok := w.servers[server]
	if !ok {
		p = &serverPool{minTerm: crlid.Term(crlid.NoOffset), inUse: make(map[PermitID]bool)}
		w.servers[server] = p
	}
	return p
}

func (p Permit) id() PermitID { return PermitID{Term: p.Term, Number: p.Number} }
