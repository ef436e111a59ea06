package crlrouter

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
	"github.com/cranberrylock/cranberrylock/crlrollout"
)

// statusPeriod is how often a daemon looks whether a state is due.
const statusCheckInterval = 200 * time.Millisecond

// statusWriters is how many daemons write a due state in a period on average; more than one, as the store may refuse some.
const meanStatusWriters = 3

// reporter writes the states of roll-outs that are due.
type statusReporter struct {
	codec       Codec
	store       KeyedLog
	topic       string
	rollouts    *crlrollout.Tracker
	fleet       *crlfleet.Fleet
	now         crlclock.Clock
	logger      *crllog.Logger
	daemonCount func() int
	replica     *crlrelay.Replica // replica holds the states that are known; a write is refused when there are more.
}

// take takes states that daemons wrote.
func (p *statusReporter) apply(records []crlplatform.KeyedRecord, _ crlclock.Instant) {
	for _, r := range records {
		status, ok := p.codec.DecodeStatus(r)
		if ok && p.rollouts.RecordStatus(status) {
			p.logger.Event(EventStatus, slog.String("service", string(status.Service)), slog.String("target", string(status.Target)),
				slog.String("state", status.State.String()), slog.Int64("offset", int64(r.Offset)), slog.String("outcome", "learned"))
		}
	}
}

// run writes due states until ctx ends.
func (p *statusReporter) run(ctx context.Context) error {
	for ctx.Err() == nil {
		crlclock.Sleep(ctx, statusCheckInterval/2+rand.N(statusCheckInterval))
		if !p.replica.Loaded() {
			continue
		}
		for _, status := range p.rollouts.Due(p.now(), p.fleet.Capacity) {
			// Daemons that are due together wait a moment at random, so that few of them write.
			if status.State != crlrollout.StateRolledBack && rand.N(p.daemonCount()) >= meanStatusWriters {
				continue
			}
			p.write(ctx, status)
		}
	}
	return ctx.Err()
}

// write appends a state if no other was written since; a write that lands late is refused by the same condition.
func (p *statusReporter) write(ctx context.Context, status crlrollout.Status) {
	record, err := p.codec.EncodeStatus(status)
	if err != nil {
		p.logger.Event(EventBadRecord, slog.String("service", string(status.Service)), slog.String("cause", err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	defer cancel()
	at := p.replica.End()
	_, err = p.store.AppendAt(ctx, p.topic, record, at)
	outcome, cause := "written", ""
	var conflict *crlplatform.Conflict
	switch {
	case errors.As(err, &conflict):
		outcome = "another was first"
	case err != nil:
		outcome, cause = "unknown", err.Error()
	}
	p.logger.Event(EventStatus, slog.String("service", string(status.Service)), slog.String("target", string(status.Target)),
		slog.String("state", status.State.String()), slog.Int64("at", int64(at)), slog.String("outcome", outcome), slog.String("cause", cause))
}
