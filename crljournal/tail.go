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

// Batch is what one read of a stream brought, for the goroutine that owns the fold.
type Batch struct {
	Stream     crlid.Stream
	Checkpoint *Checkpoint // Checkpoint restates what precedes the entries, nil when they follow the batch before.
	Entries    []LoggedEntry
	Next       crlid.Offset // Next is the offset after the entries of this batch.
	Head       crlid.Offset // Head is the stream's next offset when the log answered.
	ReadStart  time.Time    // Asked is when the read began: the batch is complete up to that moment if Next is Head.
	Gap        bool         // Gap is true when records before the entries are lost and no checkpoint restates them.
	Unreadable int          // Unreadable counts records that are left out by every reader alike.
}

// CaughtUp reports whether the batch ends at the head of the stream.
func (b Batch) CaughtUp() bool { return b.Next >= b.Head }

// TailConfig configures a Tail.
type TailConfig struct {
	Log         Reader
	Stream      crlid.Stream
	From        crlid.Offset
	PageRecords int           // PageRecords bounds the records of one read.
	Wait        time.Duration // Wait is how long the log may hold a read that finds nothing new.
	ReadTimeout time.Duration // ReadTimeout bounds one read and exceeds Wait.
	RetryDelay  time.Duration // RetryDelay is the pause after a failed read.
	Deliver     func(ctx context.Context, batch Batch) error
}

// Tail follows a stream from an offset on.
type Tail struct {
	config          TailConfig
	next            crlid.Offset
	caughtUp        bool // caughtUp is true after a batch that ended at the head.
	newerFormatSeen bool // stopped is true once a record of a newer format was met.
}

// NewTail returns a Tail that reads nothing until Run is called.
func NewTail(config TailConfig) *Tail { return &Tail{config: config, next: config.From} }

// Run reads the stream and delivers each batch in offset order until ctx ends.
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
		klog.V(1).Infof("journal: read of %s failed: %v", t.config.Stream, err)
		if crlclock.Sleep(ctx, t.config.RetryDelay); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (t *Tail) read(ctx context.Context) (Batch, error) {
	asked := time.Now()
	wait := t.config.Wait
	if !t.caughtUp {
		wait = 0 // The fold learns at once that it is current, also when the stream is empty.
	}
	page, err := t.readPage(ctx, t.next, wait)
	var failure *crlplatform.Error
	if errors.As(err, &failure) && failure.Trimmed {
		return t.findCheckpoint(ctx)
	}
	if err != nil {
		return Batch{}, err
	}
	return t.decodePage(page, t.next, asked)
}

func (t *Tail) readPage(ctx context.Context, from crlid.Offset, wait time.Duration) (crlplatform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, t.config.ReadTimeout)
	defer cancel()
	return t.config.Log.Read(ctx, crlplatform.ReadRequest{
		Stream: t.config.Stream, From: from, Limit: t.config.PageRecords, Wait: wait,
	})
}

// search looks for a checkpoint after retention removed what was wanted next.
//
// It returns the first whole checkpoint from which all later records are kept.
// Without one it returns a batch with Gap set that begins at the oldest record.
func (t *Tail) findCheckpoint(ctx context.Context) (Batch, error) {
	asked := time.Now()
	oldest, err := t.readPage(ctx, crlid.NoOffset, 0)
	if err != nil {
		return Batch{}, err
	}
	var parts assembler
	for page := oldest; ; {
		batch, err := t.decodePage(page, page.First, asked)
		if err != nil {
			return Batch{}, err
		}
		for _, e := range batch.Entries {
			if e.Kind != KindCheckpoint {
				continue
			}
			if c, ok := parts.add(e); ok && c.Through+1 >= oldest.First {
				return Batch{Stream: t.config.Stream, Checkpoint: &c, Next: c.Through + 1, Head: page.Head, ReadStart: asked}, nil
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
	batch, err := t.decodePage(oldest, oldest.First, asked)
	batch.Gap = true
	return batch, err
}

// batch decodes the records of a page from an offset on; one of a newer format stops the tail before it.
func (t *Tail) decodePage(page crlplatform.Page, from crlid.Offset, asked time.Time) (Batch, error) {
	batch := Batch{Stream: t.config.Stream, Next: from, Head: page.Head, ReadStart: asked}
	for _, r := range page.Records {
		if r.Offset < batch.Next {
			continue
		}
		placed, err := DecodeRecord(r)
		if errors.Is(err, ErrNewerFormat) {
			return t.stopBefore(batch, err)
		}
		if err != nil {
			klog.Errorf("journal: record of %s left out: %v", t.config.Stream, err)
			batch.Unreadable++
		}
		batch.Entries = append(batch.Entries, placed...)
		batch.Next = r.Offset + 1
	}
	return batch, nil
}

// stopBefore returns what precedes a record that only a newer program can read, or the error when nothing does.
//
// The fold is then never caught up, so the daemon refuses what depends on it in
// place of deciding otherwise than newer daemons.
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
