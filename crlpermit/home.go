package crlpermit

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// HomeConfig configures a Home.
type HomeConfig struct {
	Lease      time.Duration // how long the home may grant after the last confirmation of its term
	Guard      time.Duration // Lease plus an allowance for differences between clocks
	Expiry     time.Duration // longest time from the request for a permit until its attempt is sent
	MaxAttempt time.Duration // longest time that an attempt may run
	ClockRate  float64       // largest ratio between the speeds of two clocks, at least 1
}

// Ask is a holder's request to a home for permits of a server.
type Ask struct {
	Holder   crlid.Incarnation `json:"h"`
	Server   crlid.Server      `json:"s"`
	Term     crlid.Term        `json:"t"`
	Sequence uint64            `json:"q"` // rises with each call of the holder for the server
	Answered uint64            `json:"a"` // Sequence of the last call whose reply the holder received
	Want     int               `json:"w"` // largest number of permits to grant
}

// Grant is the reply to an Ask. It grants nothing when Numbers is empty.
type Grant struct {
	Term    crlid.Term    `json:"t"`
	Numbers []uint64      `json:"n,omitempty"`
	Life    time.Duration `json:"l"`           // time until the permits expire, from the moment at which the holder sent its call
	Warm    bool          `json:"w,omitempty"` // the server is warm
	Lapsed  bool          `json:"x,omitempty"` // nothing was granted because the home's lease has ended or is about to end

	leaseEnd time.Time // end of the lease by the clock of the home, which checks it once more before it replies
}

// Returned is a permit that a holder returns to the home, with the outcome of its attempt. If Number is bootOnlyNumber,
// there is no permit, and only Outcome.Boot is set.
type Returned struct {
	Server crlid.Server `json:"server"` // its JSON name must differ from those of the embedded fields, which it would hide
	PermitID
	Outcome
}

// Home grants the permits of the servers that are assigned to one daemon. It isn't safe for concurrent use.
type Home struct {
	config    HomeConfig
	term      crlid.Term
	confirmed time.Time                  // last time at which the term was confirmed to be the newest; the lease runs from then
	holders   map[crlid.Incarnation]bool // incarnations that may be granted permits in the term
	servers   map[crlid.Server]*homeServer
}

// homeServer is the state of a server at its home.
type homeServer struct {
	limiter       *Limiter
	awaited       map[crlid.Incarnation]bool // holders that haven't reported their permits of earlier homes
	gainedAt      time.Time                  // when this daemon was notified that it is the server's home
	noGrantsUntil time.Time                  // until then the server may still run attempts of a holder that ended
	returnedEarly map[PermitID]bool          // permits returned while holders are awaited, which a late report must not count as used
	lastAsks      map[crlid.Incarnation]*lastAsk
}

// lastAsk is the newest call of a holder that reached the limiter, and the permits that it was granted (possibly none).
type lastAsk struct {
	sequence uint64
	granted  []uint64
	term     crlid.Term
}

// NewHome returns a home without servers.
func NewHome(config HomeConfig) *Home {
	return &Home{config: config, term: crlid.Term(crlid.NoOffset), servers: make(map[crlid.Server]*homeServer)}
}

// Assignment is the part of a roster that concerns a home.
type Assignment struct {
	Term    crlid.Term
	Servers map[crlid.Server]Limits // servers whose home this daemon is in the term
	Holders []crlid.Incarnation     // members, and past members whose permits may be in use
}

// ApplyAssignment starts a term and returns the servers that this home gained. A server that it already had keeps its
// limiter. For one that it gained, it grants nothing until no holder is awaited.
func (h *Home) ApplyAssignment(assignment Assignment, now time.Time) []crlid.Server {
	maps.DeleteFunc(h.servers, func(s crlid.Server, _ *homeServer) bool {
		_, ok := assignment.Servers[s]
		return !ok
	})
	earlierHolders := h.holders
	h.term = assignment.Term
	h.holders = make(map[crlid.Incarnation]bool, len(assignment.Holders))
	for _, holder := range assignment.Holders {
		h.holders[holder] = true
	}
	var gained []crlid.Server
	for s, limits := range assignment.Servers {
		if state, ok := h.servers[s]; ok {
			state.limiter.SetLimits(limits)
			continue
		}
		state := &homeServer{
			limiter: NewLimiter(limits, now), gainedAt: now, awaited: maps.Clone(h.holders),
			returnedEarly: make(map[PermitID]bool), lastAsks: make(map[crlid.Incarnation]*lastAsk),
		}
		for holder := range earlierHolders {
			state.awaited[holder] = true
		}
		h.servers[s] = state
		gained = append(gained, s)
	}
	slices.Sort(gained)
	return gained
}

// Confirm extends the lease: the term was confirmed to be the newest at the given time.
func (h *Home) Confirm(term crlid.Term, at time.Time) {
	if term == h.term && at.After(h.confirmed) {
		h.confirmed = at
	}
}

// AwaitedHolders returns the holders that must still report their permits, and for which servers.
func (h *Home) AwaitedHolders(now time.Time) map[crlid.Incarnation][]crlid.Server {
	awaited := make(map[crlid.Incarnation][]crlid.Server)
	for s, state := range h.servers {
		h.endOverdueWait(state, now)
		for holder := range state.awaited {
			awaited[holder] = append(awaited[holder], s)
		}
	}
	return awaited
}

// endOverdueWait ends the wait for the holders that haven't reported, because they are unreachable, once no permit of an
// earlier home can be in use.
func (h *Home) endOverdueWait(state *homeServer, now time.Time) {
	if now.Sub(state.gainedAt) >= h.config.Guard+h.maxLocalDuration(h.config.Expiry+h.config.MaxAttempt) {
		clear(state.awaited)
	}
	if len(state.awaited) == 0 {
		clear(state.returnedEarly)
	}
}

// HolderReported records the permits of a server that a holder has in use. The holder has refused permits of earlier
// terms since it sent the report.
func (h *Home) HolderReported(term crlid.Term, server crlid.Server, holder crlid.Incarnation, held []PermitID, now time.Time) {
	state, ok := h.servers[server]
	if !ok || term != h.term || !state.awaited[holder] {
		return
	}
	delete(state.awaited, holder)
	for _, id := range held {
		if !state.returnedEarly[id] {
			state.limiter.Inherit(id, holder, now.Add(h.maxLocalDuration(h.config.Expiry+h.config.MaxAttempt)))
		}
	}
}

// HolderEnded records that an incarnation is known to have ended. Its permits are free after abortNoticeTime, when the
// servers must have noticed that its attempts were aborted.
func (h *Home) HolderEnded(holder crlid.Incarnation, now time.Time) {
	for _, state := range h.servers {
		if state.awaited[holder] {
			delete(state.awaited, holder)
			state.noGrantsUntil = now.Add(abortNoticeTime)
		}
		state.limiter.releaseHolder(holder, now)
	}
}

// Relinquish removes servers that a later term assigned to another home. Earlier terms are ignored.
func (h *Home) Relinquish(term crlid.Term, servers []crlid.Server) {
	if term <= h.term {
		return
	}
	for _, s := range servers {
		delete(h.servers, s)
	}
}

// Grant returns the reply to a holder's request. Before the reply is sent, the caller must check LapsedBy and call
// CancelGrant if the lease has ended meanwhile.
func (h *Home) Grant(ask Ask, now time.Time) Grant {
	state, ok := h.servers[ask.Server]
	left := h.leaseLeft(now)
	if !ok || ask.Term != h.term || left <= 0 || !h.holders[ask.Holder] {
		return Grant{Term: h.term, Lapsed: left <= 0}
	}
	h.endOverdueWait(state, now)
	if !h.acceptAsk(state, ask, now) || len(state.awaited) > 0 || now.Before(state.noGrantsUntil) {
		return Grant{Term: h.term}
	}
	// Permits expire with the lease at the latest, so that no permit is valid after the lease of its home has ended.
	life := time.Duration(float64(min(h.config.Expiry, left)) / h.config.ClockRate)
	if life < minPermitLife {
		return Grant{Term: h.term, Lapsed: true}
	}
	state.limiter.Expire(now)
	expiresAt := now.Add(h.maxLocalDuration(h.config.Expiry + h.config.MaxAttempt))
	last := &lastAsk{sequence: ask.Sequence, term: h.term, granted: state.limiter.grant(h.term, ask.Holder, ask.Want, expiresAt)}
	state.lastAsks[ask.Holder] = last
	return Grant{Term: h.term, Numbers: last.granted, Life: life, Warm: state.limiter.Warm(), leaseEnd: now.Add(left)}
}

// minPermitLife is the shortest time for which permits are granted: if a permit expired before it arrived, the holder
// would ask again at once.
const minPermitLife = 10 * time.Millisecond

// acceptAsk reports whether the call is newer than the last one of the holder that reached the limiter. If the reply to
// that one was lost, it also releases the permits that were granted in it.
func (h *Home) acceptAsk(state *homeServer, ask Ask, now time.Time) bool {
	last, ok := state.lastAsks[ask.Holder]
	if !ok {
		return true
	}
	if ask.Sequence <= last.sequence {
		return false
	}
	if ask.Answered < last.sequence {
		for _, n := range last.granted {
			state.limiter.Return(PermitID{Term: last.term, Number: n}, Outcome{}, now)
		}
	}
	return true
}

// LapsedBy reports whether the lease ended after permits were granted, so that the grant must be cancelled by CancelGrant.
func (g Grant) LapsedBy(now time.Time) bool { return len(g.Numbers) > 0 && !now.Before(g.leaseEnd) }

// CancelGrant releases the permits of a grant that wasn't sent and returns the reply to send instead.
func (h *Home) CancelGrant(server crlid.Server, grant Grant, now time.Time) Grant {
	for _, n := range grant.Numbers {
		h.Return(Returned{Server: server, PermitID: PermitID{Term: grant.Term, Number: n}}, now)
	}
	return Grant{Term: grant.Term, Lapsed: true}
}

// Return releases a permit or, if returned has no permit, applies the boot that it reports. If the server turned cold,
// Return returns the holders whose unused permits must be revoked.
func (h *Home) Return(returned Returned, now time.Time) (revoke []crlid.Incarnation) {
	state, ok := h.servers[returned.Server]
	if !ok {
		return nil
	}
	if returned.Number == bootOnlyNumber {
		return state.holdersIfCold(state.limiter.ObserveBoot(returned.Boot, now))
	}
	if len(state.awaited) > 0 {
		state.returnedEarly[returned.PermitID] = true
	}
	return state.holdersIfCold(state.limiter.Return(returned.PermitID, returned.Outcome, now))
}

// bootOnlyNumber is the permit number in a Returned that has no permit and only reports the boot of a server.
const bootOnlyNumber = 0

// holdersIfCold returns the holders of the permits that count as used if cold is true, else nil.
func (s *homeServer) holdersIfCold(cold bool) []crlid.Incarnation {
	if !cold {
		return nil
	}
	holders := make(map[crlid.Incarnation]bool)
	for _, p := range s.limiter.inUse {
		holders[p.holder] = true
	}
	return slices.Sorted(maps.Keys(holders))
}

// Limiter returns the limiter of a server, or nil if this daemon isn't its home.
func (h *Home) Limiter(server crlid.Server) *Limiter {
	if state, ok := h.servers[server]; ok {
		return state.limiter
	}
	return nil
}

// Term returns the term of the last assignment.
func (h *Home) Term() crlid.Term { return h.term }

func (h *Home) leaseLeft(now time.Time) time.Duration { return h.config.Lease - now.Sub(h.confirmed) }

// maxLocalDuration returns the longest time that may pass on this clock while d passes on another daemon's clock.
func (h *Home) maxLocalDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * h.config.ClockRate)
}
