package crlfake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// FlakyLogConfig configures a FlakyLog. Fail, LoseReply and Late are probabilities from 0 to 1; their sum is at most 1.
type FlakyLogConfig struct {
	Log       *Log
	Seed      uint64
	Fail      float64       // probability that an append or read fails without effect
	LoseReply float64       // probability that an append takes effect, but fails
	Late      float64       // probability that an append fails, and takes effect up to MaxLate later
	MaxDelay  time.Duration // longest time before an append is processed
	MaxLate   time.Duration // longest time from a late append's failure until it takes effect
}

// FlakyLog is one client's access to a Log, with random faults drawn from a seed.
type FlakyLog struct {
	config      FlakyLogConfig
	mu          sync.Mutex // guards random and unreachable
	random      *rand.Rand
	unreachable bool
}

// NewFlakyLog returns a FlakyLog that is reachable.
func NewFlakyLog(config FlakyLogConfig) *FlakyLog {
	return &FlakyLog{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
}

// SetUnreachable sets whether all calls fail without effect.
func (f *FlakyLog) SetUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

// Append adds a record to the stream after a random delay. A failed append may have taken effect, may take effect up to
// MaxLate later, or may have none. The error of an injected fault has MaybeApplied set in all three cases, as a client can't
// tell them apart.
func (f *FlakyLog) Append(ctx context.Context, stream crlid.Stream, payload []byte) (crlid.Offset, error) {
	draw, delay, late, unreachable := f.draw()
	if crlclock.Sleep(ctx, delay); ctx.Err() != nil {
		return crlid.NoOffset, failedAppend(ctx.Err(), true)
	}
	c := f.config
	switch {
	case unreachable || c.Log.currentFaults().Outage || draw < c.Fail:
		return crlid.NoOffset, failedAppend(errLogOutage, true)
	case draw < c.Fail+c.LoseReply:
		_, _ = c.Log.Append(ctx, stream, payload)
		return crlid.NoOffset, failedAppend(errLogReplyLost, true)
	case draw < c.Fail+c.LoseReply+c.Late:
		time.AfterFunc(late, func() { c.Log.lateAppend(stream, payload) })
		return crlid.NoOffset, failedAppend(errLogReplyLost, true)
	}
	return c.Log.Append(ctx, stream, payload)
}

// Read returns records without a random delay, or fails.
func (f *FlakyLog) Read(ctx context.Context, request crlplatform.ReadRequest) (crlplatform.Page, error) {
	draw, _, _, unreachable := f.draw()
	if unreachable || draw < f.config.Fail {
		return crlplatform.Page{}, &crlplatform.Error{Service: "log", Action: "read", Err: errLogOutage}
	}
	return f.config.Log.Read(ctx, request)
}

// draw returns the random values of one call: a number from 0 to 1 that selects the fault, the delay before an append is
// processed, and the time after which a late append takes effect. It also returns whether the log is unreachable. A call
// draws all values, used or not, so that the same calls with the same seed get the same faults.
func (f *FlakyLog) draw() (draw float64, delay, late time.Duration, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	draw = f.random.Float64()
	delay = time.Duration(f.random.Int64N(int64(f.config.MaxDelay) + 1))
	late = time.Duration(f.random.Int64N(int64(f.config.MaxLate) + 1))
	return draw, delay, late, f.unreachable
}
