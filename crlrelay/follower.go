package crlrelay

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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

// EventSource is logged when a follower switches to another source.
const EventSource crllog.Event = "relay-source"

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
	Exchange     Exchange                // nil for none
}

// Follower keeps this daemon's replicas up to date from those of another daemon, the source.
type Follower struct {
	config      FollowerConfig
	mu          sync.Mutex // guards roster, freshUntil and seeds; the fields below them belong to the goroutine of Run
	roster      Roster
	freshUntil  crlclock.Instant // until when the confirmations received from peers are within MaxAge, 0 at first
	seeds       []Member         // sources to try while the roster has no members
	source      Member
	cursors     map[Topic]Cursor
	incarnation crlid.Incarnation // incarnation of the source when it sent the cursors; empty before its first response
	// exchangedWith is the incarnation of the source that got the Exchange's first message; another one needs that message too.
	exchangedWith crlid.Incarnation
	failures      int // calls without usable confirmations, reset retryPreferredAfter after the latest; selects the source
	lastFailure   crlclock.Instant
	cause         string // why the latest call failed, or its confirmations were too old
}

// NewFollower returns a Follower without a roster or seeds.
func NewFollower(config FollowerConfig) *Follower {
	if config.Exchange == nil {
		config.Exchange = noExchange{}
	}
	return &Follower{config: config, cursors: make(map[Topic]Cursor)}
}

// Roster returns the newest roster that a source sent or UpdateRoster set, the zero Roster before the first.
func (f *Follower) Roster() Roster {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster
}

// UpdateRoster replaces the roster unless the current one has a later generation. Within a generation the last call wins, as
// readers list the roster repeatedly while the store reassigns partitions.
func (f *Follower) UpdateRoster(roster Roster) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if roster.Generation >= f.roster.Generation {
		f.roster = roster
	}
}

// SetSeeds sets the addresses of the daemons to follow until a roster is known.
func (f *Follower) SetSeeds(addresses []string) {
	seeds := make([]Member, 0, len(addresses))
	for _, a := range addresses {
		seeds = append(seeds, Member{Address: a})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// IsReader reports whether this daemon is one of those that read the store on behalf of all.
func (f *Follower) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isReader()
}

// ShouldReadStore reports whether this daemon should read the store itself: because it is a reader, or because no peer sent
// it a confirmation that is within MaxAge.
func (f *Follower) ShouldReadStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isReader() || f.config.Now() > f.freshUntil
}

// isReader is IsReader for callers that hold the lock.
func (f *Follower) isReader() bool {
	for i, m := range f.roster.Members {
		if i < ReaderCount && m.Address == f.config.Self.Address {
			return true
		}
	}
	return false
}

// Run follows one source at a time until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		source, ok := f.nextSource()
		if !ok {
			crlclock.Sleep(ctx, sourceCheckInterval)
			continue
		}
		if !f.follow(ctx, source) {
			f.failures++
			f.lastFailure = f.config.Now()
			crlclock.Sleep(ctx, min(retryPauseStep*time.Duration(f.failures), FollowWait))
		}
		// Return to the preferred source, as it may have recovered.
		if f.config.Now().Sub(f.lastFailure) > retryPreferredAfter {
			f.failures = 0
		}
	}
	return ctx.Err()
}

// nextSource returns the source to call next, false if there is none or this daemon needs none. It prefers readers of the same
// failure domain, then other readers, then any daemon; within a rank, the order differs from daemon to daemon.
func (f *Follower) nextSource() (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isReader() && f.ownFreshUntil() > f.config.Now() && !f.config.StoreFailing() {
		// A reader whose own reads succeed needs no source.
		first := f.roster.Members[0]
		return first, f.config.Exchange.Pending() && first.Address != f.config.Self.Address
	}
	type ranked struct {
		member Member
		rank   int // 0 is called first
		hash   uint64
	}
	var sources []ranked
	candidates := f.roster.Members
	if len(candidates) == 0 {
		candidates = f.seeds
	}
	for i, m := range candidates {
		if m.Address == f.config.Self.Address {
			continue
		}
		r := ranked{member: m, hash: xxhash.Sum64String(m.Address + f.config.Self.Address)}
		if i >= ReaderCount {
			r.rank = 2
		} else if m.Domain != f.config.Self.Domain {
			r.rank = 1
		}
		sources = append(sources, r)
	}
	if len(sources) == 0 {
		return Member{}, false
	}
	slices.SortFunc(sources, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash)) })
	return sources[sourceIndex(f.failures, len(sources))].member, true
}

// sourceIndex returns the index, among sources ranked with readers first, of the source to call after a number of failures.
// Every second attempt goes to a reader, as readers are the first to recover after an outage of the store; the attempts in
// between go through all sources.
func sourceIndex(failures, sources int) int {
	if sources <= 2*ReaderCount {
		return failures % sources
	}
	if failures%2 == 0 {
		return failures / 2 % min(ReaderCount, sources)
	}
	return (ReaderCount + failures/2) % sources
}

// ownFreshUntil returns until when the confirmations of all this daemon's replicas are within MaxAge.
func (f *Follower) ownFreshUntil() crlclock.Instant {
	until := crlclock.Instant(math.MaxInt64)
	for topic, replica := range f.config.Replicas {
		until = min(until, replica.ConfirmedAt().Add(f.config.MaxAge[topic]))
	}
	return until
}

// follow makes one call to a source, applies the response, and reports whether its confirmations are within MaxAge.
func (f *Follower) follow(ctx context.Context, source Member) bool {
	if source.Address != f.source.Address {
		f.source, f.incarnation = source, ""
		clear(f.cursors)
		f.config.Log.Event(EventSource, slog.String("source", source.Address), slog.Int("given-up", f.failures),
			slog.String("cause", f.cause))
	}
	var response FollowResponse
	sentAt := f.config.Now()
	isNew := f.incarnation == "" || f.exchangedWith != f.incarnation
	err := f.config.Peers.Call(ctx, source.Address, MethodFollow, FollowRequest{
		Source: f.incarnation, Cursors: f.cursors, MaxWait: Milliseconds(FollowWait.Milliseconds()), RosterDigest: f.Roster().digest(),
		Exchange: f.config.Exchange.Request(isNew),
	}, &response)
	if err != nil {
		f.cause = err.Error()
		return false
	}
	if isNew || response.Source == f.incarnation {
		f.exchangedWith = response.Source
	}
	f.incarnation = response.Source // A source with another incarnation has ignored the cursors and sent all records.
	if response.Roster != nil {
		f.UpdateRoster(*response.Roster)
	}
	if response.Exchange != nil {
		f.config.Exchange.Learn(response.Exchange)
	}
	return f.apply(response, sentAt)
}

// apply merges a response into the replicas and reports whether its confirmations are within MaxAge.
//
// The source replied no earlier than the sending of the call plus the time that it held the call. A confirmation dates from
// that moment, less its age at the source, so it never looks newer than it is.
func (f *Follower) apply(response FollowResponse, sentAt crlclock.Instant) bool {
	for topic := range f.config.Replicas {
		if delta, ok := response.Topics[topic]; !ok || delta.ConfirmationAge < 0 {
			f.cause = string(topic) + " has no confirmation at the source"
			return false
		}
	}
	freshUntil := crlclock.Instant(math.MaxInt64)
	for _, topic := range f.config.ApplyOrder {
		replica, delta := f.config.Replicas[topic], response.Topics[topic]
		if delta.Full {
			replica.Replace(delta.Records, delta.End)
		} else {
			replica.Apply(delta.Records, delta.End)
		}
		f.cursors[topic] = delta.Cursor
		confirmedAt := sentAt.Add(time.Duration(response.HeldFor-delta.ConfirmationAge) * time.Millisecond)
		replica.Confirm(confirmedAt)
		if age := f.config.Now().Sub(confirmedAt); age > f.config.MaxAge[topic] {
			f.cause = fmt.Sprintf("%s was last confirmed %s ago", topic, age.Round(time.Millisecond))
		}
		freshUntil = min(freshUntil, confirmedAt.Add(f.config.MaxAge[topic]))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshUntil = max(f.freshUntil, freshUntil)
	return freshUntil > f.config.Now()
}

// Self returns this daemon as a member of the roster.
func (f *Follower) Self() Member { return f.config.Self }

// Count returns the number of daemons in the roster, at least 1 for this daemon.
func (f *Follower) Count() int { return max(len(f.Roster().Members), 1) }
