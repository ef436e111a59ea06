package crlrouter

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crllog"
)

// TestReload shows what a router makes of settings that change with a signal and without.
func TestReload(t *testing.T) {
	same := Settings{Daemon: "d", MemoryBytes: 1 << 30}
	for _, c := range []struct {
		name   string
		signal bool
		change func(s *Settings)
		err    error
		want   []string // want are parts of the line, empty for no line.
	}{
		{"nothing changed", false, func(*Settings) {}, nil, nil},
		{"signal without a change", true, func(*Settings) {}, nil, []string{`"changed":false`, `"restart-needed":false`, `"trigger":"signal"`}},
		{"seeds changed silently", false, func(s *Settings) { s.Seeds = []string{"a:1"} }, nil, []string{`"changed":true`, `"restart-needed":false`}},
		{"bounds changed silently", false, func(s *Settings) { s.Bounds.RetrySlack = 9 }, nil, []string{`"changed":true`, `"restart-needed":true`}},
		{"file that can't be read", false, func(*Settings) {}, errors.New("settings.toml: node is empty"), []string{"kept the settings in force", "node is empty"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				settings, failure := same, error(nil)
				hangup := make(chan os.Signal, 1)
				written := new(bytes.Buffer)
				lines := crllog.New(crllog.Config{Output: written})
				store := newMemoryStore()
				r := New(Config{
					Settings: &same, Store: store.storeView(0), Codec: testCodec{}, Dialect: testDialect{}, Logger: lines, Clock: newCluster(store).clock, Hangup: hangup,
					Reload: func() (*Settings, error) {
						mu.Lock()
						defer mu.Unlock()
						now := settings
						return &now, failure
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = r.reload(ctx) }()
				time.Sleep(time.Second)
				mu.Lock()
				c.change(&settings)
				failure = c.err
				mu.Unlock()
				if c.signal {
					hangup <- os.Interrupt
				}
				time.Sleep(5 * settingsPollInterval)
				cancel()
				synctest.Wait()
				if err := lines.Run(ctx); err != nil {
					t.Fatal(err)
				}
				got := written.String()
				if n := strings.Count(got, "reload"); n != min(len(c.want), 1) {
					t.Errorf("%d lines, want %d: %s", n, min(len(c.want), 1), got)
				}
				for _, part := range c.want {
					if !strings.Contains(got, part) {
						t.Errorf("the line lacks %s: %s", part, got)
					}
				}
			})
		})
	}
}
