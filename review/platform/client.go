package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is a request of a client with its outcome.
type call struct {
	request, router, path, key string
	sent, ended                time.Time
	status                     int // 0 without an answer
	stamped, whole             bool
	failure                    string
}

// clients sends requests and keeps their outcomes.
type clients struct {
	rec    *recorder
	number atomic.Int64
	mu     sync.Mutex // guards calls
	calls  []call
}

const (
	plainDeadline  = time.Second
	streamDeadline = 8 * time.Second
)

// send sends one request to a router on a connection of its own.
func (c *clients) send(r *router, method, path, key string) call {
	k := call{request: fmt.Sprintf("r%06d", c.number.Add(1)), router: r.name, path: path, key: key, sent: time.Now()}
	c.rec.line("request %s to %s: %s %s, key %s", k.request, r.name, method, path, key)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	deadline, want := plainDeadline, answerOf(k.request)
	if isStream(path) {
		deadline, want = streamDeadline, streamOf(k.request)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("content of " + k.request)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.address(frontPort)+path, body)
	must(err)
	request.Host = host
	request.Header.Set("Request-Id", k.request)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if isStream(path) {
		request.Header.Set("Model", "*")
		request.Header.Set("Token-Counts", "600,120")
		request.Header.Set("Prompt-Prefix", k.request[1:]+":600")
	}
	request.Header.Set("Authorization", "Token "+key)
	response, err := transport.RoundTrip(request)
	if err == nil {
		content, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		k.status, k.stamped = response.StatusCode, response.Header.Get("Response-Stamp") != ""
		k.whole = readErr == nil && string(content) == want
		if readErr != nil {
			k.failure = readErr.Error()
		} else if !k.whole {
			k.failure = strings.TrimSpace(string(content[:min(len(content), 60)]))
		}
	} else {
		k.failure = err.Error()
	}
	k.ended = time.Now()
	c.rec.line("request %s ends: status %d, signed %t, whole %t %s", k.request, k.status, k.stamped, k.whole, k.failure)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, k)
	return k
}

func (c *clients) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.calls...)
}

// load sends requests to all routers in turn until ctx ends, one each interval.
func (c *clients) load(ctx context.Context, w *world, interval time.Duration, method, path, key string) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		r := w.routers[n%len(w.routers)]
		open.Go(func() { c.send(r, method, path, key) })
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}
