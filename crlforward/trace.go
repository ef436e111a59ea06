package crlforward

import (
	"log/slog"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
)

// Events that a Service logs.
const (
	EventRequest          crllog.Event = "request"
	EventVersionMarkedBad crllog.Event = "version-condemned"
)

// sendTrace is one send of a request.
type sendTrace struct {
	Server      string  `json:"server"`
	Version     string  `json:"version"`
	Model       string  `json:"model,omitempty"`
	Status      int     `json:"status"`
	FirstByteMS float64 `json:"first-ms"`
	Cause       string  `json:"cause,omitempty"`
}

// trace is what a request's line in the log says.
type trace struct {
	outcome         string
	cause           string
	status          int
	confidence      int
	confirmationAge time.Duration
	sends           []sendTrace
}

func (x *exchange) recordSend(pick *crlfleet.Pick, model crlid.Model, status int, first time.Duration, cause string) {
	x.trace.sends = append(x.trace.sends, sendTrace{
		Server: string(pick.Server), Version: string(pick.Version), Model: string(model), Status: status,
		FirstByteMS: float64(first.Microseconds()) / 1000, Cause: cause,
	})
}

// finish logs and counts a request that has its answer.
func (s *Service) finish(x *exchange, status int) {
	lasted := time.Since(x.arrived)
	attributes := []slog.Attr{
		slog.String("request", string(x.head.Request)), slog.String("outcome", x.trace.outcome),
		slog.Int("status", status), slog.Duration("lasted-ms", lasted),
	}
	if x.route != nil {
		attributes = append(attributes, slog.String("route", string(x.route.Name)), slog.Int64("configuration", x.table.Version()))
	}
	if len(x.trace.sends) > 0 {
		attributes = append(attributes, slog.Any("sends", x.trace.sends))
	}
	if x.head.Session != "" {
		attributes = append(attributes, slog.String("session", string(x.head.Session)))
	}
	if x.head.Prompt > 0 {
		attributes = append(attributes, slog.Int64("prompt-tokens", int64(x.head.Prompt)))
	}
	if x.stream.started {
		attributes = append(attributes, slog.Int("confidence", x.trace.confidence))
	}
	if x.stream.lastEvent > 0 {
		attributes = append(attributes, slog.Int64("last-event", x.stream.lastEvent))
	}
	if x.trace.cause != "" {
		attributes = append(attributes, slog.String("cause", x.trace.cause))
	}
	if x.trace.confirmationAge > 0 {
		attributes = append(attributes, slog.Duration("proof-age-ms", x.trace.confirmationAge))
	}
	s.config.Log.Event(EventRequest, attributes...)
	s.config.Metrics.observe(x, lasted)
}

func (s *Service) logVersionMarkedBad(x *exchange, pick *crlfleet.Pick) {
	s.config.Log.Event(EventVersionMarkedBad,
		slog.String("request", string(x.head.Request)), slog.String("service", string(x.service.Name)),
		slog.String("version", string(pick.Version)), slog.Int64("order", int64(x.rolloutPlan.OrderOffset)))
}
