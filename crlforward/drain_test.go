package crlforward

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestAnswerThatBeginsDuringADrainClosesItsConnection guards against callers that send their next request on a connection which
// the router is about to close: also the answer to a request from before the drain must ask them to close it.
func TestAnswerThatBeginsDuringADrainClosesItsConnection(t *testing.T) {
	for _, path := range []string{"/read/1", "/draft/1"} {
		c := newCluster()
		c.backend.steps = []step{func(r *http.Request) (*http.Response, error) {
			c.service.Drain()
			return answers(events(1, 2))(r)
		}}
		recorder, _ := c.call(t.Context(), path, nil)
		if got := recorder.Result().Header.Get("Connection"); recorder.Code != http.StatusOK || got != "close" {
			t.Errorf("%s: got status %d with Connection %q, want 200 with close", path, recorder.Code, got)
		}
	}
}

// TestAbortAnswersRequests guards against requests that end without an answer when the grace time of a drain is over: whoever got
// no part of an answer gets a complete one.
func TestAbortAnswersRequests(t *testing.T) {
	for _, tc := range []struct {
		name       string
		path       string
		header     map[string]string
		steps      []step
		wantStatus int
		wantBody   string
	}{
		{"may have run", "/file/1", nil, []step{hangs}, http.StatusBadGateway, ReasonDraining},
		{"stream without its first event", "/draft/1", nil, []step{hangs}, http.StatusBadGateway, ReasonDraining},
		{
			"smaller model has answered", "/draft/1",
			map[string]string{"X-Output": "30"},
			[]step{answersWithConfidence(10, events(1, 2)), hangs},
			http.StatusOK, events(1, 2),
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(tc.steps...)
				time.AfterFunc(500*time.Millisecond, c.service.Abort)
				recorder, aborted := c.call(t.Context(), tc.path, tc.header)
				if got := strings.TrimSpace(recorder.Body.String()); aborted || recorder.Code != tc.wantStatus || got != strings.TrimSpace(tc.wantBody) {
					t.Errorf("got status %d, body %q, aborted %v, want status %d, body %q", recorder.Code, got, aborted, tc.wantStatus, tc.wantBody)
				}
			})
		})
	}
}

// TestRequestThatIsNotSentBeforeCloseIsRefused guards against requests that are cut off at the end of the grace time (LOST), because the router sent them
// late in it: their body or a failed dial took until then. What has run before, or has begun, goes on.
func TestRequestThatIsNotSentBeforeCloseIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		before []step // the service is closed during the last of them
		after  []step
		status int
		sends  int
	}{
		{"filing after a failed dial", "/file/1", []step{unreachable}, []step{answers("done")}, http.StatusServiceUnavailable, 1},
		{"filing that a server did not run", "/file/1", []step{fails(503, map[string]string{"X-Not-Run": "1"})}, []step{answers("done")}, http.StatusServiceUnavailable, 1},
		{"stream after a failed dial", "/draft/1", []step{unreachable}, []step{answers(events(1, 2))}, http.StatusServiceUnavailable, 1},
		{"filing at a server", "/file/1", []step{answers("done")}, nil, http.StatusOK, 1},
		{"lookup that a server ran", "/read/1", []step{fails(500, signed)}, []step{answers("done")}, http.StatusOK, 2},
		{"stream that has begun", "/draft/1", []step{breaksAfter(events(1, 2))}, []step{answers(events(3, 4))}, http.StatusOK, 2},
		{"stream that has begun, after a failed dial", "/draft/1", []step{breaksAfter(events(1, 2)), unreachable}, []step{answers(events(3, 4))}, http.StatusOK, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				last := len(tc.before) - 1
				closing := func(r *http.Request) (*http.Response, error) {
					c.service.Close()
					return tc.before[last](r)
				}
				c.backend.steps = append(append(tc.before[:last:last], closing), tc.after...)
				got, aborted := c.call(t.Context(), tc.path, map[string]string{"X-Output": "20"})
				if got.Code != tc.status || aborted || len(c.backend.sent) != tc.sends {
					t.Errorf("got %d, cut off %t, after %d sends, want %d after %d", got.Code, aborted, len(c.backend.sent), tc.status, tc.sends)
				}
				if got.Code == http.StatusServiceUnavailable && got.Header().Get("Retry-After") == "" {
					t.Error("refusal has no Retry-After header")
				}
				time.Sleep(time.Second)
			})
		})
	}
}
