package crlrouter

import (
	"cmp"
	"context"
	"fmt"
	"io"
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
)

const (
	brittlePlaces = 6                      // requests that a server of the test works on at once
	brittleWait   = 4                      // requests that wait beside them, until the servers let none wait
	brittleWork   = 100 * time.Millisecond // time in which a server answers, unless a test says otherwise
)

// brittleServers stands for backend servers that state that they are brittle, and fall over when they turn many requests away in a second. It is an
// http.RoundTripper.
type brittleServers struct {
	mu       sync.Mutex
	states   bool    // whether answers state brittleness
	brittle  bool    // whether servers let none wait and may fall over, from 3 s after the first such answer on
	limit    float64 // requests that a server may turn away in a second
	servers  map[string]*brittleServer
	work     time.Duration // time in which a server answers
	falls    int
	answered int
}

type brittleServer struct {
	open      int
	working   chan struct{} // holds an element for each request in work
	downUntil time.Time
	rejected  []time.Time
}

// RoundTrip answers, turns the request away, or refuses the connection while the server is down.
func (b *brittleServers) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	s, ok := b.servers[r.URL.Host]
	if !ok {
		s = &brittleServer{working: make(chan struct{}, brittlePlaces)}
		b.servers[r.URL.Host] = s
	}
	header := http.Header{"X-Request": {r.Header.Get("X-Request")}}
	now := time.Now()
	if now.Before(s.downUntil) {
		b.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	}
	room := brittlePlaces + brittleWait
	if b.brittle {
		room = brittlePlaces
	}
	rejects := s.open >= room
	if rejects {
		s.rejected = append(slices.DeleteFunc(s.rejected, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
		if b.brittle && float64(len(s.rejected)) > b.limit {
			b.falls++
			s.downUntil, s.rejected = now.Add(restartTime), nil
		}
	} else {
		s.open++
	}
	b.mu.Unlock()
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	time.Sleep(time.Millisecond)
	response := &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader("done")), ContentLength: 4}
	if rejects {
		b.state(header)
		header.Set("X-Not-Run", "1")
		response.StatusCode = http.StatusServiceUnavailable
		return response, nil
	}
	s.working <- struct{}{}
	time.Sleep(b.work)
	<-s.working
	b.state(header)
	b.mu.Lock()
	defer b.mu.Unlock()
	s.open--
	b.answered++
	return response, nil
}

// state states in the header of an answer that the server is brittle, if it is.
func (b *brittleServers) state(header http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.states {
		header.Set("X-Brittle", strconv.FormatFloat(b.limit, 'f', -1, 64))
	}
}

// brittleDialect decodes what brittle servers state.
type brittleDialect struct{ partDialect }

func (brittleDialect) DecodeAnswer(status int, h http.Header) crlforward.AnswerHead {
	head := partDialect{}.DecodeAnswer(status, h)
	head.NotRun = h.Get("X-Not-Run") != ""
	if limit, err := strconv.ParseFloat(h.Get("X-Brittle"), 64); err == nil {
		head.Statement.Brittle, head.Statement.MaxRejections = true, limit
	}
	return head
}

// handoverNetwork carries sends to backend servers, and requests that routers hand over to each other. It is an http.RoundTripper.
type handoverNetwork struct {
	servers http.RoundTripper
	mu      sync.Mutex
	routers map[string]*Router // by handover address
}

// set makes a router take the requests that are handed over to its address.
func (n *handoverNetwork) set(address string, router *Router) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routers[address] = router
}

func (n *handoverNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	router, ok := n.routers[r.URL.Host]
	n.mu.Unlock()
	if !ok {
		return n.servers.RoundTrip(r)
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	time.Sleep(time.Millisecond)
	recorder, received := httptest.NewRecorder(), r.Clone(r.Context())
	received.RequestURI, received.URL = r.URL.Opaque, nil
	if received.Body == nil {
		received.Body = http.NoBody
	}
	router.service.Handovers().ServeHTTP(recorder, received)
	return recorder.Result(), nil
}

// brittleCase is a run of routers with brittle servers.
type brittleCase struct {
	routers, servers int
	limit            float64       // requests that a server may turn away in a second
	load             float64       // offered load as a multiple of what the servers can work on
	work             time.Duration // time in which a server answers, 0 for brittleWork
	callers          int           // number of routers that have callers, 0 for all
	trouble          func(b *brittleRun, second int)
}

// brittleRun is such a run in progress.
type brittleRun struct {
	brittleCase
	store   *memoryStore
	cluster *cluster
	backend *brittleServers
	network *handoverNetwork
	clients *repeater
	start   func(n int, seeds ...string) // starts router n, again if it has been started before
	stop    []context.CancelFunc         // by router
}

func (b *brittleRun) startRouter(ctx context.Context, n int, seeds ...string) {
	ctx, stop := context.WithCancel(ctx)
	router := b.cluster.start(ctx, n, seeds...)
	b.network.set(handoverAddress(n), router)
	if n < len(b.stop) {
		b.stop[n]()
		b.stop[n], b.clients.routers[n] = stop, router
		return
	}
	b.stop = append(b.stop, stop)
	b.clients.routers = append(b.clients.routers, router)
}

// isLarge reports whether -short leaves the case out; the smaller ones reach the same code.
func (b brittleCase) isLarge() bool { return b.routers*b.servers > 100 }

// check runs the case. Over all, at most 2 and a tenth of the servers' number may fall, and the servers must answer at least half of what they can.
// Answers state brittleness from the first second on, and servers let none wait from 3 s later on; trouble is called at the start of each second.
func (b brittleCase) check(t *testing.T) {
	const duration = 15 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.put("orders", "config", "1")
		backend := &brittleServers{limit: b.limit, work: cmp.Or(b.work, brittleWork), servers: make(map[string]*brittleServer)}
		ctx, cancel := context.WithCancel(t.Context())
		run := &brittleRun{
			brittleCase: b, store: store, cluster: newCluster(store), backend: backend,
			network: &handoverNetwork{servers: backend, routers: make(map[string]*Router)},
			clients: &repeater{random: rand.New(rand.NewPCG(1, uint64(b.routers)))},
		}
		c := run.cluster
		c.codec, c.dialect, c.transport = plainCodec{}, brittleDialect{}, run.network
		c.probe = func(context.Context, string) error { return nil }
		for n := range b.servers {
			store.put("servers", fmt.Sprint("i-", n), "v1")
		}
		run.start = func(n int, seeds ...string) { run.startRouter(ctx, n, seeds...) }
		for n := range b.routers {
			run.start(n)
		}
		time.Sleep(12 * time.Second)
		capacity := float64(b.servers*brittlePlaces) / backend.work.Seconds()
		interval := time.Duration(float64(time.Second) / (capacity * b.load))
		start, before, second := time.Now(), 0, 0
		for n := 0; time.Since(start) < duration; n++ {
			backend.mu.Lock()
			backend.states = time.Since(start) > time.Second
			if time.Since(start) > time.Second+contact && !backend.brittle {
				backend.brittle, before = true, backend.answered
			}
			backend.mu.Unlock()
			if s := int(time.Since(start) / time.Second); s > second && b.trouble != nil {
				second = s
				b.trouble(run, second)
			}
			run.clients.callOne(cmp.Or(b.callers, b.routers), "/report/1", fmt.Sprint("sound-", n))
			time.Sleep(interval)
		}
		run.clients.open.Wait()
		if most := 2 + float64(b.servers)/10; float64(backend.falls) > most {
			t.Errorf("servers fell over %d times, want at most %v", backend.falls, most)
		}
		could := min(b.load, 1) * capacity * (duration - time.Second - contact).Seconds()
		if answered := backend.answered - before; float64(answered) < could/2 {
			t.Errorf("%d requests answered while servers were brittle, want half of the %.0f that they could", answered, could)
		}
		store.setDown(false)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestBrittleServersDontFallOver guards against routers that let servers turn so many requests away that they fall over, though the servers state how
// many they bear (LIMIT): over all, at most 2 and a tenth of their number may fall. Beside that they must go on serving, under overload at least
// half of what they can.
func TestBrittleServersDontFallOver(t *testing.T) {
	for _, tc := range []brittleCase{
		{routers: 6, servers: 4, limit: 3, load: 0.5},
		{routers: 6, servers: 4, limit: 3, load: 1.5},
		{routers: 6, servers: 4, limit: 12, load: 1.5},
		{routers: 9, servers: 3, limit: 2, load: 2},
		{routers: 9, servers: 18, limit: 4, load: 1.2},
		{routers: 6, servers: 4, limit: 0, load: 1.5},
		{routers: 75, servers: 40, limit: 5, load: 1.5},
	} {
		if testing.Short() && tc.isLarge() {
			continue
		}
		t.Run(fmt.Sprintf("%d routers, %d servers, limit %v, load %v", tc.routers, tc.servers, tc.limit, tc.load), tc.check)
	}
}

// TestBrittleServersDontFallOverInTrouble guards against brittle servers that fall over again and again (GONE) while the store is away or deals its
// partitions anew, servers are replaced, or routers restart; and against requests that are refused although other routers have places at the servers.
func TestBrittleServersDontFallOverInTrouble(t *testing.T) {
	const from = 5 // second of the first trouble
	for _, tc := range []struct {
		name    string
		trouble func(b *brittleRun, second int)
		callers int // one in so many routers has callers, 0 for all
		work    time.Duration
	}{
		{name: "store-away", trouble: func(b *brittleRun, second int) { b.store.setDown(second >= from) }},
		{name: "partitions-dealt-anew", trouble: func(b *brittleRun, second int) {
			if second == from {
				b.store.dealAnew()
			}
		}},
		{name: "servers-replaced", trouble: func(b *brittleRun, second int) {
			if n := second - from; n >= 0 && n < b.servers {
				b.store.put("servers", fmt.Sprint("i-", n), "")
				b.store.put("servers", fmt.Sprint("i-replacement-", n), "v1")
			}
		}},
		{name: "routers-restart", trouble: func(b *brittleRun, second int) {
			for n := range b.routers {
				if second >= from && n%9 == second%9 {
					b.start(n, address((n+1)%b.routers), address((n+2)%b.routers))
				}
			}
		}},
		{name: "callers-at-few-routers", callers: 8},
		{name: "long-answers", work: 3 * time.Second},
	} {
		for _, size := range []brittleCase{
			{routers: 9, servers: 3, limit: 2, load: 1.2},
			{routers: 75, servers: 4, limit: 2, load: 0.7},
			{routers: 75, servers: 4, limit: 2, load: 1.5},
			{routers: 75, servers: 40, limit: 3, load: 1.2},
		} {
			if testing.Short() && size.isLarge() {
				continue
			}
			size.trouble, size.work = tc.trouble, tc.work
			if tc.callers > 0 {
				size.callers = size.routers/tc.callers + 1
			}
			t.Run(fmt.Sprintf("%s/%d-routers-%d-servers-load-%v", tc.name, size.routers, size.servers, size.load), size.check)
		}
	}
}
