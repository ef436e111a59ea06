package crlrouter

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// EventServer is logged when the belief about a backend server changes.
const EventServer crllog.Event = "server"

const (
	// settle is how long after an outage of the store a missing entry may still come back.
	lapseGracePeriod = 2200 * time.Millisecond
	// outage is the time without proof from which entries may have lapsed for want of the store; servers write three times in it.
	outageThreshold = 2500 * time.Millisecond
)

// servers keeps the fleet in step with the entries in the store.
type serverEntries struct {
	codec  Codec
	fleet  *crlfleet.Fleet
	now    crlclock.Clock
	logger *crllog.Logger
	mu     sync.Mutex // mu guards all below.
	// doubtful holds servers whose entries lapsed around an outage, until they are back or the doubt ends.
	lapsed    map[crlid.Server]bool
	settledAt crlclock.Instant // trusted is when a missing entry means again that its server is gone.
}

// change takes entries; until unsettled, one that was dropped may come back.
func (s *serverEntries) apply(records []crlplatform.KeyedRecord, unsettled crlclock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settledAt = unsettled
	for _, r := range records {
		id := crlid.Server(r.Key)
		if r.Deleted {
			s.remove(id)
			continue
		}
		entry, err := s.codec.DecodeServer(r)
		if err != nil {
			s.logger.Event(EventBadRecord, slog.String("key", r.Key), slog.Int64("offset", int64(r.Offset)), slog.String("cause", err.Error()))
			s.fleet.Remove(id)
			continue
		}
		delete(s.lapsed, id)
		s.fleet.Announce(entry, s.now())
	}
}

// same reports whether two records of a server say the same of it, but for the count of its heartbeats.
func (s *serverEntries) sameEntry(before, after crlplatform.KeyedRecord) bool {
	old, err := s.codec.DecodeServer(before)
	if err != nil {
		return false
	}
	entry, err := s.codec.DecodeServer(after)
	return err == nil && entry == old && entry.ColdLeft == 0
}

func (s *serverEntries) remove(id crlid.Server) {
	if s.now() < s.settledAt {
		s.lapsed[id] = true
		return
	}
	s.fleet.Remove(id)
}

// run removes servers whose entries did not come back, until ctx ends.
func (s *serverEntries) run(ctx context.Context) error {
	for ctx.Err() == nil {
		crlclock.Sleep(ctx, idlePollInterval)
		s.removeLapsed()
	}
	return ctx.Err()
}

func (s *serverEntries) removeLapsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.settledAt {
		return
	}
	for id := range s.lapsed {
		s.fleet.Remove(id)
		delete(s.lapsed, id)
	}
}

// logTransition writes a line for each change of what the fleet believes.
func logTransition(lines *crllog.Logger) func(crlfleet.Transition) {
	return func(t crlfleet.Transition) {
		lines.Event(EventServer,
			slog.String("server", string(t.Server)), slog.String("belief", t.State.String()), slog.String("cause", t.Cause),
			slog.String("service", string(t.Entry.Service)), slog.String("version", string(t.Entry.Version)),
			slog.String("address", t.Entry.Address), slog.String("failure-domain", string(t.Entry.Domain)),
			slog.Duration("cold-ms", t.Entry.ColdLeft))
	}
}
