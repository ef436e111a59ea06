package crljournal

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Forwarder hands a batch to the Combiner of another daemon and returns the offset of its append.
type Forwarder interface {
	Forward(ctx context.Context, to crlid.Daemon, stream crlid.Stream, payload []byte) (crlid.Offset, error)
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	Log       Appender
	Combiners map[crlid.Stream]*Combiner
	Forwarder Forwarder
	Self      crlid.Daemon
	Appenders func(stream crlid.Stream) []crlid.Daemon // Appenders returns who appends for this daemon's failure domain, none for everybody.
}

// Relay brings batches to the log directly or through one of a few appenders.
type Relay struct {
	config RelayConfig
}

// NewRelay returns a Relay.
func NewRelay(config RelayConfig) *Relay { return &Relay{config: config} }

// Append brings a batch to the log by the first way that works; a batch that lands twice is folded once.
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
		klog.V(1).Infof("journal: appender %s of %s failed: %v", a, stream, err)
		if ctx.Err() != nil {
			return crlid.NoOffset, ctx.Err()
		}
	}
	return r.config.Log.Append(ctx, stream, payload)
}

// Appenders returns the daemons of one failure domain that append to a stream.
//
// Everybody appends, and the result is empty, while the members of all failure
// domains are few beside the budget of appends per second.
func Appenders(stream crlid.Stream, domain []crlid.Daemon, members, budget int) []crlid.Daemon {
	if members <= budget/minDirectAppendRate {
		return nil
	}
	return Rendezvous(string(stream), domain)[:min(len(domain), appendersPerDomain)]
}

// Bounds of direct appending.
const (
	minDirectAppendRate = 10 // membersPerBudget is the share of the budget, one tenth, that members may come to.
	appendersPerDomain  = 2
)
