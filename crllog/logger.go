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
	maxBufferedLines = 2048 // lines that may wait for the output, about 1 MB
	// DefaultRate is the default limit of lines per second for each event. It is well above the 15 requests per second of a
	// daemon of the planned size.
	DefaultRate = 100
)

// Event is the name of what a line reports, in kebab case.
type Event string

// Config configures a Logger.
type Config struct {
	Output io.Writer
	Rate   int // lines per second that are written for each event, 0 for DefaultRate
}

// Logger accepts lines without blocking its callers and writes them in Run. It is safe for concurrent use.
type Logger struct {
	config     Config
	lines      chan []byte   // lines that wait for the output
	done       chan struct{} // closed when Run returns; nothing receives from it, but closing it again makes a second Run panic
	unreported atomic.Int64  // lines lost to a slow or failing output and not yet counted in an attribute dropped
	unwritten  atomic.Int64  // all lines that were not written, for any reason
	mu         sync.Mutex    // guards windows
	windows    map[Event]*rateWindow
}

// rateWindow counts the lines of one event within a window of one second.
type rateWindow struct {
	start      time.Time
	lines      int   // lines accepted in the window
	suppressed int64 // lines above the limit since the last accepted one, in this window or earlier ones
}

// New returns a Logger. Its lines are buffered until Run is called.
func New(config Config) *Logger {
	if config.Rate == 0 {
		config.Rate = DefaultRate
	}
	return &Logger{
		config: config, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{}), windows: make(map[Event]*rateWindow),
	}
}

// Run writes lines to the output until ctx ends, and then the lines that are buffered at that time. It must be called at
// most once.
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

// flush writes the buffered lines.
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

// write writes one line, or counts it as dropped.
func (l *Logger) write(line []byte) {
	// There is no other place to report a failed write than the count of dropped lines.
	if _, err := l.config.Output.Write(line); err != nil {
		l.unreported.Add(1)
		l.unwritten.Add(1)
	}
}

// Dropped returns the number of lines since the start that were not written: those above the limit of their event, and
// those that the output could not accept.
func (l *Logger) Dropped() int64 { return l.unwritten.Load() }

// Event queues a line for the output, unless the event is above its limit or the buffer is full. A line also counts the
// lines lost before it: its attribute suppressed those of the same event above the limit, its attribute dropped those of
// any event that the output could not accept. A line that is lost itself takes these counts with it.
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

// replaceAttr names the message "event", removes the level, which is always the same, and writes durations as
// milliseconds.
func replaceAttr(groups []string, attribute slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return attribute
	}
	switch attribute.Key {
	case slog.MessageKey:
		attribute.Key = "event"
	case slog.LevelKey:
		return slog.Attr{}
	}
	if attribute.Value.Kind() == slog.KindDuration {
		return slog.Float64(attribute.Key, float64(attribute.Value.Duration().Microseconds())/1000)
	}
	return attribute
}

// allow counts a line of an event and reports whether the limit lets it be written and, if so, how many lines of the event
// were suppressed since the last that it let be written. A window also ends when the clock was set back.
func (l *Logger) allow(event Event, now time.Time) (suppressed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	window, found := l.windows[event]
	if !found {
		window = &rateWindow{}
		l.windows[event] = window
	}
	if now.Sub(window.start) >= time.Second || now.Before(window.start) {
		window.start, window.lines = now, 0
	}
	if window.lines >= l.config.Rate {
		window.suppressed++
		return 0, false
	}
	window.lines++
	suppressed, window.suppressed = window.suppressed, 0
	return suppressed, true
}
