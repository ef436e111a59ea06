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
	callTimeoutMargin = 1200 * time.Millisecond // callSlack is added to a read's wait; a slow store answers within 600 ms.
	minRetryPause     = 150 * time.Millisecond  // firstRetry is the pause after a failed read; it doubles up to lastRetry.
	idlePollInterval  = 100 * time.Millisecond  // idlePeriod is how often a daemon that follows another looks whether it should read itself.
	maxRetryPause     = 600 * time.Millisecond  // lastRetry keeps several tries within the time that a proof lasts.
)

// watchConfig configures a watch.
type watcherConfig struct {
	store    KeyedLog
	topic    string
	longPoll time.Duration // wait is how long the store holds a read when there is nothing new.
	pause    time.Duration // pause is the least time between two reads, for topics that change all the time.
	now      crlclock.Clock
	logger   *crllog.Logger
	replica  *crlrelay.Replica
	// reads tells whether this daemon should read the store now, rather than follow another.
	shouldRead func() bool
	// spread returns the further pause after a failure, so that a fleet doesn't press on a store that is down.
	outageBackoff func() time.Duration
	// failing counts the topics that this daemon can't read.
	failingTopics *atomic.Int32
}

// watch follows one topic of the store.
type watcher struct {
	config      watcherConfig
	failedSince crlclock.Instant // failed is when the topic could last be read, 0 while it can be.
}

func newWatcher(config watcherConfig) *watcher { return &watcher{config: config} }

// run follows the topic until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	retry := minRetryPause
	for ctx.Err() == nil {
		if !w.config.shouldRead() {
			crlclock.Sleep(ctx, idlePollInterval)
			continue
		}
		began := time.Now()
		err := w.poll(ctx)
		if err != nil {
			w.noteLost(err)
			crlclock.Sleep(ctx, retry/2+rand.N(retry))
			if w.config.replica.Loaded() {
				crlclock.Sleep(ctx, w.config.outageBackoff())
			}
			retry = min(2*retry, maxRetryPause)
			continue
		}
		w.noteRegained()
		retry = minRetryPause
		crlclock.Sleep(ctx, w.config.pause-time.Since(began))
	}
	return ctx.Err()
}

// step reads what is new, or everything at first and after the history was dropped.
func (w *watcher) poll(ctx context.Context) error {
	if !w.config.replica.Loaded() {
		return w.bootstrap(ctx)
	}
	from, sent := w.config.replica.End(), w.config.now()
	// A read that brought records proved no more than when it was sent: the next one is held for what is left of the wait, and
	// the first one after an outage not at all.
	wait := max(w.config.longPoll-sent.Sub(w.config.replica.ConfirmedAt()), 0)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeoutMargin)
	defer cancel()
	page, err := w.config.store.Read(ctx, w.config.topic, crlplatform.KeyedRead{From: from, Wait: wait})
	var refused *crlplatform.Error
	if errors.As(err, &refused) && refused.Trimmed {
		w.config.logger.Event(EventHistoryLost, slog.String("topic", w.config.topic), slog.Int64("next", int64(from)))
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
func (w *watcher) bootstrap(ctx context.Context) error {
	sent := w.config.now()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeoutMargin)
	defer cancel()
	var records []crlplatform.KeyedRecord
	after, end := "", crlid.NoOffset
	for {
		page, more, err := w.config.store.Newest(ctx, w.config.topic, after)
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

func (w *watcher) noteLost(err error) {
	if w.failedSince != 0 {
		return
	}
	w.failedSince = w.config.now()
	w.config.failingTopics.Add(1)
	w.config.logger.Event(EventStoreLost,
		slog.String("topic", w.config.topic), slog.String("cause", err.Error()), slog.Int64("next", int64(w.config.replica.End())))
}

func (w *watcher) noteRegained() {
	if w.failedSince == 0 {
		return
	}
	w.config.logger.Event(EventStoreRegained, slog.String("topic", w.config.topic),
		slog.Duration("lost-ms", w.config.now().Sub(w.failedSince)), slog.Int64("next", int64(w.config.replica.End())))
	w.failedSince = 0
	w.config.failingTopics.Add(-1)
}
