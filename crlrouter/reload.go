package crlrouter

import (
	"context"
	"log/slog"
	"reflect"
	"runtime/debug"
	"time"
)

// settingsPeriod is how often the settings are looked at, since they may change without a signal.
const settingsPeriod = 2 * time.Second

// Causes of a reload.
const (
	causeSignal = "signal"
	causePeriod = "period"
)

// reload takes over changed settings until ctx ends.
func (r *Router) reload(ctx context.Context) error {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	inForce, failed := r.config.Settings, ""
	for {
		cause := causePeriod
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.config.Hangup:
			cause = causeSignal
		case <-ticker.C:
		}
		settings, err := r.config.Reload()
		if err != nil {
			if cause == causeSignal || err.Error() != failed {
				r.config.Lines.Event(EventReload, slog.String("outcome", "kept the settings in force"), slog.String("trigger", cause),
					slog.String("cause", err.Error()))
			}
			failed = err.Error()
			continue
		}
		failed = ""
		changed := !reflect.DeepEqual(settings, inForce)
		if cause == causePeriod && !changed {
			continue
		}
		r.apply(settings)
		r.config.Lines.Event(EventReload, slog.String("outcome", "read"), slog.String("trigger", cause), slog.Bool("changed", changed),
			slog.Bool("restart-needed", !onlyApplied(settings, r.config.Settings)))
		inForce = settings
	}
}

// apply takes over what can change while the router runs.
func (r *Router) apply(s *Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
	}
	r.follower.SetSeeds(s.Seeds)
}

// onlyApplied reports whether settings differ at most in what apply takes over.
func onlyApplied(a, b *Settings) bool {
	x, y := *a, *b
	x.MemoryBytes, x.Seeds = y.MemoryBytes, y.Seeds
	return reflect.DeepEqual(x, y)
}
