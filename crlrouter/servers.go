package crlrouter

import (
	"cmp"
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

// EventServer is logged when the state of a backend server changes.
const EventServer crllog.Event = "server"

const (
	// lapseGracePeriod is how long after an outage of the store a server without an entry is kept, as the entry may return.
	lapseGracePeriod = 2200 * time.Millisecond
	// outageThreshold is the time without a confirmed read after which entries may have expired because servers could not
	// renew them. A server renews its entry three times within that time.
	outageThreshold = 2500 * time.Millisecond
)

// Heartbeat orders the entries that a backend server writes.
type Heartbeat struct {
	StartedAt time.Time // when the server's process started, the zero time if that isn't stated
	Count     int64     // of the heartbeats of that process
}

// serverEntries applies the backend servers' entries in the store to the fleet.
type serverEntries struct {
	codec  Codec
	fleet  *crlfleet.Fleet
	now    crlclock.Clock
	logger *crllog.Logger
	mu     sync.Mutex // guards the fields below
	// lapsed holds servers whose entries disappeared around an outage of the store. They stay in the fleet until the entry
	// returns or uncertainUntil has passed.
	lapsed         map[crlid.Server]bool
	uncertainUntil crlclock.Instant // until then, a missing entry may return after an outage
}

// apply applies changed entries. A server whose entry is deleted before uncertainUntil is kept until then, as the entry may
// return.
func (s *serverEntries) apply(records []crlplatform.KeyedRecord, uncertainUntil crlclock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uncertainUntil = uncertainUntil
	for _, r := range records {
		id := crlid.Server(r.Key)
		if r.Deleted {
			s.remove(id)
			continue
		}
		entry, err := s.codec.DecodeServer(r)
		if err != nil {
			s.logger.Event(EventBadRecord, slog.String("key", r.Key), slog.Int64("offset", int64(r.Position.Offset)), slog.String("cause", err.Error()))
			s.fleet.Remove(id)
			continue
		}
		delete(s.lapsed, id)
		s.fleet.Announce(entry, s.now())
	}
}

// compare orders two entries of a server by their heartbeats; ok is false if they don't tell. Heartbeats count anew in each process of the server, so they
// tell nothing unless both entries state when theirs started.
func (s *serverEntries) compare(a, b crlplatform.KeyedRecord) (order int, ok bool) {
	first, isFirst := s.codec.DecodeHeartbeat(a)
	second, isSecond := s.codec.DecodeHeartbeat(b)
	if !isFirst || !isSecond || first.StartedAt.IsZero() || second.StartedAt.IsZero() {
		return 0, false
	}
	return cmp.Or(first.StartedAt.Compare(second.StartedAt), cmp.Compare(first.Count, second.Count)), true
}

// sameEntry reports whether two records of a server differ at most in the heartbeat count. A cold server's record always
// counts as changed, since its remaining cold time does.
func (s *serverEntries) sameEntry(before, after crlplatform.KeyedRecord) bool {
	old, err := s.codec.DecodeServer(before)
	if err != nil {
		return false
	}
	entry, err := s.codec.DecodeServer(after)
	return err == nil && entry == old && entry.ColdLeft == 0
}

// remove removes a server whose entry was deleted, or keeps it as lapsed until uncertainUntil.
func (s *serverEntries) remove(id crlid.Server) {
	if s.now() < s.uncertainUntil {
		s.lapsed[id] = true
		return
	}
	s.fleet.Remove(id)
}

// run removes servers whose entries did not return after an outage, until ctx ends.
func (s *serverEntries) run(ctx context.Context) error {
	for ctx.Err() == nil {
		crlclock.Sleep(ctx, idlePollInterval)
		s.removeLapsed()
	}
	return ctx.Err()
}

// removeLapsed removes all lapsed servers once uncertainUntil has passed.
func (s *serverEntries) removeLapsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.uncertainUntil {
		return
	}
	for id := range s.lapsed {
		s.fleet.Remove(id)
		delete(s.lapsed, id)
	}
}

// logTransition returns a function that logs state changes of backend servers.
func logTransition(logger *crllog.Logger) func(crlfleet.Transition) {
	return func(t crlfleet.Transition) {
		logger.Event(EventServer,
			slog.String("server", string(t.Server)), slog.String("belief", t.State.String()), slog.String("cause", t.Cause),
			slog.String("service", string(t.Entry.Service)), slog.String("version", string(t.Entry.Version)),
			slog.String("address", t.Entry.Address), slog.String("failure-domain", string(t.Entry.Domain)),
			slog.Duration("cold-ms", t.Entry.ColdLeft))
	}
}
