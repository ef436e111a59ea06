package crljournal

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// instantLog acknowledges at once.
type instantLog struct{}

func (instantLog) Append(context.Context, crlid.Stream, []byte) (crlid.Offset, error) { return 0, nil }

// submitAll submits entries from several goroutines, each followed by after, while a Writer runs.
func submitAll(t *testing.T, batch, entries int, after func(ctx context.Context, w *Writer, ticket Ticket) error) {
	const submitters = 8
	w := NewWriter(WriterConfig{Log: instantLog{}, Window: time.Microsecond, BatchEntries: batch, AppendTimeout: time.Second})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
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
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the writer ended with %v", err)
	}
}

// An acknowledgement that overtakes the end of Submit must not end the process.
func TestAcknowledgementBeforeSubmitReturns(t *testing.T) {
	submitAll(t, 1024, 400, func(_ context.Context, _ *Writer, ticket Ticket) error {
		<-ticket.Done()
		return nil
	})
}

// A daemon that drains flushes while its last requests still submit their bills.
func TestFlushMayOverlapSubmit(t *testing.T) {
	submitAll(t, 1024, 50, func(ctx context.Context, w *Writer, _ Ticket) error { return w.Flush(ctx) })
}
