package crlrouter

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// Parts of a common limit. Daemons that all know each other hold settledPart together; the rest is for those that others
// may not know, or no longer.
const (
	settledShare   = 0.8
	unsettledShare = 0.1
	// firstShare is the most of a daemon that its roster lacks, as the roster may lack others too; the rest is for ten of them.
	unlistedShare = 0.01
)

const (
	// peakMemory is how long daemons count at least that have left the roster: cut off from the store, they may serve on.
	peakWindow = time.Minute
	// confirmedFor is how long after its last call as a member a daemon holds a settled share, well within peakMemory.
	membershipValidity = 30 * time.Second
	// settleTime is how long after it was listed first a daemon holds a small part: by then all know it, and those that it can't
	// know, as they were cut off before, hold a small part too.
	settleTime = membershipValidity
	// firstSettleTime is for daemons that start with the whole fleet, before which none can have been cut off: two looks at the
	// roster, so that all know each other.
	initialSettleTime = 2 * rosterRefreshInterval
)

// shares derives a daemon's part of common limits from the rosters that it sees.
//
// No daemon asks another for its part. That the sum stays under the limit rests on three rules: the part is by the largest
// roster of the last minute, a daemon that was listed lately or lost its way to the store takes a small part, and one that
// its roster lacks a smaller one still.
type shareCalculator struct {
	self         crlrelay.Member
	settleTime   time.Duration // settle is how long the daemon counts as new.
	mu           sync.Mutex    // mu guards all below.
	peak         int           // peak is the largest size of the roster since peakFrom.
	previousPeak int           // earlier is the largest size in the peakMemory before that.
	peakSince    crlclock.Instant
	unlisted     bool             // unlisted is set until a roster has the daemon, and again when one lacks it.
	listedAt     crlclock.Instant // listed is when the daemon came, or came back, to the roster.
	joinedAt     crlclock.Instant // confirmed is the daemon's last call as a member.
}

// newShares returns the shares of a daemon that no roster has yet; first is set when the whole fleet starts.
func newShareCalculator(self crlrelay.Member, first bool) *shareCalculator {
	s := &shareCalculator{self: self, settleTime: settleTime, unlisted: true}
	if first {
		s.settleTime = initialSettleTime
	}
	return s
}

// confirm takes that the store took the daemon as a member.
func (s *shareCalculator) recordJoin(now crlclock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.joinedAt) > memberTTL {
		if s.joinedAt != 0 {
			s.settleTime = settleTime
		}
		s.listedAt = now // The store may have dropped it meanwhile, and daemons may have come that don't know it.
	}
	s.joinedAt = now
}

// of returns the part under a roster.
func (s *shareCalculator) share(roster crlrelay.Roster, now crlclock.Instant) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.peakSince) > peakWindow {
		s.previousPeak, s.peak, s.peakSince = s.peak, 0, now
	}
	s.peak = max(s.peak, len(roster.Members))
	size := float64(max(s.peak, s.previousPeak, 1))
	if !roster.Has(s.self) {
		s.unlisted = true
		return unlistedShare
	}
	if s.unlisted {
		s.unlisted, s.listedAt = false, now
	}
	if now.Sub(s.listedAt) < s.settleTime || now.Sub(s.joinedAt) > membershipValidity {
		return unsettledShare / size
	}
	return settledShare / size
}
