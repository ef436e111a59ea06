package crlrouter

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crllog"
)

// EventLocality is logged when more or less of a service's work leaves the router's failure domain, or for another cause.
const EventLocality crllog.Event = "locality"

// logLocality returns a function that logs how much of a service's work leaves the failure domain, and why.
func logLocality(logger *crllog.Logger) func(crlfleet.Locality) {
	return func(l crlfleet.Locality) {
		logger.Event(EventLocality,
			slog.String("service", string(l.Service)), slog.Float64("share", l.Share), slog.String("cause", l.Cause.String()),
			slog.Float64("pressure", l.Pressure), slog.Duration("wait-inside-ms", l.Inside), slog.Duration("wait-outside-ms", l.Outside),
			slog.Float64("left-seconds", l.Left), slog.Int64("left-bytes", l.Bytes), slog.Float64("saved-seconds", l.Saved))
	}
}

var (
	localityShare = localityDesc("share", "Part of a service's work that leaves the failure domain now.")
	localityLeft  = localityDesc("left_seconds_total", "Work that was sent to other failure domains, in seconds of a server.")
	localityBytes = localityDesc("left_bytes_total", "Bytes of the requests sent to other failure domains and of their expected answers.")
	localitySaved = localityDesc("saved_seconds_total", "Waiting that requests were spared by leaving the failure domain, as estimated.")
)

func localityDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("cranberrylock_router_locality_"+name, help, []string{"service"}, nil)
}

// localityMetrics collects what left the failure domain, by service.
type localityMetrics struct{ fleet *crlfleet.Fleet }

// Describe implements prometheus.Collector.
func (m localityMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{localityShare, localityLeft, localityBytes, localitySaved} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (m localityMetrics) Collect(metrics chan<- prometheus.Metric) {
	for _, l := range m.fleet.Localities() {
		service := string(l.Service)
		metrics <- prometheus.MustNewConstMetric(localityShare, prometheus.GaugeValue, l.Share, service)
		metrics <- prometheus.MustNewConstMetric(localityLeft, prometheus.CounterValue, l.Left, service)
		metrics <- prometheus.MustNewConstMetric(localityBytes, prometheus.CounterValue, float64(l.Bytes), service)
		metrics <- prometheus.MustNewConstMetric(localitySaved, prometheus.CounterValue, l.Saved, service)
	}
}
