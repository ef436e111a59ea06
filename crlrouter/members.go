package crlrouter

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
)

const (
	memberGroup  = "routers"
	memberPeriod = 2 * time.Second // memberPeriod is how often a member says that it is there.
	memberTTL    = 6 * time.Second // memberTTL is three periods, so that one lost call changes nothing.
	shareMargin  = 0.8             // shareMargin covers members that hold a share for a moment after others joined.
	firstShare   = 1.0 / 24        // firstShare is for a daemon that knows nothing of the others yet.
)

// EventMembership is logged when a daemon's part of shared limits changes.
const EventMembership crllog.Event = "membership"

// members keeps the daemon's part of limits that all daemons share.
type members struct {
	log   KeyedLog
	self  crlid.Incarnation
	lines *crllog.Logger
	part  atomic.Uint64 // part holds the bits of a float64.
}

// share returns the daemon's part, above 0 and at most 1.
func (m *members) share() float64 {
	if bits := m.part.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return firstShare
}

// run keeps the daemon in the group until ctx ends.
func (m *members) run(ctx context.Context) error {
	var generation int64
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callSlack)
		membership, err := m.log.Join(call, memberGroup, m.self, memberTTL, generation)
		cancel()
		if err == nil && membership.Total > 0 {
			generation = membership.Generation
			m.take(shareMargin*max(float64(membership.Held)/float64(membership.Total), firstShare), generation)
		}
		sleep(ctx, memberPeriod)
	}
	return ctx.Err()
}

func (m *members) take(share float64, generation int64) {
	if share == m.share() {
		return
	}
	m.part.Store(math.Float64bits(share))
	m.lines.Event(EventMembership, slog.Float64("share", share), slog.Int64("generation", generation))
}
