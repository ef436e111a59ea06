package crlload

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

const testExperiment = `
[experiment]
name = test
targets = 127.0.0.1:1
seed = 7
max-open = %d
[flow a]
key = key-a
service = lookup
rate = 200
[phase p]
duration = 500ms
`

// runAgainst runs testExperiment with the given max-open against a server with the given handler. follow runs on a goroutine
// of its own meanwhile, to observe the runner.
func runAgainst(t *testing.T, maxOpen int, handler http.HandlerFunc, follow func(*Runner)) Report {
	t.Helper()
	content := fmt.Sprintf(testExperiment, maxOpen)
	experiment, err := Parse("test", []byte(content))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	experiment.Targets = []string{strings.TrimPrefix(server.URL, "http://")}
	runner := NewRunner(RunnerConfig{Experiment: experiment, Seed: experiment.Seed, Progress: func(Progress) {}})
	go follow(runner)
	report, err := runner.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// arrivalCount returns the number of arrivals of testExperiment, whose seed, rate and duration it repeats.
func arrivalCount() int64 {
	schedule, count := newArrivals(7, 0, 200), int64(0)
	for at, _ := schedule.next(); at < 500*time.Millisecond; at, _ = schedule.next() {
		count++
	}
	return count
}

// TestSlowCallsDoNotDelayOthers uses a server that answers no call until all have arrived. A closed-loop generator, which
// waits for answers before it sends more, would never finish.
func TestSlowCallsDoNotDelayOthers(t *testing.T) {
	var arrived atomic.Int64
	all := make(chan struct{})
	report := runAgainst(t, 1000, func(_ http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == arrivalCount() {
			close(all)
		}
		select {
		case <-all:
		case <-r.Context().Done():
		}
	}, func(*Runner) {})
	if row := report.Rows[0]; int64(row.Outcomes[outcomeOK]) != arrivalCount() || row.Total.Count != arrivalCount() {
		t.Errorf("outcomes are %v with %d total latencies, want ok and a latency for all %d arrivals",
			row.Outcomes, row.Total.Count, arrivalCount())
	}
}

func TestCallsAboveTheBoundAreCountedAsSkipped(t *testing.T) {
	release := make(chan struct{})
	report := runAgainst(t, 2, func(http.ResponseWriter, *http.Request) { <-release }, func(r *Runner) {
		for r.ended.Load() < arrivalCount()-2 {
			time.Sleep(time.Millisecond)
		}
		close(release)
	})
	want := map[string]int{outcomeOK: 2, outcomeSkipped: int(arrivalCount()) - 2}
	if got := report.Rows[0].Outcomes; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("outcomes with max-open 2 are %v, want %v", got, want)
	}
}

func TestOnlyWholeAnswersAreOK(t *testing.T) {
	frame := func(n int) string { return fmt.Sprintf("id: %d\ndata: {}\n\n", n) }
	for _, tt := range []struct {
		name, want, answer string
		status             int
	}{
		{"whole", outcomeOK, frame(1) + frame(2) + "data: [DONE]\n\n", 200},
		{"cut", outcomeIncomplete, frame(1) + frame(2), 200},
		{"gap", outcomeIncomplete, frame(1) + frame(3) + "data: [DONE]\n\n", 200},
		{"error event", outcomeIncomplete, frame(1) + "event: error\ndata: {}\n\n", 200},
		{"refused", "overloaded/not-run", `{"error":{"code":"overloaded","ran":"not-run"}}`, 429},
		{"unreadable", "status-500", "oops", 500},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.answer))
			}))
			defer server.Close()
			got := newCaller(1).call(t.Context(), strings.TrimPrefix(server.URL, "http://"), Flow{}, "", nil, time.Now())
			if got.outcome != tt.want {
				t.Errorf("outcome of the call is %s, want %s", got.outcome, tt.want)
			}
		})
	}
}

func TestHistoryShowsLastNewRequestAfterOrder(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	report := Report{Began: at(0), Orders: []OrderReport{
		{Name: "out", SentAt: at(10), Watch: []crlid.Server{"a"}},
		{Name: "back", SentAt: at(20), Watch: []crlid.Server{"a"}},
	}}
	report.addHistory([]serverRun{
		{Time: at(-1), Server: "a", Overload: true},
		{Time: at(9), Server: "a"},
		{Time: at(12), Server: "a"},
		{Time: at(13), Server: "b"},
		{Time: at(14), Server: "a", Resumed: true},
		{Time: at(25), Server: "a", Overload: true},
	})
	got := fmt.Sprintf("%d/%v %d/%v %d",
		report.Orders[0].NewRequests, report.Orders[0].LastNewAfter, report.Orders[1].NewRequests, report.Orders[1].LastNewAfter, report.Overloads)
	if want := "1/2s 1/5s 1"; got != want {
		t.Errorf("new requests/time to the last of them after each order, and overloads: got %s, want %s", got, want)
	}
}

func TestTableHoldsMedianAndSpread(t *testing.T) {
	reports := make([]Report, 3)
	for i, p99 := range []float64{3, 1, 2} {
		row := Row{Phase: "p", Flow: "f", Outcomes: map[string]int{"overloaded/not-run": i}, Total: Latency{Count: 1, P99: p99}}
		reports[i] = Report{Seed: uint64(i), Rows: []Row{row}}
	}
	var b bytes.Buffer
	if err := WriteTable(&b, reports); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2 (1-3)", "overloaded/not-run=3"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("table lacks %q:\n%s", want, b.String())
		}
	}
}
