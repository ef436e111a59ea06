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
	Window        func() time.Duration // Window returns the shortest time between two appends.
	AppendTimeout time.Duration        // AppendTimeout bounds one append.
}

// Combiner joins the batches of several writers into one append.
//
// It keeps nothing and repeats nothing: a writer whose append failed sends its batch again.
type Combiner struct {
	config  CombinerConfig
	batches chan queuedBatch
}

// incoming is a batch of one writer that waits for its append.
type queuedBatch struct {
	entries []Entry
	bytes   int
	done    chan appendResult
}

type appendResult struct {
	offset crlid.Offset
	err    error
}

// combinerQueueBatches bounds the batches that wait for their append.
const maxQueuedBatches = 4096

// NewCombiner returns a Combiner that appends nothing until Run is called.
func NewCombiner(config CombinerConfig) *Combiner {
	return &Combiner{config: config, batches: make(chan queuedBatch, maxQueuedBatches)}
}

// Append adds a writer's batch to the next append and returns its offset.
func (c *Combiner) Append(ctx context.Context, payload []byte) (crlid.Offset, error) {
	entries, err := decodeBatch(payload)
	if err != nil {
		return crlid.NoOffset, fmt.Errorf("combine batch for %s: %w", c.config.Stream, err)
	}
	b := queuedBatch{entries: entries, bytes: len(payload), done: make(chan appendResult, 1)}
	select {
	case c.batches <- b:
	default:
		return crlid.NoOffset, fmt.Errorf("combine batch for %s: %w", c.config.Stream, ErrQueueFull)
	}
	select {
	case a := <-b.done:
		return a.offset, a.err
	case <-ctx.Done():
		return crlid.NoOffset, ctx.Err()
	}
}

// Run appends what arrives until ctx ends.
func (c *Combiner) Run(ctx context.Context) error {
	var last time.Time
	for {
		group, err := c.gather(ctx, last)
		if err != nil {
			return err
		}
		last = time.Now()
		result := c.append(ctx, group)
		for _, b := range group {
			b.done <- result
		}
	}
}

func (c *Combiner) gather(ctx context.Context, last time.Time) ([]queuedBatch, error) {
	var group []queuedBatch
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case b := <-c.batches:
		group = append(group, b)
	}
	due := time.NewTimer(max(MinWindow, time.Until(last.Add(c.config.Window()))))
	defer due.Stop()
	size := group[0].bytes
	for {
		more := c.batches
		if size >= maxBatchBytes/2 {
			more = nil
		}
		select {
		case b := <-more:
			group = append(group, b)
			size += b.bytes
		case <-due.C:
			return group, nil
		case <-ctx.Done():
			return nil, ctx.Err()
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
