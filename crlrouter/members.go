package crlrouter

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

const (
	memberGroup = "routers"
	// groupTopics is the number of the group's topics. With the 12 partitions of each in present deployments, every daemon of the largest
	// planned fleet owns a partition.
	groupTopics  = 30
	joinInterval = 2 * time.Second
	// A daemon that has just started joins more often, as the partitions of others are reassigned to it when these have joined again.
	firstJoins            = 3
	firstJoinInterval     = time.Second
	memberTTL             = 6 * time.Second // three join intervals, so that one lost call does not end the membership
	rosterRefreshInterval = 5 * time.Second // time between refreshes by a daemon that reads the store, while the generation is unchanged
)

// EventMembership is logged when the roster changes or can't be refreshed, and when leaving the group fails.
const EventMembership crllog.Event = "membership"

// membership keeps the daemon in the store's group of routers and refreshes the roster of that group.
type membership struct {
	store    KeyedLog
	follower *crlrelay.Follower
	logger   *crllog.Logger
	now      crlclock.Clock
	slots    *crlbudget.SlotLeases
	// partitions is the number of partitions of each of the group's topics.
	partitions int
}

// share returns this daemon's share of fleet-wide limits, from 0 to 1.
func (m *membership) share() float64 { return m.slots.Share(m.now()) }

// memberName encodes a member as the name under which it joins the group.
func memberName(m crlrelay.Member) string {
	return m.Address + " " + string(m.Domain) + " " + strconv.Itoa(m.Strength)
}

// parseMember decodes a name made by memberName; ok is false for any other name.
func parseMember(name string) (member crlrelay.Member, ok bool) {
	fields := strings.Fields(name)
	const fieldCount = 3 // address, failure domain, strength
	if len(fields) != fieldCount {
		return crlrelay.Member{}, false
	}
	strength, err := strconv.Atoi(fields[2])
	return crlrelay.Member{Address: fields[0], Domain: crlid.Domain(fields[1]), Strength: strength}, err == nil
}

// run keeps the daemon in the group until ctx ends, and then leaves it.
func (m *membership) run(ctx context.Context) error {
	self := memberName(m.follower.Self())
	var era crlid.Era
	var generation int64
	var refreshedAt time.Time
	joins := 0
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
		sentAt := m.now()
		joined, err := m.store.Join(callCtx, crlplatform.Join{
			Group: memberGroup, Member: self, Topics: groupTopics, TTL: memberTTL, Generation: generation,
		})
		cancel()
		changed := err == nil && (joined.Generation != generation || joined.Era != era)
		if err == nil {
			era, generation = joined.Era, joined.Generation
			m.slots.Record(m.slotsOf(joined.Partitions), sentAt, m.now())
			joins++
		}
		// Only daemons that read the store fetch the roster; they relay it to the others.
		if err == nil && m.follower.ShouldReadStore() && (changed || time.Since(refreshedAt) > rosterRefreshInterval) {
			m.refreshRoster(ctx, era, generation)
			refreshedAt = time.Now()
		}
		if joins < firstJoins {
			crlclock.Sleep(ctx, firstJoinInterval)
		} else {
			crlclock.Sleep(ctx, joinInterval)
		}
	}
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownMargin)
	defer cancel()
	if err := m.store.Leave(leaveCtx, memberGroup, self); err != nil {
		m.logger.Event(EventMembership, slog.String("outcome", "leave failed"), slog.String("cause", err.Error()))
	}
	return ctx.Err()
}

// slotsOf returns the slots that belong to the partitions of this daemon: one for each.
func (m *membership) slotsOf(partitions []crlplatform.Partition) []crlbudget.Slot {
	slots := make([]crlbudget.Slot, 0, len(partitions))
	for _, p := range partitions {
		if p.Topic >= 0 && p.Topic < groupTopics && p.Number >= 0 && p.Number < m.partitions {
			slots = append(slots, crlbudget.Slot(p.Topic*m.partitions+p.Number))
		}
	}
	return slots
}

// refreshRoster reads the group's members from the store and passes them to the follower, sorted by strength and then by the
// partition that they own, so that all daemons agree on the first ones, which read the store.
func (m *membership) refreshRoster(ctx context.Context, era crlid.Era, generation int64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	defer cancel()
	owners, err := m.store.Owners(ctx, memberGroup)
	if err != nil {
		m.logger.Event(EventMembership, slog.String("outcome", "roster refresh failed"), slog.String("cause", err.Error()))
		return
	}
	slices.SortFunc(owners, func(a, b crlplatform.Owner) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Number, b.Number))
	})
	roster := crlrelay.Roster{Era: era, Generation: generation}
	seen := make(map[string]bool)
	for _, owner := range owners {
		member, ok := parseMember(owner.Member)
		if ok && !seen[owner.Member] {
			seen[owner.Member] = true
			roster.Members = append(roster.Members, member)
		}
	}
	// Strong members come first because a reader on a weak VM or a slow link delays every daemon that follows it.
	slices.SortStableFunc(roster.Members, func(a, b crlrelay.Member) int { return cmp.Compare(b.Strength, a.Strength) })
	if known := m.follower.Roster(); roster.Generation != known.Generation || roster.Era != known.Era {
		m.logger.Event(EventMembership, slog.Int64("generation", generation), slog.Int64("era", int64(era)), slog.Int("members", len(roster.Members)))
	}
	m.follower.UpdateRoster(roster)
}
