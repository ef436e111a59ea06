package crlforward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// newPeeredCluster returns a cluster whose service may hand requests over to three routers.
func newPeeredCluster(steps ...step) *cluster {
	c := newCluster(steps...)
	c.service.config.Domain = "near"
	c.service.config.Peers = func() []Peer {
		return []Peer{{Address: "router-a:2", Domain: "far"}, {Address: "router-b:2", Domain: "far"}, {Address: "router-c:2", Domain: "near"}}
	}
	c.probeErr = syscall.ECONNREFUSED
	return c
}

// refuses returns a step that answers as a router that refuses a request that was handed over to it, after one run if the status says that it may have run.
func refuses(status int, reason string) step {
	runs := 0
	if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		runs = 1
	}
	return states(runs, formerlyRefuses(status, reason))
}

// formerlyRefuses returns a step that answers as a router of an earlier version, which doesn't state how often it ran the request.
func formerlyRefuses(status int, reason string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		return newResponse(r, status, map[string]string{headerRefusal: reason}, strings.NewReader(reason)), nil
	}
}

// states returns a step that answers as a router which ran the request a number of times.
func states(runs int, s step) step {
	return func(r *http.Request) (*http.Response, error) {
		response, err := s(r)
		if response != nil {
			response.Header.Set(headerRuns, strconv.Itoa(runs))
		}
		return response, err
	}
}

// isRouter reports whether a send went to a router.
func isRouter(r *http.Request) bool { return strings.HasPrefix(r.URL.Host, "router") }

// TestHandovers guards against callers of a router without connections to servers who are refused, and against requests that run twice, are said not
// to have run, or are handed over where that is of no use. Of the sends, s is one to a server and r one to a router.
func TestHandovers(t *testing.T) {
	full := func(r *http.Request) (*http.Response, error) {
		connect(r)
		return newResponse(r, http.StatusServiceUnavailable, map[string]string{headerRefusal: ReasonOverloaded, headerRuns: "0"}, strings.NewReader("")), nil
	}
	for _, tc := range []struct {
		name   string
		path   string
		steps  []step
		status int
		sends  string
		whole  bool // whether the answer is complete
	}{
		{"lookup", "/read/1", []step{unreachable, unreachable, answers("done")}, http.StatusOK, "ssr", true},
		{"filing", "/file/1", []step{unreachable, unreachable, answers("done")}, http.StatusOK, "ssr", true},
		{"stream", "/once/1", []step{unreachable, unreachable, answers(events(1, 3))}, http.StatusOK, "ssr", true},
		{"servers' own failure", "/file/1", []step{unreachable, unreachable, fails(500, signed)}, http.StatusInternalServerError, "ssr", true},
		{"first router down", "/file/1", []step{unreachable, unreachable, unreachable, answers("done")}, http.StatusOK, "ssrr", true},
		{"first router drains", "/file/1", []step{unreachable, unreachable, refuses(503, ReasonDraining), answers("done")}, http.StatusOK, "ssrr", true},
		{"first router is cut off too", "/file/1", []step{unreachable, unreachable, refuses(503, ReasonCutOff), answers("done")}, http.StatusOK, "ssrr", true},
		{"first router has an older configuration", "/file/1", []step{unreachable, unreachable, refuses(404, ReasonNoRoute), answers("done")}, http.StatusOK, "ssrr", true},
		{"all routers are cut off", "/read/1", []step{
			unreachable, unreachable, refuses(503, ReasonCutOff), refuses(503, ReasonCutOff), refuses(503, ReasonCutOff),
		}, http.StatusServiceUnavailable, "ssrrr", false},
		{"servers are down", "/read/1", []step{unreachable, unreachable, refuses(503, ReasonUnreachable)}, http.StatusServiceUnavailable, "ssr", false},
		{"overload", "/read/1", []step{unreachable, unreachable, full}, http.StatusServiceUnavailable, "ssr", false},
		{"filing that may have run at the other router", "/file/1", []step{unreachable, unreachable, losesAnswer}, http.StatusBadGateway, "ssr", false},
		{"filing that the other router can't tell about", "/file/1", []step{unreachable, unreachable, refuses(502, ReasonOutcomeUnknown)}, http.StatusBadGateway, "ssr", false},
		{"filing that the other router aborts as it stops", "/file/1", []step{unreachable, unreachable, refuses(502, ReasonDraining)}, http.StatusBadGateway, "ssr", false},
		{"filing that the other router ran before it was cut off", "/file/1", []step{unreachable, unreachable, refuses(502, ReasonCutOff)}, http.StatusBadGateway, "ssr", false},
		{"filing that the other router ran until its time was over", "/file/1", []step{unreachable, unreachable, refuses(504, ReasonRouteTimeout)}, http.StatusGatewayTimeout, "ssr", false},
		{"lookup that two routers ran before they were cut off", "/read/1", []step{
			unreachable, unreachable, refuses(502, ReasonCutOff), refuses(502, ReasonCutOff),
		}, http.StatusBadGateway, "ssrr", false},
		{"lookup that one router may have run before the next one is overloaded", "/read/1", []step{
			unreachable, unreachable, refuses(502, ReasonCutOff), full,
		}, http.StatusBadGateway, "ssrr", false},
		{"stream that the other router aborts as it stops", "/draft/1", []step{unreachable, unreachable, refuses(502, ReasonDraining), answers(events(1, 3))}, http.StatusOK, "ssrr", true},
		{"filing whose answer breaks off", "/file/1", []step{unreachable, unreachable, breaksAfter("do")}, http.StatusBadGateway, "ssr", false},
		{"lookup whose answer is lost on the way", "/read/1", []step{unreachable, unreachable, losesAnswer, answers("done")}, http.StatusOK, "ssrr", true},
		{"lookup whose answers are lost on the way", "/read/1", []step{unreachable, unreachable, losesAnswer, losesAnswer}, http.StatusBadGateway, "ssrr", false},
		{"lookup that fails at the other router", "/read/1", []step{
			unreachable, unreachable, states(1, fails(500, signed)), states(1, answers("done")),
		}, http.StatusOK, "ssrr", true},
		{"lookup that fails at two routers", "/read/1", []step{
			unreachable, unreachable, states(1, fails(500, signed)), states(1, fails(500, signed)),
		}, http.StatusInternalServerError, "ssrr", true},
		{"lookup of which the other router has used its part", "/read/1", []step{
			unreachable, unreachable, refuses(502, ReasonAttempts), states(1, answers("done")),
		}, http.StatusOK, "ssrr", true},
		{"lookup that the other router could not send", "/read/1", []step{
			unreachable, unreachable, refuses(502, ReasonCutOff), states(0, formerlyRefuses(502, ReasonCutOff)), states(1, answers("done")),
		}, http.StatusOK, "ssrrr", true},
		{"lookup that a router of an earlier version may have run", "/read/1", []step{
			unreachable, unreachable, formerlyRefuses(502, ReasonCutOff),
		}, http.StatusBadGateway, "ssr", false},
		{"lookup that a router of an earlier version did not run", "/read/1", []step{
			unreachable, unreachable, formerlyRefuses(503, ReasonCutOff), answers("done"),
		}, http.StatusOK, "ssrr", true},
		{"filing that a server may have run", "/file/1", []step{losesAnswer}, http.StatusBadGateway, "s", false},
		{"stream goes on", "/draft/1", []step{breaksAfter(events(1, 2)), unreachable, unreachable, answers(events(3, 4))}, http.StatusOK, "sssr", true},
		{"stream goes on at a second router", "/draft/1", []step{
			unreachable, unreachable, states(1, breaksAfter(events(1, 2))), answers(events(3, 4)),
		}, http.StatusOK, "ssrr", true},
		{"one server down", "/file/1", []step{unreachable, answers("done")}, http.StatusOK, "ss", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPeeredCluster(tc.steps...)
				got, aborted := c.call(t.Context(), tc.path, map[string]string{"X-Output": "20"})
				var sends strings.Builder
				for _, r := range c.backend.sent {
					sends.WriteByte(map[bool]byte{true: 'r', false: 's'}[isRouter(r)])
				}
				if got.Code != tc.status || aborted || sends.String() != tc.sends {
					t.Errorf("got %d, cut off %v, with sends %s, want %d with %s", got.Code, aborted, sends.String(), tc.status, tc.sends)
				}
				body := got.Body.String()
				if whole := body == "done" || body == "failure" || body == events(1, 3) || body == events(1, 4); whole != tc.whole {
					t.Errorf("answer %q is complete: %v, want %v", body, whole, tc.whole)
				}
				if got.Header().Get(headerRefusal) != "" {
					t.Error("the caller gets a header between routers")
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestHandedOverRequestKeepsWhatItsCallerSent checks what another router gets: the caller's headers and body, the time left, the last event and the
// number of sends that may have run.
func TestHandedOverRequestKeepsWhatItsCallerSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(r *http.Request) (*http.Response, error) {
			time.Sleep(time.Second)
			return breaksAfter(events(1, 2))(r)
		}
		c := newPeeredCluster(slow, unreachable, unreachable, answers(events(3, 4)))
		c.call(t.Context(), "/draft/1?q", map[string]string{"X-Parts": "a,b", "X-Deadline": "4000", headerRuns: "7"})
		if got := c.backend.sent[0].Header.Get(headerRuns); got != "" {
			t.Errorf("a server gets %s %q", headerRuns, got)
		}
		r := c.backend.sent[len(c.backend.sent)-1]
		for name, want := range map[string]string{
			"X-Request": "r1", "X-Key": "key", "X-Parts": "a,b", "X-Deadline": "3000", "X-After": "2", headerRuns: "1", "X-Server": "", "X-Organisation": "",
		} {
			if got := r.Header.Get(name); got != want {
				t.Errorf("header %s is %q, want %q", name, got, want)
			}
		}
		if !isRouter(r) || r.URL.Opaque != "/draft/1?q" || r.Host != "h" || r.GetBody != nil || r.ContentLength != int64(len("body")) {
			t.Errorf("sent %s to %s for host %s with %d bytes", r.URL.Opaque, r.URL.Host, r.Host, r.ContentLength)
		}
		time.Sleep(time.Second)
	})
}

// TestRouterThatTakesARequestHandsItOverToNone checks what a router answers to one that hands a request over, when it reaches servers or doesn't.
func TestRouterThatTakesARequestHandsItOverToNone(t *testing.T) {
	for _, tc := range []struct {
		name    string
		path    string
		runs    string
		cutOff  bool
		steps   []step
		status  int
		refusal string
		sends   int
	}{
		{"answered", "/file/1", "0", false, []step{answers("done")}, http.StatusOK, "", 1},
		{"cut off before", "/file/1", "0", true, nil, http.StatusServiceUnavailable, ReasonCutOff, 0},
		{"cut off with this request", "/file/1", "0", false, []step{unreachable, unreachable}, http.StatusServiceUnavailable, ReasonCutOff, 2},
		{"one attempt left, which fails", "/read/1", "1", false, []step{unreachable}, http.StatusBadGateway, ReasonUnreachable, 1},
		{"no attempt left", "/read/1", "2", false, nil, http.StatusBadGateway, ReasonAttempts, 0},
		{"may have run", "/file/1", "0", false, []step{losesAnswer}, http.StatusBadGateway, ReasonOutcomeUnknown, 1},
		{"no number of runs", "/file/1", "", false, nil, http.StatusBadRequest, ReasonMalformed, 0},
		{"negative number of runs", "/file/1", "-1", false, nil, http.StatusBadRequest, ReasonMalformed, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPeeredCluster(tc.steps...)
				if tc.cutOff {
					c.service.reachability.recordFailed("s0")
					c.service.reachability.recordFailed("s1")
				}
				r := httptest.NewRequest(http.MethodPost, "http://h"+tc.path, strings.NewReader("body"))
				r.RequestURI = tc.path
				r.Header.Set("X-Request", "r1")
				r.Header.Set("X-Key", "key")
				r.Header.Set(headerRuns, tc.runs)
				got := httptest.NewRecorder()
				c.service.Handovers().ServeHTTP(got, r)
				if got.Code != tc.status || got.Header().Get(headerRefusal) != tc.refusal || len(c.backend.sent) != tc.sends {
					t.Errorf("got %d for %q after %d sends, want %d for %q after %d",
						got.Code, got.Header().Get(headerRefusal), len(c.backend.sent), tc.status, tc.refusal, tc.sends)
				}
				if slices.ContainsFunc(c.backend.sent, isRouter) {
					t.Error("the request was handed over again")
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestStreamOfAnEarlierVersionIsNotResumed guards against runs beyond the route's attempts in a fleet of two versions: a router of an earlier version
// may have run a stream as often as the route allows before it broke off.
func TestStreamOfAnEarlierVersionIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPeeredCluster(unreachable, unreachable, breaksAfter(events(1, 2)), answers(events(3, 4)))
		got, aborted := c.call(t.Context(), "/draft/1", map[string]string{"X-Output": "20"})
		if got.Body.String() != events(1, 2) || !aborted || len(c.backend.sent) != 3 {
			t.Errorf("got %q, cut off %t, after %d sends, want two events, cut off after 3", got.Body, aborted, len(c.backend.sent))
		}
		time.Sleep(time.Second)
	})
}

// TestRouterRunsARequestAsOftenAsItWasGranted checks how often a router runs a request that was handed over to it, and what it states of that.
func TestRouterRunsARequestAsOftenAsItWasGranted(t *testing.T) {
	failure := fails(http.StatusInternalServerError, signed)
	for _, tc := range []struct {
		name   string
		path   string
		runs   string
		limit  string
		steps  []step
		status int
		stated string
		sends  int
	}{
		{"one run granted", "/many/1", "0", "1", []step{failure, answers("done")}, http.StatusInternalServerError, "1", 1},
		{"two runs granted", "/many/1", "1", "3", []step{failure, answers("done")}, http.StatusOK, "2", 2},
		{"two runs granted, both fail", "/many/1", "1", "3", []step{failure, failure, answers("done")}, http.StatusInternalServerError, "2", 2},
		{"none granted", "/many/1", "1", "1", []step{answers("done")}, http.StatusBadGateway, "0", 0},
		{"more granted than the route allows", "/read/1", "1", "9", []step{failure, answers("done")}, http.StatusInternalServerError, "1", 1},
		{"not reached", "/many/1", "1", "3", []step{unreachable, answers("done")}, http.StatusOK, "1", 2},
		{"not run", "/many/1", "1", "2", []step{fails(503, map[string]string{"X-Not-Run": "1"}), answers("done")}, http.StatusOK, "1", 2},
		{"no escalation without a second run", "/draft/1", "0", "1", []step{answersWithConfidence(20, events(1, 1)), answers(events(1, 2))}, http.StatusOK, "1", 1},
		{"escalation", "/draft/1", "0", "2", []step{answersWithConfidence(20, events(1, 1)), answers(events(1, 2))}, http.StatusOK, "2", 2},
		{"router of an earlier version", "/many/1", "1", "", []step{failure, answers("done")}, http.StatusInternalServerError, "1", 1},
		{"limit below the runs", "/many/1", "2", "1", nil, http.StatusBadRequest, "", 0},
		{"no number", "/many/1", "2", "x", nil, http.StatusBadRequest, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(tc.steps...)
				r := newRequest(tc.path)
				r.Header.Set("X-Key", "key")
				r.Header.Set(headerRuns, tc.runs)
				if tc.limit != "" {
					r.Header.Set(headerRunLimit, tc.limit)
				}
				got, _ := handTo(c, r)
				if got.Code != tc.status || got.Header().Get(headerRuns) != tc.stated || len(c.backend.sent) != tc.sends {
					t.Errorf("got %d with %q runs after %d sends, want %d with %q after %d",
						got.Code, got.Header().Get(headerRuns), len(c.backend.sent), tc.status, tc.stated, tc.sends)
				}
				for _, sent := range c.backend.sent {
					if sent.Header.Get(headerRuns) != "" || sent.Header.Get(headerRunLimit) != "" {
						t.Error("a server gets headers between routers")
					}
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// newRequest returns a request to a path as one router sends it to another.
func newRequest(path string) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: "router", Opaque: path}, Host: "h",
		Header: http.Header{"X-Request": {"r1"}}, Body: io.NopCloser(strings.NewReader("body")),
	}
}

// TestRepeatsThatAreHandedOverSpendRetryBudget guards against repeats beyond the retry budget (BUDGET) by a router that is cut off from servers, as other
// routers don't charge the first run there.
func TestRepeatsThatAreHandedOverSpendRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := losesAnswer
		c := newPeeredCluster(
			unreachable, unreachable, refuses(503, ReasonDraining), states(1, answers("done")), // no repeat
			lost, answers("done"), // one repeat, which spends the budget
			lost, answers("done"),
		)
		c.setRetryBudget(crlbudget.RetryBudgetConfig{Ratio: 0, Slack: 1, Window: time.Minute, Share: func() float64 { return 1 }})
		for n, want := range []struct{ status, sends int }{{http.StatusOK, 4}, {http.StatusOK, 6}, {http.StatusBadGateway, 7}} {
			if got, _ := c.call(t.Context(), "/read/1", nil); got.Code != want.status || len(c.backend.sent) != want.sends {
				t.Errorf("request %d: got %d after %d sends in all, want %d after %d", n, got.Code, len(c.backend.sent), want.status, want.sends)
			}
			time.Sleep(peerPause)
		}
		if slices.ContainsFunc(c.backend.sent[2:], func(r *http.Request) bool { return !isRouter(r) }) {
			t.Error("a router that is cut off sent a request to a server")
		}
	})
}

// TestCutOffEndsWithAConnection checks that a router hands requests over until it opens a connection to a server, whether by a check or a send, and
// none on a calm day.
func TestCutOffEndsWithAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := answers("done")
		c := newPeeredCluster(done, unreachable, unreachable, done, done, done, done)
		want := []bool{false, false, false, true, true, true, false} // whether each send is one to a router
		for n := range 5 {
			if n == 3 {
				synctest.Wait()  // for earlier checks
				c.probeErr = nil // The check that this request starts opens a connection, for the next one.
			}
			if got, _ := c.call(t.Context(), "/file/1", map[string]string{"X-Request": fmt.Sprint("r", n)}); got.Code != http.StatusOK {
				t.Errorf("request %d got %d, want 200", n, got.Code)
			}
			time.Sleep(reachCheckInterval)
		}
		for n, r := range c.backend.sent {
			if n < len(want) && isRouter(r) != want[n] {
				t.Errorf("send %d is to %s, want a router: %v", n, r.URL.Host, want[n])
			}
		}
	})
}

// TestRoutersThatAreOfNoUseGetNoRequests checks for how long a router that could not take a request, and a service that another router did not
// reach either, are left out.
func TestRoutersThatAreOfNoUseGetNoRequests(t *testing.T) {
	now := crlclock.Instant(time.Hour)
	h := newHandovers(func() crlclock.Instant { return now })
	peers := []Peer{{Address: "a", Domain: "far"}, {Address: "b", Domain: "near"}}
	choose := func(tried map[string]bool) string {
		p, _ := h.choose(peers, tried, "near")
		return p.Address
	}
	if got := choose(nil); got != "a" {
		t.Errorf("chose %q, want the router of the other failure domain", got)
	}
	h.pausePeer("a")
	h.pauseService("s", servicePause)
	if got := choose(nil); got != "b" {
		t.Errorf("chose %q beside a paused router, want b", got)
	}
	if got := choose(map[string]bool{"b": true}); got != "" || !h.isPaused("s") || h.isPaused("t") {
		t.Errorf("chose %q, service paused: %v, another one: %v, want none, true, false", got, h.isPaused("s"), h.isPaused("t"))
	}
	now = now.Add(peerPause)
	if got := choose(nil); got != "a" || h.isPaused("s") {
		t.Errorf("after %s chose %q, service paused: %v, want a and false", peerPause, got, h.isPaused("s"))
	}
	for n := range 1000 {
		now = now.Add(peerPause / 10)
		h.pausePeer(fmt.Sprint(n))
	}
	if len(h.peers) > 10 {
		t.Errorf("%d paused routers are remembered, want 10 or fewer", len(h.peers))
	}
}

// TestCutOffRouterSuspectsNoRequest guards against requests that are kept from servers because a router that is cut off from all of them takes their
// ends for crashes: open connections are reset, and new ones refused.
func TestCutOffRouterSuspectsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps []step
		for range 4 { // The same filing is at four servers when the cut begins.
			steps = append(steps, func(r *http.Request) (*http.Response, error) {
				connect(r)
				time.Sleep(100 * time.Millisecond)
				return nil, errReset
			})
		}
		c := newPeeredCluster(append(steps, answers("done"))...)
		var open sync.WaitGroup
		for n := range 4 {
			open.Go(func() { c.call(t.Context(), "/file/1", map[string]string{"X-Request": fmt.Sprint("r", n)}) })
		}
		open.Wait()
		got, _ := c.call(t.Context(), "/file/1", map[string]string{"X-Request": "r5"})
		if got.Code != http.StatusOK || c.service.config.Quarantine.Quarantined() > 0 {
			t.Errorf("got %d with %d suspects quarantined, want 200 and none", got.Code, c.service.config.Quarantine.Quarantined())
		}
		time.Sleep(time.Second)
	})
}

// newPlacelessCluster returns a cluster with brittle servers, at which its service has no place.
func newPlacelessCluster(t *testing.T, steps ...step) *cluster {
	t.Helper()
	c := newPeeredCluster(steps...)
	c.fleet = crlfleet.New(crlfleet.Config{
		Domain: "near", Slots: allSlots{}, Daemons: func() int { return 9 }, Rank: func(uint64) (int, int, bool) { return 8, 9, true }, Now: c.now,
	})
	c.service.config.Fleet = c.fleet
	c.fleet.Announce(crlfleet.Entry{Server: "s0", Service: "app", Address: "10.0.0.0:1", Domain: "near", Version: "v1", Slots: 6}, c.now())
	all := func(crlid.Version) bool { return true }
	pick, err := c.fleet.Pick(crlfleet.Need{Service: "app", Allows: all, Prefers: all})
	if err != nil {
		t.Fatal(err)
	}
	pick.RecordStatement(crlfleet.Statement{Brittle: true, MaxRejections: 2})
	pick.Done(crlfleet.Result{})
	return c
}

// TestRequestWithoutAPlaceIsHandedOver guards against requests that are refused although other routers have free places at brittle servers, and against
// requests that run twice, or go round among the routers of an overloaded fleet.
func TestRequestWithoutAPlaceIsHandedOver(t *testing.T) {
	noPlace := refuses(http.StatusServiceUnavailable, ReasonNoPlace)
	for _, tc := range []struct {
		name   string
		path   string
		steps  []step
		status int
		sends  int
	}{
		{"first router has a place", "/read/1", []step{answers("done")}, http.StatusOK, 1},
		{"second router has a place", "/read/1", []step{noPlace, answers("done")}, http.StatusOK, 2},
		{"filing", "/file/1", []step{noPlace, noPlace, answers("done")}, http.StatusOK, 3},
		{"filing that may have run", "/file/1", []step{refuses(http.StatusBadGateway, ReasonNoPlace), answers("done")}, http.StatusBadGateway, 1},
		{"no router has a place", "/read/1", []step{noPlace, noPlace, noPlace}, http.StatusServiceUnavailable, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPlacelessCluster(t, tc.steps...)
				got, _ := c.call(t.Context(), tc.path, nil)
				if got.Code != tc.status || len(c.backend.sent) != tc.sends || slices.ContainsFunc(c.backend.sent, func(r *http.Request) bool { return !isRouter(r) }) {
					t.Errorf("got %d after %d sends, want %d after %d sends to routers", got.Code, len(c.backend.sent), tc.status, tc.sends)
				}
			})
		})
	}
	t.Run("pause", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newPlacelessCluster(t, noPlace, noPlace, noPlace, answers("done"))
			c.call(t.Context(), "/read/1", nil)
			if got, _ := c.call(t.Context(), "/read/1", nil); got.Code != http.StatusServiceUnavailable || len(c.backend.sent) != 3 {
				t.Errorf("after no router had a place: got %d after %d further sends, want 503 at once", got.Code, len(c.backend.sent)-3)
			}
			time.Sleep(placesPause)
			if got, _ := c.call(t.Context(), "/read/1", nil); got.Code != http.StatusOK {
				t.Errorf("%s later: got %d, want 200", placesPause, got.Code)
			}
		})
	})
}
