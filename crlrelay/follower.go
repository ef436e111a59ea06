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

// Caller calls peers.
type Caller interface {
	Call(ctx context.Context, address string, method crlpeer.Method, params, result any) error
}

const (
	// FollowWait is how long a follower's call is held; a follower's proof is that much older than its reader's.
	FollowWait = 500 * time.Millisecond
	// pauseAfterFailure is the pause before the next source is tried, and grows with each one in a row.
	retryPauseStep = 50 * time.Millisecond
	// idlePeriod is how often a reader looks whether it needs a source after all.
	readerPollPeriod = 200 * time.Millisecond
	// returnAfter is how long a follower stays with a source that isn't its first one, about the length of an outage.
	retryPreferredAfter = 10 * time.Second
	// Readers is the number of daemons that read the store, two so that one may fail unnoticed.
	ReaderCount = 2
)

// EventSource is logged when a follower turns to another source.
const EventSource crllog.Event = "relay-source"

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Self         Member
	Replicas     map[Topic]*Replica
	ApplyOrder   []Topic // Order is the one in which news of the topics are taken, for topics that refer to others.
	Peers        Caller
	Now          crlclock.Clock
	Log          *crllog.Logger
	StoreFailing func() bool             // Failing reports whether this daemon's own reads of the store fail.
	MaxAge       map[Topic]time.Duration // Fresh bounds the age of each topic's proof, beyond which another source is looked for.
}

// Follower keeps replicas in step with a reader's.
type Follower struct {
	config     FollowerConfig
	mu         sync.Mutex // mu guards roster, fresh and seeds.
	roster     Roster
	freshUntil crlclock.Instant // fresh is the end of the time for which the proofs that came from peers are good enough, 0 at first.
	seeds      []Member         // seeds are asked while no roster is known.
	source     Member
	cursors    map[Topic]Cursor
	// incarnation is the source's, that the cursors are of.
	incarnation crlid.Incarnation
	failures    int // turn counts the sources that were given up.
	lastFailure crlclock.Instant
	cause       string // cause is why the last source was given up.
}

// NewFollower returns a follower that knows no other daemon.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{config: config, cursors: make(map[Topic]Cursor)}
}

// Roster returns the newest known roster.
func (f *Follower) Roster() Roster {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster
}

// Learn takes a roster unless one of a later generation is known. Within a generation the one learned last counts, since
// readers list it again and again while partitions move.
func (f *Follower) UpdateRoster(roster Roster) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if roster.Generation >= f.roster.Generation {
		f.roster = roster
	}
}

// Seed takes addresses of daemons that may know more than this one, for the time until a roster is known.
func (f *Follower) SetSeeds(addresses []string) {
	seeds := make([]Member, 0, len(addresses))
	for _, a := range addresses {
		seeds = append(seeds, Member{Address: a})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Reader reports whether this daemon is one of those that read the store for all.
func (f *Follower) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isReader()
}

// Reads reports whether this daemon should read the store itself: as a reader, or for want of a fresh proof from a peer.
func (f *Follower) ShouldReadStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isReader() || f.config.Now() > f.freshUntil
}

func (f *Follower) isReader() bool {
	for i, m := range f.roster.Members {
		if i < ReaderCount && m.Address == f.config.Self.Address {
			return true
		}
	}
	return false
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		source, ok := f.nextSource()
		if !ok {
			crlclock.Sleep(ctx, readerPollPeriod)
			continue
		}
		if !f.follow(ctx, source) {
			f.failures++
			f.lastFailure = f.config.Now()
			crlclock.Sleep(ctx, min(retryPauseStep*time.Duration(f.failures), FollowWait))
		}
		// The first source is tried again after a while, as it may have recovered.
		if f.config.Now().Sub(f.lastFailure) > retryPreferredAfter {
			f.failures = 0
		}
	}
	return ctx.Err()
}

// next returns the source to ask: readers first, those of the same failure domain before others, then any daemon.
func (f *Follower) nextSource() (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isReader() && f.ownFreshUntil() > f.config.Now() && !f.config.StoreFailing() {
		return Member{}, false // A reader whose own reads succeed needs no other.
	}
	type ranked struct {
		member Member
		rank   int
		hash   uint64
	}
	var sources []ranked
	known := f.roster.Members
	if len(known) == 0 {
		known = f.seeds
	}
	for i, m := range known {
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

// sourceAt returns the place of the source for a turn: every other turn asks a reader, as those know first when the store
// is back; the turns between go through all.
func sourceIndex(turn, sources int) int {
	if sources <= 2*ReaderCount {
		return turn % sources
	}
	if turn%2 == 0 {
		return turn / 2 % min(ReaderCount, sources)
	}
	return (ReaderCount + turn/2) % sources
}

// ownFresh returns until when the proofs that the daemon holds are good enough.
func (f *Follower) ownFreshUntil() crlclock.Instant {
	end := crlclock.Instant(math.MaxInt64)
	for topic, r := range f.config.Replicas {
		end = min(end, r.ConfirmedAt().Add(f.config.MaxAge[topic]))
	}
	return end
}

// follow makes one call to a source and reports whether its proof is fresh.
func (f *Follower) follow(ctx context.Context, source Member) bool {
	if source.Address != f.source.Address {
		f.source, f.incarnation = source, ""
		clear(f.cursors)
		f.config.Log.Event(EventSource, slog.String("source", source.Address), slog.Int("given-up", f.failures),
			slog.String("cause", f.cause))
	}
	var news FollowResponse
	asked := f.config.Now()
	err := f.config.Peers.Call(ctx, source.Address, MethodFollow, FollowRequest{
		Source: f.incarnation, Cursors: f.cursors, MaxWait: Milliseconds(FollowWait.Milliseconds()), RosterDigest: f.Roster().digest(),
	}, &news)
	if err != nil {
		f.cause = err.Error()
		return false
	}
	f.incarnation = news.Source // The source gives all it has to a follower that knows another incarnation.
	if news.Roster != nil {
		f.UpdateRoster(*news.Roster)
	}
	return f.apply(news, asked)
}

// take applies news and reports whether they are fresh.
//
// The source answered no earlier than the call was sent and held; a proof is dated from there, less its age at the source.
func (f *Follower) apply(news FollowResponse, asked crlclock.Instant) bool {
	for topic := range f.config.Replicas {
		if t, ok := news.Topics[topic]; !ok || t.ConfirmationAge < 0 {
			f.cause = string(topic) + " is not known there"
			return false
		}
	}
	fresh := crlclock.Instant(math.MaxInt64)
	for _, topic := range f.config.ApplyOrder {
		replica, t := f.config.Replicas[topic], news.Topics[topic]
		if t.Full {
			replica.Replace(t.Records, t.End)
		} else {
			replica.Apply(t.Records, t.End)
		}
		f.cursors[topic] = t.Cursor
		proved := asked.Add(time.Duration(news.HeldFor-t.ConfirmationAge) * time.Millisecond)
		replica.Confirm(proved)
		if age := f.config.Now().Sub(proved); age > f.config.MaxAge[topic] {
			f.cause = fmt.Sprintf("proof of %s is %s old", topic, age.Round(time.Millisecond))
		}
		fresh = min(fresh, proved.Add(f.config.MaxAge[topic]))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshUntil = max(f.freshUntil, fresh)
	return fresh > f.config.Now()
}

// Self returns this daemon as a member.
func (f *Follower) Self() Member { return f.config.Self }

// Count returns the number of daemons in the roster, at least 1.
func (f *Follower) Count() int { return max(len(f.Roster().Members), 1) }
