package crlbudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

const (
	modelSlots   = 12
	modelTick    = 100 * time.Millisecond
	modelTTL     = 6 * time.Second // how long the store keeps a silent member's slots
	rateWindow   = time.Second     // in which the rate of a limit is counted
	joinPeriod   = 2 * time.Second
	maxCallDelay = 1200 * time.Millisecond
)

// slotModel is a store that assigns slots to daemons, and the daemons.
type slotModel struct {
	t            *rapid.T
	now          crlclock.Instant
	owner        [modelSlots]*slotDaemon
	told         [modelSlots]int // generation in which the owner was told, in a reply that may be lost, that it loses the slot; 0 if not
	generation   int
	rebalancedAt crlclock.Instant
	calm         bool // replies arrive at once
	daemons      []*slotDaemon
	used         [modelSlots]struct {
		by *slotDaemon
		at crlclock.Instant
	}
}

// slotDaemon is one daemon of a slotModel. A restart replaces its leases.
type slotDaemon struct {
	leases     *SlotLeases
	generation int // newest one that it received
	running    bool
	connected  bool
	paused     bool
	joinedAt   crlclock.Instant // when the store processed its newest join
	sentAt     crlclock.Instant // when it sent its newest join
	replies    []slotReply      // on their way to it
}

type slotReply struct {
	slots      []Slot
	sentAt     crlclock.Instant
	arrivesAt  crlclock.Instant
	generation int
}

func (m *slotModel) start() {
	m.daemons = append(m.daemons, &slotDaemon{leases: NewSlotLeases(modelSlots), running: true, connected: true})
}

// join processes a daemon's join at the store and sends the reply, which may be late or lost.
func (m *slotModel) join(d *slotDaemon) {
	d.sentAt, d.joinedAt = m.now, m.now
	members := 0
	for _, other := range m.daemons {
		if other.joinedAt != 0 && m.now.Sub(other.joinedAt) < modelTTL {
			members++
		}
	}
	share := (modelSlots + members - 1) / members
	var listed []Slot
	for slot, owner := range m.owner {
		switch {
		case owner == d && m.told[slot] > 0:
			if d.generation >= m.told[slot] {
				m.owner[slot], m.told[slot] = nil, 0
			}
		case owner == d && len(listed) == share:
			m.generation++
			m.told[slot] = m.generation
		case owner == d:
			listed = append(listed, Slot(slot))
		}
	}
	for slot, owner := range m.owner {
		if owner == nil && len(listed) < share {
			m.owner[slot] = d
			listed = append(listed, Slot(slot))
		}
	}
	delay := time.Duration(0)
	if !m.calm {
		if rapid.IntRange(0, 9).Draw(m.t, "reply lost") == 0 {
			return
		}
		delay = time.Duration(rapid.IntRange(0, int(maxCallDelay/modelTick)).Draw(m.t, "delay")) * modelTick
	}
	d.replies = append(d.replies, slotReply{slots: listed, sentAt: m.now, arrivesAt: m.now.Add(delay), generation: m.generation})
}

// advance moves the clock by a tick: the store expires members, daemons join and receive replies.
func (m *slotModel) advance() {
	m.now = m.now.Add(modelTick)
	for slot, owner := range m.owner {
		if owner != nil && m.now.Sub(owner.joinedAt) >= modelTTL {
			m.owner[slot], m.told[slot] = nil, 0
		}
	}
	for _, d := range m.daemons {
		if !d.running || d.paused {
			continue
		}
		for len(d.replies) > 0 && d.replies[0].arrivesAt <= m.now {
			d.leases.Record(d.replies[0].slots, d.replies[0].sentAt, m.now)
			d.generation, d.replies = d.replies[0].generation, d.replies[1:]
		}
		if d.connected && m.now.Sub(d.sentAt) >= joinPeriod {
			m.join(d)
		}
	}
	m.check()
}

// check fails if two daemons use a slot within the time in which rates are counted.
func (m *slotModel) check() {
	for slot := range m.used {
		for _, d := range m.daemons {
			if !d.running || d.paused || !d.leases.Holds(Slot(slot), m.now) {
				continue
			}
			used := &m.used[slot]
			if used.by != nil && used.by != d && m.now.Sub(used.at) < rateWindow {
				m.t.Fatalf("slot %d is used by two daemons within %s", slot, m.now.Sub(used.at))
			}
			used.by, used.at = d, m.now
		}
	}
}

// disturb does something at random to a daemon or to the store.
func (m *slotModel) disturb() {
	d := rapid.SampledFrom(m.daemons).Draw(m.t, "daemon")
	switch rapid.IntRange(0, 7).Draw(m.t, "kind") {
	case 0:
		d.running = false
	case 1: // A restart under the same name: the store keeps its slots.
		d.running, d.paused, d.leases, d.replies, d.generation = true, false, NewSlotLeases(modelSlots), nil, 0
	case 2:
		d.connected = false
	case 3:
		d.connected = true
	case 4:
		d.paused = true
	case 5:
		d.paused = false
	case 6:
		m.start()
	case 7: // The store deals all slots anew, of its own accord.
		if m.now.Sub(m.rebalancedAt) <= maxListingGap {
			return
		}
		m.rebalancedAt = m.now
		m.generation++
		for slot := range m.owner {
			m.owner[slot], m.told[slot] = nil, 0
			if other := rapid.SampledFrom(m.daemons).Draw(m.t, "owner"); m.now.Sub(other.joinedAt) < modelTTL {
				m.owner[slot] = other
			}
		}
	}
}

// TestSlotsHaveOneUser guards against limits that are exceeded while the group changes (FAILBACK): shares that daemons derived from
// rosters overlapped (7 daemons took 1.075 of a limit). It draws schedules of starts, kills, restarts, pauses, lost connections, late and
// lost replies and slots that are dealt anew. No slot may have two users, and after a calm time all slots must be in use.
func TestSlotsHaveOneUser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &slotModel{t: t, now: crlclock.Instant(time.Hour)}
		for range rapid.IntRange(1, 7).Draw(t, "daemons") {
			m.start()
		}
		for range rapid.IntRange(1, 400).Draw(t, "ticks") {
			if rapid.IntRange(0, 9).Draw(t, "disturbed") == 0 {
				m.disturb()
			}
			m.advance()
		}
		running := 0
		for _, d := range m.daemons {
			d.connected, d.paused = true, false
			if d.running {
				running++
			}
		}
		if running == 0 {
			return
		}
		m.calm = true
		for range 300 {
			m.advance()
		}
		sum := 0.0
		for _, d := range m.daemons {
			if d.running {
				sum += d.leases.Share(m.now)
			}
		}
		if sum < 1-1e-9 {
			t.Fatalf("%d daemons use %.2f of all slots after 30 s without disturbances", running, sum)
		}
	})
}

// TestPausedDaemonHoldsNoSlot guards against a daemon that was paused and acts on slots that have been given to others meanwhile.
func TestPausedDaemonHoldsNoSlot(t *testing.T) {
	l := NewSlotLeases(2)
	start := crlclock.Instant(time.Hour)
	for s := 0; s <= 8; s += 2 {
		at := start.Add(time.Duration(s) * time.Second)
		l.Record([]Slot{0, 1}, at, at)
	}
	now := start.Add(8 * time.Second)
	if !l.Holds(0, now) || l.Share(now) != 1 {
		t.Errorf("holds slot 0: %v, share %.1f after eight seconds of listings, want true and 1", l.Holds(0, now), l.Share(now))
	}
	now = now.Add(slotValidity + time.Millisecond)
	if l.Holds(0, now) || l.Share(now) != 0 {
		t.Errorf("holds slot 0: %v, share %.1f after a pause, want false and 0", l.Holds(0, now), l.Share(now))
	}
	l.Record([]Slot{0, 1}, now, now)
	if l.Holds(0, now) {
		t.Error("holds a slot right after a pause, in which another daemon may have held it")
	}
}
