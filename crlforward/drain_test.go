package crlforward

import (
	"net/http"
	"testing"
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
