package crlfake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// FlakyLogConfig configures a FlakyLog; each share is between 0 and 1.
type FlakyLogConfig struct {
	Log       *Log
	Seed      uint64
	Fail      float64       // Fail is the share of calls that fail without effect.
	LoseReply float64       // LoseReply is the share of appends that take effect and fail.
	Late      float64       // Late is the share of appends that fail and take effect up to MaxLate later.
	MaxDelay  time.Duration // MaxDelay bounds the time that an append takes.
	MaxLate   time.Duration
}

// FlakyLog is one client's way to a Log, with faults drawn from a seed.
type FlakyLog struct {
	config      FlakyLogConfig
	mu          sync.Mutex // mu guards random and cut.
	random      *rand.Rand
	unreachable bool
}

// NewFlakyLog returns a way to the log that draws its faults from the seed.
func NewFlakyLog(config FlakyLogConfig) *FlakyLog {
	return &FlakyLog{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
}

// Cut fails every call without effect until it is called with false.
func (f *FlakyLog) SetUnreachable(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = cut
}

// Append adds a record to the stream, or fails before, after or ahead of doing so.
func (f *FlakyLog) Append(ctx context.Context, stream crlid.Stream, payload []byte) (crlid.Offset, error) {
	fate, delay, late, cut := f.draw()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return crlid.NoOffset, failedAppend(ctx.Err(), true)
	}
	c := f.config
	switch {
	case cut || c.Log.currentFaults().Outage || fate < c.Fail:
		return crlid.NoOffset, failedAppend(errLogOutage, true)
	case fate < c.Fail+c.LoseReply:
		_, _ = c.Log.Append(ctx, stream, payload)
		return crlid.NoOffset, failedAppend(errLogReplyLost, true)
	case fate < c.Fail+c.LoseReply+c.Late:
		time.AfterFunc(late, func() { c.Log.lateAppend(stream, payload) })
		return crlid.NoOffset, failedAppend(errLogReplyLost, true)
	}
	return c.Log.Append(ctx, stream, payload)
}

// Read returns records, or fails.
func (f *FlakyLog) Read(ctx context.Context, request crlplatform.ReadRequest) (crlplatform.Page, error) {
	fate, _, _, cut := f.draw()
	if cut || fate < f.config.Fail {
		return crlplatform.Page{}, &crlplatform.Error{Service: "log", Action: "read", Err: errLogOutage}
	}
	return f.config.Log.Read(ctx, request)
}

func (f *FlakyLog) draw() (fate float64, delay, late time.Duration, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fate = f.random.Float64()
	delay = time.Duration(f.random.Int64N(int64(f.config.MaxDelay) + 1))
	late = time.Duration(f.random.Int64N(int64(f.config.MaxLate) + 1))
	return fate, delay, late, f.unreachable
}
