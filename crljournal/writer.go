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
	Window        time.Duration // Window is the shortest time between two appends.
	BatchEntries  int           // BatchEntries bounds the entries of one append.
	RetryDelay    time.Duration // RetryDelay is the pause after a failed append.
	AppendTimeout time.Duration // AppendTimeout bounds one append.
}

// Writer groups entries into appends and sends each until the log acknowledges it.
//
// It has one append under way at a time, which is what Deduplicator relies on.
type Writer struct {
	config WriterConfig
	window atomic.Int64 // window is a time.Duration.
	queue  chan *pendingEntry

	mu       sync.Mutex // mu guards the fields below and the order of queue.
	sequence uint64
	bytes    int // bytes is the size of what is queued or under way.
	closed   bool
	open     int           // open counts entries that are neither acknowledged nor withdrawn.
	idle     chan struct{} // settled is closed and replaced when open falls to 0.
}

// pending is an entry that waits for its append.
type pendingEntry struct {
	entry Entry
	done  chan crlid.Offset
	state pendingState // state is guarded by Writer.mu.
}

type pendingState int

const (
	pendingQueued pendingState = iota
	pendingSending
	pendingWithdrawn
)

// Ticket follows one entry on its way to the log.
type Ticket struct {
	Writer   crlid.Incarnation
	Sequence uint64
	pending  *pendingEntry
}

// Done delivers the offset of an append that holds the entry once the log acknowledged it,
// or crlid.NoOffset when no append can hold it.
func (t Ticket) Done() <-chan crlid.Offset { return t.pending.done }

// Wait returns once the log acknowledged the entry, or an error when ctx ends first.
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

// Bounds of a Writer.
const (
	MinWindow        = 5 * time.Millisecond // MinWindow is the shortest window.
	MaxEntryBytes    = 512 << 10            // MaxEntryBytes bounds the body of an entry.
	maxQueuedEntries = 64 << 10
	maxQueuedBytes   = 16 << 20
	maxBatchBytes    = 1 << 20
)

// Window returns the time between two appends of each of n appenders that share a budget of appends per second.
func WindowForBudget(appenders, budget int) time.Duration {
	return max(MinWindow, time.Duration(appenders)*time.Second/time.Duration(max(1, budget)))
}

// NewWriter returns a Writer that sends nothing until Run is called.
func NewWriter(config WriterConfig) *Writer {
	w := &Writer{config: config, queue: make(chan *pendingEntry, maxQueuedEntries), idle: make(chan struct{})}
	w.SetWindow(config.Window)
	return w
}

// SetWindow replaces the shortest time between two appends, no shorter than MinWindow.
func (w *Writer) SetWindow(window time.Duration) { w.window.Store(int64(max(MinWindow, window))) }

// Submit queues an entry and returns its ticket, or ErrQueueFull, ErrClosed or ErrTooLarge.
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

// Withdraw takes back an entry that was never sent and reports whether it did.
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

// settle counts an entry as no longer open; the caller holds mu.
func (w *Writer) finish(p *pendingEntry) {
	w.bytes -= len(p.entry.Body)
	w.open--
	if w.open == 0 {
		close(w.idle)
		w.idle = make(chan struct{})
	}
}

// take marks an entry as about to be sent, unless it was withdrawn.
func (w *Writer) startSending(p *pendingEntry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.state == pendingWithdrawn {
		return false
	}
	p.state = pendingSending
	return true
}

// Run sends batches until ctx ends; what the log has not acknowledged by then is lost with the process.
func (w *Writer) Run(ctx context.Context) error {
	var last time.Time
	for {
		batch, err := w.gather(ctx, last)
		if err != nil {
			return err
		}
		last = time.Now()
		if err := w.send(ctx, batch); err != nil {
			return err
		}
	}
}

// gather waits for a first entry and takes what follows it until the next append is due.
func (w *Writer) gather(ctx context.Context, last time.Time) ([]*pendingEntry, error) {
	var first *pendingEntry
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case first = <-w.queue:
	}
	window := time.Duration(w.window.Load())
	due := time.NewTimer(max(MinWindow, time.Until(last.Add(window))))
	defer due.Stop()
	waiting := []*pendingEntry{first}
	size := len(first.entry.Body)
	for len(waiting) < w.config.BatchEntries && size < maxBatchBytes/2 {
		select {
		case p := <-w.queue:
			waiting = append(waiting, p)
			size += len(p.entry.Body)
		case <-due.C:
			return w.startSendingAll(waiting), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return w.startSendingAll(waiting), w.awaitDue(ctx, last.Add(window))
}

// awaitDue keeps to the window when a batch is full before it ends.
func (w *Writer) awaitDue(ctx context.Context, due time.Time) error {
	if !time.Now().Before(due) {
		return nil
	}
	crlclock.Sleep(ctx, time.Until(due))
	return ctx.Err()
}

func (w *Writer) startSendingAll(waiting []*pendingEntry) []*pendingEntry {
	var batch []*pendingEntry
	for _, p := range waiting {
		if w.startSending(p) {
			batch = append(batch, p)
		}
	}
	return batch
}

// send repeats the append of a batch until the log acknowledges it.
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

// split sends a batch that the log found too large in two halves.
func (w *Writer) split(ctx context.Context, batch []*pendingEntry) error {
	if len(batch) == 1 {
		klog.Errorf("journal: entry %d of kind %d for %s exceeds the log's limit", batch[0].entry.Sequence, batch[0].entry.Kind, w.config.Stream)
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

// Flush waits until nothing submitted is open any more, or ctx ends.
func (w *Writer) Flush(ctx context.Context) error {
	w.mu.Lock()
	open, settled := w.open, w.idle
	w.mu.Unlock()
	if open == 0 {
		return nil
	}
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Shutdown takes no more entries and waits until the log acknowledged those it has; Run must go on meanwhile.
func (w *Writer) Shutdown(ctx context.Context) error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	return w.Flush(ctx)
}
