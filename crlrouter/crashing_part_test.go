package crlrouter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlforward"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// streamCodec decodes configurations with a single route, of streams that may be resumed.
type streamCodec struct {
	testCodec
	once bool // whether the streams may not be resumed instead
}

func (c streamCodec) DecodeOrder(r crlplatform.KeyedRecord) (Order, error) {
	order, err := c.testCodec.DecodeOrder(r)
	if err == nil && order.Table != nil {
		order.Table = crlroute.NewTable(crlroute.TableConfig{
			Version: order.Table.Version(), Services: []crlroute.Service{{Name: "s", Slots: 48}},
			Routes: []crlroute.Route{{
				Name: "draft", Host: "h", Prefix: "/", Kind: crlroute.KindStream, Resumable: !c.once, Attempts: 3, Timeout: 10 * time.Second,
				Targets: []crlroute.Target{{Service: "s", Weight: 1}},
			}},
		})
	}
	return order, err
}

// partDialect decodes the parts of a prompt from a list of names.
type partDialect struct{ testDialect }

func (partDialect) DecodeRequest(h http.Header) (crlforward.Head, error) {
	head := crlforward.Head{Request: crlid.Request(h.Get("X-Request")), PromptTokens: 1000, MaxAnswerTokens: 50}
	for _, id := range strings.Split(h.Get("X-Parts"), ",") {
		head.Parts = append(head.Parts, crlforward.Part{ID: id, Tokens: 300})
	}
	return head, nil
}

func (partDialect) EncodeAttempt(h http.Header, a crlforward.Attempt) {
	h.Set("X-Server", string(a.Server))
	h.Set("X-After", strconv.FormatInt(a.LastEvent, 10))
}

func (partDialect) DecodeAnswer(_ int, h http.Header) crlforward.AnswerHead {
	return crlforward.AnswerHead{Request: crlid.Request(h.Get("X-Request")), Signed: true, Confidence: crlforward.NoConfidence}
}

const (
	restartTime  = 3 * time.Second        // of a server that has crashed
	prefillTime  = 300 * time.Millisecond // until an answer begins
	firstEventIn = 5 * time.Millisecond   // from the head of an answer to its first event
	eventTime    = 100 * time.Millisecond // between events
	answerEvents = 5
)

// Values of crashAfter for servers that crash before they send the head of an answer, and some time after its end.
const (
	beforeHead = -1
	afterEnd   = answerEvents + 1
	outlived   = 20 * time.Millisecond // time from the end of an answer to such a crash
)

// crashingServers stands for backend servers that crash when they answer on certain parts. It is an http.RoundTripper.
type crashingServers struct {
	crashAfter int // events after which servers crash, or beforeHead
	mu         sync.Mutex
	deadly     map[string]bool
	servers    map[string]*crashingServer
	crashes    map[string][]time.Time // by deadly part
	deadlyRun  map[string][]time.Time // sends with a deadly part that reached a server, by part
}

// crashingServer is one server; crashed is closed and replaced when it crashes.
type crashingServer struct {
	downUntil time.Time
	crashed   chan struct{}
}

func newCrashingServers(deadly ...string) *crashingServers {
	c := &crashingServers{
		deadly: make(map[string]bool), servers: make(map[string]*crashingServer),
		crashes: make(map[string][]time.Time), deadlyRun: make(map[string][]time.Time),
	}
	for _, part := range deadly {
		c.deadly[part] = true
	}
	return c
}

// server returns the server of a name; the caller holds mu.
func (c *crashingServers) server(name string) *crashingServer {
	s, ok := c.servers[name]
	if !ok {
		s = &crashingServer{crashed: make(chan struct{})}
		c.servers[name] = s
	}
	return s
}

// crash ends all sends at a server, and those that come before it is back; the caller holds mu.
func (s *crashingServer) crash() {
	s.downUntil = time.Now().Add(restartTime)
	close(s.crashed)
	s.crashed = make(chan struct{})
}

// arrive records the arrival of a send; the part is that of its deadly parts which crashes the server, empty for none.
func (c *crashingServers) arrive(name string, parts []string) (crashed <-chan struct{}, part string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.server(name)
	if time.Now().Before(s.downUntil) {
		return nil, "", syscall.ECONNREFUSED
	}
	for _, p := range parts[:len(parts)-1] {
		if c.deadly[p] {
			c.deadlyRun[p] = append(c.deadlyRun[p], time.Now())
			part = p
		}
	}
	return s.crashed, part, nil
}

// RoundTrip answers with a stream, unless the server is down or crashes.
func (c *crashingServers) RoundTrip(r *http.Request) (*http.Response, error) {
	name := r.Header.Get("X-Server")
	crashed, part, err := c.arrive(name, strings.Split(r.Header.Get("X-Parts"), ","))
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	select {
	case <-crashed:
		return nil, io.EOF
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(prefillTime):
	}
	if c.crashAfter == beforeHead && part != "" {
		c.crash(name, part)
		return nil, io.EOF
	}
	body, writer := io.Pipe()
	go c.answer(r.Context(), name, part, lastEvent(r), crashed, writer)
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"X-Request": {r.Header.Get("X-Request")}}, Body: body,
		ContentLength: -1, TransferEncoding: []string{"chunked"},
	}, nil
}

// crash crashes a server that runs a request with a deadly part.
func (c *crashingServers) crash(name, part string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.server(name); !time.Now().Before(s.downUntil) {
		c.crashes[part] = append(c.crashes[part], time.Now())
		s.crash()
	}
}

// crashMany crashes the servers whose names have one of the given ends.
func (c *crashingServers) crashMany(ends ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.servers {
		if slices.ContainsFunc(ends, func(end string) bool { return strings.HasSuffix(name, end) }) && !time.Now().Before(s.downUntil) {
			s.crash()
		}
	}
}

// probe is the routers' probe of a server by its address, which is its name.
func (c *crashingServers) probe(_ context.Context, address string) error {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.server(address).downUntil) {
		return syscall.ECONNREFUSED
	}
	return nil
}

// lastEvent returns the number of the last event that the caller of a request has.
func lastEvent(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get("X-After"))
	return n
}

// answer writes the events of an answer from one on, or crashes its server after crashAfter of them.
func (c *crashingServers) answer(ctx context.Context, name, part string, from int, crashed <-chan struct{}, w *io.PipeWriter) {
	for n := from; n <= answerEvents; n++ {
		if part != "" && n >= c.crashAfter {
			c.crash(name, part)
		}
		if n == answerEvents {
			break
		}
		pause := eventTime
		if n == from {
			pause = firstEventIn
		}
		select {
		case <-crashed:
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
			return
		case <-time.After(pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n+1); err != nil {
			return
		}
	}
	select {
	case <-crashed:
		_ = w.CloseWithError(io.ErrUnexpectedEOF)
	default:
		_ = w.Close()
		if part != "" && c.crashAfter == afterEnd {
			time.Sleep(outlived)
			c.crash(name, part)
		}
	}
}

// callers sends requests to the routers of a test and counts how they end.
type callers struct {
	routers  []*Router
	random   *rand.Rand
	distinct bool // whether no two requests have the same content
	sent     int
	open     sync.WaitGroup
	mu       sync.Mutex
	ends     []callEnd
}

// callEnd is how a request ended.
type callEnd struct {
	sentAt   time.Time
	parts    []string
	complete bool
	status   int
}

// call sends a request with the given parts, and one of its own, to a random router.
func (c *callers) call(parts ...string) {
	c.sent++
	id := fmt.Sprint("r", c.sent)
	target := "/"
	if c.distinct {
		target += id
	}
	r := httptest.NewRequest(http.MethodPost, "http://h"+target, nil)
	r.RequestURI = target
	r.Header.Set("X-Request", id)
	r.Header.Set("X-Parts", strings.Join(append(slices.Clone(parts), "own-"+id), ","))
	router := c.routers[c.random.IntN(len(c.routers))]
	sentAt := time.Now()
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
		c.ends = append(c.ends, callEnd{
			sentAt: sentAt, parts: parts, status: recorder.Code, complete: strings.Count(recorder.Body.String(), "\n\n") == answerEvents,
		})
	})
}

// served returns how many of the requests with a part that were sent from a moment on got a complete answer, and their number.
func (c *callers) served(part string, from time.Time) (complete, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.ends {
		if e.sentAt.Before(from) || !slices.Contains(e.parts, part) {
			continue
		}
		all++
		if e.complete {
			complete++
		}
	}
	return complete, all
}

const (
	sharedParts = 4               // parts that requests have in common
	contact     = 3 * time.Second // time in which what is known of a part must reach all routers in present deployments
)

// runOnCrashingServers runs a test on routers with servers that crash on some parts, before their first events.
func runOnCrashingServers(t *testing.T, count, servers int, deadly []string, test func(*crashingServers, *callers, *memoryStore)) {
	runOnServers(t, count, servers, newCrashingServers(deadly...), streamCodec{}, test)
}

// runOnServers runs a test on routers with the given servers and route.
func runOnServers(t *testing.T, count, servers int, backend *crashingServers, codec streamCodec, test func(*crashingServers, *callers, *memoryStore)) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.put("orders", "config", "1")
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(store)
		c.codec, c.dialect, c.transport, c.probe = codec, partDialect{}, backend, backend.probe
		for n := range servers {
			store.put("servers", fmt.Sprint("i-", n), "v1")
		}
		clients := &callers{random: rand.New(rand.NewPCG(1, uint64(count)))}
		for n := range count {
			clients.routers = append(clients.routers, c.start(ctx, n))
		}
		time.Sleep(12 * time.Second)
		test(backend, clients, store)
		clients.open.Wait()
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// shared returns a random one of the parts that requests have in common.
func (c *callers) shared() string { return fmt.Sprint("shared-", c.random.IntN(sharedParts)) }

// TestPartThatCrashesServersIsKeptFromThem guards against requests with one part in their prompts that crash one server after the other, at
// routers that each know a few of them (BUDGET), and against sound requests that are turned away beside them (LOST). 3 s after the fifth crash
// no more than three of such requests may reach servers.
func TestPartThatCrashesServersIsKeptFromThem(t *testing.T) {
	const (
		allowedSends = 3
		duration     = 25 * time.Second
	)
	for _, tc := range []struct {
		name             string
		routers, servers int
		deadly           []string
		soundEvery       time.Duration
		deadlyEvery      time.Duration
	}{
		{"six routers", 6, 9, []string{"deadly"}, 25 * time.Millisecond, 900 * time.Millisecond},
		{"nine routers, often", 9, 18, []string{"deadly"}, 15 * time.Millisecond, 400 * time.Millisecond},
		{"several parts", 8, 15, []string{"deadly", "deadly-too", "deadly-as-well"}, 20 * time.Millisecond, 400 * time.Millisecond},
		{"large fleet", 75, 40, []string{"deadly"}, 15 * time.Millisecond, 150 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runOnCrashingServers(t, tc.routers, tc.servers, tc.deadly, func(backend *crashingServers, clients *callers, _ *memoryStore) {
				start := time.Now()
				nextDeadly := start
				for time.Since(start) < duration {
					if !time.Now().Before(nextDeadly) {
						clients.call(clients.shared(), tc.deadly[clients.random.IntN(len(tc.deadly))])
						nextDeadly = nextDeadly.Add(tc.deadlyEvery)
					}
					clients.call(clients.shared())
					time.Sleep(tc.soundEvery)
				}
				clients.open.Wait()
				backend.mu.Lock()
				defer backend.mu.Unlock()
				for _, part := range slices.Sorted(maps.Keys(backend.crashes)) {
					crashes := backend.crashes[part]
					fifth := crashes[min(4, len(crashes)-1)]
					late := 0
					for _, at := range backend.deadlyRun[part] {
						if at.Sub(fifth) > contact {
							late++
						}
					}
					if late > allowedSends {
						t.Errorf("part %s: %d sends reached servers later than %s after the fifth of %d crashes, want at most %d", part, late, contact, len(crashes), allowedSends)
					}
					for n := range sharedParts {
						beside := fmt.Sprint("shared-", n)
						if complete, all := clients.served(beside, fifth.Add(2*contact)); float64(complete) < 0.8*float64(all) {
							t.Errorf("%d of %d sound requests with part %s served from %s after the fifth crash on, want 4 of 5", complete, all, beside, 2*contact)
						}
					}
				}
			})
		})
	}
}

// TestPartBesideOtherCrashesIsServedAgain guards against a part that is kept from servers for good, because servers happened to crash for
// another cause when they began answers on it.
func TestPartBesideOtherCrashesIsServedAgain(t *testing.T) {
	const (
		releasedIn = 15 * time.Second
		period     = 50 * time.Millisecond
	)
	runOnCrashingServers(t, 6, 9, []string{"rare"}, func(backend *crashingServers, clients *callers, _ *memoryStore) {
		start := time.Now()
		for time.Since(start) < 30*time.Second {
			if time.Since(start) > 3*time.Second {
				backend.mu.Lock()
				clear(backend.deadly)
				backend.mu.Unlock()
			}
			clients.call(clients.shared())
			if time.Since(start).Truncate(period)%(500*time.Millisecond) == 0 {
				clients.call(clients.shared(), "rare")
			}
			time.Sleep(period)
		}
		clients.open.Wait()
		if complete, all := clients.served("rare", start.Add(releasedIn)); all < 20 || float64(complete) < 0.9*float64(all) {
			t.Errorf("%d of %d requests with the part served from %s on, want 9 of 10", complete, all, releasedIn)
		}
	})
}

// TestOutageSparesTheStoreOfSuspects guards against routers that write what they know of suspected parts again and again while the store is away, and
// against a quarantine that doesn't outlast the outage.
func TestOutageSparesTheStoreOfSuspects(t *testing.T) {
	const outage = 20 * time.Second
	runOnCrashingServers(t, 6, 9, []string{"deadly"}, func(_ *crashingServers, clients *callers, store *memoryStore) {
		store.setDown(true)
		for range 12 { // Each router sees two crashes or more of its own.
			clients.call(clients.shared(), "deadly")
			time.Sleep(500 * time.Millisecond)
		}
		store.mu.Lock()
		before := store.appends
		store.mu.Unlock()
		time.Sleep(outage)
		store.mu.Lock()
		appends := store.appends - before
		store.mu.Unlock()
		if most := len(clients.routers) * int(outage/time.Second); appends > most {
			t.Errorf("%d writes in an outage of %s by %d routers, want at most one a second each", appends, outage, len(clients.routers))
		}
		store.setDown(false)
		time.Sleep(contact)
		for n, r := range clients.routers {
			if r.quarantine.registry.Quarantined() == 0 {
				t.Errorf("router %d keeps no part from servers %s after the outage", n, contact)
			}
		}
	})
}
