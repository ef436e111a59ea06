package crladmin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrylock/cranberrylock/crlreport"
)

// fixedBurn is a BurnReporter that always returns the same report.
type fixedBurn crlreport.Report

func (f fixedBurn) Burn(context.Context) crlreport.Report { return crlreport.Report(f) }

// TestBurnPageLoadsNothingExternal checks that the page shows the report, escapes names, and contains no scripts or references to
// other hosts.
func TestBurnPageLoadsNothingExternal(t *testing.T) {
	counts := crlreport.NewTracker(crlreport.TrackerConfig{MaxKeys: 1})
	now := time.Now()
	for range 20 {
		counts.Add(crlreport.Outcome{Time: now, Organisation: "<firm>", Verdict: crlreport.VerdictBad})
	}
	s := NewServer(ServerConfig{BurnReporter: fixedBurn(counts.Report(now)), Metrics: prometheus.NewRegistry()})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/burn", nil))
	page := w.Body.String()
	for _, want := range []string{`<tr class="page">`, "<td>availability</td>", "1000.00", "360.0,0.0", "&lt;firm&gt;"} {
		if !strings.Contains(page, want) {
			t.Errorf("burn page lacks %q:\n%s", want, page)
		}
	}
	for _, outside := range []string{"http:", "https:", "src=", "<script", "<firm>"} {
		if strings.Contains(page, outside) {
			t.Errorf("burn page contains %q", outside)
		}
	}
}
