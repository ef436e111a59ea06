package crljournal

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// instantLog acknowledges every append at once.
type instantLog struct{}

func (instantLog) Append(context.Context, crlid.Stream, []byte) (crlid.Offset, error) { return 0, nil }

// submitAll submits entries from several goroutines while a Writer runs, and calls after on each submitted entry.
func submitAll(t *testing.T, batch, entries int, after func(ctx context.Context, w *Writer, ticket Ticket) error) {
	const submitters = 8
	w := NewWriter(WriterConfig{Log: instantLog{}, Window: time.Microsecond, BatchEntries: batch, AppendTimeout: time.Second})
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- w.Run(ctx) }()
	var submits sync.WaitGroup
	for range submitters {
		submits.Go(func() {
			for range entries {
				ticket, err := w.Submit(1, 0)
				if err == nil {
					err = after(ctx, w, ticket)
				}
				if err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	submits.Wait()
	stop()
	if err := <-runErr; !errors.Is(err, context.Canceled) {
		t.Errorf("writer stopped with %v, want %v", err, context.Canceled)
	}
}

// TestAcknowledgementBeforeSubmitReturns guards against a crash when the log acknowledges an entry before Submit has returned.
func TestAcknowledgementBeforeSubmitReturns(t *testing.T) {
	submitAll(t, 1024, 400, func(_ context.Context, _ *Writer, ticket Ticket) error {
		<-ticket.Done()
		return nil
	})
}

// TestFlushMayOverlapSubmit guards against a conflict of concurrent calls of Flush and Submit: a draining daemon calls Flush
// while its last requests still submit their bills.
func TestFlushMayOverlapSubmit(t *testing.T) {
	submitAll(t, 1024, 50, func(ctx context.Context, w *Writer, _ Ticket) error { return w.Flush(ctx) })
}
