package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// readerRestarts plays a router that is killed and starts again while engines leave whose entries are removed.
func readerRestarts(w *world) bool {
	const (
		drainBound = 2 * time.Second
		lingers    = 12 * time.Second       // time for which a leaving engine goes on serving
		down       = 500 * time.Millisecond // time between the end of a process and its next start
		removedFor = 100 * time.Millisecond // time before that start at which the entry of an engine is removed
	)
	w.linkDelay = 1400 * time.Microsecond // between two zones
	w.putConfig(config{version: 3, keys: map[string][]string{"firm-a": {"key-a1"}}, routes: []route{{"/stream/", "stream", "models"}}})
	zones := []string{"zone-a", "zone-b"}
	for n := range 14 {
		w.startEngine("i-models-"+fmt.Sprint(n+1), "models", zones[n%2])
	}
	w.startRouters("zone-a", "zone-b", "zone-a", "zone-b", "zone-a", "zone-b")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan struct{})
	go func() {
		w.clients.load(ctx, w, 100*time.Millisecond, http.MethodPost, "/stream/1", "key-a1")
		close(done)
	}()
	time.Sleep(12 * time.Second) // All routers have joined, and the first one is the first of the group.
	gone := make(map[string]time.Time)
	for n := range 8 {
		if w.trouble {
			w.routers[0].signal(syscall.SIGKILL)
			<-w.routers[0].exited
		}
		time.Sleep(down - removedFor)
		gone[w.engines[n].id] = w.engines[n].removeEntry(lingers)
		time.Sleep(removedFor)
		if w.trouble {
			w.routers[0].start()
		}
		time.Sleep(7500 * time.Millisecond)
	}
	stop()
	<-done
	return w.reachedLeaving(gone, drainBound)
}

// removeEntry makes the engine leave without stating so in its entry, which is removed. The engine goes on serving for a time. removeEntry reports
// when the store has acknowledged the removal.
func (e *engine) removeEntry(lingers time.Duration) (acknowledged time.Time) {
	e.mu.Lock()
	e.state, e.leaving = "", true
	e.mu.Unlock()
	e.store.put("keyed.servers", e.id, "")
	e.rec.say("engine %s leaves: its entry is removed", e.id)
	time.AfterFunc(lingers, func() {
		e.rec.say("engine %s ends", e.id)
		_ = e.server.Shutdown(context.Background())
	})
	return time.Now()
}

// reachedLeaving reports whether requests reached engines later than a bound after these had left, from routers that nothing was done to, and
// says how many.
func (w *world) reachedLeaving(gone map[string]time.Time, bound time.Duration) bool {
	calls := make(map[string]call)
	for _, c := range w.clients.all() {
		calls[c.request] = c
	}
	counts := make(map[string]int)
	total := 0
	for _, r := range w.runs.all() {
		at, ok := gone[r.engine]
		if c := calls[r.request]; ok && r.at.After(at.Add(bound)) && c.router != w.routers[0].name {
			total++
			counts[r.engine+" from "+c.router]++
			w.rec.line("request %s, sent to %s, reached engine %s %.3f s after its entry was removed", r.request, c.router, r.engine, r.at.Sub(at).Seconds())
		}
	}
	w.rec.say("%d requests reached an engine later than %s after its entry was removed, from routers that were never stopped: %v", total, bound, counts)
	return total > 0
}
