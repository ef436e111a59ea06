package crlload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency is the distribution of a latency. All but Count is in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	P999  float64 `json:"p999-ms"`
	Max   float64 `json:"max-ms"`
}

// Row holds the results of one flow in one phase. Its latencies are those of calls with the outcome ok.
type Row struct {
	Phase      string         `json:"phase"`
	Flow       string         `json:"flow"`
	Calls      int            `json:"calls"`
	Outcomes   map[string]int `json:"outcomes"` // calls by outcome
	Goodput    float64        `json:"goodput"`  // calls with the outcome ok per second of the phase
	FirstToken Latency        `json:"first-token"`
	Between    Latency        `json:"between-tokens"` // times between successive frames of an answer
	Total      Latency        `json:"total"`
}

// recorder collects the results of one flow in one phase. It is safe for concurrent use.
type recorder struct {
	mu                         sync.Mutex // guards the fields below
	outcomes                   map[string]int
	firstToken, between, total *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{outcomes: make(map[string]int), firstToken: newHistogram(), between: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// add counts a result and, if its outcome is ok, records its latencies.
func (rec *recorder) add(r result) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.outcomes[r.outcome]++
	if r.outcome != outcomeOK {
		return
	}
	record(rec.firstToken, r.firstToken)
	record(rec.total, r.total)
	for _, d := range r.between {
		record(rec.between, d)
	}
}

// record adds a duration to a histogram, limited to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func (rec *recorder) row(phase Phase, flow string) Row {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := Row{
		Phase: phase.Name, Flow: flow, Outcomes: maps.Clone(rec.outcomes),
		FirstToken: summarise(rec.firstToken), Between: summarise(rec.between), Total: summarise(rec.total),
	}
	for _, n := range slices.Collect(maps.Values(rec.outcomes)) {
		r.Calls += n
	}
	r.Goodput = float64(rec.outcomes[outcomeOK]) / phase.Duration.Seconds()
	return r
}

func summarise(h *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) float64 { return milliseconds(h.ValueAtPercentile(percentile)) }
	return Latency{
		Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: milliseconds(h.Max()),
	}
}

func milliseconds(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}
