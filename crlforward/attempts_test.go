package crlforward

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// fleetNetwork carries the sends of several routers, to servers and to each other. It counts the sends that servers run.
type fleetNetwork struct {
	random   *rand.Rand
	routers  map[string]*cluster // by the address for handovers
	breaks   float64             // probability that an exchange between routers breaks off before its answer arrives
	cutFirst float64             // probability that the router called "first" can't open a connection to a server
	cutOther float64             // the same for the others
	runs     int
	trace    []string
}

// fleetTransport is the transport of one router of a fleetNetwork.
type fleetTransport struct {
	network *fleetNetwork
	router  string
}

func (ft fleetTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if isRouter(r) {
		return ft.network.handOver(ft.router, r)
	}
	return ft.network.serve(ft.router, r)
}

// serve answers a send to a server: it is not connected, or runs and loses its answer, fails, breaks off or succeeds.
func (n *fleetNetwork) serve(router string, r *http.Request) (*http.Response, error) {
	cut := n.cutOther
	if router == "first" {
		cut = n.cutFirst
	}
	if n.random.Float64() < cut {
		n.record("%s: unreachable", router)
		return unreachable(r)
	}
	n.runs++
	last, _ := strconv.Atoi(r.Header.Get("X-After"))
	isStream := strings.HasPrefix(r.URL.Opaque, "/draft/")
	outcome := n.random.IntN(4)
	n.record("%s: run %d, outcome %d", router, n.runs, outcome)
	switch {
	case outcome == 0:
		return losesAnswer(r)
	case outcome == 1:
		return fails(http.StatusInternalServerError, signed)(r)
	case outcome == 2 && isStream && last < 8:
		return breaksAfter(events(last+1, last+1))(r)
	case isStream:
		return answers(events(last+1, 9))(r)
	default:
		return answers("done")(r)
	}
}

// handOver passes a request to another router and returns its answer.
func (n *fleetNetwork) handOver(from string, r *http.Request) (*http.Response, error) {
	connect(r)
	got, aborted := handTo(n.routers[r.URL.Host], r)
	n.record("%s to %s: %d %s, aborted %t", from, r.URL.Host, got.Code, got.Header().Get(headerRefusal), aborted)
	if n.random.Float64() < n.breaks {
		n.record("exchange broken off")
		return nil, errReset
	}
	var body io.Reader = got.Body
	if aborted {
		body = &brokenReader{got.Body, errReset}
	}
	return &http.Response{StatusCode: got.Code, Header: got.Header(), Body: io.NopCloser(body), ContentLength: -1}, nil
}

// handTo hands a request over to the router of a cluster. aborted reports whether the router aborted the connection within its answer.
func handTo(c *cluster, r *http.Request) (recorder *httptest.ResponseRecorder, aborted bool) {
	inner := httptest.NewRequestWithContext(r.Context(), r.Method, "http://h"+r.URL.Opaque, r.Body)
	inner.RequestURI, inner.Header = r.URL.Opaque, r.Header.Clone()
	recorder = httptest.NewRecorder()
	defer func() {
		if recovered := recover(); recovered != nil {
			if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(recovered)
			}
			aborted = true
		}
	}()
	c.service.Handovers().ServeHTTP(recorder, inner)
	return recorder, false
}

func (n *fleetNetwork) record(format string, arguments ...any) {
	n.trace = append(n.trace, fmt.Sprintf(format, arguments...))
}

// TestRequestRunsNoMoreOftenThanItsRouteAllows guards against requests that run on more servers than the attempts of their route (BUDGET), because a
// router that hands a request over doesn't know how often the other one ran it.
func TestRequestRunsNoMoreOftenThanItsRouteAllows(t *testing.T) {
	const requests = 1000
	const minServed = requests / 4 // a single run is answered with success in one of four cases
	for _, tc := range []struct {
		name     string
		path     string
		attempts int
		breaks   float64
		cutFirst float64
		cutOther float64
	}{
		{"lookup", "/read/1", 2, 0, .7, .2},
		{"lookup, links between routers break", "/read/1", 2, .3, .7, .2},
		{"lookup with four attempts", "/many/1", 4, 0, .7, .2},
		{"lookup with four attempts, links between routers break", "/many/1", 4, .3, .7, .2},
		{"stream", "/draft/1", 3, 0, .7, .2},
		{"stream, links between routers break", "/draft/1", 3, .3, .7, .2},
		{"stream, first router cut off from all servers", "/draft/1", 3, .1, 1, .2},
		{"filing", "/file/1", 1, .3, .7, .2},
		{"lookup, no router cut off", "/read/1", 2, 0, 0, 0},
		{"stream, no router cut off", "/draft/1", 3, 0, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var over, most, served int
			var example []string
			for seed := range requests {
				synctest.Test(t, func(t *testing.T) {
					n := &fleetNetwork{
						random: rand.New(rand.NewPCG(uint64(seed), 12)), routers: make(map[string]*cluster), //nolint:gosec // Not for security.
						breaks: tc.breaks, cutFirst: tc.cutFirst, cutOther: tc.cutOther,
					}
					first := newPeeredCluster()
					first.service.config.Transport = fleetTransport{network: n, router: "first"}
					for _, peer := range first.service.config.Peers() {
						c := newPeeredCluster()
						c.service.config.Transport = fleetTransport{network: n, router: peer.Address}
						n.routers[peer.Address] = c
					}
					got, aborted := first.call(t.Context(), tc.path, map[string]string{"X-Output": "20"})
					if got.Code == http.StatusOK && !aborted {
						served++
					}
					if n.runs > tc.attempts {
						over++
					}
					if n.runs > most {
						most, example = n.runs, n.trace
					}
					time.Sleep(10 * time.Second)
				})
			}
			t.Logf("%d of %d requests served", served, requests)
			if over > 0 || served < minServed {
				t.Errorf("%d of %d requests ran more than %d times, at most %d times: %s; %d were served, want %d or more",
					over, requests, tc.attempts, most, strings.Join(example, "; "), served, minServed)
			}
		})
	}
}
