package crlrouter

import (
	"context"
	"log/slog"
	"reflect"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// settingsPollInterval is the time between two reads of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// Triggers of a reload, as logged.
const (
	triggerSignal = "signal"
	triggerPoll   = "period"
	triggerStop   = "stop"
)

// reload applies changed settings, on a signal or within settingsPollInterval, until ctx ends. Settings that can't be read
// leave the current ones unchanged.
func (r *Router) reload(ctx context.Context) error {
	ticker := crlclock.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current, lastError := r.config.Settings, ""
	for {
		trigger := triggerPoll
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.config.Hangup:
			trigger = triggerSignal
		case <-ticker.C:
		}
		settings, err := r.config.Reload()
		if err != nil {
			if trigger == triggerSignal || err.Error() != lastError {
				r.config.Logger.Event(EventReload, slog.String("outcome", "kept the settings in force"), slog.String("trigger", trigger),
					slog.String("cause", err.Error()))
			}
			lastError = err.Error()
			continue
		}
		lastError = ""
		changed := !reflect.DeepEqual(settings, current)
		if trigger == triggerPoll && !changed {
			continue
		}
		r.applySettings(settings)
		pending := r.pendingSettings(settings)
		r.config.Logger.Event(EventReload, slog.String("outcome", "read"), slog.String("trigger", trigger), slog.Bool("changed", changed),
			slog.Bool("restart-needed", len(pending) > 0), slog.String("restart-for", strings.Join(pending, " ")))
		current = settings
	}
}

// applySettings applies those settings that can change without a restart.
func (r *Router) applySettings(s *Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	r.follower.SetSeeds(s.Seeds)
	r.grace.Store(int64(s.Bounds.Grace))
}

// newestGrace returns the grace time of the settings as they are now, or of those in force if they can't be read: a change may come just before the stop signal.
func (r *Router) newestGrace() (grace time.Duration) {
	grace = time.Duration(r.grace.Load())
	err := recoverPanic(func() error {
		s, err := r.config.Reload()
		if err == nil {
			grace = s.Bounds.Grace
		}
		return err
	})
	if err != nil {
		r.config.Logger.Event(EventReload, slog.String("outcome", "kept the settings in force"), slog.String("trigger", triggerStop),
			slog.String("cause", err.Error()))
	}
	return grace
}

// pendingSettings returns the names of the settings that differ from those at the start and need a restart. The runtime's memory limit changes at once, the limits
// on requests that are derived from MemoryBytes don't.
func (r *Router) pendingSettings(s *Settings) []string {
	started, newest := *r.config.Settings, *s
	newest.Seeds, newest.Bounds.Grace = started.Seeds, started.Bounds.Grace
	return append(differingFields(started.Bounds, newest.Bounds), differingFields(withoutBounds(started), withoutBounds(newest))...)
}

func withoutBounds(s Settings) Settings {
	s.Bounds = Bounds{}
	return s
}

// differingFields returns the names of the fields in which two structs of one type differ.
func differingFields(a, b any) (names []string) {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}
