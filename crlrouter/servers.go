package crlrouter

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

const (
	// EventServer is logged when the state of a backend server changes.
	EventServer crllog.Event = "server"
	// EventLateEntry is logged when an entry of a backend server is not used, as the server wrote it before the newest one that is known.
	EventLateEntry crllog.Event = "late-entry"
)

const (
	// lapseGracePeriod is how long after an outage of the store a server without an entry is kept, as the entry may return.
	lapseGracePeriod = 2200 * time.Millisecond
	// outageThreshold is the time without a confirmed read after which entries may have expired because servers could not
	// renew them. A server renews its entry three times within that time.
	outageThreshold = 2500 * time.Millisecond
	// entryWriteDelay is the longest time after which the store may carry out a server's write that got no answer.
	entryWriteDelay = 30 * time.Second
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
	late   atomic.Int64 // entries that were carried out late and not used
	mu     sync.Mutex   // guards the fields below
	// lapsed holds servers whose entries disappeared around an outage of the store. They stay in the fleet until the entry
	// returns or uncertainUntil has passed.
	lapsed         map[crlid.Server]bool
	announced      map[crlid.Server]crlid.Position // of the entries in the fleet
	uncertainUntil crlclock.Instant                // until then, a missing entry may return after an outage
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
			s.remove(id, r.Position)
			continue
		}
		entry, err := s.codec.DecodeServer(r)
		if err != nil {
			s.logger.Event(EventBadRecord, slog.String("key", r.Key), slog.Int64("offset", int64(r.Position.Offset)), slog.String("cause", err.Error()))
			s.drop(id)
			continue
		}
		delete(s.lapsed, id)
		s.announced[id] = r.Position
		s.fleet.Announce(entry, s.now())
	}
}

// revision returns the revision that a record of a server states, by its heartbeats. Heartbeats count anew in each process of the server, so they tell nothing
// unless the entry states when its process started. An entry that names no server that can be used may be from another writer, and tells nothing either.
func (s *serverEntries) revision(record crlplatform.KeyedRecord) crlid.Revision {
	heartbeat, ok := s.codec.DecodeHeartbeat(record)
	if !ok || heartbeat.StartedAt.IsZero() {
		return crlid.Revision{}
	}
	if _, err := s.codec.DecodeServer(record); err != nil {
		return crlid.Revision{}
	}
	return crlid.Revision{StartMS: heartbeat.StartedAt.UnixMilli(), Count: heartbeat.Count}
}

// noteLate logs and counts an entry that was written before the one in force and carried out late.
func (s *serverEntries) noteLate(record crlplatform.KeyedRecord, known crlid.Revision) {
	s.late.Add(1)
	late := s.revision(record)
	s.logger.Event(EventLateEntry, slog.String("server", record.Key), slog.Int64("offset", int64(record.Position.Offset)),
		slog.Int64("start-ms", late.StartMS), slog.Int64("count", late.Count),
		slog.Int64("known-start-ms", known.StartMS), slog.Int64("known-count", known.Count))
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

// remove removes a server whose entry was deleted, or keeps it as lapsed until uncertainUntil. An entry from after its deletion was carried out late, and has not
// expired.
func (s *serverEntries) remove(id crlid.Server, deletedAt crlid.Position) {
	if s.now() < s.uncertainUntil && !deletedAt.Before(s.announced[id]) {
		s.lapsed[id] = true
		return
	}
	s.drop(id)
}

// drop removes a server from the fleet.
func (s *serverEntries) drop(id crlid.Server) {
	s.fleet.Remove(id)
	delete(s.lapsed, id)
	delete(s.announced, id)
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
		s.drop(id)
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
