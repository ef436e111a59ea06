package crlrouter

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// Shares of a fleet-wide limit. Settled daemons, which all list each other, hold settledShare together. The rest is for
// daemons that the others may not list yet, or no longer.
const (
	settledShare   = 0.8 // divided by the size of the roster, the share of one settled daemon
	unsettledShare = 0.1 // divided by the size of the roster, the share of one daemon that is listed but not settled
	// unlistedShare is for one daemon that its own roster lacks. The roster may lack others too, so the remaining tenth of the
	// limit covers ten of them.
	unlistedShare = 0.01
)

const (
	// peakWindow is the minimum time for which a daemon that left the roster still counts in the size that divides the
	// shares, as it may only be disconnected from the store and still serve requests.
	peakWindow = time.Minute
	// membershipValidity is how long after its last successful join a daemon may hold a settled share. It is well below
	// peakWindow, for which the other daemons still count this one.
	membershipValidity = 30 * time.Second
	// settleTime is how long a newly listed daemon holds an unsettled share. After that every connected daemon lists it, and
	// those that were disconnected before, which it can't list, have fallen back to an unsettled share too.
	settleTime = membershipValidity
	// initialSettleTime replaces settleTime when the whole fleet starts, as none can have been disconnected before. Two
	// refreshes of the roster are enough for all daemons to list each other.
	initialSettleTime = 2 * rosterRefreshInterval
)

// shareCalculator derives a daemon's share of fleet-wide limits from the rosters that it receives. It is safe for concurrent
// use.
//
// Daemons don't negotiate their shares. Three rules keep the sum under the limit: shares are divided by the size of the
// largest roster of at least the last minute; a daemon that was listed recently, or lost its connection to the store, takes
// unsettledShare; one that its own roster lacks takes unlistedShare.
type shareCalculator struct {
	self         crlrelay.Member
	settleTime   time.Duration // time from listedAt until the daemon counts as settled
	mu           sync.Mutex    // guards the fields below
	peak         int           // largest size of the roster since peakSince
	previousPeak int           // largest size of the roster in the window that ended at peakSince
	peakSince    crlclock.Instant
	unlisted     bool             // the newest roster lacks the daemon
	listedAt     crlclock.Instant // start of the settle time: when the daemon appeared in the roster, or joined again
	joinedAt     crlclock.Instant // last successful join, 0 for none
}

// newShareCalculator returns the calculator of a daemon that no roster lists yet; firstStart is set when the whole fleet
// starts for the first time.
func newShareCalculator(self crlrelay.Member, firstStart bool) *shareCalculator {
	s := &shareCalculator{self: self, settleTime: settleTime, unlisted: true}
	if firstStart {
		s.settleTime = initialSettleTime
	}
	return s
}

// recordJoin records that the store accepted the daemon's join, or its renewal, at now.
func (s *shareCalculator) recordJoin(now crlclock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.joinedAt) > memberTTL {
		if s.joinedAt != 0 {
			s.settleTime = settleTime
		}
		s.listedAt = now // The membership may have expired meanwhile, and new daemons may not list this one.
	}
	s.joinedAt = now
}

// share returns the share under the newest roster.
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
