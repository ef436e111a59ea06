package crlreport

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Recorder counts outcomes of requests, one call per request. It is a prometheus.Collector and safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex // guards tracker and gaps; the Prometheus vectors have their own locks
	tracker    *Tracker
	gaps       map[crlid.Class]*GapCounts
	requests   *prometheus.CounterVec   // number of requests
	firstToken *prometheus.HistogramVec // time until the first token, in seconds
}

// firstTokenBounds are the upper bounds, in seconds, of the buckets of the first-token histogram.
var firstTokenBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.6, 1, 1.2, 2.5, 3, 5, 10, 30}

// betweenTokensDesc describes the histogram that Collect builds from the gaps of each class.
var betweenTokensDesc = prometheus.NewDesc(
	"cranberrylock_between_tokens_seconds", "Time between two tokens of an answer.", []string{"class"}, nil,
)

// NewRecorder returns a Recorder without outcomes.
func NewRecorder(config TrackerConfig) *Recorder {
	return &Recorder{
		tracker: NewTracker(config), gaps: make(map[crlid.Class]*GapCounts),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrylock_requests_total", Help: "Requests by what became of them.",
		}, []string{"organisation", "class", "service", "code", "ran"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cranberrylock_first_token_seconds", Help: "Time from a request's arrival to its first token.",
			Buckets: firstTokenBounds,
		}, []string{"class"}),
	}
}

// Observe counts one outcome.
func (r *Recorder) Observe(outcome Outcome) {
	class := string(outcome.Class.ID)
	r.requests.WithLabelValues(string(outcome.Organisation), class, string(outcome.Service), outcome.Code, outcome.Ran).Inc()
	if outcome.FirstToken > 0 {
		r.firstToken.WithLabelValues(class).Observe(outcome.FirstToken.Seconds())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Add(outcome)
	if outcome.Gaps.Total > 0 {
		r.classGaps(outcome.Class.ID).merge(outcome.Gaps)
	}
}

// Report returns the counts and burn rates of the windows that end at now.
func (r *Recorder) Report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Report(now)
}

// Describe implements prometheus.Collector.
func (r *Recorder) Describe(descriptions chan<- *prometheus.Desc) {
	r.requests.Describe(descriptions)
	r.firstToken.Describe(descriptions)
	descriptions <- betweenTokensDesc
}

// Collect implements prometheus.Collector.
func (r *Recorder) Collect(metrics chan<- prometheus.Metric) {
	r.requests.Collect(metrics)
	r.firstToken.Collect(metrics)
	r.mu.Lock()
	defer r.mu.Unlock()
	for class, gaps := range r.gaps {
		metrics <- gaps.metric(class)
	}
}

// classGaps returns the histogram of a class, which it creates if needed. The caller holds mu.
func (r *Recorder) classGaps(class crlid.Class) *GapCounts {
	g, ok := r.gaps[class]
	if !ok {
		g = &GapCounts{}
		r.gaps[class] = g
	}
	return g
}

// metric returns the counts as a Prometheus histogram with cumulative buckets.
func (g *GapCounts) metric(class crlid.Class) prometheus.Metric {
	cumulative := make(map[float64]uint64, len(gapBounds))
	sum := uint64(0)
	for i, bound := range gapBounds {
		sum += g.buckets[i]
		cumulative[bound] = sum
	}
	return prometheus.MustNewConstHistogram(betweenTokensDesc, g.Total, g.Seconds, cumulative, string(class))
}
