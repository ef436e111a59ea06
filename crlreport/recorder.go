package crlreport

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Recorder takes outcomes from traffic goroutines, one a request, and is a prometheus.Collector.
type Recorder struct {
	mu         sync.Mutex // mu guards the fields below.
	tracker    *Tracker
	gaps       map[crlid.Class]*GapCounts
	requests   *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
}

// firstTokenBounds are the upper bounds of the first-token histogram's buckets in seconds.
var firstTokenBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.6, 1, 1.2, 2.5, 3, 5, 10, 30}

// betweenTokens describes the histogram that Collect makes from the gaps.
var betweenTokensDesc = prometheus.NewDesc(
	"cranberrylock_between_tokens_seconds", "Time between two tokens of an answer.", []string{"class"}, nil,
)

// NewRecorder returns a recorder without outcomes.
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

// Report tells the burn up to a moment.
func (r *Recorder) Report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Report(now)
}

// Describe sends the descriptions of the metrics.
func (r *Recorder) Describe(descriptions chan<- *prometheus.Desc) {
	r.requests.Describe(descriptions)
	r.firstToken.Describe(descriptions)
	descriptions <- betweenTokensDesc
}

// Collect sends the metrics.
func (r *Recorder) Collect(metrics chan<- prometheus.Metric) {
	r.requests.Collect(metrics)
	r.firstToken.Collect(metrics)
	r.mu.Lock()
	defer r.mu.Unlock()
	for class, gaps := range r.gaps {
		metrics <- gaps.metric(class)
	}
}

func (r *Recorder) classGaps(class crlid.Class) *GapCounts {
	g, ok := r.gaps[class]
	if !ok {
		g = &GapCounts{}
		r.gaps[class] = g
	}
	return g
}

func (g *GapCounts) metric(class crlid.Class) prometheus.Metric {
	cumulative := make(map[float64]uint64, len(gapBounds))
	sum := uint64(0)
	for i, bound := range gapBounds {
		sum += g.buckets[i]
		cumulative[bound] = sum
	}
	return prometheus.MustNewConstHistogram(betweenTokensDesc, g.Total, g.Seconds, cumulative, string(class))
}
