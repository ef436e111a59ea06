package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// twoSlashes plays clients whose paths begin with two slashes, which the prefix / begins.
func twoSlashes(w *world) bool {
	w.putConfig(config{version: 3, keys: map[string][]string{"firm-a": {"key-a1"}}, routes: []route{
		{"/", "idempotent", "app"}, {"/filing/", "non_idempotent", "app"},
	}})
	var targets sync.Map // by request: the request line that the engine got
	for n, zone := range []string{"zone-a", "zone-b"} {
		e := w.startEngine("i-app-"+string(rune('1'+n)), "app", zone)
		e.onRequest = func(r *http.Request) {
			targets.Store(r.Header.Get("Request-Id"), r.RequestURI)
			w.rec.line("engine %s got request %s as %q, host %q, path %q", e.id, r.Header.Get("Request-Id"), r.RequestURI, r.Host, r.URL.Path)
		}
	}
	w.startRouters("zone-a", "zone-b")
	changed, ran := 0, 0
	for n := range 20 {
		target := "/pages/filing/" + fmt.Sprint(n) + "?part=1"
		if w.trouble {
			target = "/" + target
		}
		id := fmt.Sprintf("r%03d", n)
		status := w.rawGet(w.routers[n%2], id, target)
		got, ok := targets.Load(id)
		if ok {
			ran++
		}
		if ok && got != target {
			changed++
		}
		w.rec.line("request %s for %q: status %d, the engine got %v", id, target, status, got)
		time.Sleep(20 * time.Millisecond)
	}
	w.rec.say("%d of 20 requests ran; %d of them with another path than the client's", ran, changed)
	if ran == 0 {
		panic(cannotRun{fmt.Errorf("no request ran")})
	}
	return changed > 0
}

// rawGet sends a request with a target as it is written, and returns the status of the answer.
func (w *world) rawGet(r *router, id, target string) (status int) {
	connection, err := net.Dial("tcp", r.address(frontPort))
	must(err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1000\r\nAuthorization: Token key-a1\r\n\r\n", target, host, id)
	must(err)
	_ = connection.SetReadDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		w.rec.line("request %s: %s", id, strings.TrimSpace(err.Error()))
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
