package crlforward

import (
	"log/slog"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconn"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlquarantine"
)

// Events that a Service logs.
const (
	EventRequest          crllog.Event = "request"           // logged once for each request, when the request has ended
	EventRequestCut       crllog.Event = "request-cut"       // logged instead of EventRequest for a request whose answer the router cut off
	EventVersionMarkedBad crllog.Event = "version-condemned" // logged when this daemon's observations mark a version bad
)

// sendTrace describes one send of a request in the request's log line.
type sendTrace struct {
	Server      string  `json:"server,omitempty"`
	Version     string  `json:"version,omitempty"`
	Router      string  `json:"router,omitempty"` // address of the router that the request was handed over to, in place of a server
	Model       string  `json:"model,omitempty"`
	Status      int     `json:"status"`
	FirstByteMS float64 `json:"first-ms"`
	Cause       string  `json:"cause,omitempty"`
	// Broken is how far the answer had come when its connection ended, empty if that didn't happen or this router ended it.
	Broken string `json:"broken,omitempty"`
	Ended  bool   `json:"server-ended,omitempty"` // whether the server then refused connections, for sends that looked
}

// trace collects what a request's log line and the metrics report.
type trace struct {
	outcome         string
	cause           string
	status          int
	confidence      int
	confirmationAge time.Duration // of the configuration, for denials and where it is above Config.MaxDenialAge
	part            string        // the quarantined part of the request's prompt
	sends           []sendTrace
}

// recordSend adds a send to the trace. status is 0 and cause is set when no answer arrived.
func (x *exchange) recordSend(pick *crlfleet.Pick, model crlid.Model, status int, firstByte time.Duration, cause string) {
	x.trace.sends = append(x.trace.sends, sendTrace{
		Server: string(pick.Server), Version: string(pick.Version), Model: string(model), Status: status,
		FirstByteMS: float64(firstByte.Microseconds()) / 1000, Cause: cause,
	})
}

// recordBroken adds to the newest send of the trace how far its answer had come when its connection ended.
func (x *exchange) recordBroken(moment crlquarantine.Moment) {
	if n := len(x.trace.sends); n > 0 {
		x.trace.sends[n-1].Broken = moment.String()
	}
}

// recordEnded adds to the newest send of the trace that its server has ended.
func (x *exchange) recordEnded() {
	if n := len(x.trace.sends); n > 0 {
		x.trace.sends[n-1].Ended = true
	}
}

// finish logs a request that has ended and adds it to the metrics. status is the HTTP status that the caller got, 0 when the
// answer was cut off.
func (s *Service) finish(x *exchange, status int) {
	duration := time.Since(x.arrived)
	attributes := []slog.Attr{
		slog.String("request", string(x.head.Request)), slog.String("outcome", x.trace.outcome),
		slog.Int("status", status), slog.Duration("lasted-ms", duration),
	}
	if x.route != nil {
		attributes = append(attributes, slog.String("route", string(x.route.Name)))
	}
	if x.table != nil {
		attributes = append(attributes, slog.Int64("configuration", x.table.Version()))
	}
	if len(x.trace.sends) > 0 {
		attributes = append(attributes, slog.Any("sends", x.trace.sends))
	}
	if x.head.Session != "" {
		attributes = append(attributes, slog.String("session", string(x.head.Session)))
	}
	if x.head.PromptTokens > 0 {
		attributes = append(attributes, slog.Int64("prompt-tokens", int64(x.head.PromptTokens)))
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
	if x.handedOver {
		attributes = append(attributes, slog.Bool("handed-over", true), slog.Int("runs-before", x.runsBefore))
	}
	if x.runs > 1 || x.handedOver || len(x.peers) > 0 {
		attributes = append(attributes, slog.Int("runs", x.runs))
	}
	if x.trace.part != "" {
		attributes = append(attributes, slog.String("part", x.trace.part))
	}
	attributes = append(attributes, x.admission.attributes()...)
	if status == 0 || s.Draining() {
		attributes = append(attributes, s.cutAttributes(x)...)
	}
	event := EventRequest
	if status == 0 && x.request.Context().Err() == nil {
		event = EventRequestCut // It has a limit of lines of its own, so that other requests' lines don't displace it.
	}
	s.config.Log.Event(event, attributes...)
	s.config.Metrics.observe(x, duration)
}

// cutAttributes returns what else happened around a request that was cut off or that ended while the daemon drains.
func (s *Service) cutAttributes(x *exchange) []slog.Attr {
	attributes := []slog.Attr{slog.Bool("draining", s.Draining())}
	if x.table != nil {
		attributes = append(attributes, slog.Duration("configuration-age-ms", x.tableAge))
	}
	if stats, ok := crlconn.StatsOf(x.request.Context()); ok {
		attributes = append(attributes, slog.Duration("connection-age-ms", stats.Age), slog.Int("connection-answers", stats.Answers),
			slog.Int64("sent-bytes", stats.WrittenBytes))
	}
	return attributes
}

// logVersionMarkedBad logs that the outcome of a request led to its version being marked bad in a roll-out.
func (s *Service) logVersionMarkedBad(x *exchange, pick *crlfleet.Pick) {
	s.config.Log.Event(EventVersionMarkedBad,
		slog.String("request", string(x.head.Request)), slog.String("service", string(x.service.Name)),
		slog.String("version", string(pick.Version)), slog.Int64("order", int64(x.rolloutPlan.OrderPosition.Offset)),
		slog.Int64("era", int64(x.rolloutPlan.OrderPosition.Era)))
}
