package crlrelay

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

const (
	// searchFraction of a bound is kept for finding another source once the confirmations of one are too old: time for five attempts in a row
	// that get no reply, or about ten that do. It is what the ages of daemons that follow a reader leave of a bound of 2 s.
	searchFraction = 0.275
	// attemptsPerSearch is the number of attempts without a reply that fit into the time for the search.
	attemptsPerSearch = 5
	// attemptsPerStep is the number of attempts after which the time for one doubles, so that sources which are merely slow are waited for in the end.
	attemptsPerStep = 8
	// retryFailedAfter is the time after which a source without usable confirmations is called again while there are others. It is several attempts
	// long, and short enough for a source that finds another one itself to be of use within the search.
	retryFailedAfter = 250 * time.Millisecond
	// replyMargin is the time that a reply has beyond the held time while the copy is fresh: a call that is given up early costs a new one.
	replyMargin = 400 * time.Millisecond
)

// selectSource returns the source to call, for callers that hold the lock: the one whose latest call succeeded as long as the roster has it, and the next
// that has not failed lately otherwise. It doesn't depend on the roster's order which source failed, so a new roster doesn't restart the search.
func (f *Follower) selectSource() Member {
	sources, preferred := f.place.sources, f.place.preferred
	isSource := func(m Member) bool { return m.Address == f.source.Address }
	if f.failures > 0 && f.attempts == 0 && slices.ContainsFunc(sources, isSource) {
		return f.source
	}
	now := f.config.Now()
	for failures := f.failures; failures < f.failures+2*len(sources); failures++ {
		s := sources[sourceIndex(failures, len(sources), preferred)]
		if at, failed := f.failedAt[s.Address]; !failed || now.Sub(at) >= retryFailedAfter {
			return s
		}
	}
	return sources[sourceIndex(f.failures, len(sources), preferred)]
}

// retryPause returns the time from the start of a failed call to the next one. It is short for the quick attempts and grows then, so that a fleet without a
// confirmed daemon isn't busy with looking for one.
func (f *Follower) retryPause() time.Duration {
	return min(retryPauseStep*time.Duration(max(f.attempts-f.quickAttempts(), 1)), FollowWait)
}

// quickAttempts returns the number of attempts of a search with the shortest pause in between: as many as twice the time for the search has room for.
func (f *Follower) quickAttempts() int { return int(2 * f.searchTime() / retryPauseStep) }

// searchTime returns the time kept for finding another source, of the shortest bound, and 0 without bounds.
func (f *Follower) searchTime() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for topic := range f.config.Replicas {
		if bound := f.config.Bound[topic]; bound > 0 {
			shortest = min(shortest, bound)
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return time.Duration(searchFraction * float64(shortest))
}

// maxAge returns the greatest age of a topic's confirmation. A daemon whose confirmations come over further daemons may have older ones than one that
// follows a reader, as far as the bound leaves time for the search.
func (f *Follower) maxAge(topic Topic) time.Duration {
	f.mu.Lock()
	detour := time.Duration(max(f.place.depth-1, 0)) * FollowWait
	f.mu.Unlock()
	age, bound := f.config.MaxAge[topic], f.config.Bound[topic]
	if bound <= 0 {
		return age + detour
	}
	return max(age, min(age+detour, bound-time.Duration(searchFraction*float64(bound))))
}

// copyFreshUntil returns until when all confirmations of this daemon are recent enough; loaded is false if a topic was never confirmed.
func (f *Follower) copyFreshUntil() (until crlclock.Instant, loaded bool) {
	until, loaded = crlclock.Instant(math.MaxInt64), true
	for topic, replica := range f.config.Replicas {
		if replica.config.Optional {
			continue
		}
		confirmedAt := replica.ConfirmedAt()
		loaded = loaded && confirmedAt > 0 && replica.Loaded()
		until = min(until, confirmedAt.Add(f.maxAge(topic)))
	}
	return until, loaded
}

// await returns the confirmation for which the source should end the next call, nil for none: the one that expires first, if that is before a call could be
// held for its whole time. Otherwise a copy would be older than its source's by up to FollowWait, and twice as much over two calls.
func (f *Follower) await() *Await {
	now := f.config.Now()
	var awaited *Await
	first := FollowWait
	for topic, replica := range f.config.Replicas {
		confirmedAt := replica.ConfirmedAt()
		if left := confirmedAt.Add(f.maxAge(topic)).Sub(now); !replica.config.Optional && confirmedAt > 0 && left < first {
			first = left
			awaited = &Await{Topic: topic, Age: Milliseconds(now.Sub(confirmedAt).Milliseconds())}
		}
	}
	return awaited
}

// callTimes returns for how long the source may hold the next call, and the limit after which the follower gives it up, with a total of 0 for never.
//
// A source holds no call for longer than the follower's copy is fresh, and a call without a reply ends soon after. A large reply may then stall for the
// time of an attempt, and for twice as long after each large reply in a row that stalled: on a link that is merely slow the transfer begins anew a few times
// at most. The first load has no limit, as there is no copy to keep fresh. Once the quick attempts of a search are over, most likely no daemon is confirmed:
// the source then holds the call for the time of the pause to the next one, so that its first new confirmation is passed on at once.
func (f *Follower) callTimes() (wait time.Duration, limit crlpeer.ReplyLimit) {
	until, loaded := f.copyFreshUntil()
	search := f.searchTime()
	if !loaded || search == 0 {
		return FollowWait, crlpeer.ReplyLimit{}
	}
	left := max(until.Sub(f.config.Now()), 0)
	wait = min(left, FollowWait)
	if f.attempts > f.quickAttempts() {
		wait = max(wait, f.retryPause())
	}
	attempt := search / attemptsPerSearch << min(f.attempts/attemptsPerStep, attemptsPerSearch)
	return wait, crlpeer.ReplyLimit{
		Total: wait + max(min(left-wait, replyMargin), attempt), Stall: search / attemptsPerSearch << min(f.stalls, attemptsPerSearch),
	}
}

// countStall counts a failed call if a large reply had begun.
func (f *Follower) countStall(err error) {
	var callError *crlpeer.Error
	if errors.As(err, &callError) && callError.Received >= crlpeer.LargeReplyBytes {
		f.stalls++
	}
}

// withLimit returns a context for a call that ends after the limit, unless its total is 0.
func withLimit(ctx context.Context, limit crlpeer.ReplyLimit) (limited context.Context, stop func()) {
	if limit.Total == 0 {
		return ctx, func() {}
	}
	return crlpeer.WithReplyLimit(ctx, limit)
}
