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

// TestLineSaysWhatDecided shows the form of a line.
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
		t.Errorf("line says %s", got)
	}
}

// TestEachEventHasItsRate shows that a flood of one event leaves room for others and says how much it left out.
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
			t.Errorf("%d lines, the last %q", len(lines), lines[len(lines)-1])
		}
		if l.Dropped() != 490 {
			t.Errorf("%d lines counted as dropped", l.Dropped())
		}
	})
}

// TestOutputThatNobodyReads shows that callers go on and memory stays bounded.
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
		t.Errorf("only %d lines dropped", l.Dropped())
	}
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 4<<20 {
		t.Errorf("memory grew by %d bytes", grown)
	}
	cancel()
	if err := reader.Close(); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func BenchmarkEvent(b *testing.B) {
	l := New(Config{Output: io.Discard, Rate: 1 << 30})
	ctx, cancel := context.WithCancel(b.Context())
	go func() { _ = l.Run(ctx) }()
	defer cancel()
	for b.Loop() {
		l.Event("request", slog.String("request", "0123456789abcdef"), slog.String("outcome", "answered"), slog.Int("status", 200))
	}
}
