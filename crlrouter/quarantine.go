package crlrouter

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlquarantine"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// EventQuarantine is logged when requests with a part of a prompt are kept from backend servers or no longer are, and when that can't be written
// to the store.
const EventQuarantine crllog.Event = "quarantine"

const (
	// quarantineLongPoll is short enough for a read on a connection that has gone silent to end, and the next one to be answered, within 3 s.
	quarantineLongPoll      = 1500 * time.Millisecond
	quarantineCheckInterval = 10 * time.Second       // time between checks for records that are old
	conflictPause           = 100 * time.Millisecond // mean pause after a conflict with the write of another router
	failedWritePause        = 2 * time.Second        // mean pause after a write that the store did not take

	// suspicionWrites is the number of writes per second of all daemons together that are not urgent, conflicts included. Servers that crash all
	// at once make all daemons write.
	suspicionWrites = 80.0
	suspicionBurst  = 0.2 // part of a daemon's share of suspicionWrites that it may write at once, at least one write
	// suspicionSpread is the time per daemon over which the first writes after a crash are spread, maxSuspicionSpread at most.
	suspicionSpread    = 10 * time.Millisecond
	maxSuspicionSpread = 1500 * time.Millisecond
)

// quarantineLedger keeps a Registry and its topic in the store in step.
type quarantineLedger struct {
	registry *crlquarantine.Registry
	store    KeyedLog
	topic    string
	logger   *crllog.Logger
	replica  *crlrelay.Replica // replica of the topic; a write fails unless the topic ends where the replica does
	daemons  func() int
	now      crlclock.Clock
	bucket   crlbudget.Bucket // of writes that are not urgent
}

// ownsPart returns a function that reports whether this daemon holds the slot of a part.
func ownsPart(slots *crlbudget.SlotLeases, now crlclock.Clock) func(crlquarantine.Suspect) bool {
	return func(part crlquarantine.Suspect) bool {
		return slots.Holds(crlbudget.Slot(xxhash.Sum64String(string(part))%uint64(slots.Count())), now())
	}
}

// logQuarantine returns a function that logs the start and the end of quarantines.
func logQuarantine(logger *crllog.Logger) func(crlquarantine.Transition) {
	return func(t crlquarantine.Transition) {
		logger.Event(EventQuarantine, slog.String("part", string(t.Record.Suspect)), slog.Bool("quarantined", t.Quarantined),
			slog.String("cause", t.Cause), slog.Any("crashes", t.Record.Crashes))
	}
}

// apply applies records that any daemon wrote.
func (l *quarantineLedger) apply(records []crlplatform.KeyedRecord, _ crlclock.Instant) {
	for _, r := range records {
		part := crlquarantine.Suspect(r.Key)
		if r.Deleted {
			l.registry.Remove(part)
			continue
		}
		record, err := crlquarantine.Decode(part, r.Value)
		if err != nil {
			l.logger.Event(EventBadRecord, slog.String("key", r.Key), slog.Int64("offset", int64(r.Position.Offset)), slog.String("cause", err.Error()))
			continue
		}
		l.registry.Apply(record)
	}
}

// run writes the changes that are due until ctx ends.
func (l *quarantineLedger) run(ctx context.Context) error {
	ticker := crlclock.NewTicker(quarantineCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-l.registry.Changed():
		case <-ticker.C:
			l.writeLost(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
		// The first writes after a crash wait, but for urgent ones, as others may write at the same time.
		suspicionsFrom := l.now().Add(rand.N(min(time.Duration(l.daemons())*suspicionSpread, maxSuspicionSpread)))
		for ctx.Err() == nil {
			pause, paced := l.writeDue(ctx, suspicionsFrom)
			if pause == 0 {
				break
			}
			if !paced {
				// Routers that see the same crash write at the same time; a random pause separates them.
				crlclock.Sleep(ctx, pause/2+rand.N(pause))
				continue
			}
			l.waitForChange(ctx, pause)
		}
	}
	return ctx.Err()
}

// waitForChange waits for a pause, or until a change is due.
func (l *quarantineLedger) waitForChange(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.registry.Changed():
	case <-ctx.Done():
	}
}

// writeDue writes the changes that are due, those that are not urgent from a given moment on. It returns the time until the next try, 0 if none is
// left; paced reports whether only changes that are not urgent wait, otherwise the time is a mean.
func (l *quarantineLedger) writeDue(ctx context.Context, suspicionsFrom crlclock.Instant) (pause time.Duration, paced bool) {
	changes := l.registry.Due()
	if len(changes) > 0 && !l.replica.Loaded() {
		return failedWritePause, false
	}
	for _, change := range changes {
		if !change.Urgent {
			now := l.now()
			if now < suspicionsFrom {
				return suspicionsFrom.Sub(now), true
			}
			if limit := l.suspicionLimit(); !l.bucket.Take(limit, now) {
				return time.Duration(float64(time.Second) / limit.PerSecond), true
			}
		}
		if pause := l.write(ctx, change); pause > 0 {
			return pause, false
		}
	}
	return 0, false
}

// suspicionLimit returns this daemon's share of the writes that are not urgent.
func (l *quarantineLedger) suspicionLimit() crlbudget.Limit {
	share := suspicionWrites / float64(l.daemons())
	return crlbudget.Limit{PerSecond: share, Burst: max(1, suspicionBurst*share)}
}

// write appends a change on the condition that the topic still ends where the replica does, so that what another daemon has written meanwhile
// is merged first. It returns the mean pause until the next try, 0 if it succeeded.
func (l *quarantineLedger) write(ctx context.Context, change crlquarantine.Change) time.Duration {
	record := crlplatform.KeyedRecord{Key: string(change.Record.Suspect), Deleted: change.Delete}
	if !change.Delete {
		value, err := change.Record.Encode()
		if err != nil {
			l.logger.Event(EventBadRecord, slog.String("key", record.Key), slog.String("cause", err.Error()))
			return 0
		}
		record.Value = value
	}
	return l.append(ctx, record)
}

// writeLost writes records that the store has lost, as far as this daemon's share of writes that are not urgent allows.
func (l *quarantineLedger) writeLost(ctx context.Context) {
	for _, record := range l.replica.Lost() {
		if !l.bucket.Take(l.suspicionLimit(), l.now()) || l.append(ctx, record) > 0 {
			return
		}
	}
}

// append appends a record on the condition that the topic still ends where the replica does. It returns the mean pause until the next try, 0 if it
// succeeded.
func (l *quarantineLedger) append(ctx context.Context, record crlplatform.KeyedRecord) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	defer cancel()
	at := l.replica.End()
	end, err := l.store.AppendAt(ctx, l.topic, record, at)
	if err == nil {
		record.Position = at
		l.replica.Apply([]crlplatform.KeyedRecord{record}, end)
		return 0
	}
	var conflict *crlplatform.Conflict
	if errors.As(err, &conflict) {
		return conflictPause
	}
	l.logger.Event(EventQuarantine, slog.String("part", record.Key), slog.String("cause", "not written: "+err.Error()))
	return failedWritePause
}
