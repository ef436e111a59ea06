package crljournal

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Reader reads pages of a stream of the log.
type Reader interface {
	Read(ctx context.Context, request crlplatform.ReadRequest) (crlplatform.Page, error)
}

// Batch is the result of one read of a stream, for the goroutine that owns the fold.
type Batch struct {
	Stream     crlid.Stream
	Checkpoint *Checkpoint // state before Next, to start from; nil if the entries follow the previous batch
	Entries    []LoggedEntry
	Next       crlid.Offset // offset from which to read on after the batch
	Head       crlid.Offset // offset that the stream's next append would get, when the log answered
	ReadStart  time.Time    // local time of the read's start; if Next is Head, nothing appended before then is missing
	Gap        bool         // records before the entries are lost, and no checkpoint covers them
	Unreadable int          // number of invalid records in the batch, which every reader skips
}

// CaughtUp reports whether the batch ends at the head of the stream.
func (b Batch) CaughtUp() bool { return b.Next >= b.Head }

// TailConfig configures a Tail.
type TailConfig struct {
	Log         Reader
	Stream      crlid.Stream
	From        crlid.Offset  // offset of the first record to read
	PageRecords int           // limit on the records of one read
	Wait        time.Duration // long-poll time: how long the log may delay its answer to a read until there is a new record
	ReadTimeout time.Duration // per read; must exceed Wait
	RetryDelay  time.Duration // pause after a failed read
	Deliver     func(ctx context.Context, batch Batch) error
}

// Tail reads a stream from an offset on and waits for new records at its end.
type Tail struct {
	config          TailConfig
	next            crlid.Offset // offset of the next record to read
	caughtUp        bool         // the last batch ended at the head of the stream
	newerFormatSeen bool         // a record of a newer format was found and logged
}

// NewTail returns a Tail that is idle until Run is called.
func NewTail(config TailConfig) *Tail { return &Tail{config: config, next: config.From} }

// Run reads the stream and delivers each batch in offset order until ctx ends or Deliver fails. Failed reads are repeated.
func (t *Tail) Run(ctx context.Context) error {
	for {
		batch, err := t.read(ctx)
		if err == nil {
			if err := t.config.Deliver(ctx, batch); err != nil {
				return err
			}
			t.next, t.caughtUp = batch.Next, batch.CaughtUp()
			continue
		}
		t.caughtUp = false
		klog.V(1).Infof("journal: read of %s from offset %d failed: %v", t.config.Stream, t.next, err)
		if crlclock.Sleep(ctx, t.config.RetryDelay); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (t *Tail) read(ctx context.Context) (Batch, error) {
	readStart := time.Now()
	wait := t.config.Wait
	if !t.caughtUp {
		wait = 0 // Answer at once, so that the fold is known to be current without delay even if there is no new record.
	}
	page, err := t.readPage(ctx, t.next, wait)
	var failure *crlplatform.Error
	if errors.As(err, &failure) && failure.Trimmed {
		return t.findCheckpoint(ctx)
	}
	if err != nil {
		return Batch{}, err
	}
	return t.decodePage(page, t.next, readStart)
}

func (t *Tail) readPage(ctx context.Context, from crlid.Offset, wait time.Duration) (crlplatform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.config.ReadTimeout)
	defer cancel()
	return t.config.Log.Read(ctx, crlplatform.ReadRequest{
		Stream: t.config.Stream, From: from, Limit: t.config.PageRecords, Wait: wait,
	})
}

// findCheckpoint looks for a checkpoint to continue from after the log dropped the record that was to be read next.
//
// It returns the first complete checkpoint after which the log still holds every record. If there is none, it returns a batch
// with Gap set that begins at the oldest record.
func (t *Tail) findCheckpoint(ctx context.Context) (Batch, error) {
	readStart := time.Now()
	oldest, err := t.readPage(ctx, crlid.NoOffset, 0)
	if err != nil {
		return Batch{}, err
	}
	var parts assembler
	for page := oldest; ; {
		batch, err := t.decodePage(page, page.First, readStart)
		if err != nil {
			return Batch{}, err
		}
		for _, e := range batch.Entries {
			if e.Kind != KindCheckpoint {
				continue
			}
			if c, ok := parts.add(e); ok && c.Through+1 >= oldest.First {
				return Batch{Stream: t.config.Stream, Checkpoint: &c, Next: c.Through + 1, Head: page.Head, ReadStart: readStart}, nil
			}
		}
		if batch.CaughtUp() {
			break
		}
		if page, err = t.readPage(ctx, batch.Next, 0); err != nil {
			return Batch{}, err
		}
		page.First = batch.Next
	}
	batch, err := t.decodePage(oldest, oldest.First, readStart)
	batch.Gap = true
	return batch, err
}

// decodePage decodes the records of a page from an offset on, up to the first record of a newer format.
func (t *Tail) decodePage(page crlplatform.Page, from crlid.Offset, readStart time.Time) (Batch, error) {
	batch := Batch{Stream: t.config.Stream, Next: from, Head: page.Head, ReadStart: readStart}
	for _, r := range page.Records {
		if r.Offset < batch.Next {
			continue
		}
		entries, err := DecodeRecord(r)
		if errors.Is(err, ErrNewerFormat) {
			return t.stopBefore(batch, err)
		}
		if err != nil {
			klog.Errorf("journal: skipping invalid record of %s: %v", t.config.Stream, err)
			batch.Unreadable++
		}
		batch.Entries = append(batch.Entries, entries...)
		batch.Next = r.Offset + 1
	}
	return batch, nil
}

// stopBefore returns the entries of the batch, which precede a record that only a newer program can read, or the error if there
// are none.
//
// The fold then never catches up, so the daemon refuses requests that depend on it; otherwise its decisions could differ from
// those of newer daemons.
func (t *Tail) stopBefore(batch Batch, err error) (Batch, error) {
	if !t.newerFormatSeen {
		klog.Errorf("journal: %s needs a newer program: %v", t.config.Stream, err)
	}
	t.newerFormatSeen = true
	if len(batch.Entries) == 0 {
		return Batch{}, err
	}
	return batch, nil
}
