package crlrouter

import (
	"context"
	"log/slog"
	"reflect"
	"runtime/debug"
	"time"
)

// settingsPeriod is how often the settings are looked at, since they may change without a signal.
const settingsPollInterval = 2 * time.Second

// Causes of a reload.
const (
	triggerSignal = "signal"
	triggerPeriod = "period"
)

// reload takes over changed settings until ctx ends.
func (r *Router) reload(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	inForce, failed := r.config.Settings, ""
	for {
		cause := triggerPeriod
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.config.Hangup:
			cause = triggerSignal
		case <-ticker.C:
		}
		settings, err := r.config.Reload()
		if err != nil {
			if cause == triggerSignal || err.Error() != failed {
				r.config.Logger.Event(EventReload, slog.String("outcome", "kept the settings in force"), slog.String("trigger", cause),
					slog.String("cause", err.Error()))
			}
			failed = err.Error()
			continue
		}
		failed = ""
		changed := !reflect.DeepEqual(settings, inForce)
		if cause == triggerPeriod && !changed {
			continue
		}
		r.applySettings(settings)
		r.config.Logger.Event(EventReload, slog.String("outcome", "read"), slog.String("trigger", cause), slog.Bool("changed", changed),
			slog.Bool("restart-needed", !onlyReloadableDiffers(settings, r.config.Settings)))
		inForce = settings
	}
}

// apply takes over what can change while the router runs.
func (r *Router) applySettings(s *Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	r.follower.SetSeeds(s.Seeds)
}

// onlyApplied reports whether settings differ at most in what apply takes over.
func onlyReloadableDiffers(a, b *Settings) bool {
	x, y := *a, *b
	x.MemoryBytes, x.Seeds = y.MemoryBytes, y.Seeds
	return reflect.DeepEqual(x, y)
}
