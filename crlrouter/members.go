package crlrouter

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

const (
	memberGroup           = "routers"
	groupTopics           = 30              // memberTopics of 12 partitions each leave one partition for each daemon of the planned size.
	joinInterval          = 2 * time.Second // memberPeriod is how often a member says that it is there.
	memberTTL             = 6 * time.Second // memberTTL is three periods, so that one lost call changes nothing.
	rosterRefreshInterval = 5 * time.Second // rosterPeriod is how often a reader looks at the roster without a change.
)

// EventMembership is logged when the roster changes.
const EventMembership crllog.Event = "membership"

// members keeps the daemon in the group of all daemons and knows who else is in it.
type membership struct {
	store    KeyedLog
	follower *crlrelay.Follower
	logger   *crllog.Logger
	now      crlclock.Clock
	shares   *shareCalculator
}

// share returns the daemon's part of limits that all daemons share, above 0 and at most 1.
func (m *membership) share() float64 { return m.shares.share(m.follower.Roster(), m.now()) }

// memberName encodes a member as the name under which it joins.
func memberName(m crlrelay.Member) string {
	return m.Address + " " + string(m.Domain) + " " + strconv.Itoa(m.Strength)
}

// parseMember decodes the name of a member; ok is false for names that no router made.
func parseMember(name string) (member crlrelay.Member, ok bool) {
	fields := strings.Fields(name)
	const parts = 3
	if len(fields) != parts {
		return crlrelay.Member{}, false
	}
	strength, err := strconv.Atoi(fields[2])
	return crlrelay.Member{Address: fields[0], Domain: crlid.Domain(fields[1]), Strength: strength}, err == nil
}

// run keeps the daemon in the group until ctx ends, and then leaves it.
func (m *membership) run(ctx context.Context) error {
	self := memberName(m.follower.Self())
	var generation int64
	var listed time.Time
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeoutMargin)
		joined, err := m.store.Join(call, crlplatform.Join{
			Group: memberGroup, Member: self, Topics: groupTopics, TTL: memberTTL, Generation: generation,
		})
		cancel()
		changed := err == nil && joined != generation
		if err == nil {
			generation = joined
			m.shares.recordJoin(m.now())
		}
		// Only daemons that read the store themselves look at the roster; the others get it from them.
		if err == nil && m.follower.ShouldReadStore() && (changed || time.Since(listed) > rosterRefreshInterval) {
			m.refreshRoster(ctx, generation)
			listed = time.Now()
		}
		crlclock.Sleep(ctx, joinInterval)
	}
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownMargin)
	defer cancel()
	if err := m.store.Leave(leave, memberGroup, self); err != nil {
		m.logger.Event(EventMembership, slog.String("outcome", "left without notice"), slog.String("cause", err.Error()))
	}
	return ctx.Err()
}

// list reads the roster; its order is that of strength and then of the partitions, so that all daemons agree on the first ones.
func (m *membership) refreshRoster(ctx context.Context, generation int64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	defer cancel()
	owners, err := m.store.Owners(ctx, memberGroup)
	if err != nil {
		m.logger.Event(EventMembership, slog.String("outcome", "kept the roster"), slog.String("cause", err.Error()))
		return
	}
	slices.SortFunc(owners, func(a, b crlplatform.Owner) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Partition, b.Partition))
	})
	roster := crlrelay.Roster{Generation: generation}
	seen := make(map[string]bool)
	for _, owner := range owners {
		member, ok := parseMember(owner.Member)
		if ok && !seen[owner.Member] {
			seen[owner.Member] = true
			roster.Members = append(roster.Members, member)
		}
	}
	// A reader on a weak VM or a slow link is late for all that follow it.
	slices.SortStableFunc(roster.Members, func(a, b crlrelay.Member) int { return cmp.Compare(b.Strength, a.Strength) })
	if roster.Generation != m.follower.Roster().Generation {
		m.logger.Event(EventMembership, slog.Int64("generation", generation), slog.Int("members", len(roster.Members)))
	}
	m.follower.UpdateRoster(roster)
}
