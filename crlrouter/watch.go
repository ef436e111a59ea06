package crlrouter

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// KeyedLog is the part of the platform's store that the router uses.
type KeyedLog interface {
	Newest(ctx context.Context, topic, after string) (page crlplatform.KeyedPage, more bool, err error)
	Read(ctx context.Context, topic string, read crlplatform.KeyedRead) (crlplatform.KeyedPage, error)
	AppendAt(ctx context.Context, topic string, record crlplatform.KeyedRecord, at crlid.Offset) (end crlid.Offset, err error)
	Join(ctx context.Context, join crlplatform.Join) (generation int64, err error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) ([]crlplatform.Owner, error)
}

// Events that a watch logs.
const (
	EventStoreLost     crllog.Event = "store-lost"
	EventStoreRegained crllog.Event = "store-regained"
	EventHistoryLost   crllog.Event = "history-lost"
)

const (
	callSlack  = 1200 * time.Millisecond // callSlack is added to a read's wait; a slow store answers within 600 ms.
	firstRetry = 150 * time.Millisecond  // firstRetry is the pause after a failed read; it doubles up to lastRetry.
	idlePeriod = 100 * time.Millisecond  // idlePeriod is how often a daemon that follows another looks whether it should read itself.
	lastRetry  = 600 * time.Millisecond  // lastRetry keeps several tries within the time that a proof lasts.
)

// watchConfig configures a watch.
type watchConfig struct {
	log     KeyedLog
	topic   string
	wait    time.Duration // wait is how long the store holds a read when there is nothing new.
	pause   time.Duration // pause is the least time between two reads, for topics that change all the time.
	now     crlclock.Clock
	lines   *crllog.Logger
	replica *crlrelay.Replica
	// reads tells whether this daemon should read the store now, rather than follow another.
	reads func() bool
	// spread returns the further pause after a failure, so that a fleet doesn't press on a store that is down.
	spread func() time.Duration
	// failing counts the topics that this daemon can't read.
	failing *atomic.Int32
}

// watch follows one topic of the store.
type watch struct {
	config watchConfig
	failed crlclock.Instant // failed is when the topic could last be read, 0 while it can be.
}

func newWatch(config watchConfig) *watch { return &watch{config: config} }

// run follows the topic until ctx ends.
func (w *watch) run(ctx context.Context) error {
	retry := firstRetry
	for ctx.Err() == nil {
		if !w.config.reads() {
			crlclock.Sleep(ctx, idlePeriod)
			continue
		}
		began := time.Now()
		err := w.step(ctx)
		if err != nil {
			w.noteLost(err)
			crlclock.Sleep(ctx, retry/2+rand.N(retry))
			if w.config.replica.Loaded() {
				crlclock.Sleep(ctx, w.config.spread())
			}
			retry = min(2*retry, lastRetry)
			continue
		}
		w.noteRegained()
		retry = firstRetry
		crlclock.Sleep(ctx, w.config.pause-time.Since(began))
	}
	return ctx.Err()
}

// step reads what is new, or everything at first and after the history was dropped.
func (w *watch) step(ctx context.Context) error {
	if !w.config.replica.Loaded() {
		return w.bootstrap(ctx)
	}
	from, sent := w.config.replica.End(), w.config.now()
	// A read that brought records proved no more than when it was sent: the next one is held for what is left of the wait, and
	// the first one after an outage not at all.
	wait := max(w.config.wait-sent.Sub(w.config.replica.ConfirmedAt()), 0)
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	page, err := w.config.log.Read(ctx, w.config.topic, crlplatform.KeyedRead{From: from, Wait: wait})
	var refused *crlplatform.Error
	if errors.As(err, &refused) && refused.Trimmed {
		w.config.lines.Event(EventHistoryLost, slog.String("topic", w.config.topic), slog.Int64("next", int64(from)))
		return w.bootstrap(ctx)
	}
	if err != nil {
		return err
	}
	if len(page.Records) > 0 {
		from = page.Records[len(page.Records)-1].Offset + 1
		w.config.replica.Apply(page.Records, from)
	}
	if from < page.End {
		return nil // More records follow, so that nothing is proved yet.
	}
	// A read that the store held to its end shows that nothing changed while it was held.
	if elapsed := w.config.now().Sub(sent); len(page.Records) == 0 && elapsed >= wait {
		sent = sent.Add(wait)
	}
	w.config.replica.Confirm(sent)
	return nil
}

// bootstrap reads the newest record of every key.
func (w *watch) bootstrap(ctx context.Context) error {
	sent := w.config.now()
	ctx, cancel := context.WithTimeout(ctx, 2*callSlack)
	defer cancel()
	var records []crlplatform.KeyedRecord
	after, end := "", crlid.NoOffset
	for {
		page, more, err := w.config.log.Newest(ctx, w.config.topic, after)
		if err != nil {
			return err
		}
		records = append(records, page.Records...)
		if end == crlid.NoOffset {
			end = page.End // Later pages may hold what the first one misses; reads from its end bring that again.
		}
		if !more || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	w.config.replica.Replace(records, end)
	w.config.replica.Confirm(sent)
	return nil
}

func (w *watch) noteLost(err error) {
	if w.failed != 0 {
		return
	}
	w.failed = w.config.now()
	w.config.failing.Add(1)
	w.config.lines.Event(EventStoreLost,
		slog.String("topic", w.config.topic), slog.String("cause", err.Error()), slog.Int64("next", int64(w.config.replica.End())))
}

func (w *watch) noteRegained() {
	if w.failed == 0 {
		return
	}
	w.config.lines.Event(EventStoreRegained, slog.String("topic", w.config.topic),
		slog.Duration("lost-ms", w.config.now().Sub(w.failed)), slog.Int64("next", int64(w.config.replica.End())))
	w.failed = 0
	w.config.failing.Add(-1)
}
