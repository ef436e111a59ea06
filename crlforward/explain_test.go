package crlforward

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// line is what docs/OPERATIONS.md reads in a request's line.
type requestLine struct {
	Event           string  `json:"event"`
	Request         string  `json:"request"`
	Outcome         string  `json:"outcome"`
	Status          int     `json:"status"`
	ConfirmationAge float64 `json:"proof-age-ms"`
	LastEvent       int64   `json:"last-event"`
	Sends           []struct {
		Server string `json:"server"`
		Status int    `json:"status"`
		Cause  string `json:"cause"`
	} `json:"sends"`
	Cause string `json:"cause"`
}

// explain returns the line of a request, found by its id as the page says.
func (w *cluster) findLine(t *testing.T, request string) requestLine {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := w.service.config.Log.Run(ctx); err != nil {
		t.Fatal(err)
	}
	for text := range strings.Lines(w.log.String()) {
		var l requestLine
		if strings.Contains(text, request) && json.Unmarshal([]byte(text), &l) == nil && l.Event == string(EventRequest) {
			return l
		}
	}
	t.Fatalf("no line of request %s in %q", request, w.log)
	return requestLine{}
}

// TestLinesExplainFailures follows the three walks of docs/OPERATIONS.md from a request's id to its cause.
func TestLinesExplainFailures(t *testing.T) {
	t.Run("a refusal", func(t *testing.T) {
		w := newCluster()
		w.confirmedAt = w.now().Add(-5 * time.Second)
		w.call(t.Context(), "/read/1", nil)
		if l := w.findLine(t, "r1"); l.Outcome != ReasonUnconfirmed || l.Status != 503 || len(l.Sends) != 0 || l.ConfirmationAge < 5000 {
			t.Errorf("line %+v does not show a proof that is too old, and no send", l)
		}
	})
	t.Run("a stream that broke and was carried on", func(t *testing.T) {
		w := newCluster(breaksAfter(events(1, 2)), answers(events(3, 4)))
		w.call(t.Context(), "/draft/1", nil)
		l := w.findLine(t, "r1")
		if l.Outcome != "answered" || len(l.Sends) != 2 || l.Sends[0].Server == l.Sends[1].Server || l.LastEvent != 4 || l.Cause != errReset.Error() {
			t.Errorf("line %+v does not show the first server's break and the second's end", l)
		}
	})
	t.Run("a filing whose outcome is unknown", func(t *testing.T) {
		w := newCluster(losesAnswer)
		w.call(t.Context(), "/file/1", nil)
		l := w.findLine(t, "r1")
		if l.Outcome != ReasonOutcomeUnknown || l.Status != 502 || len(l.Sends) != 1 || l.Sends[0].Cause != errReset.Error() {
			t.Errorf("line %+v does not show the one send and how it ended", l)
		}
	})
}
