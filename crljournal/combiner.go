package crljournal

import (
	"context"
	"fmt"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// CombinerConfig configures a Combiner.
type CombinerConfig struct {
	Log           Appender
	Stream        crlid.Stream
	Window        func() time.Duration // minimum interval between two appends
	AppendTimeout time.Duration        // per append
}

// Combiner merges the batches of several writers into one append.
//
// It does not retry: if the append fails, each writer gets the error and sends its batch again.
type Combiner struct {
	config  CombinerConfig
	batches chan queuedBatch
}

// queuedBatch is a batch of one writer that waits for its append.
type queuedBatch struct {
	entries []Entry
	bytes   int
	done    chan appendResult
}

type appendResult struct {
	offset crlid.Offset
	err    error
}

// maxQueuedBatches bounds the batches that wait for their append.
const maxQueuedBatches = 4096

// NewCombiner returns a Combiner that is idle until Run is called.
func NewCombiner(config CombinerConfig) *Combiner {
	return &Combiner{config: config, batches: make(chan queuedBatch, maxQueuedBatches)}
}

// Append adds a batch, encoded as a record, to the next append, waits for that append and returns its offset.
func (c *Combiner) Append(ctx context.Context, payload []byte) (crlid.Offset, error) {
	entries, err := decodeBatch(payload)
	if err != nil {
		return crlid.NoOffset, fmt.Errorf("decode batch to combine for stream %s: %w", c.config.Stream, err)
	}
	b := queuedBatch{entries: entries, bytes: len(payload), done: make(chan appendResult, 1)}
	select {
	case c.batches <- b:
	default:
		return crlid.NoOffset, fmt.Errorf("queue batch of %d entries for stream %s: %w", len(entries), c.config.Stream, ErrQueueFull)
	}
	select {
	case a := <-b.done:
		return a.offset, a.err
	case <-ctx.Done():
		return crlid.NoOffset, ctx.Err()
	}
}

// Run appends the queued batches until ctx ends.
func (c *Combiner) Run(ctx context.Context) error {
	var lastAppend time.Time
	for {
		group, err := c.gather(ctx, lastAppend)
		if err != nil {
			return err
		}
		lastAppend = time.Now()
		result := c.append(ctx, group)
		for _, b := range group {
			b.done <- result
		}
	}
}

// gather waits for a first batch and collects further ones until the next append is due. lastAppend is the start of the last one.
func (c *Combiner) gather(ctx context.Context, lastAppend time.Time) ([]queuedBatch, error) {
	var group []queuedBatch
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case b := <-c.batches:
		group = append(group, b)
	}
	due, cancel := context.WithTimeout(ctx, max(MinWindow, time.Until(lastAppend.Add(c.config.Window()))))
	defer cancel()
	size := group[0].bytes
	for {
		more := c.batches
		if size >= maxBatchBytes/2 {
			more = nil // The group is full: only wait until the append is due.
		}
		select {
		case b := <-more:
			group = append(group, b)
			size += b.bytes
		case <-due.Done():
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			return group, nil
		}
	}
}

func (c *Combiner) append(ctx context.Context, group []queuedBatch) appendResult {
	var entries []Entry
	for _, b := range group {
		entries = append(entries, b.entries...)
	}
	payload, err := encodeBatch(entries)
	if err != nil {
		return appendResult{offset: crlid.NoOffset, err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.AppendTimeout)
	defer cancel()
	offset, err := c.config.Log.Append(ctx, c.config.Stream, payload)
	return appendResult{offset: offset, err: err}
}
