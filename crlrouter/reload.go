package crlrouter

import (
	"context"
	"log/slog"
	"reflect"
	"runtime/debug"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
)

// settingsPollInterval is the time between two reads of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// Triggers of a reload, as logged.
const (
	triggerSignal = "signal"
	triggerPoll   = "period"
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
		r.config.Logger.Event(EventReload, slog.String("outcome", "read"), slog.String("trigger", trigger), slog.Bool("changed", changed),
			slog.Bool("restart-needed", !onlyReloadableDiffers(settings, r.config.Settings)))
		current = settings
	}
}

// applySettings applies those settings that can change without a restart.
func (r *Router) applySettings(s *Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	r.follower.SetSeeds(s.Seeds)
}

// onlyReloadableDiffers reports whether a and b differ at most in the settings that applySettings applies.
func onlyReloadableDiffers(a, b *Settings) bool {
	x, y := *a, *b
	x.MemoryBytes, x.Seeds = y.MemoryBytes, y.Seeds
	return reflect.DeepEqual(x, y)
}
