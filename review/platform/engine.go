package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat     = 1200 * time.Millisecond
	eventInterval = 50 * time.Millisecond
	streamEvents  = 20
)

// run is a request that an engine began to work on.
type run struct {
	request, engine, service, tenant, path string
	at                                     time.Time
}

// runLog holds all runs.
type runLog struct {
	mu   sync.Mutex // guards runs
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// byRequest returns the runs of each request.
func (l *runLog) byRequest() map[string][]run {
	m := make(map[string][]run)
	for _, r := range l.all() {
		m[r.request] = append(m[r.request], r)
	}
	return m
}

// engine imitates a server of a service.
type engine struct {
	id, service, zone, version string
	address                    string
	store                      *store
	runs                       *runLog
	rec                        *recorder
	server                     *http.Server
	born                       int64
	work                       time.Duration       // time that a plain request takes
	reading                    time.Duration       // time until the first event of a stream
	onRequest                  func(*http.Request) // called for each request; nil for none

	mu       sync.Mutex // guards the fields below
	state    string     // empty for an engine that writes no entries
	leaving  bool       // whether it leaves without an entry that says so
	sequence int
	stop     context.CancelFunc
}

// startEngine starts an engine on a loopback address and registers it in the store.
func (w *world) startEngine(id, service, zone string) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e := &engine{
		id: id, service: service, zone: zone, version: "v1", address: listener.Addr().String(), store: w.store, runs: w.runs, rec: w.rec,
		born: time.Now().UnixMilli(), work: 20 * time.Millisecond, state: "ready",
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.beat()
	go e.beats(ctx)
	w.engines = append(w.engines, e)
	return e
}

// entry returns an entry of the engine. The caller holds e.mu.
func (e *engine) entry(state string) string {
	e.sequence++
	return toJSON(map[string]any{
		"service": e.service, "addr": e.address, "zone": e.zone, "version": e.version, "slots": 6, "state": state, "coldLeftMs": 0,
		"sequence": e.sequence, "born": e.born,
	})
}

// beat writes the engine's entry. It reports whether the store took it.
func (e *engine) beat() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == "" {
		return true
	}
	_, ok := e.store.put("keyed.servers", e.id, e.entry(e.state))
	return ok
}

// beats writes the entry at each heartbeat. An entry that the store didn't take is written again soon.
func (e *engine) beats(ctx context.Context) {
	pause := heartbeat
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = heartbeat
		if !e.beat() {
			pause = 300 * time.Millisecond
		}
	}
}

// setState makes the engine state something else from now on, and reports when the store has acknowledged it.
func (e *engine) setState(state string) (acknowledged time.Time) {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	for !e.beat() {
		time.Sleep(50 * time.Millisecond)
	}
	e.rec.say("engine %s: the store has acknowledged the state %q", e.id, state)
	return time.Now()
}

// ServeHTTP answers one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := w.Header()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		h.Set("Instance-Id", e.id)
		h.Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.onRequest != nil {
		e.onRequest(r)
	}
	id := r.Header.Get("Request-Id")
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.runs.add(run{request: id, engine: e.id, service: e.service, tenant: r.Header.Get("Tenant-Name"), path: r.URL.Path, at: time.Now()})
	e.rec.line("engine %s (%s) runs request %s, path %s, tenant %q", e.id, e.service, id, r.URL.Path, r.Header.Get("Tenant-Name"))
	e.mu.Lock()
	leaving := e.leaving || e.state == "draining"
	e.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	h.Set("Request-Id", id)
	h.Set("Response-Stamp", "stamp."+e.id+"."+id)
	if isStream(r.URL.Path) {
		e.stream(w, r, id)
		return
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, answerOf(id))
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	select {
	case <-time.After(e.reading):
	case <-r.Context().Done():
		return
	}
	for n := after + 1; n <= streamEvents; n++ {
		if _, err := io.WriteString(w, eventOf(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// isStream reports whether requests for a path get a stream.
func isStream(path string) bool { return strings.HasPrefix(path, "/stream/") }

// eventOf returns the nth event of the stream that answers a request.
func eventOf(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, request, n)
}

// streamOf returns the whole stream that answers a request.
func streamOf(request string) (text string) {
	for n := 1; n <= streamEvents; n++ {
		text += eventOf(request, n)
	}
	return text
}

// answerOf returns the body of the answer to a plain request.
func answerOf(request string) string { return "answer to " + request + "\n" }

func toJSON(v any) string {
	text, err := json.Marshal(v)
	must(err)
	return string(text)
}
