//go:build review

package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// Engine is a backend server that answers each request after Work.
type Engine struct {
	EngineConfig

	Address  string
	rig      *Rig
	mu       sync.Mutex // guards the fields below
	sequence int
	state    string    // empty once the server has left
	beat     time.Time // of the latest heartbeat
	arrivals []time.Time
	failures []time.Time // when answers with status 500 were sent
}

// EngineConfig configures an Engine.
type EngineConfig struct {
	ID, Service, Zone, Version string

	Work    time.Duration // of each request
	FailsIn int           // of so many requests one is answered with status 500; 0 for none
}

// StartEngine starts a backend server and announces it. It then announces itself every 1.2 s.
func (r *Rig) StartEngine(config EngineConfig) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{EngineConfig: config, Address: listener.Addr().String(), rig: r, state: "ready"}
	go func() { _ = http.Serve(listener, e) }()
	e.announce()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.announce()
		}
	}()
	return e, nil
}

// SetState announces a new state and returns when the store has it.
func (e *Engine) SetState(state string) {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	e.announce()
	e.rig.Note("%s: the store has acknowledged its state %q", e.ID, state)
}

func (e *Engine) announce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == "" {
		return
	}
	e.sequence++
	e.beat = time.Now()
	e.rig.Store.Put(standin.ServersTopic, e.ID, JSON(map[string]any{
		"service": e.Service, "addr": e.Address, "zone": e.Zone, "version": e.Version, "slots": 6, "state": e.state, "coldLeftMs": 0,
		"sequence": e.sequence, "born": e.rig.Start.UnixMilli(),
	}))
}

// ServeHTTP runs one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	if r.Header.Get("Expect-Instance") != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	count := len(e.arrivals)
	e.mu.Unlock()
	time.Sleep(e.Work)
	w.Header().Set("Response-Stamp", "stamp-"+e.ID)
	fails := e.FailsIn > 0 && count%e.FailsIn == 0
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
		e.mu.Lock()
		e.failures = append(e.failures, time.Now())
		e.mu.Unlock()
	}
	e.rig.Note("%s (%s): ran %s, failed: %v", e.ID, e.Version, request, fails)
	_, _ = fmt.Fprintf(w, "answer to %s\n", request)
}

// Leave removes the server's entry, as when it has ended.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = ""
	e.rig.Store.Put(standin.ServersTopic, e.ID, "")
	e.rig.Note("%s (%s): its entry is removed", e.ID, e.Version)
}

// Arrivals returns the number of requests that arrived in an interval.
func (e *Engine) Arrivals(from, to time.Time) (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.arrivals {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// Failures returns when answers with status 500 were sent.
func (e *Engine) Failures() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.failures...)
}

// WaitBeat waits for the next heartbeat.
func (e *Engine) WaitBeat() {
	before := time.Now()
	for {
		e.mu.Lock()
		beat := e.beat
		e.mu.Unlock()
		if beat.After(before) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
