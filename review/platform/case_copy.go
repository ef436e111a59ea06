package main

import (
	"context"
	"net/http"
	"time"
)

// storeFromCopy plays a drill: the store is away for a second and comes back from a copy that is some seconds old. Some seconds later the operator
// takes a key away.
func storeFromCopy(w *world) bool {
	const revokeBound = 5 * time.Second
	lookup, filing := route{"/lookup/", "idempotent", "app"}, route{"/filing/", "non_idempotent", "app"}
	both := map[string][]string{"firm-a": {"key-a1", "key-a2"}, "firm-b": {"key-b1"}}
	revoked := map[string][]string{"firm-a": {"key-a1"}, "firm-b": {"key-b1"}}
	first := config{version: 3, routes: []route{lookup, filing}, keys: both}
	second := config{version: 5, routes: []route{lookup, filing, {"/tags/", "idempotent", "app"}}, keys: both}
	third := config{version: 8, routes: []route{lookup, filing, {"/tags/", "idempotent", "app"}, {"/forms/", "idempotent", "app"}}, keys: both}
	last := config{version: 9, routes: third.routes, keys: revoked}

	w.putConfig(first)
	for n, zone := range []string{"zone-a", "zone-b", "zone-a", "zone-b"} {
		w.startEngine("i-"+string(rune('1'+n)), "app", zone)
	}
	w.startRouters("zone-a", "zone-b", "zone-a")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan struct{})
	for _, l := range []struct{ method, path, key string }{
		{http.MethodGet, "/lookup/1", "key-a1"}, {http.MethodPost, "/filing/1", "key-b1"}, {http.MethodGet, "/lookup/2", "key-a2"},
	} {
		go func() {
			w.clients.load(ctx, w, 100*time.Millisecond, l.method, l.path, l.key)
			done <- struct{}{}
		}()
	}
	time.Sleep(3 * time.Second)
	copied := w.store.copy()
	w.rec.say("the copy is made; keyed.op ends at %d", w.store.end("keyed.op"))
	time.Sleep(time.Second)
	w.putConfig(second)
	time.Sleep(time.Second)
	w.putConfig(third)
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.store.leave()
		w.rec.say("the store is away")
		time.Sleep(time.Second)
		w.store.comeBack(&copied)
		w.rec.say("the store is back from the copy; keyed.op ends at %d", w.store.end("keyed.op"))
		time.Sleep(200 * time.Millisecond)
		w.putConfig(third) // The operator writes again what is lost: the newest configuration.
	} else {
		time.Sleep(1200 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	a := w.putConfig(last)
	time.Sleep(revokeBound + 6*time.Second)
	stop()
	for range 3 {
		<-done
	}
	return w.ranWithKey("key-a2", a.at.Add(revokeBound))
}

// ranWithKey reports whether a request with a key that was sent after a moment ran, and says how many.
func (w *world) ranWithKey(key string, after time.Time) bool {
	runs := w.runs.byRequest()
	sent, ran, statuses := 0, 0, make(map[int]int)
	for _, c := range w.clients.all() {
		if c.key != key || !c.sent.After(after) {
			continue
		}
		sent++
		statuses[c.status]++
		if len(runs[c.request]) > 0 {
			ran++
		}
	}
	w.rec.say("of %d requests with %s that were sent later than %.3f, %d ran; statuses %v", sent, key, w.rec.since(after), ran, statuses)
	return ran > 0
}
