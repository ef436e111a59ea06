package crlrouter

import (
	"log/slog"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// EventServer is logged when the belief about a backend server changes.
const EventServer crllog.Event = "server"

// settle is how long after an outage of the store a missing entry may still come back.
const settle = 2200 * time.Millisecond

// servers keeps the fleet in step with the entries in the store; only its watch's goroutine uses it.
type servers struct {
	codec   Codec
	fleet   *crlfleet.Fleet
	now     crlclock.Clock
	lines   *crllog.Logger
	offsets map[string]crlid.Offset
	// doubtful holds servers whose entries lapsed around an outage, until they are back or the doubt ends.
	doubtful map[crlid.Server]bool
	lost     bool
	trusted  crlclock.Instant // trusted is when a missing entry means again that its server is gone.
}

// setLost takes whether the store can't be read.
func (s *servers) setLost(lost bool) {
	s.lost = lost
	if !lost {
		s.trusted = s.now().Add(settle)
	}
}

// replace takes the newest entry of every server.
func (s *servers) replace(records []crlplatform.KeyedRecord) {
	present := make(map[crlid.Server]bool, len(records))
	for _, r := range records {
		present[crlid.Server(r.Key)] = true
	}
	for _, id := range s.fleet.Servers() {
		if !present[id] {
			s.remove(id)
		}
	}
	s.change(records)
}

func (s *servers) change(records []crlplatform.KeyedRecord) {
	for _, r := range records {
		if known, ok := s.offsets[r.Key]; ok && r.Offset < known {
			continue
		}
		s.offsets[r.Key] = r.Offset
		id := crlid.Server(r.Key)
		if r.Deleted {
			s.remove(id)
			continue
		}
		entry, err := s.codec.DecodeServer(r)
		if err != nil {
			s.lines.Event(EventBadRecord, slog.String("key", r.Key), slog.Int64("offset", int64(r.Offset)), slog.String("cause", err.Error()))
			s.fleet.Remove(id)
			continue
		}
		delete(s.doubtful, id)
		s.fleet.Announce(entry, s.now())
	}
}

func (s *servers) remove(id crlid.Server) {
	if s.lost || s.now() < s.trusted {
		s.doubtful[id] = true
		return
	}
	s.fleet.Remove(id)
}

// settled removes the servers whose entries did not come back; it is called after each read.
func (s *servers) settled(crlclock.Instant) {
	if s.lost || s.now() < s.trusted {
		return
	}
	for id := range s.doubtful {
		s.fleet.Remove(id)
		delete(s.doubtful, id)
	}
}

// logTransition writes a line for each change of what the fleet believes.
func logTransition(lines *crllog.Logger) func(crlfleet.Transition) {
	return func(t crlfleet.Transition) {
		lines.Event(EventServer,
			slog.String("server", string(t.Server)), slog.String("belief", t.Belief.String()), slog.String("cause", t.Cause),
			slog.String("service", string(t.Entry.Service)), slog.String("version", string(t.Entry.Version)),
			slog.String("address", t.Entry.Address), slog.String("failure-domain", string(t.Entry.Domain)),
			slog.Duration("cold-ms", t.Entry.ColdLeft))
	}
}
