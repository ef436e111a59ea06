package crlrouter

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// KeyedLog is the part of the platform's store that the router uses: topics of keyed records, and groups of members. Its
// methods may be called concurrently.
type KeyedLog interface {
	// Newest returns a page with the newest record of each key that follows the key after, or of each key if after is empty; more is
	// set unless that page is the last.
	Newest(ctx context.Context, topic, after string) (page crlplatform.KeyedPage, more bool, err error)
	// Read returns records from the offset of read.From on, in the era that the page's end states; when there are none, the store holds the call for up to
	// read.Wait. It fails with a *crlplatform.Error with Trimmed set if the store doesn't have that offset.
	Read(ctx context.Context, topic string, read crlplatform.KeyedRead) (crlplatform.KeyedPage, error)
	// AppendAt appends a record if the topic ends at the offset of at, and returns the topic's new end, which may be of another era. If the topic ends
	// elsewhere, it fails with a *crlplatform.Conflict.
	AppendAt(ctx context.Context, topic string, record crlplatform.KeyedRecord, at crlid.Position) (end crlid.Position, err error)
	// Join adds or renews a member, and returns its partitions; the generation changes with the group's members.
	Join(ctx context.Context, join crlplatform.Join) (crlplatform.Membership, error)
	// Leave removes a member from a group at once, before its time to live ends.
	Leave(ctx context.Context, group, member string) error
	// Owners returns the partitions of a group's topics, each with the member that owns it.
	Owners(ctx context.Context, group string) ([]crlplatform.Owner, error)
}

// Log events for reads of the store.
const (
	EventStoreLost     crllog.Event = "store-lost"
	EventStoreRegained crllog.Event = "store-regained"
	EventHistoryLost   crllog.Event = "history-lost"
	// EventStoreEra is logged for each topic once its reader sees that the store has come back from an older copy.
	EventStoreEra crllog.Event = "store-era"
)

const (
	callTimeoutMargin = 1200 * time.Millisecond // added to a long poll's wait; a slow store answers within 600 ms
	// storeTransferTimeout is the time that a read may take while its reply arrives; large configurations take seconds over a thin link.
	storeTransferTimeout = 5 * time.Second
	minRetryPause        = 150 * time.Millisecond // pause after a failed read; doubles up to maxRetryPause
	idlePollInterval     = 100 * time.Millisecond // time between checks whether to read the store, or to remove lapsed servers
	maxRetryPause        = 600 * time.Millisecond // short enough for several retries before the last confirmation is too old
)

// watcherConfig configures a watcher.
type watcherConfig struct {
	store    KeyedLog
	topic    string
	longPoll time.Duration // how long the store holds a read while there is nothing new
	pause    time.Duration // minimum time between the starts of two reads, for topics that change all the time
	now      crlclock.Clock
	logger   *crllog.Logger
	replica  *crlrelay.Replica
	// shouldRead reports whether this daemon should read the store now, rather than follow another.
	shouldRead func() bool
	// outageBackoff returns an extra pause after a failed read, so that many daemons don't overload a store that is failing.
	outageBackoff func() time.Duration
	// failingTopics counts the topics whose last read from the store failed.
	failingTopics *atomic.Int32
	optional      bool // whether failed reads of the topic say nothing about the store
	// history states that records tell their order beside their positions: the watcher also reads what the replica didn't get from this daemon's own reads.
	history bool
}

// watcher reads one topic of the store into a replica.
type watcher struct {
	config      watcherConfig
	failedSince crlclock.Instant // time of the first failed read in a row, 0 while reads succeed
	readTo      crlid.Position   // position up to which this daemon has read the topic itself, or has found that there is no more history
}

func newWatcher(config watcherConfig) *watcher {
	return &watcher{config: config, readTo: crlid.NoPosition}
}

const (
	// historyPerKey is the number of a key's writes whose order history has to tell: those of the time in which a lost write may still be carried out.
	historyPerKey = 8
	// minHistory and maxHistory bound the number of records of a topic that are read as history.
	minHistory = 64
	maxHistory = 512
	// historyTimeout bounds the time for which a router that starts waits for history before it uses a listing.
	historyTimeout = 300 * time.Millisecond
)

// historyStart returns the position from which to read the topic for a replica with that many keys that ends at the given position.
func (w *watcher) historyStart(end crlid.Position, keys int) crlid.Position {
	if !w.config.history || w.readTo == end {
		return end
	}
	start := end
	start.Offset = max(end.Offset-crlid.Offset(min(minHistory+historyPerKey*keys, maxHistory)), 0)
	return start.Latest(w.readTo)
}

// run reads the topic until ctx ends.
func (w *watcher) run(ctx context.Context) error {
	retryPause := minRetryPause
	for ctx.Err() == nil {
		if !w.config.shouldRead() {
			crlclock.Sleep(ctx, idlePollInterval)
			continue
		}
		start := time.Now()
		err := w.poll(ctx)
		if err != nil {
			w.noteLost(err)
			crlclock.Sleep(ctx, retryPause/2+rand.N(retryPause))
			if w.config.replica.Loaded() {
				crlclock.Sleep(ctx, w.config.outageBackoff())
			}
			retryPause = min(2*retryPause, maxRetryPause)
			continue
		}
		w.noteRegained()
		retryPause = minRetryPause
		crlclock.Sleep(ctx, w.config.pause-time.Since(start))
	}
	return ctx.Err()
}

// poll reads new records. It reads the newest record of every key instead when the replica is empty, or when the store no
// longer has the records after the replica's end.
func (w *watcher) poll(ctx context.Context) error {
	if !w.config.replica.Loaded() {
		return w.bootstrap(ctx)
	}
	end, sentAt := w.config.replica.End(), w.config.now()
	from := w.historyStart(end, w.config.replica.Keys())
	// A read that returned records confirmed the replica only as of the time it was sent. The next read therefore waits only
	// for the rest of the long poll, and the first one after an outage not at all.
	wait := max(w.config.longPoll-sentAt.Sub(w.config.replica.ConfirmedAt()), 0)
	ctx, cancel := context.WithTimeout(ctx, wait+storeTransferTimeout)
	defer cancel()
	ctx, stop := crlclock.WithStallTimeout(ctx, wait+callTimeoutMargin, callTimeoutMargin)
	defer stop()
	page, err := w.config.store.Read(ctx, w.config.topic, crlplatform.KeyedRead{From: from, Wait: wait})
	var refused *crlplatform.Error
	if errors.As(err, &refused) && refused.Trimmed && from.Before(end) {
		w.readTo = end
		return w.poll(ctx)
	}
	if errors.As(err, &refused) && refused.Trimmed {
		w.config.logger.Event(EventHistoryLost, slog.String("topic", w.config.topic), slog.Int64("next", int64(from.Offset)))
		err := w.bootstrap(ctx)
		// A store that has come back from a copy without stating a new era answers the next read in the same way.
		crlclock.Sleep(ctx, minRetryPause)
		return err
	}
	if err != nil {
		return err
	}
	switch {
	case page.End.Era > from.Era:
		return w.bootstrap(ctx)
	case page.End.Era < from.Era:
		return errEarlierEra
	}
	if len(page.Records) > 0 {
		apply := w.config.replica.Apply
		if from.Before(end) {
			apply = w.config.replica.ApplyHistory
		}
		from = page.Records[len(page.Records)-1].Position.Next()
		apply(page.Records, from)
	}
	w.readTo = from
	if from.Before(page.End) {
		return nil // More records follow, so the replica is not confirmed current yet.
	}
	// A long poll that timed out without records confirms that nothing changed while the store held it, so it counts as if it
	// had been sent at its end.
	if elapsed := w.config.now().Sub(sentAt); len(page.Records) == 0 && elapsed >= wait {
		sentAt = sentAt.Add(wait)
	}
	w.config.replica.Confirm(sentAt, page.End.Era)
	return nil
}

// errEarlierEra is the error of a read that the store answered in an earlier era than that of the replica.
var errEarlierEra = errors.New("the reply is from an earlier era of the store")

// errEraChanged is the error of a read of several pages between which the store came back from an older copy.
var errEraChanged = errors.New("the pages are from two eras of the store")

// maxTopicBytes bounds the replies that hold the newest records of a topic, as all of them are held at once.
const maxTopicBytes = 32 << 20

// errTopicSize is the error of a topic whose newest records exceed maxTopicBytes.
var errTopicSize = errors.New("the newest records of the topic are larger than 32 MiB")

// bootstrap replaces the content of the replica by the newest record of every key.
func (w *watcher) bootstrap(ctx context.Context) error {
	sentAt := w.config.now()
	ctx, cancel := context.WithTimeout(ctx, storeTransferTimeout)
	defer cancel()
	ctx, stop := crlclock.WithStallTimeout(ctx, callTimeoutMargin, callTimeoutMargin)
	defer stop()
	var records []crlplatform.KeyedRecord
	after, end, size := "", crlid.NoPosition, 0
	for {
		page, more, err := w.config.store.Newest(ctx, w.config.topic, after)
		if err != nil {
			return err
		}
		records = append(records, page.Records...)
		if end == crlid.NoPosition {
			end = page.End // Records that were appended between two pages are read again from the first page's end.
		}
		if page.End.Era != end.Era {
			return errEraChanged
		}
		if size += page.Bytes; size > maxTopicBytes {
			return errTopicSize
		}
		if !more || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	if !w.config.replica.Loaded() {
		w.readHistory(ctx, end, len(records))
	}
	if !w.config.replica.Replace(records, end) {
		return errEarlierEra
	}
	w.config.replica.Confirm(sentAt, end.Era)
	return nil
}

// readHistory reads what led to a listing that ends at the given position, unless the store doesn't answer soon or has no history.
func (w *watcher) readHistory(ctx context.Context, end crlid.Position, keys int) {
	from := w.historyStart(end, keys)
	if !from.Before(end) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	page, err := w.config.store.Read(ctx, w.config.topic, crlplatform.KeyedRead{From: from})
	if err != nil || page.End.Era != end.Era {
		return
	}
	records := page.Records
	if i := slices.IndexFunc(records, func(r crlplatform.KeyedRecord) bool { return !r.Position.Before(end) }); i >= 0 {
		records = records[:i]
	}
	if n := len(records); n > 0 && records[n-1].Position == end.Previous() && w.config.replica.ApplyHistory(records, end) {
		w.readTo = end
	}
}

// noteLost logs the first failed read in a row and counts the topic as failing.
func (w *watcher) noteLost(err error) {
	if w.failedSince != 0 {
		return
	}
	w.failedSince = w.config.now()
	w.config.failingTopics.Add(1)
	w.config.logger.Event(EventStoreLost,
		slog.String("topic", w.config.topic), slog.String("cause", err.Error()), slog.Int64("next", int64(w.config.replica.End().Offset)))
}

// noteRegained logs the first successful read after failed ones and no longer counts the topic as failing.
func (w *watcher) noteRegained() {
	if w.failedSince == 0 {
		return
	}
	w.config.logger.Event(EventStoreRegained, slog.String("topic", w.config.topic),
		slog.Duration("lost-ms", w.config.now().Sub(w.failedSince)), slog.Int64("next", int64(w.config.replica.End().Offset)))
	w.failedSince = 0
	w.config.failingTopics.Add(-1)
}
