package crlpermit

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// HomeConfig configures a Home.
type HomeConfig struct {
	Lease      time.Duration // Lease is how long the home may grant without a confirmation of its term.
	Guard      time.Duration // Guard is the lease with the allowance for clocks.
	Expiry     time.Duration // Expiry is how long a permit may wait before its attempt is sent.
	MaxAttempt time.Duration // Hold bounds an attempt.
	ClockRate  float64       // ClockRate bounds how much faster one clock runs than another, as a ratio above 1.
}

// Ask asks a home for permits of a server.
type Ask struct {
	Holder   crlid.Incarnation `json:"h"`
	Server   crlid.Server      `json:"s"`
	Term     crlid.Term        `json:"t"`
	Sequence uint64            `json:"q"` // Sequence rises with each call of the holder for the server.
	Answered uint64            `json:"a"` // Answered is the sequence of the last call whose reply the holder got.
	Want     int               `json:"w"`
}

// Grant answers an Ask; it grants nothing when Numbers is empty.
type Grant struct {
	Term    crlid.Term    `json:"t"`
	Numbers []uint64      `json:"n,omitempty"`
	Life    time.Duration `json:"l"` // Life counts from the moment at which the holder sent its call.
	Warm    bool          `json:"w,omitempty"`
	Lapsed  bool          `json:"x,omitempty"` // Lapsed is true when the home has no lease to grant under.

	leaseEnd time.Time // leaseEnd is in the clock of the home, which looks at it once more before it answers.
}

// Returned is a permit that a holder gives back.
type Returned struct {
	Server crlid.Server `json:"server"` // Its JSON name must differ from those of the embedded fields, which it would hide.
	PermitID
	Outcome
}

// Home holds the books of the servers for which one daemon grants.
type Home struct {
	config    HomeConfig
	term      crlid.Term
	confirmed time.Time
	holders   map[crlid.Incarnation]bool // holders are the runs that may be granted permits in the term.
	servers   map[crlid.Server]*homeServer
}

// account is a server at its home.
type homeServer struct {
	limiter       *Limiter
	awaited       map[crlid.Incarnation]bool // waiting are the runs whose permits of earlier homes are not known.
	gainedAt      time.Time                  // since is when this daemon learned that it became the home.
	noGrantsUntil time.Time                  // rest is until when servers may not have noticed that a run ended.
	returnedEarly map[PermitID]bool          // early are permits that came back before their holder's list did.
	lastAsks      map[crlid.Incarnation]*lastAsk
}

// call is the newest call of a holder and what it was granted.
type lastAsk struct {
	sequence uint64
	granted  []uint64
	term     crlid.Term
}

// NewHome returns a home of no server.
func NewHome(config HomeConfig) *Home {
	return &Home{config: config, term: crlid.Term(crlid.NoOffset), servers: make(map[crlid.Server]*homeServer)}
}

// Tenure is what a roster gives a home.
type Assignment struct {
	Term    crlid.Term
	Servers map[crlid.Server]Limits // Servers are those whose home this daemon is in the term.
	Holders []crlid.Incarnation     // Holders are the members and the past members whose permits may be in use.
}

// Begin takes over a tenure and returns the servers that are new to this home.
// A server that stays keeps its book; one that is new waits for all holders.
func (h *Home) ApplyAssignment(t Assignment, now time.Time) []crlid.Server {
	maps.DeleteFunc(h.servers, func(s crlid.Server, _ *homeServer) bool {
		_, ok := t.Servers[s]
		return !ok
	})
	earlier := h.holders
	h.term = t.Term
	h.holders = make(map[crlid.Incarnation]bool, len(t.Holders))
	for _, i := range t.Holders {
		h.holders[i] = true
	}
	var gained []crlid.Server
	for s, limits := range t.Servers {
		if a, ok := h.servers[s]; ok {
			a.limiter.SetLimits(limits)
			continue
		}
		a := &homeServer{
			limiter: NewLimiter(limits, now), gainedAt: now, awaited: maps.Clone(h.holders),
			returnedEarly: make(map[PermitID]bool), lastAsks: make(map[crlid.Incarnation]*lastAsk),
		}
		for i := range earlier {
			a.awaited[i] = true
		}
		h.servers[s] = a
		gained = append(gained, s)
	}
	slices.Sort(gained)
	return gained
}

// Confirm takes in that the term was the newest at a moment.
func (h *Home) Confirm(term crlid.Term, at time.Time) {
	if term == h.term && at.After(h.confirmed) {
		h.confirmed = at
	}
}

// Waiting returns the runs that must still tell what they hold, and for which servers.
func (h *Home) AwaitedHolders(now time.Time) map[crlid.Incarnation][]crlid.Server {
	waiting := make(map[crlid.Incarnation][]crlid.Server)
	for s, a := range h.servers {
		h.endOverdueWait(a, now)
		for i := range a.awaited {
			waiting[i] = append(waiting[i], s)
		}
	}
	return waiting
}

// release stops waiting for the silent once no permit of an earlier home can be in use.
func (h *Home) endOverdueWait(a *homeServer, now time.Time) {
	if now.Sub(a.gainedAt) >= h.config.Guard+h.maxLocalDuration(h.config.Expiry+h.config.MaxAttempt) {
		clear(a.awaited)
	}
	if len(a.awaited) == 0 {
		clear(a.returnedEarly)
	}
}

// Told takes in what a run holds of a server; from then on the run refuses permits of earlier terms.
func (h *Home) HolderReported(term crlid.Term, server crlid.Server, holder crlid.Incarnation, held []PermitID, now time.Time) {
	a, ok := h.servers[server]
	if !ok || term != h.term || !a.awaited[holder] {
		return
	}
	delete(a.awaited, holder)
	for _, n := range held {
		if !a.returnedEarly[n] {
			a.limiter.Inherit(n, holder, now.Add(h.maxLocalDuration(h.config.Expiry+h.config.MaxAttempt)))
		}
	}
}

// Ended takes in proof that a run ended, so that nothing of it is in use once the servers have noticed.
func (h *Home) HolderEnded(holder crlid.Incarnation, now time.Time) {
	for _, a := range h.servers {
		if a.awaited[holder] {
			delete(a.awaited, holder)
			a.noGrantsUntil = now.Add(abortNoticeTime)
		}
		a.limiter.releaseHolder(holder, now)
	}
}

// Yield gives up servers that a later term gave to another home.
func (h *Home) Relinquish(term crlid.Term, servers []crlid.Server) {
	if term <= h.term {
		return
	}
	for _, s := range servers {
		delete(h.servers, s)
	}
}

// Grant decides a call; Recall must be asked once more before the answer leaves.
func (h *Home) Grant(ask Ask, now time.Time) Grant {
	a, ok := h.servers[ask.Server]
	left := h.leaseLeft(now)
	if !ok || ask.Term != h.term || left <= 0 || !h.holders[ask.Holder] {
		return Grant{Term: h.term, Lapsed: left <= 0}
	}
	h.endOverdueWait(a, now)
	if !h.acceptAsk(a, ask, now) || len(a.awaited) > 0 || now.Before(a.noGrantsUntil) {
		return Grant{Term: h.term}
	}
	// A permit ends with the lease, so that none of an earlier home is valid once its lease is over.
	life := time.Duration(float64(min(h.config.Expiry, left)) / h.config.ClockRate)
	if life < minPermitLife {
		return Grant{Term: h.term, Lapsed: true}
	}
	a.limiter.Expire(now)
	until := now.Add(h.maxLocalDuration(h.config.Expiry + h.config.MaxAttempt))
	c := &lastAsk{sequence: ask.Sequence, term: h.term, granted: a.limiter.grant(h.term, ask.Holder, ask.Want, until)}
	a.lastAsks[ask.Holder] = c
	return Grant{Term: h.term, Numbers: c.granted, Life: life, Warm: a.limiter.Warm(), leaseEnd: now.Add(left)}
}

// minLife is the shortest life of a permit: one that ends before it arrives would be asked for again at once.
const minPermitLife = 10 * time.Millisecond

// newest takes back what a lost reply granted and reports whether no later call was seen.
func (h *Home) acceptAsk(a *homeServer, ask Ask, now time.Time) bool {
	last, ok := a.lastAsks[ask.Holder]
	if !ok {
		return true
	}
	if ask.Sequence <= last.sequence {
		return false
	}
	if ask.Answered < last.sequence {
		for _, n := range last.granted {
			a.limiter.Return(PermitID{Term: last.term, Number: n}, Outcome{}, now)
		}
	}
	return true
}

// LapsedBy reports whether the lease ran out after the grant was computed, so that Recall must take it back.
func (g Grant) LapsedBy(now time.Time) bool { return len(g.Numbers) > 0 && !now.Before(g.leaseEnd) }

// Recall takes back a grant that was not sent and returns the answer to send instead.
func (h *Home) CancelGrant(server crlid.Server, grant Grant, now time.Time) Grant {
	for _, n := range grant.Numbers {
		h.Return(Returned{Server: server, PermitID: PermitID{Term: grant.Term, Number: n}}, now)
	}
	return Grant{Term: grant.Term, Lapsed: true}
}

// Done takes back a permit and returns the holders whose unspent permits must be revoked.
func (h *Home) Return(returned Returned, now time.Time) (revoke []crlid.Incarnation) {
	a, ok := h.servers[returned.Server]
	if !ok {
		return nil
	}
	if returned.Number == bootOnlyNumber {
		return a.holdersIfCold(a.limiter.ObserveBoot(returned.Boot, now))
	}
	if len(a.awaited) > 0 {
		a.returnedEarly[returned.PermitID] = true
	}
	return a.holdersIfCold(a.limiter.Return(returned.PermitID, returned.Outcome, now))
}

// seenNumber is the number in a Returned that only tells the boot of a server.
const bootOnlyNumber = 0

// holdersIf returns the holders of permits when the server turned cold.
func (a *homeServer) holdersIfCold(cold bool) []crlid.Incarnation {
	if !cold {
		return nil
	}
	holders := make(map[crlid.Incarnation]bool)
	for _, o := range a.limiter.inUse {
		holders[o.holder] = true
	}
	return slices.Sorted(maps.Keys(holders))
}

// Book returns the book of a server, or nil when this daemon is not its home.
func (h *Home) Limiter(server crlid.Server) *Limiter {
	if a, ok := h.servers[server]; ok {
		return a.limiter
	}
	return nil
}

// Term returns the term of the home's tenure.
func (h *Home) Term() crlid.Term { return h.term }

func (h *Home) leaseLeft(now time.Time) time.Duration { return h.config.Lease - now.Sub(h.confirmed) }

// stretched returns how long a duration of another clock may last on this one.
func (h *Home) maxLocalDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * h.config.ClockRate)
}
