package main

import (
	"context"
	"net/http"
	"time"
)

// foreignEntry plays another writer that writes entries of which fields are missing under the id of an engine.
func foreignEntry(w *world) bool {
	keys := map[string][]string{"firm-a": {"key-a1"}, "firm-b": {"key-b1"}}
	w.putConfig(config{version: 3, keys: keys, routes: []route{
		{"/lookup/", "idempotent", "app"}, {"/filing/", "non_idempotent", "app"}, {"/tags/", "idempotent", "models"},
	}})
	for n, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		w.startEngine("i-app-"+string(rune('1'+n)), "app", zone)
	}
	var foreign *engine
	for n, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		foreign = w.startEngine("i-models-"+string(rune('1'+n)), "models", zone)
	}
	w.startRouters("zone-a", "zone-b", "zone-a")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan struct{})
	loads := []struct{ method, path, key string }{
		{http.MethodGet, "/lookup/1", "key-a1"}, {http.MethodPost, "/filing/1", "key-b1"}, {http.MethodGet, "/tags/1", "key-a1"},
	}
	for _, l := range loads {
		go func() {
			w.clients.load(ctx, w, 50*time.Millisecond, l.method, l.path, l.key)
			done <- struct{}{}
		}()
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		// The entry lacks the fields slots, coldLeftMs and sequence.
		entry := toJSON(map[string]any{"service": "app", "addr": foreign.address, "zone": foreign.zone, "version": "v1", "state": "ready"})
		w.store.put("keyed.servers", foreign.id, entry)
		w.rec.say("another writer writes servers/%s: %s", foreign.id, entry)
	}
	time.Sleep(5 * time.Second)
	stop()
	for range loads {
		<-done
	}
	wrong, answered := 0, 0
	runs := w.runs.byRequest()
	for _, c := range w.clients.all() {
		for _, r := range runs[c.request] {
			if (c.path == "/tags/1") != (r.service == "models") {
				wrong++
				if c.status == http.StatusOK {
					answered++
				}
				w.rec.line("request %s to %s, path %s, ran at engine %s of service %s; status %d", c.request, c.router, c.path, r.engine, r.service, c.status)
			}
		}
	}
	w.rec.say("%d requests ran at an engine of a service to which their route doesn't lead; %d of them were answered with status 200", wrong, answered)
	return wrong > 0
}
