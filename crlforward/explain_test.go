package crlforward

import (
	"context"
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crllog"
)

// requestLine holds the fields of a request's log line that docs/OPERATIONS.md refers to.
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
		Broken string `json:"broken"`
		Ended  bool   `json:"server-ended"`
	} `json:"sends"`
	Configuration    *int64   `json:"configuration"`
	Cause            string   `json:"cause"`
	Draining         *bool    `json:"draining"`
	ConfigurationAge *float64 `json:"configuration-age-ms"`
}

// findLine returns the log line of a request, found by the request's id as docs/OPERATIONS.md describes.
func (c *cluster) findLine(t *testing.T, request string) requestLine {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.service.config.Log.Run(ctx); err != nil {
		t.Fatal(err)
	}
	for text := range strings.Lines(c.log.String()) {
		var l requestLine
		if strings.Contains(text, request) && json.Unmarshal([]byte(text), &l) == nil &&
			(l.Event == string(EventRequest) || l.Event == string(EventRequestCut)) {
			return l
		}
	}
	t.Fatalf("no log line of request %s in %q", request, c.log)
	return requestLine{}
}

// TestLinesExplainFailures follows the three examples of docs/OPERATIONS.md that lead from a request's id to the cause of its
// failure.
func TestLinesExplainFailures(t *testing.T) {
	t.Run("refusal", func(t *testing.T) {
		c := newCluster()
		c.confirmedAt = c.now().Add(-5 * time.Second)
		c.call(t.Context(), "/read/1", nil)
		if l := c.findLine(t, "r1"); l.Outcome != ReasonUnconfirmed || l.Status != 503 || len(l.Sends) != 0 || l.ConfirmationAge < 5000 {
			t.Errorf("line %+v does not show that the configuration's last confirmation is 5 s old and that nothing was sent", l)
		}
	})
	t.Run("stream that broke and continued at another server", func(t *testing.T) {
		c := newCluster(breaksAfter(events(1, 2)), answers(events(3, 4)))
		c.call(t.Context(), "/draft/1", nil)
		l := c.findLine(t, "r1")
		if l.Outcome != "answered" || len(l.Sends) != 2 || l.Sends[0].Server == l.Sends[1].Server || l.LastEvent != 4 ||
			l.Cause != errReset.Error() {
			t.Errorf("line %+v does not show the first server's failure and the second server's completion", l)
		}
	})
	t.Run("request that must not be repeated, with unknown outcome", func(t *testing.T) {
		c := newCluster(losesAnswer)
		c.call(t.Context(), "/file/1", nil)
		l := c.findLine(t, "r1")
		if l.Outcome != ReasonOutcomeUnknown || l.Status != 502 || len(l.Sends) != 1 || l.Sends[0].Cause != errReset.Error() {
			t.Errorf("line %+v does not show the single send and its failure", l)
		}
	})
}

// TestLinesTellHowFarBrokenAnswersCame checks that the line of a request shows when servers ended under it.
func TestLinesTellHowFarBrokenAnswersCame(t *testing.T) {
	for _, tc := range []struct {
		path, broken string
		step         step
		ended        bool
	}{
		{"/read/1", "before", losesAnswer, true},
		{"/read/1", "before", losesAnswer, false},
		{"/read/1", "body", breaksAfter("do"), true},
		{"/draft/1", "head", breaksAfter(""), false},
		{"/draft/1", "body", breaksAfter(events(1, 1)), false},
	} {
		c := newCluster(tc.step, answers(events(2, 2)))
		if tc.ended {
			c.probeErr = syscall.ECONNREFUSED
		}
		c.call(t.Context(), tc.path, nil)
		if l := c.findLine(t, "r1"); len(l.Sends) != 2 || l.Sends[0].Broken != tc.broken || l.Sends[0].Ended != tc.ended || l.Sends[1].Broken != "" {
			t.Errorf("%s: line %+v does not show that the answer broke off at %s and the server had ended: %t", tc.path, l, tc.broken, tc.ended)
		}
	}
}

// TestLinesOfCutRequestsTellTheDaemonsState checks that a stream that was cut off can be told apart from one that was cut by a
// drain or beside a new configuration.
func TestLinesOfCutRequestsTellTheDaemonsState(t *testing.T) {
	c := newCluster(breaksAfter(events(1, 2)))
	c.service.Drain()
	if _, aborted := c.call(t.Context(), "/once/1", nil); !aborted {
		t.Error("a stream that breaks and can't go on is not aborted")
	}
	l := c.findLine(t, "r1")
	if l.Event != string(EventRequestCut) || l.Status != 0 || l.Draining == nil || !*l.Draining || l.ConfigurationAge == nil {
		t.Errorf("line %+v does not show a request that was cut while the daemon drained, and the age of the configuration", l)
	}
}

// TestLinesOfCutRequestsAreKeptUnderLoad guards against an answer that is cut off without a trace, because the lines of other
// requests have used up the limit.
func TestLinesOfCutRequestsAreKeptUnderLoad(t *testing.T) {
	c := newCluster(breaksAfter(events(1, 2)))
	for range 2 * crllog.DefaultRate {
		c.call(t.Context(), "/none/1", map[string]string{"X-Request": "other"})
	}
	c.call(t.Context(), "/once/1", nil)
	if l := c.findLine(t, "r1"); l.Outcome != "broken-"+ReasonOutcomeUnknown {
		t.Errorf("line %+v is not that of the request that was cut off", l)
	}
}

// TestLinesStateTheConfigurationAndItsAge guards against lines of requests that don't tell whether a router that used an older configuration knew that it
// might be outdated.
func TestLinesStateTheConfigurationAndItsAge(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		age    time.Duration // of the latest confirmation
		stated bool          // whether the line states the age
	}{
		{"denied", "/none/1", time.Second, true},
		{"not denied, as unconfirmed", "/none/1", 3 * time.Second, true},
		{"served, unconfirmed", "/read/1", 3 * time.Second, true},
		{"served", "/read/1", time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(answers("page"))
			c.confirmedAt = c.now().Add(-tc.age)
			c.call(t.Context(), tc.path, nil)
			l := c.findLine(t, "r1")
			if l.Configuration == nil || (l.ConfirmationAge >= float64(tc.age.Milliseconds())) != tc.stated {
				t.Errorf("line %+v, want the version of the configuration, and its age stated: %t", l, tc.stated)
			}
		})
	}
}
