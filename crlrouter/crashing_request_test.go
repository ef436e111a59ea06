package crlrouter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// plainCodec decodes configurations with routes of each kind to one service.
type plainCodec struct{ testCodec }

func (c plainCodec) DecodeOrder(r crlplatform.KeyedRecord) (Order, error) {
	order, err := c.testCodec.DecodeOrder(r)
	if err == nil && order.Table != nil {
		routes := []crlroute.Route{
			{Name: "lookup", Prefix: "/lookup/", Kind: crlroute.KindIdempotent, Attempts: 2, Timeout: time.Second},
			{Name: "report", Prefix: "/report/", Kind: crlroute.KindIdempotent, Attempts: 2, Timeout: 10 * time.Second},
			{Name: "filing", Prefix: "/filing/", Kind: crlroute.KindNonIdempotent, Attempts: 2, Timeout: time.Second},
			{Name: "draft", Prefix: "/draft/", Kind: crlroute.KindStream, Resumable: true, Attempts: 3, Timeout: 10 * time.Second},
		}
		for i := range routes {
			routes[i].Host, routes[i].Targets = "h", []crlroute.Target{{Service: "s", Weight: 1}}
		}
		order.Table = crlroute.NewTable(crlroute.TableConfig{
			Version: order.Table.Version(), Services: []crlroute.Service{{Name: "s"}}, Routes: routes,
		})
	}
	return order, err
}

const (
	plainWork    = 30 * time.Millisecond // time in which a server answers
	crashAfter   = 70 * time.Millisecond // time from the arrival of a request to the crash of its server
	deadlyPrefix = "deadly"              // of the bodies of requests that crash servers
)

// fragileServers stands for backend servers that crash when they run certain requests. It is an http.RoundTripper.
type fragileServers struct {
	mu         sync.Mutex
	servers    map[string]*crashingServer
	crashes    map[string][]time.Time // by body
	deadlyRuns map[string][]time.Time // arrivals of requests that crash servers, by body
	beforeHead bool                   // whether servers crash on streams before they send the heads of their answers
	losesBelow float64                // share of the answers to other requests that are lost
	random     *rand.Rand
}

func newFragileServers() *fragileServers {
	return &fragileServers{
		servers: make(map[string]*crashingServer), crashes: make(map[string][]time.Time), deadlyRuns: make(map[string][]time.Time),
		random: rand.New(rand.NewPCG(2, 3)),
	}
}

// server returns the server of a name; the caller holds mu.
func (f *fragileServers) server(name string) *crashingServer {
	s, ok := f.servers[name]
	if !ok {
		s = &crashingServer{crashed: make(chan struct{})}
		f.servers[name] = s
	}
	return s
}

// crashAny crashes a server that is up, whatever it runs.
func (f *fragileServers) crashAny() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if !time.Now().Before(s.downUntil) {
			s.crash()
			return
		}
	}
}

// probe is the routers' probe of a server by its address, which is its name.
func (f *fragileServers) probe(_ context.Context, address string) error {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.server(address).downUntil) {
		return syscall.ECONNREFUSED
	}
	return nil
}

// RoundTrip answers unless the server is down, crashes, or loses the answer.
func (f *fragileServers) RoundTrip(r *http.Request) (*http.Response, error) {
	name, body := r.URL.Host, ""
	if r.Body != nil {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		body = string(content)
	}
	deadly, stream := strings.HasPrefix(body, deadlyPrefix), strings.HasPrefix(r.URL.Opaque, "/draft/")
	f.mu.Lock()
	s := f.server(name)
	if time.Now().Before(s.downUntil) {
		f.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	}
	crashed, loses := s.crashed, f.random.Float64() < f.losesBelow
	if deadly {
		f.deadlyRuns[body] = append(f.deadlyRuns[body], time.Now())
		time.AfterFunc(crashAfter, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !time.Now().Before(s.downUntil) {
				f.crashes[body] = append(f.crashes[body], time.Now())
				s.crash()
			}
		})
	}
	f.mu.Unlock()
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	header := http.Header{"X-Request": {r.Header.Get("X-Request")}}
	answered := make(<-chan time.Time)
	if !deadly || stream && !f.beforeHead {
		answered = time.After(plainWork)
	}
	select {
	case <-crashed:
		return nil, io.EOF
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-answered:
	}
	if loses {
		return nil, syscall.ECONNRESET
	}
	var content io.Reader = strings.NewReader("id: 1\ndata: token\n\n")
	if deadly {
		content = &crashedBody{crashed}
	}
	return &http.Response{
		StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(content), ContentLength: -1, TransferEncoding: []string{"chunked"},
	}, nil
}

// crashedBody breaks off when its server crashes.
type crashedBody struct{ crashed <-chan struct{} }

func (b *crashedBody) Read([]byte) (int, error) {
	<-b.crashed
	return 0, io.ErrUnexpectedEOF
}

// repeater sends requests, some of them again and again, to the routers of a test.
type repeater struct {
	routers []*Router
	store   *memoryStore
	random  *rand.Rand
	sent    int
	open    sync.WaitGroup
	mu      sync.Mutex
	ends    []callEnd // the body in place of the parts
}

// call sends a request to a random router.
func (c *repeater) call(path, body string) { c.callOne(len(c.routers), path, body) }

// callOne sends a request to a random one of the first routers.
func (c *repeater) callOne(first int, path, body string) {
	c.sent++
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(body))
	r.RequestURI = path
	r.Header.Set("X-Request", fmt.Sprint("r", c.sent))
	r.Header.Set("X-Parts", fmt.Sprint("shared-", c.random.IntN(sharedParts), ",of-", body, ",own-", c.sent))
	router, sentAt := c.routers[c.random.IntN(first)], time.Now()
	c.open.Go(func() {
		recorder := httptest.NewRecorder()
		func() {
			defer func() {
				if err, ok := recover().(error); ok && !errors.Is(err, http.ErrAbortHandler) {
					panic(err)
				}
			}()
			router.service.ServeHTTP(recorder, r)
		}()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ends = append(c.ends, callEnd{sentAt: sentAt, parts: []string{body}, complete: recorder.Code == http.StatusOK, status: recorder.Code})
	})
}

// served returns how many of the requests were answered that were sent from a moment on and have bodies with a prefix, and their number.
func (c *repeater) served(prefix string, from time.Time) (complete, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.ends {
		if !e.sentAt.Before(from) && strings.HasPrefix(e.parts[0], prefix) {
			all++
			if e.complete {
				complete++
			}
		}
	}
	return complete, all
}

// runOnFragileServers runs a test on routers with servers that crash on some requests.
func runOnFragileServers(t *testing.T, count, servers int, test func(*fragileServers, *repeater)) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.put("orders", "config", "1")
		backend := newFragileServers()
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(store)
		c.codec, c.dialect, c.transport, c.probe = plainCodec{}, partDialect{}, backend, backend.probe
		for n := range servers {
			store.put("servers", fmt.Sprint("i-", n), "v1")
		}
		clients := &repeater{store: store, random: rand.New(rand.NewPCG(1, uint64(count)))}
		for n := range count {
			clients.routers = append(clients.routers, c.start(ctx, n))
		}
		time.Sleep(12 * time.Second)
		test(backend, clients)
		clients.open.Wait()
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestRequestThatCrashesServersIsKeptFromThem guards against a request that crashes each server that runs it, comes again at any router, and is
// sent to servers each time (BUDGET), and against sound requests that are turned away beside it. Later than 3 s after the third crash it may
// reach servers three times.
func TestRequestThatCrashesServersIsKeptFromThem(t *testing.T) {
	const (
		allowedSends = 3
		duration     = 25 * time.Second
	)
	for _, tc := range []struct {
		name             string
		routers, servers int
		path             string
		deadly           int // number of different requests that crash servers
		soundEvery       time.Duration
		deadlyEvery      time.Duration
		beforeHead       bool
		otherCrashes     time.Duration // time between crashes of other causes, 0 for none
	}{
		{name: "lookups", routers: 6, servers: 4, path: "/lookup/1", deadly: 1, soundEvery: 25 * time.Millisecond, deadlyEvery: 300 * time.Millisecond},
		{name: "filings", routers: 6, servers: 6, path: "/filing/1", deadly: 1, soundEvery: 25 * time.Millisecond, deadlyEvery: 300 * time.Millisecond},
		{name: "streams", routers: 9, servers: 9, path: "/draft/1", deadly: 1, soundEvery: 20 * time.Millisecond, deadlyEvery: 300 * time.Millisecond},
		{name: "streams that crash before the head", routers: 9, servers: 9, path: "/draft/1", deadly: 1, soundEvery: 20 * time.Millisecond, deadlyEvery: 300 * time.Millisecond, beforeHead: true},
		{name: "several at once", routers: 8, servers: 12, path: "/lookup/1", deadly: 3, soundEvery: 20 * time.Millisecond, deadlyEvery: 150 * time.Millisecond},
		{name: "beside other crashes", routers: 6, servers: 12, path: "/lookup/1", deadly: 1, soundEvery: 25 * time.Millisecond, deadlyEvery: 300 * time.Millisecond, otherCrashes: 1500 * time.Millisecond},
		{name: "large fleet", routers: 75, servers: 40, path: "/lookup/1", deadly: 1, soundEvery: 15 * time.Millisecond, deadlyEvery: 150 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runOnFragileServers(t, tc.routers, tc.servers, func(backend *fragileServers, clients *repeater) {
				backend.beforeHead = tc.beforeHead
				start := time.Now()
				nextDeadly, nextCrash := start, start.Add(tc.otherCrashes)
				for n := 0; time.Since(start) < duration; n++ {
					if !time.Now().Before(nextDeadly) {
						clients.call(tc.path, fmt.Sprint(deadlyPrefix, clients.random.IntN(tc.deadly)))
						nextDeadly = nextDeadly.Add(tc.deadlyEvery)
					}
					if tc.otherCrashes > 0 && !time.Now().Before(nextCrash) {
						backend.crashAny()
						nextCrash = nextCrash.Add(tc.otherCrashes)
					}
					clients.call(tc.path, fmt.Sprint("sound-", n))
					if n%10 == 0 {
						clients.call(tc.path, fmt.Sprint("often-", n/10%5))
					}
					time.Sleep(tc.soundEvery)
				}
				clients.open.Wait()
				backend.mu.Lock()
				defer backend.mu.Unlock()
				settled := start
				for n := range tc.deadly {
					body := fmt.Sprint(deadlyPrefix, n)
					crashes := backend.crashes[body]
					if len(crashes) == 0 {
						t.Fatalf("request %s has crashed no server", body)
					}
					third := crashes[min(2, len(crashes)-1)]
					if at := third.Add(2 * contact); at.After(settled) {
						settled = at
					}
					late := 0
					for _, at := range backend.deadlyRuns[body] {
						if at.Sub(third) > contact {
							late++
						}
					}
					if late > allowedSends {
						t.Errorf("request %s reached servers %d times later than %s after the third of %d crashes, want at most %d", body, late, contact, len(crashes), allowedSends)
					}
				}
				for _, prefix := range []string{"sound", "often"} {
					if complete, all := clients.served(prefix, settled); float64(complete) < 0.8*float64(all) {
						t.Errorf("%d of %d %s requests served from %s after the third crash on, want 4 of 5", complete, all, prefix, 2*contact)
					}
				}
			})
		})
	}
}

// TestRequestBesideOtherCrashesIsServedAgain guards against a sound request that is kept from servers for good, because they happened to crash
// for another cause when they ran it.
func TestRequestBesideOtherCrashesIsServedAgain(t *testing.T) {
	const (
		releasedIn = 20 * time.Second
		period     = 25 * time.Millisecond
	)
	for _, path := range []string{"/lookup/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			runOnFragileServers(t, 6, 9, func(backend *fragileServers, clients *repeater) {
				start := time.Now()
				for n := 0; time.Since(start) < 40*time.Second; n++ {
					clients.call(path, fmt.Sprint("sound-", n))
					if n%20 == 0 {
						clients.call(path, "repeated")
						if time.Since(start) < 3*time.Second {
							time.AfterFunc(plainWork/2, func() { // Crashes every server that may run it.
								for range 9 {
									backend.crashAny()
								}
							})
						}
					}
					time.Sleep(period)
				}
				clients.open.Wait()
				if complete, all := clients.served("repeated", start.Add(releasedIn)); all < 20 || float64(complete) < 0.9*float64(all) {
					t.Errorf("%d of %d repeated requests served from %s on, want 9 of 10", complete, all, releasedIn)
				}
			})
		})
	}
}

// TestLostAnswersKeepNothingFromServers guards against requests that are kept from servers because answers to them were lost: servers that
// lose answers go on accepting connections.
func TestLostAnswersKeepNothingFromServers(t *testing.T) {
	runOnFragileServers(t, 6, 6, func(backend *fragileServers, clients *repeater) {
		backend.mu.Lock()
		backend.losesBelow = 0.3
		backend.mu.Unlock()
		start := time.Now()
		for time.Since(start) < 20*time.Second {
			clients.call("/lookup/1", fmt.Sprint("often-", clients.random.IntN(5)))
			time.Sleep(50 * time.Millisecond)
		}
		clients.open.Wait()
		clients.mu.Lock()
		defer clients.mu.Unlock()
		for _, e := range clients.ends {
			if e.status == http.StatusServiceUnavailable {
				t.Fatalf("request %s was refused %s after the start, want no refusal", e.parts[0], e.sentAt.Sub(start))
			}
		}
	})
}

// TestManyCrashesSpareTheStore guards against routers that crowd the store with what they suspect, as when all servers crash at once with requests
// that may not be sent again: the writes of a second, those that conflict included, stay below a quarter of what the store takes.
func TestManyCrashesSpareTheStore(t *testing.T) {
	const mostWrites = 400 / 4 // in a second
	for _, routers := range []int{6, 75, 150} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			runOnFragileServers(t, routers, 40, func(backend *fragileServers, clients *repeater) {
				for n := range 40 * 6 {
					clients.call("/filing/1", fmt.Sprint("sound-", n))
				}
				time.Sleep(plainWork / 2)
				for range 40 {
					backend.crashAny()
				}
				writes := func() int {
					clients.store.mu.Lock()
					defer clients.store.mu.Unlock()
					return clients.store.appends
				}
				most, before := 0, writes()
				for range 10 {
					time.Sleep(time.Second)
					now := writes()
					most, before = max(most, now-before), now
				}
				if most > mostWrites {
					t.Errorf("%d writes in a second, want at most %d", most, mostWrites)
				}
			})
		})
	}
}
