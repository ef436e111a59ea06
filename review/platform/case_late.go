package main

import (
	"context"
	"net/http"
	"time"
)

// lateEntry plays an entry whose write the store carries out late, after it gave no answer to it: meanwhile the engine has announced that it leaves.
func lateEntry(w *world) bool {
	const drainBound = 2 * time.Second
	w.putConfig(config{version: 3, keys: map[string][]string{"firm-a": {"key-a1"}}, routes: []route{{"/lookup/", "idempotent", "app"}}})
	var leaving *engine
	for n, zone := range []string{"zone-a", "zone-b", "zone-a", "zone-b", "zone-a"} {
		leaving = w.startEngine("i-app-"+string(rune('1'+n)), "app", zone)
	}
	w.startRouters("zone-a", "zone-b", "zone-a", "zone-b", "zone-a", "zone-b")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan struct{})
	go func() {
		w.clients.load(ctx, w, 100*time.Millisecond, http.MethodGet, "/lookup/1", "key-a1")
		close(done)
	}()
	time.Sleep(5 * time.Second)
	leaving.mu.Lock()
	late := leaving.entry("ready")
	leaving.mu.Unlock()
	w.rec.say("engine %s writes %s and gets no answer", leaving.id, late)
	lost := time.Now()
	time.Sleep(3100 * time.Millisecond)
	a := leaving.setState("draining")
	time.Sleep(time.Until(lost.Add(5900 * time.Millisecond)))
	if w.trouble {
		w.store.put("keyed.servers", leaving.id, late)
		w.rec.say("the store carries out the write that it did not answer")
	}
	time.Sleep(4 * time.Second)
	stop()
	<-done
	count := 0
	for _, r := range w.runs.all() {
		if r.engine == leaving.id && r.at.After(a.Add(drainBound)) {
			count++
		}
	}
	w.rec.say("%d requests ran at engine %s later than %.3f", count, leaving.id, w.rec.since(a.Add(drainBound)))
	return count > 0
}
