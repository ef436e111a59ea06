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

type fixedBurn crlreport.Report

func (f fixedBurn) Burn(context.Context) crlreport.Report { return crlreport.Report(f) }

func TestBurnPageLoadsNothingExternal(t *testing.T) {
	book := crlreport.NewTracker(crlreport.TrackerConfig{MaxKeys: 1})
	now := time.Now()
	for range 20 {
		book.Add(crlreport.Outcome{Time: now, Organisation: "<firm>", Verdict: crlreport.VerdictBad})
	}
	s := NewServer(ServerConfig{BurnReporter: fixedBurn(book.Report(now)), Metrics: prometheus.NewRegistry()})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/burn", nil))
	page := w.Body.String()
	for _, want := range []string{`<tr class="page">`, "<td>availability</td>", "1000.00", "360.0,0.0", "&lt;firm&gt;"} {
		if !strings.Contains(page, want) {
			t.Errorf("page lacks %q:\n%s", want, page)
		}
	}
	for _, outside := range []string{"http:", "https:", "src=", "<script", "<firm>"} {
		if strings.Contains(page, outside) {
			t.Errorf("page holds %q", outside)
		}
	}
}
