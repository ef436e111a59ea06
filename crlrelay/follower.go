package crlrelay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// Caller calls a method of a peer at an address and decodes the reply into result.
type Caller interface {
	Call(ctx context.Context, address string, method crlpeer.Method, params, result any) error
}

const (
	// FollowWait is how long a source holds a follower's call; a follower's confirmations are older than its reader's by up to as much.
	FollowWait = 500 * time.Millisecond
	// retryPauseStep is the pause after the first failed call; it grows by as much with each further one, up to FollowWait.
	retryPauseStep = 50 * time.Millisecond
	// sourceCheckInterval is the time between two checks whether a daemon that follows none, such as a reader, needs a source.
	sourceCheckInterval = 200 * time.Millisecond
	// retryPreferredAfter is the time after the latest failed call until a follower returns to its preferred source, about the length
	// of an outage.
	retryPreferredAfter = 10 * time.Second
	// ReaderCount is the number of daemons that read the store, two so that the failure of one has no effect.
	ReaderCount = 2
)

// Log events of a follower.
const (
	// EventSource is logged when a follower switches to another source.
	EventSource crllog.Event = "relay-source"
	// EventCall is logged for a call that brought no confirmation within MaxAge, and for one that took longer than the source held it by slowCall.
	EventCall crllog.Event = "relay-call"
)

// slowCall is the time beyond the held one from which a successful call is logged, many times a round trip between failure domains.
const slowCall = 250 * time.Millisecond

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Self         Member
	Replicas     map[Topic]*Replica
	ApplyOrder   []Topic // order of the topics in each response, so that records follow those of other topics that they refer to
	Peers        Caller
	Now          crlclock.Clock
	Log          *crllog.Logger
	StoreFailing func() bool             // whether this daemon's own reads of the store fail
	MaxAge       map[Topic]time.Duration // greatest age of each topic's confirmation; if it is older, the follower tries another source
	// Bound is the time that the deployment allows for a change of each topic to reach all daemons; topics without one have none. The search for a
	// source is laid out such that it ends within the bound.
	Bound    map[Topic]time.Duration
	Exchange Exchange // nil for none
}

// Follower keeps this daemon's replicas up to date from those of another daemon, the source.
type Follower struct {
	config       FollowerConfig
	mu           sync.Mutex // guards the fields down to storeFrom; those below belong to the goroutine of Run
	roster       Roster
	place        place            // of this daemon in the roster, or among the seeds while the roster has no members
	freshUntil   crlclock.Instant // until when the confirmations received from peers are within MaxAge, 0 at first
	seeds        []Member         // sources to try while the roster has no members
	heard        atomic.Bool      // whether a source has answered
	drawn        float64          // part of the longest patience that this daemon has, from 0 to 1
	storeFrom    crlclock.Instant // from when this daemon may read the store for want of a source
	source       Member
	cursors      map[Topic]heldCursor
	disputed     map[Topic]map[string]bool // keys of which the source has sent records that yielded to this daemon's
	sourceBehind bool                      // whether the source's roster was older than this daemon's in its latest response
	incarnation  crlid.Incarnation         // incarnation of the source when it sent the cursors; empty before its first response
	// exchangedWith is the incarnation of the source that got the Exchange's first message; another one needs that message too.
	exchangedWith crlid.Incarnation
	failures      int // calls without usable confirmations, reset retryPreferredAfter after the latest; selects the source
	lastFailure   crlclock.Instant
	failedAt      map[string]crlclock.Instant // by address: the latest call without usable confirmations, since failures was 0
	attempts      int                         // calls without usable confirmations since the latest with them
	stalls        int                         // large replies in a row that stalled
	redirects     int                         // latest replies in a row that named other sources
	cause         string                      // why the latest call failed, or its confirmations were too old
}

// heldCursor is a cursor of a source, and where the source ended when it sent it.
type heldCursor struct {
	cursor Cursor
	end    crlid.Position
}

// NewFollower returns a Follower without a roster or seeds.
func NewFollower(config FollowerConfig) *Follower {
	if config.Exchange == nil {
		config.Exchange = noExchange{}
	}
	f := &Follower{
		config: config, cursors: make(map[Topic]heldCursor), disputed: make(map[Topic]map[string]bool), failedAt: make(map[string]crlclock.Instant),
		drawn: rand.Float64(),
	}
	f.place = findPlace(f.roster, f.seeds, config.Self)
	return f
}

// Roster returns the newest roster that a source sent or UpdateRoster set, the zero Roster before the first.
func (f *Follower) Roster() Roster {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster
}

// UpdateRoster replaces the roster unless the current one is of a later era or generation. Within a generation the last call wins, as
// readers list the roster repeatedly while the store reassigns partitions.
func (f *Follower) UpdateRoster(roster Roster) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !roster.isBefore(f.roster) {
		f.roster = roster
		f.roster.prepare(f.config.Self.Address)
		f.place = findPlace(f.roster, f.seeds, f.config.Self)
	}
}

// SetSeeds sets the addresses of the daemons to follow until a roster is known. A daemon that isn't one of them gives them some time to
// pass on what they know before it reads the store.
func (f *Follower) SetSeeds(addresses []string) {
	seeds := make([]Member, 0, len(addresses))
	for _, a := range addresses {
		seeds = append(seeds, Member{Address: a})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	isSeed := slices.ContainsFunc(seeds, func(m Member) bool { return m.Address == f.config.Self.Address })
	if f.seeds == nil && len(seeds) > 0 && !isSeed {
		f.storeFrom = f.config.Now().Add(seedWait/2 + rand.N(seedWait))
	}
	f.seeds = seeds
	f.place = findPlace(f.roster, f.seeds, f.config.Self)
}

// seedWait is the mean time that seeds have for passing on what they know. They need a few calls to the store when all daemons start at
// once. The actual time is random, so that daemons that get nothing don't all turn to the store at the same moment.
const seedWait = 600 * time.Millisecond

// loadWait is added while a source has answered but has not passed on what it knows: in a fleet that starts, that takes a few rounds.
const loadWait = 1500 * time.Millisecond

// IsReader reports whether this daemon is one of those that read the store on behalf of all.
func (f *Follower) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.place.reader
}

// ShouldReadStore reports whether this daemon should read the store itself: because it is a reader, or because no peer sent
// it a confirmation that is within MaxAge.
func (f *Follower) ShouldReadStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	storeFrom := f.storeFrom
	if storeFrom > 0 && f.freshUntil == 0 && f.heard.Load() {
		storeFrom = storeFrom.Add(loadWait)
	}
	return f.place.reader || now > f.freshUntil.Add(f.patience()) && now >= storeFrom
}

const (
	// maxPatience and patiencePerMember bound the time for which a daemon without a fresh source looks for another before it reads the store
	// itself. The time is drawn anew for each daemon, so that those of a large fleet that lose their source at once find one that
	// has read the store, instead of all reading it.
	maxPatience       = time.Second
	patiencePerMember = 5 * time.Millisecond
)

// patience returns that time, for callers that hold the lock. It is 0 before the first fresh source.
func (f *Follower) patience() time.Duration {
	if f.freshUntil == 0 {
		return 0
	}
	longest := min(maxPatience, time.Duration(len(f.roster.Members))*patiencePerMember)
	if search := f.searchTime(); search > 0 {
		longest = min(longest, search/2)
	}
	return time.Duration(f.drawn * float64(longest))
}

// Run follows one source at a time until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		source, ok := f.nextSource()
		if !ok {
			crlclock.Sleep(ctx, sourceCheckInterval)
			continue
		}
		sentAt := f.config.Now()
		if f.follow(ctx, source) {
			f.attempts = 0
			crlclock.Sleep(ctx, max(f.redirectPause(), f.verificationPause()))
		} else {
			f.failures++
			f.attempts++
			f.lastFailure = f.config.Now()
			f.failedAt[source.Address] = f.lastFailure
			crlclock.Sleep(ctx, f.retryPause()-f.lastFailure.Sub(sentAt))
		}
		// Return to the preferred source, as it may have recovered.
		if f.config.Now().Sub(f.lastFailure) > retryPreferredAfter {
			f.failures = 0
			clear(f.failedAt)
		}
	}
	return ctx.Err()
}

// nextSource returns the source to call next, false if there is none or this daemon needs none.
func (f *Follower) nextSource() (Member, bool) {
	// These take locks whose holders may call the exported methods of f, so f.mu must not be held.
	upToDate := f.ownFreshUntil() > f.config.Now() && !f.config.StoreFailing() && !f.restoring() && !f.unverified()
	pending := f.config.Exchange.Pending()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.place.reader && upToDate {
		// A reader whose own reads succeed needs no source.
		first := f.roster.Members[0]
		return first, pending && first.Address != f.config.Self.Address
	}
	if len(f.place.sources) == 0 {
		return Member{}, false
	}
	return f.selectSource(), true
}

// restoring reports whether the store may lack records that other daemons still have, as it came back from an older copy.
func (f *Follower) restoring() bool {
	for _, replica := range f.config.Replicas {
		if replica.Restoring() {
			return true
		}
	}
	return false
}

// unverified reports whether a replica may hold records that other daemons know to have been carried out late.
func (f *Follower) unverified() bool {
	for _, replica := range f.config.Replicas {
		if replica.Unverified() {
			return true
		}
	}
	return false
}

// ownFreshUntil returns until when the confirmations of all this daemon's replicas are within MaxAge.
func (f *Follower) ownFreshUntil() crlclock.Instant {
	until := crlclock.Instant(math.MaxInt64)
	for topic, replica := range f.config.Replicas {
		if !replica.config.Optional {
			until = min(until, replica.ConfirmedAt().Add(f.config.MaxAge[topic]))
		}
	}
	return until
}

// follow makes one call to a source, applies the response, and reports whether its confirmations are within MaxAge.
func (f *Follower) follow(ctx context.Context, source Member) bool {
	if source.Address != f.source.Address {
		f.source, f.incarnation, f.sourceBehind = source, "", false
		clear(f.cursors)
		clear(f.disputed)
		f.config.Log.Event(EventSource, slog.String("source", source.Address), slog.Int("given-up", f.failures),
			slog.String("cause", f.cause), slog.Int64("generation", f.Roster().Generation),
			slog.Duration("left-ms", f.ownFreshUntil().Sub(f.config.Now())))
	}
	var response FollowResponse
	sentAt := f.config.Now()
	isNew := f.incarnation == "" || f.exchangedWith != f.incarnation
	wait, limit := f.callTimes()
	ctx, stop := withLimit(ctx, limit)
	defer stop()
	request := f.request(wait, isNew)
	err := f.config.Peers.Call(ctx, source.Address, MethodFollow, request, &response)
	if err != nil {
		f.cause = err.Error()
		f.countStall(err)
		f.logCall(response, sentAt, false)
		return false
	}
	f.heard.Store(true)
	f.stalls = 0
	if isNew || response.Source == f.incarnation {
		f.exchangedWith = response.Source
	}
	if response.Source != f.incarnation {
		// The source has ignored the cursors, and they mean nothing to it, whether or not it had anything to send.
		clear(f.cursors)
		clear(request.Cursors)
	}
	f.incarnation = response.Source
	f.sourceBehind = response.Roster != nil && response.Roster.isBefore(f.Roster())
	if response.Roster != nil {
		f.UpdateRoster(*response.Roster)
	}
	if response.Exchange != nil {
		f.config.Exchange.Learn(response.Exchange)
	}
	if len(response.Sources) > 0 {
		f.redirectTo(response.Sources)
		f.redirects++
		return true
	}
	f.redirects = 0
	fresh := f.apply(response, request.Cursors, sentAt)
	f.logCall(response, sentAt, fresh)
	return fresh
}

// request returns the next request to the source; isNew tells whether the source lacks the Exchange's first message.
func (f *Follower) request(wait time.Duration, isNew bool) FollowRequest {
	ends := f.ends()
	request := FollowRequest{
		Source: f.incarnation, Cursors: f.cursorsAt(ends), MaxWait: Milliseconds(wait.Milliseconds()), RosterDigest: f.Roster().digest(),
		Self: f.selfWithoutRoster(), Roster: f.rosterForSource(), Exchange: f.config.Exchange.Request(isNew), Await: f.await(), Decompresses: true,
		Unpacks: true, LargeFleet: f.inLargeFleet(),
	}
	request.Ends, request.Eras = splitPositions(ends)
	request.InForce, request.InForceEras = splitPositions(f.inForce())
	for topic, keys := range f.disputed {
		if request.Corrections == nil {
			request.Corrections = make(map[Topic]*Corrections)
		}
		request.Corrections[topic] = f.config.Replicas[topic].corrections(keys)
	}
	return request
}

// logCall logs a call that ended now, unless it was as expected. age-ms is that of the source's oldest confirmation when it replied, negative if the
// source had none or didn't reply.
func (f *Follower) logCall(response FollowResponse, sentAt crlclock.Instant, fresh bool) {
	took, held := f.config.Now().Sub(sentAt), time.Duration(response.HeldFor)*time.Millisecond
	if fresh && took-held < slowCall {
		return
	}
	age := Milliseconds(-1)
	for topic, replica := range f.config.Replicas {
		if delta, ok := response.Topics[topic]; ok && !replica.config.Optional {
			age = max(age, delta.ConfirmationAge)
		}
	}
	cause := f.cause
	if fresh {
		cause = "slow"
	}
	f.config.Log.Event(EventCall, slog.String("source", f.source.Address), slog.String("cause", cause), slog.Duration("call-ms", took),
		slog.Duration("held-ms", held), slog.Int64("age-ms", int64(age)), slog.Int64("generation", f.Roster().Generation))
}

// redirectTo makes the given daemons the sources until a roster is known.
func (f *Follower) redirectTo(sources []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.roster.Members) == 0 {
		f.place = place{depth: 2, sources: sources, preferred: len(sources)}
		f.failures = 0
	}
}

// redirectPause returns the time from a reply to the next call. It is 0 unless several replies in a row named other sources: daemons with different
// rosters may name each other, and would be called without a pause until their rosters are the same.
func (f *Follower) redirectPause() time.Duration {
	return min(retryPauseStep*time.Duration(max(f.redirects-1, 0)), FollowWait)
}

// verificationPause returns the time from a reply to the next call while a replica is unverified: its calls aren't held.
func (f *Follower) verificationPause() time.Duration {
	if f.unverified() {
		return verificationInterval
	}
	return 0
}

// selfWithoutRoster returns this daemon while it knows no roster, and nil afterwards.
func (f *Follower) selfWithoutRoster() *Member {
	if len(f.Roster().Members) > 0 {
		return nil
	}
	return &f.config.Self
}

// rosterForSource returns this daemon's roster if the source has an older one, and nil otherwise. A reader may learn of its part from
// its followers only.
func (f *Follower) rosterForSource() *Roster {
	if !f.sourceBehind {
		return nil
	}
	roster := f.Roster()
	return &roster
}

// cursorsAt returns the cursors of the replicas that end where their source did. A replica that was read from the store since then may hold keys that the
// source doesn't know to be deleted.
func (f *Follower) cursorsAt(ends map[Topic]crlid.Position) map[Topic]Cursor {
	cursors := make(map[Topic]Cursor, len(f.cursors))
	for topic, held := range f.cursors {
		if ends[topic] == held.end {
			cursors[topic] = held.cursor
		}
	}
	return cursors
}

// ends returns the positions up to which this daemon's loaded replicas are complete. A source sends all records of a replica without one.
func (f *Follower) ends() map[Topic]crlid.Position {
	ends := make(map[Topic]crlid.Position, len(f.config.Replicas))
	for topic, replica := range f.config.Replicas {
		if replica.Loaded() && !replica.Unverified() {
			ends[topic] = replica.End()
		}
	}
	return ends
}

// inForce returns the positions of the records that are in force at this daemon, by topics that have such records, so that no source sends a large one
// of them again.
func (f *Follower) inForce() map[Topic]crlid.Position {
	inForce := make(map[Topic]crlid.Position)
	for topic, replica := range f.config.Replicas {
		if position, ok := replica.positionInForce(); ok {
			inForce[topic] = position
		}
	}
	return inForce
}

// apply merges a response into the replicas and reports whether its confirmations are within MaxAge.
//
// The source replied no earlier than the sending of the call plus the time that it held the call. A confirmation dates from
// that moment, less its age at the source, so it never looks newer than it is.
//
// cursors are those that the source has used.
func (f *Follower) apply(response FollowResponse, cursors map[Topic]Cursor, sentAt crlclock.Instant) bool {
	for topic, replica := range f.config.Replicas {
		if delta, ok := response.Topics[topic]; !replica.config.Optional && (!ok || delta.ConfirmationAge < 0) {
			f.cause = string(topic) + " has no confirmation at the source"
			return false
		}
	}
	freshUntil := crlclock.Instant(math.MaxInt64)
	for _, topic := range f.config.ApplyOrder {
		replica := f.config.Replicas[topic]
		delta, ok := response.Topics[topic]
		if !ok || delta.ConfirmationAge < 0 {
			continue
		}
		confirmedAt := f.confirmedAt(sentAt, response.HeldFor, delta.ConfirmationAge)
		var after *crlid.Position
		if _, ok := cursors[topic]; ok {
			end := f.cursors[topic].end
			after = &end
		}
		switch end, err := f.applyTopic(topic, delta, after, confirmedAt); {
		case errors.Is(err, errOtherEnd):
			// The store was read meanwhile; the next call gets what comes after that.
			delete(f.cursors, topic)
			confirmedAt = replica.ConfirmedAt()
		case err != nil:
			f.cause = fmt.Sprintf("%s: %v", topic, err)
			return false
		case f.disputed[topic] != nil:
			// Changes at the source since then tell nothing of these keys, as it takes a record that is the same as its own for no change.
			delete(f.cursors, topic)
		default:
			f.cursors[topic] = heldCursor{delta.Cursor, end}
		}
		if replica.config.Optional {
			continue
		}
		maxAge := f.maxAge(topic)
		if age := f.config.Now().Sub(confirmedAt); age > maxAge {
			f.cause = fmt.Sprintf("%s was last confirmed %s ago", topic, age.Round(time.Millisecond))
		}
		freshUntil = min(freshUntil, confirmedAt.Add(maxAge))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshUntil = max(f.freshUntil, freshUntil)
	return freshUntil > f.config.Now()
}

// applyTopic merges what a source has sent of a topic, and notes the keys of which it was older than what this daemon has.
func (f *Follower) applyTopic(topic Topic, delta TopicDelta, after *crlid.Position, confirmedAt crlclock.Instant) (end crlid.Position, err error) {
	replica := f.config.Replicas[topic]
	replica.takeDisputed()
	end, err = delta.applyTo(replica, after, confirmedAt)
	delete(f.disputed, topic)
	if disputed := replica.takeDisputed(); len(disputed) > 0 {
		f.disputed[topic] = disputed
	}
	return end, err
}

// longestAge bounds the ages of confirmations in messages, so that computing with them doesn't overflow.
const longestAge = 24 * time.Hour

// confirmedAt returns the moment from which a confirmation dates, for a call that was sent at sentAt. A source can't have held the call for longer than
// it took: a confirmation from the future would replace all later ones and make the copy look fresh without a source.
func (f *Follower) confirmedAt(sentAt crlclock.Instant, heldFor, age Milliseconds) crlclock.Instant {
	held := min(max(heldFor, 0), Milliseconds(f.config.Now().Sub(sentAt).Milliseconds()))
	age = min(age, Milliseconds(longestAge.Milliseconds()))
	return sentAt.Add(time.Duration(held-age) * time.Millisecond)
}

// Self returns this daemon as a member of the roster.
func (f *Follower) Self() Member { return f.config.Self }

// Count returns the number of daemons in the roster, at least 1 for this daemon.
func (f *Follower) Count() int { return max(len(f.Roster().Members), 1) }
