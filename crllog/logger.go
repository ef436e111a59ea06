package crllog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxBufferedLines = 2048 // bufferedLines bounds the lines that wait for the output, about 1 MB.
	// DefaultRate is the lines a second of one event that are kept; a daemon at the planned size has 15 requests a second.
	DefaultRate = 100
)

// Event names what a line reports, in kebab case.
type Event string

// Config configures a Logger.
type Config struct {
	Output io.Writer
	Rate   int // Rate is the lines per second of one event that are kept, 0 for DefaultRate.
}

// Logger writes lines without blocking; it may be used by several goroutines.
type Logger struct {
	config     Config
	lines      chan []byte
	done       chan struct{}
	unreported atomic.Int64 // dropped counts lines that the output could not take in time.
	unwritten  atomic.Int64 // total counts all lines that were not written.
	mu         sync.Mutex   // mu guards rates.
	windows    map[Event]*rateWindow
}

// rate counts the lines of one event in one second.
type rateWindow struct {
	start      time.Time
	lines      int
	suppressed int64
}

// New returns a logger whose lines wait until Run is called.
func New(config Config) *Logger {
	if config.Rate == 0 {
		config.Rate = DefaultRate
	}
	return &Logger{
		config: config, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{}), windows: make(map[Event]*rateWindow),
	}
}

// Run writes lines until ctx ends, and then those that wait already.
func (l *Logger) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ctx.Done():
			l.flush()
			return nil
		}
	}
}

func (l *Logger) flush() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			return
		}
	}
}

func (l *Logger) write(line []byte) {
	// A failed write has no other place to be reported than the count of dropped lines.
	if _, err := l.config.Output.Write(line); err != nil {
		l.unreported.Add(1)
		l.unwritten.Add(1)
	}
}

// Dropped returns the number of lines that were not written since the start.
func (l *Logger) Dropped() int64 { return l.unwritten.Load() }

// Event writes a line unless the event is over its rate.
func (l *Logger) Event(event Event, attributes ...slog.Attr) {
	now := time.Now()
	suppressed, ok := l.allow(event, now)
	if !ok {
		l.unwritten.Add(1)
		return
	}
	var line bytes.Buffer
	handler := slog.NewJSONHandler(&line, &slog.HandlerOptions{ReplaceAttr: replaceAttr})
	record := slog.NewRecord(now, slog.LevelInfo, string(event), 0)
	record.AddAttrs(attributes...)
	if suppressed > 0 {
		record.AddAttrs(slog.Int64("suppressed", suppressed))
	}
	if lost := l.unreported.Swap(0); lost > 0 {
		record.AddAttrs(slog.Int64("dropped", lost))
	}
	if err := handler.Handle(context.Background(), record); err != nil {
		l.unwritten.Add(1)
		return
	}
	select {
	case l.lines <- line.Bytes():
	default:
		l.unreported.Add(1)
		l.unwritten.Add(1)
	}
}

// rename gives the fixed fields their names and drops the level, which is always the same.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.MessageKey:
		a.Key = "event"
	case slog.LevelKey:
		return slog.Attr{}
	}
	if a.Value.Kind() == slog.KindDuration {
		return slog.Float64(a.Key, float64(a.Value.Duration().Microseconds())/1000)
	}
	return a
}

// take counts a line of an event and reports whether it may be written and how many before it were not.
func (l *Logger) allow(event Event, now time.Time) (suppressed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := l.windows[event]
	if !found {
		r = &rateWindow{}
		l.windows[event] = r
	}
	if now.Sub(r.start) >= time.Second || now.Before(r.start) {
		r.start, r.lines = now, 0
	}
	if r.lines >= l.config.Rate {
		r.suppressed++
		return 0, false
	}
	r.lines++
	suppressed, r.suppressed = r.suppressed, 0
	return suppressed, true
}
