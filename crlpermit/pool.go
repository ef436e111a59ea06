package crlpermit

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Self       crlid.Incarnation // incarnation of this daemon
	MaxAttempt time.Duration     // longest time that an attempt may run
}

// Pool holds the permits that one daemon was granted, by server. It isn't safe for concurrent use.
type Pool struct {
	config  PoolConfig
	servers map[crlid.Server]*serverPool
}

// serverPool holds the permits of one server.
type serverPool struct {
	minTerm  crlid.Term        // lowest term whose permits are accepted
	sequence uint64            // sequence number of the last Ask
	answered uint64            // sequence number of the last Ask whose reply arrived
	unused   []Permit          // granted permits without an attempt, oldest first
	inUse    map[PermitID]bool // permits whose attempt hasn't ended
}

// NewPool returns a pool without permits.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, servers: make(map[crlid.Server]*serverPool)}
}

// Take marks a valid permit as in use and returns it; ok is false if there is none. It also removes the expired permits
// that it finds and returns them, for the caller to return to the home.
func (p *Pool) Take(server crlid.Server, now time.Time) (permit Permit, ok bool, expired []Permit) {
	s := p.permitsOf(server)
	for len(s.unused) > 0 {
		permit = s.unused[0]
		s.unused = s.unused[1:]
		if permit.Valid(now) {
			s.inUse[permit.id()] = true
			return permit, true, expired
		}
		expired = append(expired, permit)
	}
	return Permit{}, false, expired
}

// Ask returns the request for at most want permits, to send to the server's home in the term.
func (p *Pool) Ask(server crlid.Server, term crlid.Term, want int) Ask {
	s := p.permitsOf(server)
	s.sequence++
	return Ask{Holder: p.config.Self, Server: server, Term: term, Sequence: s.sequence, Answered: s.answered, Want: want}
}

// ApplyGrant adds the permits of the reply to an Ask that was sent at the given time. It reports whether at least one of
// them can be used now.
//
// The reply is dropped if the pool has meanwhile returned a newer Ask for the server, or if a home of a later term has
// asked for the held permits. The result must not be true for a reply without a usable permit: a caller that then asks
// again at once could loop without end.
func (p *Pool) ApplyGrant(ask Ask, grant Grant, sent, now time.Time) (usable bool) {
	s := p.permitsOf(ask.Server)
	if ask.Sequence != s.sequence || grant.Term < s.minTerm {
		return false
	}
	s.answered = ask.Sequence
	expiry := sent.Add(grant.Life)
	for _, n := range grant.Numbers {
		s.unused = append(s.unused, Permit{
			Server: ask.Server, Term: grant.Term, Number: n, Expiry: expiry, End: expiry.Add(p.config.MaxAttempt),
		})
	}
	return len(grant.Numbers) > 0 && now.Before(expiry)
}

// Release removes a permit whose attempt ended.
func (p *Pool) Release(permit Permit) { delete(p.permitsOf(permit.Server).inUse, permit.id()) }

// ReportHeld returns the permits of the server that are in use, for a new home that asks for them in its term. It drops
// the unused permits of earlier terms; from then on, permits of earlier terms are refused.
func (p *Pool) ReportHeld(term crlid.Term, server crlid.Server) []PermitID {
	s := p.permitsOf(server)
	if term > s.minTerm {
		s.minTerm = term
		s.unused = nil
	}
	held := make([]PermitID, 0, len(s.inUse))
	for id := range s.inUse {
		held = append(held, id)
	}
	return held
}

// Revoke removes all unused permits of the server and returns them.
func (p *Pool) Revoke(server crlid.Server) []Permit {
	s := p.permitsOf(server)
	revoked := s.unused
	s.unused = nil
	return revoked
}

func (p *Pool) permitsOf(server crlid.Server) *serverPool {
	s, ok := p.servers[server]
	if !ok {
		s = &serverPool{minTerm: crlid.Term(crlid.NoOffset), inUse: make(map[PermitID]bool)}
		p.servers[server] = s
	}
	return s
}

func (p Permit) id() PermitID { return PermitID{Term: p.Term, Number: p.Number} }
