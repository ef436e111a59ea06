package crlforward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of a Service: requests by outcome, sends, and durations.
type Metrics struct {
	requests  *prometheus.CounterVec
	admission *prometheus.CounterVec
	sends     prometheus.Counter
	handovers prometheus.Counter
	latency   *prometheus.HistogramVec
}

// NewMetrics returns Metrics that are registered at registry. It panics if they are registered there already.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrylock_forward_requests_total", Help: "Requests by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		admission: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrylock_forward_admissions_total", Help: "Decisions on requests for model engines before their first send, and on larger models.",
		}, []string{"decision"}),
		sends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cranberrylock_forward_sends_total", Help: "Sends to backend servers.",
		}),
		handovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cranberrylock_forward_handovers_total", Help: "Requests handed over to other routers.",
		}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cranberrylock_forward_duration_seconds", Help: "Time from arrival to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"kind"}),
	}
	registry.MustRegister(m.requests, m.admission, m.sends, m.handovers, m.latency)
	return m
}

// observe records a request that has ended. A request that was refused before its route was known has kind "none".
func (m *Metrics) observe(x *exchange, duration time.Duration) {
	kind := "none"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	m.requests.WithLabelValues(kind, x.trace.outcome).Inc()
	m.sends.Add(float64(len(x.trace.sends) - len(x.peers)))
	m.latency.WithLabelValues(kind).Observe(duration.Seconds())
}

// countDecision counts one decision about admission.
func (m *Metrics) countDecision(decision string) { m.admission.WithLabelValues(decision).Inc() }
