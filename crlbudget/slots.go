package crlbudget

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// Slot is one of the equal parts into which every limit that daemons share is divided.
type Slot int

const (
	// slotValidity is how long after the sending of a call a daemon may use the slots that the reply lists.
	slotValidity = 5 * time.Second
	// slotWait is how long a newly listed slot must stay listed before a daemon uses it. A daemon that held the slot before stops within
	// slotValidity of its last listing. The rest is longer than the second in which the rate of a limit is counted.
	slotWait = slotValidity + 1500*time.Millisecond
	// maxListingGap is the longest time between two listings within which a slot can't have been taken from a daemon and returned to it
	// without the daemon's knowledge: a member of the group keeps its slots for longer without a call.
	maxListingGap = 5 * time.Second
)

// SlotLeases tracks which slots this daemon may use. The platform's store assigns each slot to one daemon at a time. It may assign a
// slot anew at any time, so a daemon uses a slot only for a limited time after the store listed it, and only once that time is over for
// any other daemon that may have held it. So no two daemons ever use a slot at once, however late they learn of a change.
//
// It is safe for concurrent use.
type SlotLeases struct {
	count    int
	mu       sync.Mutex                // guards the fields below
	usableAt map[Slot]crlclock.Instant // by listed slot: from when this daemon may use it
	listedAt crlclock.Instant          // when the call was sent whose reply listed the slots last
}

// NewSlotLeases returns the leases of a daemon that holds none of count slots.
func NewSlotLeases(count int) *SlotLeases {
	return &SlotLeases{count: count, usableAt: make(map[Slot]crlclock.Instant)}
}

// Count returns the number of slots of all daemons.
func (l *SlotLeases) Count() int { return l.count }

// Record replaces the listed slots by those in the reply to a call.
func (l *SlotLeases) Record(slots []Slot, sentAt, receivedAt crlclock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.usableAt
	if receivedAt.Sub(l.listedAt) > maxListingGap {
		before = nil
	}
	l.usableAt = make(map[Slot]crlclock.Instant, len(slots))
	for _, slot := range slots {
		if at, ok := before[slot]; ok {
			l.usableAt[slot] = at
		} else {
			l.usableAt[slot] = receivedAt.Add(slotWait)
		}
	}
	l.listedAt = sentAt
}

// Forget drops all slots, as when the store has lost what it knew.
func (l *SlotLeases) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.usableAt)
}

// Holds reports whether the daemon may use a slot.
func (l *SlotLeases) Holds(slot Slot, now crlclock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.usableAt[slot]
	return ok && now >= at && l.valid(now)
}

// valid reports whether the newest listing may still be used.
func (l *SlotLeases) valid(now crlclock.Instant) bool { return now.Sub(l.listedAt) <= slotValidity }

// Share returns the part of all slots that the daemon may use, from 0 to 1.
func (l *SlotLeases) Share(now crlclock.Instant) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.valid(now) {
		return 0
	}
	usable := 0
	for _, at := range l.usableAt {
		if now >= at {
			usable++
		}
	}
	return float64(usable) / float64(l.count)
}
