package crljournal

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Forwarder sends a batch to the Combiner of another daemon and returns the offset of the append.
type Forwarder interface {
	Forward(ctx context.Context, to crlid.Daemon, stream crlid.Stream, payload []byte) (crlid.Offset, error)
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	Log       Appender
	Combiners map[crlid.Stream]*Combiner // of this daemon, for the streams for which it may be an appender
	Forwarder Forwarder
	Self      crlid.Daemon
	// Appenders returns the daemons that append for this daemon's failure domain, none if every daemon appends directly.
	Appenders func(stream crlid.Stream) []crlid.Daemon
}

// Relay appends batches to the log, directly or through an appender, a daemon that combines the batches of others. It
// implements Appender.
type Relay struct {
	config RelayConfig
}

// NewRelay returns a Relay.
func NewRelay(config RelayConfig) *Relay { return &Relay{config: config} }

// Append appends a batch through the first appender that succeeds, or directly if none does.
//
// A failed attempt may still have reached the log, so the batch may be appended twice; a Deduplicator drops the repeat.
func (r *Relay) Append(ctx context.Context, stream crlid.Stream, payload []byte) (crlid.Offset, error) {
	appenders := r.config.Appenders(stream)
	if len(appenders) == 0 {
		return r.config.Log.Append(ctx, stream, payload)
	}
	if slices.Contains(appenders, r.config.Self) {
		return r.config.Combiners[stream].Append(ctx, payload)
	}
	for _, a := range Rendezvous(string(r.config.Self), appenders) {
		offset, err := r.config.Forwarder.Forward(ctx, a, stream, payload)
		if err == nil {
			return offset, nil
		}
		klog.V(1).Infof("journal: append of %d bytes to %s through appender %s failed: %v", len(payload), stream, a, err)
		if ctx.Err() != nil {
			return crlid.NoOffset, ctx.Err()
		}
	}
	return r.config.Log.Append(ctx, stream, payload)
}

// Appenders returns the daemons of one failure domain that append to a stream.
//
// The result is empty, which means that every daemon appends directly, while the budget of appends per second gives each of
// the members of all failure domains at least minDirectAppendRate.
func Appenders(stream crlid.Stream, domain []crlid.Daemon, members, budget int) []crlid.Daemon {
	if members <= budget/minDirectAppendRate {
		return nil
	}
	return Rendezvous(string(stream), domain)[:min(len(domain), appendersPerDomain)]
}

const (
	minDirectAppendRate = 10 // appends per second; at lower rates per daemon, a few appenders append for all
	appendersPerDomain  = 2  // a daemon whose first appender fails uses the second
)
