package crlrouter

import (
	"encoding/json"
	"log/slog"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlforward"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlrollout"
)

// evidenceExchange exchanges what daemons observed in running roll-outs. It implements crlrelay.Exchange: a follower reports its
// observations to its source, which replies whether the target is bad. Its messages are the lists of roll-outs of a
// crlrollout.Report and a crlrollout.Reply.
type evidenceExchange struct {
	rollouts *crlrollout.Tracker
	reporter *crlrollout.Reporter
	now      crlclock.Clock
	logger   *crllog.Logger
}

func newEvidenceExchange(rollouts *crlrollout.Tracker, now crlclock.Clock, logger *crllog.Logger) *evidenceExchange {
	return &evidenceExchange{rollouts: rollouts, reporter: crlrollout.NewReporter(rollouts), now: now, logger: logger}
}

// Request returns this daemon's next report.
func (e *evidenceExchange) Request(isNew bool) json.RawMessage {
	if isNew {
		e.reporter.Reset()
	}
	report, ok := e.reporter.Next(e.now())
	if !ok {
		return nil
	}
	return e.encode(report.Rollouts)
}

// Pending reports whether a roll-out is running.
func (e *evidenceExchange) Pending() bool { return e.reporter.Pending() }

// Reply applies a follower's report and returns the reply.
func (e *evidenceExchange) Reply(request json.RawMessage) json.RawMessage {
	if request == nil {
		return nil
	}
	var report crlrollout.Report
	if err := json.Unmarshal(request, &report.Rollouts); err != nil {
		e.logger.Event(EventBadRecord, slog.String("key", "report"), slog.String("cause", err.Error()))
		return nil
	}
	reply, markedBad := e.rollouts.Receive(report, e.now())
	e.logMarkedBad(markedBad, "reports of other daemons")
	return e.encode(reply.Rollouts)
}

// Learn applies a source's reply.
func (e *evidenceExchange) Learn(reply json.RawMessage) {
	var decoded crlrollout.Reply
	if err := json.Unmarshal(reply, &decoded.Rollouts); err != nil {
		e.logger.Event(EventBadRecord, slog.String("key", "reply to a report"), slog.String("cause", err.Error()))
		return
	}
	e.logMarkedBad(e.reporter.Learn(decoded, e.now()), "another daemon")
}

func (e *evidenceExchange) encode(message any) json.RawMessage {
	encoded, err := json.Marshal(message)
	if err != nil {
		e.logger.Event(EventBadRecord, slog.String("key", "report"), slog.String("cause", err.Error()))
		return nil
	}
	return encoded
}

func (e *evidenceExchange) logMarkedBad(services []crlid.Service, cause string) {
	for _, service := range services {
		e.logger.Event(crlforward.EventVersionMarkedBad, slog.String("service", string(service)), slog.String("cause", cause))
	}
}
