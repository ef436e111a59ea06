package crlrouter

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
	"github.com/cranberrylock/cranberrylock/crlrollout"
)

// statusCheckInterval is the mean time between two checks for a status that is due.
const statusCheckInterval = 200 * time.Millisecond

// meanStatusWriters is the mean number of daemons that write a due status in each interval. It is above one because the
// store may refuse some of them.
const meanStatusWriters = 3

// statusReporter writes the status of roll-outs to the store and applies the records that all daemons wrote.
type statusReporter struct {
	codec       Codec
	store       KeyedLog
	topic       string
	rollouts    *crlrollout.Tracker
	fleet       *crlfleet.Fleet
	now         crlclock.Clock
	logger      *crllog.Logger
	daemonCount func() int
	delayLogged map[crlid.Service]crlid.Position // by service: the order whose delay was logged last
	replica     *crlrelay.Replica                // replica of the status topic; a write fails unless the topic ends where the replica does
}

// apply applies status records that any daemon wrote.
func (p *statusReporter) apply(records []crlplatform.KeyedRecord, _ crlclock.Instant) {
	for _, r := range records {
		status, ok := p.codec.DecodeStatus(r)
		if ok && p.rollouts.RecordStatus(status) {
			p.logger.Event(EventStatus, slog.String("service", string(status.Service)), slog.String("target", string(status.Target)),
				slog.String("state", status.State.String()), slog.Int64("offset", int64(r.Position.Offset)), slog.String("outcome", "learned"))
		}
	}
}

// run writes each status that is due until ctx ends.
func (p *statusReporter) run(ctx context.Context) error {
	for ctx.Err() == nil {
		crlclock.Sleep(ctx, statusCheckInterval/2+rand.N(statusCheckInterval))
		if !p.replica.Loaded() {
			continue
		}
		for _, status := range p.rollouts.Due(p.now(), p.fleet.Capacity) {
			// A status becomes due at all daemons at once, so a random few of them write it. Only a verdict that the others may not know
			// is written in any case.
			if !status.Urgent && rand.N(p.daemonCount()) >= meanStatusWriters {
				continue
			}
			p.write(ctx, status)
		}
		for _, lost := range p.replica.Lost() {
			p.writeAgain(ctx, lost)
		}
		p.logDelays()
	}
	return ctx.Err()
}

// logDelays logs each roll-out once that is past its deadline without an outcome.
func (p *statusReporter) logDelays() {
	for _, delay := range p.rollouts.Delayed(p.now()) {
		if position, ok := p.delayLogged[delay.Service]; ok && position == delay.Position {
			continue
		}
		if p.delayLogged == nil {
			p.delayLogged = make(map[crlid.Service]crlid.Position)
		}
		p.delayLogged[delay.Service] = delay.Position
		p.logger.Event(EventStatusDelayed, slog.String("service", string(delay.Service)), slog.String("target", string(delay.Target)),
			slog.String("measure", delay.Measure.String()), slog.Float64("likelihood", delay.Likelihood), slog.Int("answers", delay.Answers))
	}
}

// write appends a status on the condition that the topic still ends where the replica does. The store thereby also refuses
// a write that arrives late.
func (p *statusReporter) write(ctx context.Context, status crlrollout.DueStatus) {
	record, err := p.codec.EncodeStatus(status.Status)
	if err != nil {
		p.logger.Event(EventBadRecord, slog.String("service", string(status.Service)), slog.String("cause", err.Error()))
		return
	}
	end, outcome, cause := p.append(ctx, record)
	p.logger.Event(EventStatus, slog.String("service", string(status.Service)), slog.String("target", string(status.Target)),
		slog.String("state", status.State.String()), slog.Int64("at", int64(end.Offset)), slog.String("outcome", outcome), slog.String("cause", cause),
		slog.Float64("evidence", status.Evidence), slog.Int("answers", status.Answers))
}

// writeAgain writes a status that the store has lost.
func (p *statusReporter) writeAgain(ctx context.Context, record crlplatform.KeyedRecord) {
	end, outcome, cause := p.append(ctx, record)
	p.logger.Event(EventStatus, slog.String("key", record.Key), slog.Int64("at", int64(end.Offset)), slog.Int64("era", int64(end.Era)),
		slog.String("outcome", outcome), slog.String("cause", cause))
}

// append appends a record on the condition that the topic ends at the returned position.
func (p *statusReporter) append(ctx context.Context, record crlplatform.KeyedRecord) (end crlid.Position, outcome, cause string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutMargin)
	defer cancel()
	end = p.replica.End()
	_, err := p.store.AppendAt(ctx, p.topic, record, end)
	var conflict *crlplatform.Conflict
	switch {
	case errors.As(err, &conflict):
		return end, "conflict with another write", ""
	case err != nil:
		return end, "unknown", err.Error()
	}
	return end, "written", ""
}
