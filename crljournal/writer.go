package crljournal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// Appender appends a payload to a stream of the log.
type Appender interface {
	Append(ctx context.Context, stream crlid.Stream, payload []byte) (crlid.Offset, error)
}

// WriterConfig configures a Writer.
type WriterConfig struct {
	Log           Appender
	Stream        crlid.Stream
	Writer        crlid.Incarnation
	Window        time.Duration // minimum interval between two appends
	BatchEntries  int           // limit on the entries of one append
	RetryDelay    time.Duration // pause after a failed append
	AppendTimeout time.Duration // per append
}

// Writer groups entries into batches and repeats the append of each batch until the log acknowledges it.
//
// It has at most one batch in flight, on which Deduplicator relies. It is safe for concurrent use.
type Writer struct {
	config WriterConfig
	window atomic.Int64 // minimum interval between two appends, a time.Duration
	queue  chan *pendingEntry

	mu       sync.Mutex // guards the fields below and the order of queue
	sequence uint64     // sequence number of the last entry that was queued
	bytes    int        // size of the bodies of the entries that are queued or in flight
	closed   bool
	open     int           // number of entries that are neither acknowledged nor withdrawn
	idle     chan struct{} // closed and replaced when open falls to 0
}

// pendingEntry is an entry that waits for its append.
type pendingEntry struct {
	entry Entry
	done  chan crlid.Offset // receives the offset of the entry's record; see Ticket.Done
	state pendingState      // guarded by Writer.mu
}

type pendingState int

const (
	pendingQueued pendingState = iota
	pendingSending
	pendingWithdrawn
)

// Ticket identifies a submitted entry, for waiting until the log acknowledges it.
type Ticket struct {
	Writer   crlid.Incarnation
	Sequence uint64
	pending  *pendingEntry
}

// Done returns a channel that receives the offset of the entry's record once the log has acknowledged it, or crlid.NoOffset if
// the entry is too large for the log. It receives a single value, which Wait consumes too. It receives none if the entry is
// withdrawn or Run ends first.
func (t Ticket) Done() <-chan crlid.Offset { return t.pending.done }

// Wait waits until the log has acknowledged the entry. It returns an error if ctx ends first, or if the entry is too large.
func (t Ticket) Wait(ctx context.Context) error {
	select {
	case offset := <-t.Done():
		if offset == crlid.NoOffset {
			return ErrTooLarge
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Limits of a Writer.
const (
	MinWindow        = 5 * time.Millisecond // lower limit for WriterConfig.Window
	MaxEntryBytes    = 512 << 10            // limit on the body of an entry
	maxQueuedEntries = 64 << 10             // limit on the entries that wait for Run
	maxQueuedBytes   = 16 << 20             // limit on the bodies of the entries that are queued or in flight
	maxBatchBytes    = 1 << 20              // a batch takes no further entry from half of this size on; MaxEntryBytes is the other half
)

// WindowForBudget returns the minimum interval between two appends of one appender, for a number of appenders that share a budget
// of appends per second.
func WindowForBudget(appenders, budget int) time.Duration {
	return max(MinWindow, time.Duration(appenders)*time.Second/time.Duration(max(1, budget)))
}

// NewWriter returns a Writer that queues entries but appends none until Run is called.
func NewWriter(config WriterConfig) *Writer {
	w := &Writer{config: config, queue: make(chan *pendingEntry, maxQueuedEntries), idle: make(chan struct{})}
	w.SetWindow(config.Window)
	return w
}

// SetWindow sets the minimum interval between two appends, or MinWindow if that is longer.
func (w *Writer) SetWindow(window time.Duration) { w.window.Store(int64(max(MinWindow, window))) }

// Submit queues an entry and returns its ticket. It does not block; it fails with ErrQueueFull, ErrClosed or ErrTooLarge.
func (w *Writer) Submit(kind Kind, body any) (Ticket, error) {
	raw, err := Encode(body)
	if err == nil && len(raw) > MaxEntryBytes {
		err = ErrTooLarge
	}
	if err != nil {
		return Ticket{}, fmt.Errorf("submit entry of kind %d to %s: %w", kind, w.config.Stream, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := Entry{Writer: w.config.Writer, Sequence: w.sequence + 1, Kind: kind, Body: raw}
	p := &pendingEntry{entry: entry, done: make(chan crlid.Offset, 1)}
	if err := w.enqueue(p); err != nil {
		return Ticket{}, fmt.Errorf("submit entry of kind %d to %s: %w", kind, w.config.Stream, err)
	}
	return Ticket{Writer: entry.Writer, Sequence: entry.Sequence, pending: p}, nil
}

func (w *Writer) enqueue(p *pendingEntry) error {
	if w.closed {
		return ErrClosed
	}
	if w.bytes+len(p.entry.Body) > maxQueuedBytes {
		return ErrQueueFull
	}
	select {
	case w.queue <- p:
	default:
		return ErrQueueFull
	}
	w.sequence++
	w.bytes += len(p.entry.Body)
	w.open++
	return nil
}

// Withdraw removes an entry from the queue and reports whether it did; it does not if the entry may have been sent.
func (w *Writer) Withdraw(ticket Ticket) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ticket.pending.state != pendingQueued {
		return false
	}
	ticket.pending.state = pendingWithdrawn
	w.finish(ticket.pending)
	return true
}

// finish counts an entry as no longer open. The caller must hold mu.
func (w *Writer) finish(p *pendingEntry) {
	w.bytes -= len(p.entry.Body)
	w.open--
	if w.open == 0 {
		close(w.idle)
		w.idle = make(chan struct{})
	}
}

// startSending marks an entry as being sent and returns true, or returns false if the entry was withdrawn.
func (w *Writer) startSending(p *pendingEntry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.state == pendingWithdrawn {
		return false
	}
	p.state = pendingSending
	return true
}

// Run appends the queued entries until ctx ends. Entries that the log has not acknowledged by then may be lost.
func (w *Writer) Run(ctx context.Context) error {
	var lastAppend time.Time
	for {
		batch, err := w.gather(ctx, lastAppend)
		if err != nil {
			return err
		}
		lastAppend = time.Now()
		if err := w.send(ctx, batch); err != nil {
			return err
		}
	}
}

// gather waits for a first entry and collects further ones until the next append is due or the batch is full. It returns those
// that were not withdrawn, once the append is due.
func (w *Writer) gather(ctx context.Context, lastAppend time.Time) ([]*pendingEntry, error) {
	var first *pendingEntry
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case first = <-w.queue:
	}
	window := time.Duration(w.window.Load())
	due, cancel := context.WithTimeout(ctx, max(MinWindow, time.Until(lastAppend.Add(window))))
	defer cancel()
	waiting := []*pendingEntry{first}
	size := len(first.entry.Body)
	for len(waiting) < w.config.BatchEntries && size < maxBatchBytes/2 {
		select {
		case p := <-w.queue:
			waiting = append(waiting, p)
			size += len(p.entry.Body)
		case <-due.Done():
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			return w.startSendingAll(waiting), nil
		}
	}
	return w.startSendingAll(waiting), w.awaitDue(ctx, lastAppend.Add(window))
}

// awaitDue waits until the next append is due, for a batch that is full before then.
func (w *Writer) awaitDue(ctx context.Context, due time.Time) error {
	if !time.Now().Before(due) {
		return nil
	}
	crlclock.Sleep(ctx, time.Until(due))
	return ctx.Err()
}

// startSendingAll returns the entries that were not withdrawn, marked as being sent.
func (w *Writer) startSendingAll(waiting []*pendingEntry) []*pendingEntry {
	var batch []*pendingEntry
	for _, p := range waiting {
		if w.startSending(p) {
			batch = append(batch, p)
		}
	}
	return batch
}

// send repeats the append of a batch until the log acknowledges it or ctx ends.
func (w *Writer) send(ctx context.Context, batch []*pendingEntry) error {
	if len(batch) == 0 {
		return nil
	}
	entries := make([]Entry, len(batch))
	for i, p := range batch {
		entries[i] = p.entry
	}
	payload, err := encodeBatch(entries)
	if err != nil {
		return err
	}
	for {
		offset, err := w.append(ctx, payload)
		if err == nil {
			w.acknowledge(batch, offset)
			return nil
		}
		klog.V(1).Infof("journal: append of %d entries to %s failed: %v", len(batch), w.config.Stream, err)
		var failure *crlplatform.Error
		if errors.As(err, &failure) && failure.TooLarge {
			return w.split(ctx, batch)
		}
		if crlclock.Sleep(ctx, w.config.RetryDelay); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// split sends a batch that the log rejected as too large in two halves. A single entry that is too large is dropped.
func (w *Writer) split(ctx context.Context, batch []*pendingEntry) error {
	if len(batch) == 1 {
		klog.Errorf("journal: dropping entry %d of kind %d for %s: it exceeds the log's size limit",
			batch[0].entry.Sequence, batch[0].entry.Kind, w.config.Stream)
		w.acknowledge(batch, crlid.NoOffset)
		return nil
	}
	half := len(batch) / 2
	if err := w.send(ctx, batch[:half]); err != nil {
		return err
	}
	return w.send(ctx, batch[half:])
}

func (w *Writer) append(ctx context.Context, payload []byte) (crlid.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, w.config.AppendTimeout)
	defer cancel()
	return w.config.Log.Append(ctx, w.config.Stream, payload)
}

func (w *Writer) acknowledge(batch []*pendingEntry, offset crlid.Offset) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range batch {
		p.done <- offset
		w.finish(p)
	}
}

// Flush waits until every submitted entry is acknowledged or withdrawn, or ctx ends.
func (w *Writer) Flush(ctx context.Context) error {
	w.mu.Lock()
	open, idle := w.open, w.idle
	w.mu.Unlock()
	if open == 0 {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Shutdown rejects further entries and waits until the log has acknowledged the queued ones. Run must be running meanwhile.
func (w *Writer) Shutdown(ctx context.Context) error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	return w.Flush(ctx)
}
