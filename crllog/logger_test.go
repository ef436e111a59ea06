package crllog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLineFormat checks that a line is a JSON object with the event and its attributes, and without a level.
func TestLineFormat(t *testing.T) {
	var output bytes.Buffer
	l := New(Config{Output: &output})
	l.Event("request", slog.String("request", "r1"), slog.Duration("lasted-ms", 1500*time.Microsecond))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	var line map[string]any
	if err := json.Unmarshal(output.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	delete(line, "time")
	if got := fmt.Sprint(line); got != "map[event:request lasted-ms:1.5 request:r1]" {
		t.Errorf("line is %s, want event request, request r1 and lasted-ms 1.5", got)
	}
}

// TestRateLimitPerEvent checks that many lines of one event do not suppress those of others, and that the next line of
// the event reports how many were suppressed.
func TestRateLimitPerEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		l := New(Config{Output: &output, Rate: 10})
		for range 500 {
			l.Event("request")
		}
		l.Event("stop")
		time.Sleep(time.Second)
		l.Event("request")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := l.Run(ctx); err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		if len(lines) != 12 || !strings.Contains(lines[11], `"suppressed":490`) || !strings.Contains(lines[10], "stop") {
			t.Errorf("wrote %d lines, the last of them %q, want 12: ten requests, stop, and a request with suppressed 490",
				len(lines), lines[len(lines)-1])
		}
		if l.Dropped() != 490 {
			t.Errorf("Dropped returned %d, want 490", l.Dropped())
		}
	})
}

// TestStalledOutputDoesNotBlock checks that callers of Event are not blocked, and that memory stays bounded, while the
// output accepts nothing.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	l := New(Config{Output: writer, Rate: 1 << 30})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 20 * maxBufferedLines {
		l.Event("request", slog.String("request", "0123456789abcdef"))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if l.Dropped() < 18*maxBufferedLines {
		t.Errorf("%d lines were dropped, want at least %d of the %d", l.Dropped(), 18*maxBufferedLines, 20*maxBufferedLines)
	}
	if growth := int64(after.HeapAlloc) - int64(before.HeapAlloc); growth > 4<<20 {
		t.Errorf("memory grew by %d bytes, want at most 4 MB", growth)
	}
	cancel()
	if err := reader.Close(); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// BenchmarkEvent measures a call of Event with attributes such as a router logs for each request.
func BenchmarkEvent(b *testing.B) {
	l := New(Config{Output: io.Discard, Rate: 1 << 30})
	ctx, cancel := context.WithCancel(b.Context())
	go func() { _ = l.Run(ctx) }()
	defer cancel()
	for b.Loop() {
		l.Event("request", slog.String("request", "0123456789abcdef"), slog.String("outcome", "answered"), slog.Int("status", 200))
	}
}
