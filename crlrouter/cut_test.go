package crlrouter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlforward"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// cutMode is what happens to the connections of a router that is cut off from the backend servers.
type cutMode int

const (
	cutNone    cutMode = iota
	cutRefused         // new connections are refused, open ones reset
	cutHangs           // new connections and data on open ones get no reply
	cutNew             // new connections are refused, open ones live on
)

// serverLinks are the links from one router to the backend servers.
type serverLinks struct {
	dial crlforward.TransportConfig
	mu   sync.Mutex // guards the fields below
	mode cutMode
	only string // address of the one server that the mode applies to, empty for all
	open map[net.Conn]bool
	ends chan struct{} // closed and replaced when the mode changes
}

// isServer reports whether an address is that of a backend server rather than of a router.
func isServer(address string) bool { return strings.HasPrefix(address, "i-") }

// set changes the mode.
func (l *serverLinks) set(mode cutMode) {
	l.mu.Lock()
	l.mode = mode
	close(l.ends)
	l.ends = make(chan struct{})
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range open {
		if mode == cutRefused {
			_ = c.Close()
		}
	}
}

// connect is the dial of the router's sends.
func (l *serverLinks) connect(ctx context.Context, network, address string) (net.Conn, error) {
	address = strings.TrimSuffix(address, ":80") // net/http adds the port.
	for isServer(address) {
		l.mu.Lock()
		mode, ends := l.mode, l.ends
		if l.only != "" && address != l.only {
			mode = cutNone
		}
		l.mu.Unlock()
		if mode == cutNone {
			break
		}
		if mode != cutHangs {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		select {
		case <-ends:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
	c, err := l.dial.Dial(ctx, network, address)
	if err != nil || !isServer(address) {
		return c, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	linked := &linkedConn{Conn: c, links: l, server: address}
	l.open[linked] = true
	return linked, nil
}

// probe is the router's probe of a backend server.
func (l *serverLinks) probe(ctx context.Context, address string) error {
	c, err := l.connect(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// linkedConn is a connection to a backend server, whose reads wait while the links hang.
type linkedConn struct {
	net.Conn
	links  *serverLinks
	server string
}

func (c *linkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for {
		c.links.mu.Lock()
		mode, ends := c.links.mode, c.links.ends
		if c.links.only != "" && c.server != c.links.only {
			mode = cutNone
		}
		c.links.mu.Unlock()
		if mode != cutHangs {
			return n, err
		}
		<-ends
	}
}

func (c *linkedConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.open, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// soundServers are backend servers that answer every request, and record which they ran.
type soundServers struct {
	mu   sync.Mutex
	runs map[string]int // by request
}

func (s *soundServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("X-Request")
	s.mu.Lock()
	s.runs[request]++
	s.mu.Unlock()
	w.Header().Set("X-Request", request)
	time.Sleep(plainWork)
	if !strings.HasPrefix(r.URL.Path, "/draft/") {
		_, _ = io.WriteString(w, "done")
		return
	}
	for n := range answerEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventTime)
	}
}

// cutCluster is a fleet of routers with backend servers on a network, whose links to the servers can be cut.
type cutCluster struct {
	routers []*Router
	links   []*serverLinks
	servers *soundServers
	network *crlfake.Network
	random  *rand.Rand
	open    sync.WaitGroup
	mu      sync.Mutex // guards ends
	ends    []cutEnd
}

// cutEnd is how a request ended.
type cutEnd struct {
	request string
	path    string
	router  int
	sentAt  time.Time
	lasted  time.Duration
	status  int // 0 if the answer was cut off
	whole   bool
}

// call sends a request to a random router.
func (c *cutCluster) call(n int) {
	path := []string{"/lookup/", "/filing/", "/draft/"}[n%3]
	end := cutEnd{request: fmt.Sprint("r", n), path: path, router: c.random.IntN(len(c.routers)), sentAt: time.Now()}
	c.open.Go(func() {
		r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(end.request))
		r.RequestURI = path
		r.Header.Set("X-Request", end.request)
		recorder := httptest.NewRecorder()
		func() {
			defer func() {
				if err, ok := recover().(error); ok {
					recorder.Code = 0
					if !errors.Is(err, http.ErrAbortHandler) {
						panic(err)
					}
				}
			}()
			c.routers[end.router].service.ServeHTTP(recorder, r)
		}()
		end.status, end.lasted = recorder.Code, time.Since(end.sentAt)
		end.whole = recorder.Body.String() == "done" || strings.Count(recorder.Body.String(), "\n\n") == answerEvents
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ends = append(c.ends, end)
	})
}

// served returns how many of the requests to some routers that were sent in a time were answered, and their number.
func (c *cutCluster) served(routers []int, from, to time.Time) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.ends {
		if slices.Contains(routers, e.router) && !e.sentAt.Before(from) && e.sentAt.Before(to) {
			all++
			if e.status == http.StatusOK && e.whole {
				served++
			}
		}
	}
	return served, all
}

// checkRuns fails the test for each request that must not run twice and did, or ran though its caller was told that it had not.
func (c *cutCluster) checkRuns(t *testing.T) {
	t.Helper()
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	for _, e := range c.ends {
		runs := c.servers.runs[e.request]
		if e.path == "/filing/" && runs > 1 || e.path != "/draft/" && e.status == http.StatusServiceUnavailable && runs > 0 {
			t.Errorf("request %s to %s ran %d times and got %d", e.request, e.path, runs, e.status)
		}
	}
}

// runCutCluster runs a test on routers in three failure domains.
func runCutCluster(t *testing.T, routers, servers int, test func(c *cutCluster)) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.put("orders", "config", "1")
		ctx, cancel := context.WithCancel(t.Context())
		c := &cutCluster{
			servers: &soundServers{runs: make(map[string]int)}, network: crlfake.NewNetwork(crlfake.NetworkConfig{Latency: time.Millisecond}),
			random: rand.New(rand.NewPCG(7, uint64(routers))),
		}
		var backends []*http.Server
		for n := range servers {
			name := fmt.Sprint("i-", n)
			l, err := c.network.Listen(crlfake.Node(name), name)
			if err != nil {
				t.Fatal(err)
			}
			backend := &http.Server{Handler: c.servers}
			backends = append(backends, backend)
			go func() { _ = backend.Serve(l) }()
			store.put("servers", name, "v1")
		}
		fleet := newCluster(store)
		fleet.codec, fleet.dialect, fleet.wire = plainCodec{}, partDialect{}, c.network
		for n := range routers {
			links := &serverLinks{
				dial: crlforward.TransportConfig{Dial: c.network.Dialer(crlfake.Node(address(n)))}, open: make(map[net.Conn]bool), ends: make(chan struct{}),
			}
			c.links = append(c.links, links)
			fleet.transport = crlforward.NewTransport(crlforward.TransportConfig{Dial: links.connect})
			fleet.probe, fleet.domain = links.probe, crlid.Domain(fmt.Sprint("domain-", n%3))
			c.routers = append(c.routers, fleet.start(ctx, n))
		}
		time.Sleep(12 * time.Second)
		test(c)
		c.open.Wait()
		cancel()
		time.Sleep(10 * time.Second)
		for _, backend := range backends {
			_ = backend.Close()
		}
		c.network.Close()
		time.Sleep(10 * time.Second)
	})
}

// cutTime is how long routers are cut off from the servers.
const cutTime = 12 * time.Second

// TestRouterCutOffFromServersIsServedByOthers guards against callers of a router that has lost its links to all servers, who are refused while the
// other routers serve theirs (RECOVER). From 3 s after the cut on, first tries there are served at least two thirds as often as elsewhere.
func TestRouterCutOffFromServersIsServedByOthers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		routers int
		cut     []int
		mode    cutMode
	}{
		{"two of six, refused", 6, []int{1, 4}, cutRefused},
		{"two of six, without replies", 6, []int{1, 5}, cutHangs},
		{"two of six, open connections live on", 6, []int{0, 4}, cutNew},
		{"failure domain of nine, without replies", 9, []int{2, 5, 8}, cutHangs},
		{"failure domain and more, refused", 9, []int{0, 3, 6, 1}, cutRefused},
		{"readers of the store, without replies", 6, []int{4, 5}, cutHangs},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runCutCluster(t, tc.routers, 9, func(c *cutCluster) {
				var others []int
				for n := range tc.routers {
					if !slices.Contains(tc.cut, n) {
						others = append(others, n)
					}
				}
				start := time.Now()
				time.AfterFunc(2*time.Second, func() {
					for _, n := range tc.cut {
						c.links[n].set(tc.mode)
					}
				})
				time.AfterFunc(2*time.Second+cutTime, func() {
					for _, n := range tc.cut {
						c.links[n].set(cutNone)
					}
				})
				for n := 0; time.Since(start) < cutTime+10*time.Second; n++ {
					c.call(n)
					time.Sleep(20 * time.Millisecond)
				}
				c.open.Wait()
				began := start.Add(2 * time.Second)
				for _, span := range []struct {
					name     string
					from, to time.Time
				}{
					{"in the cut", began.Add(contact), began.Add(cutTime)},
					{"after the cut", began.Add(cutTime + contact), time.Now()},
				} {
					served, all := c.served(tc.cut, span.from, span.to)
					servedElsewhere, allElsewhere := c.served(others, span.from, span.to)
					if share, elsewhere := float64(served)/float64(all), float64(servedElsewhere)/float64(allElsewhere); share < elsewhere*2/3 {
						t.Errorf("%s, %d of %d first tries served at the routers that are cut off, %d of %d elsewhere, want two thirds as often",
							span.name, served, all, servedElsewhere, allElsewhere)
					}
					if elsewhere := float64(servedElsewhere) / float64(allElsewhere); elsewhere < 0.98 {
						t.Errorf("%s, %d of %d served elsewhere, want 49 of 50", span.name, servedElsewhere, allElsewhere)
					}
				}
				c.checkRuns(t)
			})
		})
	}
}

// TestServerThatIsSilentForASecondKeepsItsRequests guards against answers that are given up, and requests that are refused, because a sound server
// gives no sign for a second or so and then goes on.
func TestServerThatIsSilentForASecondKeepsItsRequests(t *testing.T) {
	const silence = 1200 * time.Millisecond
	runCutCluster(t, 6, 4, func(c *cutCluster) {
		for _, l := range c.links {
			l.only = "i-0"
		}
		start := time.Now()
		for at := 2 * time.Second; at < 20*time.Second; at += 4 * time.Second {
			for _, l := range c.links {
				time.AfterFunc(at, func() { l.set(cutHangs) })
				time.AfterFunc(at+silence, func() { l.set(cutNone) })
			}
		}
		for n := 0; time.Since(start) < 22*time.Second; n++ {
			c.call(n)
			time.Sleep(20 * time.Millisecond)
		}
		c.open.Wait()
		for _, e := range c.ends {
			// The time of a request that was at the server when it fell silent may end before the silence does.
			if timedOut := e.path != "/draft/" && e.status == http.StatusGatewayTimeout && e.lasted >= time.Second; !timedOut && !e.whole {
				t.Errorf("request %s to %s, sent %s after the start, got %d after %s, whole: %v", e.request, e.path, e.sentAt.Sub(start), e.status, e.lasted, e.whole)
			}
		}
		for n, r := range c.routers {
			if count := r.quarantine.registry.Quarantined(); count > 0 {
				t.Errorf("router %d keeps %d requests or parts from servers", n, count)
			}
		}
		c.checkRuns(t)
	})
}

// TestHandoversBesideStopsRunNothingTwice guards against requests that run twice, or are said not to have run, because routers stop while they
// serve requests that others have handed over to them.
func TestHandoversBesideStopsRunNothingTwice(t *testing.T) {
	runCutCluster(t, 9, 9, func(c *cutCluster) {
		start := time.Now()
		for _, n := range []int{0, 3} {
			time.AfterFunc(time.Second, func() { c.links[n].set(cutRefused) })
		}
		for i, n := range []int{1, 4, 7, 2} {
			at := time.Duration(3+2*i) * time.Second
			time.AfterFunc(at, c.routers[n].service.Close)
			time.AfterFunc(at+plainWork/2, c.routers[n].service.Abort)
		}
		for n := 0; time.Since(start) < 14*time.Second; n++ {
			c.call(n)
			time.Sleep(5 * time.Millisecond)
		}
		c.open.Wait()
		c.checkRuns(t)
		if served, all := c.served([]int{0, 3}, start.Add(time.Second+contact), time.Now()); float64(served) < 0.9*float64(all) {
			t.Errorf("%d of %d requests served at the routers that are cut off, want 9 of 10", served, all)
		}
	})
}
