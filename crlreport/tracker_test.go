package crlreport

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// epoch is the time at which the tests begin to count outcomes.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// testClass returns a class whose goals are 1 s to the first token and 60 ms between tokens.
func testClass(id string) crlconfig.Class {
	return crlconfig.Class{ID: crlid.Class(id), FirstToken: time.Second, BetweenTokens: 60 * time.Millisecond}
}

// TestBurnTable runs the commands of testdata/burn: "add" counts outcomes at one daemon, "report" prints the merged report of
// all daemons.
func TestBurnTable(t *testing.T) {
	trackers := map[string]*Tracker{}
	datadriven.RunTest(t, "testdata/burn", func(t *testing.T, d *datadriven.TestData) string {
		var daemon, organisation, class, verdict, at, every, first string
		var n, gaps, late int
		d.ScanArgs(t, "daemon", &daemon)
		tracker, ok := trackers[daemon]
		if !ok {
			tracker = NewTracker(TrackerConfig{MaxKeys: 2})
			trackers[daemon] = tracker
		}
		d.ScanArgs(t, "at", &at)
		now := epoch.Add(mustDuration(t, at))
		if d.Cmd == "report" {
			return table(t, trackers, now)
		}
		d.ScanArgs(t, "organisation", &organisation)
		d.ScanArgs(t, "class", &class)
		d.ScanArgs(t, "verdict", &verdict)
		d.ScanArgs(t, "n", &n)
		d.ScanArgs(t, "every", &every)
		d.MaybeScanArgs(t, "first", &first)
		d.MaybeScanArgs(t, "gaps", &gaps)
		d.MaybeScanArgs(t, "late", &late)
		for i := range n {
			o := Outcome{
				Time: now.Add(time.Duration(i) * mustDuration(t, every)), Organisation: crlid.Organisation(organisation),
				Class: testClass(class), Gaps: GapCounts{Total: uint64(gaps), Late: uint64(late)},
			}
			if err := o.Verdict.UnmarshalText([]byte(verdict)); err != nil {
				t.Fatal(err)
			}
			if first != "" {
				o.FirstToken = mustDuration(t, first)
			}
			tracker.Add(o)
		}
		return ""
	})
}

func mustDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// table returns the merged report of all daemons as text.
func table(t *testing.T, trackers map[string]*Tracker, now time.Time) string {
	sum := trackers["1"].Report(now)
	for name, tracker := range trackers {
		if name != "1" {
			sum.Merge(tracker.Report(now))
		}
	}
	var b strings.Builder
	if err := sum.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestWindowsHoldTheEventsOfTheirSpan checks that each window counts exactly the events in its span, rounded to buckets, when
// the times of events jump ahead by hours or back by up to a minute.
func TestWindowsHoldTheEventsOfTheirSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker(TrackerConfig{MaxKeys: 1})
		now := epoch
		var bad []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(8*time.Hour)).Draw(t, "step")))
			if rapid.Bool().Draw(t, "near") {
				now = now.Add(-time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "back")))
			}
			bad = append(bad, now)
			tracker.Add(Outcome{Time: now, Class: testClass("c"), Verdict: VerdictBad})
		}
		end := now.Add(time.Duration(rapid.Int64Range(0, int64(4*24*time.Hour)).Draw(t, "end")))
		var row Row
		if report := tracker.Report(end); len(report.Rows) > 0 {
			row = report.Rows[0]
		}
		for i, w := range windows {
			duration := bucketDurations[w.ring]
			want := uint64(0)
			for _, b := range bad {
				if age := bucketNumber(end, duration) - bucketNumber(b, duration); age >= 0 && age < int64(w.buckets) {
					want++
				}
			}
			if row.Counts[i].Bad != want {
				t.Fatalf("window %s holds %d events, want %d", WindowNames[i], row.Counts[i].Bad, want)
			}
		}
	})
}

// TestKeysAreBounded checks that keys beyond MaxKeys are counted under the overflow key, so that memory stays bounded.
func TestKeysAreBounded(t *testing.T) {
	tracker := NewTracker(TrackerConfig{MaxKeys: 3})
	for i := range 100 {
		tracker.Add(Outcome{Time: epoch, Organisation: crlid.Organisation(fmt.Sprint(i))})
	}
	if len(tracker.entries) != 4 || tracker.entries[overflowKey] == nil {
		t.Errorf("tracker holds %d keys, want 3 and %q", len(tracker.entries), overflowKey.Organisation)
	}
}

// TestRecorderShowsGapsAsAHistogram checks the cumulative buckets of the exported histogram, including a gap above the
// highest bound, and that the request is counted once.
func TestRecorderShowsGapsAsAHistogram(t *testing.T) {
	r := NewRecorder(TrackerConfig{MaxKeys: 8})
	o := Outcome{Time: epoch, Class: testClass("draft"), Code: "ok", Ran: "done"}
	for _, gap := range []time.Duration{3 * time.Millisecond, 50 * time.Millisecond, 70 * time.Millisecond, time.Minute} {
		o.Gaps.Add(gap, o.Class.BetweenTokens)
	}
	r.Observe(o)
	registry := prometheus.NewRegistry()
	registry.MustRegister(r)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	h := families[0].GetMetric()[0].GetHistogram()
	within := map[float64]uint64{}
	for _, b := range h.GetBucket() {
		within[b.GetUpperBound()] = b.GetCumulativeCount()
	}
	if got := fmt.Sprint(h.GetSampleCount(), within[0.005], within[0.06], within[0.1], within[5], o.Gaps.Late); got != "4 1 2 3 3 2" {
		t.Errorf("histogram has %s, want 4 1 2 3 3 2", got)
	}
	if requests := families[len(families)-1]; requests.GetMetric()[0].GetCounter().GetValue() != 1 {
		t.Errorf("requests are counted as %v, want 1", requests)
	}
}

// BenchmarkRecorderObserve measures the cost of Observe, which each request pays, under contention of several goroutines.
func BenchmarkRecorderObserve(b *testing.B) {
	r := NewRecorder(TrackerConfig{MaxKeys: 512})
	b.RunParallel(func(pb *testing.PB) {
		o := Outcome{Time: time.Now(), Organisation: "firm-a", Class: testClass("draft"), Code: "ok", Ran: "done", FirstToken: time.Second}
		for pb.Next() {
			r.Observe(o)
		}
	})
}
