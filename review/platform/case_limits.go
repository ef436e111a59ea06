package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// raisedLimit plays a configuration that raises the limit on headers, and clients that stay within it.
func raisedLimit(w *world) bool {
	const configBound = 2 * time.Second
	routes := []route{{"/lookup/", "idempotent", "app"}}
	keys := map[string][]string{"firm-a": {"key-a1"}}
	w.putConfig(config{version: 3, keys: keys, routes: routes, headerBytes: 16384})
	w.startEngine("i-app-1", "app", "zone-a")
	w.startRouters("zone-a", "zone-b")
	time.Sleep(4 * time.Second)
	limit := 16384
	if w.trouble {
		limit = 65536
	}
	w.putConfig(config{version: 5, keys: keys, routes: routes, headerBytes: limit})
	time.Sleep(configBound + 4*time.Second)
	denied, statuses := 0, make(map[int]int)
	for n := range 40 {
		request, err := http.NewRequest(http.MethodGet, "http://"+w.routers[n%2].address(frontPort)+"/lookup/1", nil)
		must(err)
		request.Host = host
		request.Header.Set("Request-Id", fmt.Sprintf("r%03d", n))
		request.Header.Set("Deadline-Ms", "1000")
		request.Header.Set("Authorization", "Token key-a1")
		request.Header.Set("Note", strings.Repeat("x", limit-2000))
		response, err := http.DefaultTransport.RoundTrip(request)
		must(err)
		_ = response.Body.Close()
		statuses[response.StatusCode]++
		if response.StatusCode >= 400 && response.StatusCode < 500 {
			denied++
		}
		w.rec.line("request r%03d: status %d", n, response.StatusCode)
	}
	w.rec.say("statuses %v", statuses)
	return denied > 5
}
