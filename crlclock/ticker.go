package crlclock

import (
	"sync"
	"time"
)

// Ticker sends a tick in each period, at a fixed rate, and drops ticks for a slow receiver, as time.Ticker does.
//
// Unlike that of time.Ticker, its channel is an ordinary one, to which a time.AfterFunc sends. The race detector of Go 1.26
// crashes in tests with testing/synctest if a goroutine looks at a time.Ticker's channel whose tick is already due; see doc.go.
type Ticker struct {
	C <-chan struct{}

	ticks  chan struct{}
	period time.Duration

	mu      sync.Mutex // protects the fields below
	timer   *time.Timer
	next    time.Time
	stopped bool
}

// NewTicker returns a running ticker. The period must be positive. Stop must be called to release the ticker.
func NewTicker(period time.Duration) *Ticker {
	if period <= 0 {
		panic("crlclock: period of a ticker isn't positive")
	}
	ticks := make(chan struct{}, 1)
	t := &Ticker{C: ticks, ticks: ticks, period: period, next: time.Now().Add(period)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(period, t.tick)
	return t
}

// Stop ends the ticker. It doesn't close its channel, and a tick that was already sent stays in it.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// tick sends a tick unless one is waiting, and starts the timer for the next moment of the rate that isn't past.
func (t *Ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	select {
	case t.ticks <- struct{}{}:
	default:
	}
	late := time.Since(t.next)
	t.next = t.next.Add(t.period * (1 + late/t.period))
	t.timer.Reset(max(time.Until(t.next), 1))
}
