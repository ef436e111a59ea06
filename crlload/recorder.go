package crlload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency is the distribution of one figure, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	P999  float64 `json:"p999-ms"`
	Max   float64 `json:"max-ms"`
}

// Row is what became of the calls of one flow in one phase.
type Row struct {
	Phase      string         `json:"phase"`
	Flow       string         `json:"flow"`
	Calls      int            `json:"calls"`
	Outcomes   map[string]int `json:"outcomes"`
	Goodput    float64        `json:"goodput"` // Goodput is the number of whole answers per second of the phase.
	FirstToken Latency        `json:"first-token"`
	Between    Latency        `json:"between-tokens"`
	Total      Latency        `json:"total"`
}

// cell gathers the results of one flow in one phase.
type recorder struct {
	mu                         sync.Mutex // mu guards the fields below.
	outcomes                   map[string]int
	firstToken, between, total *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{outcomes: make(map[string]int), firstToken: newHistogram(), between: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// add counts a result; latencies are those of whole answers.
func (c *recorder) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[r.outcome]++
	if r.outcome != outcomeOK {
		return
	}
	record(c.firstToken, r.firstToken)
	record(c.total, r.total)
	for _, d := range r.between {
		record(c.between, d)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func (c *recorder) row(phase Phase, flow string) Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Row{
		Phase: phase.Name, Flow: flow, Outcomes: maps.Clone(c.outcomes),
		FirstToken: summarise(c.firstToken), Between: summarise(c.between), Total: summarise(c.total),
	}
	for _, n := range slices.Collect(maps.Values(c.outcomes)) {
		r.Calls += n
	}
	r.Goodput = float64(c.outcomes[outcomeOK]) / phase.Duration.Seconds()
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
