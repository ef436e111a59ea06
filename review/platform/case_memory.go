package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryMB is limits.memoryMb of the routers' settings.
const memoryMB = 284

// watchMemory does what the platform does: it kills the process of a router that exceeds its memory, and starts it again.
func (w *world) watchMemory(ctx context.Context, r *router) (peak, kills *int) {
	peak, kills = new(int), new(int)
	go func() {
		for ctx.Err() == nil {
			mb := residentMB(r.process.Process.Pid)
			*peak = max(*peak, mb)
			if mb > memoryMB {
				w.rec.say("router %s has %d MB, over its %d MB: the platform kills it", r.name, mb, memoryMB)
				*kills++
				r.signal(syscall.SIGKILL)
				<-r.exited
				time.Sleep(time.Second)
				r.start()
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return peak, kills
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// largeBodies plays many users who come at once with large prompts, each within the limit on bodies that the configuration states.
func largeBodies(w *world) bool {
	const (
		baseClients  = 44
		burstClients = 74 // 1.7 times as many, which is the largest burst of the site
		bodyBytes    = 4_000_000
		beforeBurst  = 4 * time.Second
		burstLength  = 3 * time.Second
		afterBurst   = 4 * time.Second
		clientsStart = 30 * time.Millisecond  // time between the starts of two clients
		readingTime  = 300 * time.Millisecond // time for which an engine reads a prompt
	)
	w.putConfig(config{version: 3, keys: map[string][]string{"firm-a": {"key-a1"}}, routes: []route{{"/stream/", "stream", "models"}}})
	for n, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		w.startEngine("i-models-"+string(rune('1'+n)), "models", zone).reading = readingTime
	}
	w.startRouters("zone-a", "zone-b")
	ctx, stop := context.WithTimeout(context.Background(), beforeBurst+burstLength+afterBurst)
	defer stop()
	r := w.routers[0]
	peak, kills := w.watchMemory(ctx, r)
	u := &uploaders{world: w, router: r, body: strings.Repeat("x", bodyBytes), outcomes: make(map[string]int)}
	for range baseClients {
		u.open.Go(func() { u.run(ctx) })
		time.Sleep(clientsStart)
	}
	w.rec.say("%d clients send requests of %d bytes", baseClients, bodyBytes)
	time.Sleep(beforeBurst - baseClients*clientsStart)
	if w.trouble {
		const extra = burstClients - baseClients
		w.rec.say("%d more clients come for %s; peak so far %d MB", extra, burstLength, *peak)
		burst, end := context.WithTimeout(ctx, burstLength)
		defer end()
		for range extra {
			u.open.Go(func() { u.run(burst) })
		}
	}
	u.open.Wait()
	w.rec.say("outcomes %v; router %s: peak %d MB of %d MB, killed %d times; %d requests from kept connections had been passed on and got no answer",
		u.outcomes, r.name, *peak, memoryMB, *kills, u.lost)
	return u.lost > 3
}

// uploaders are clients that send requests with large bodies on connections that they keep.
type uploaders struct {
	world    *world
	router   *router
	body     string
	open     sync.WaitGroup
	number   atomic.Int64
	mu       sync.Mutex // guards the fields below
	outcomes map[string]int
	lost     int // requests from kept connections that an engine ran and whose connection ended without an answer
}

// run sends one request after the other until ctx ends.
func (u *uploaders) run(ctx context.Context) {
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for kept := false; ctx.Err() == nil; {
		id := fmt.Sprintf("c%05d", u.number.Add(1))
		outcome := u.world.post(transport, u.router, id, "/stream/1", u.body)
		u.mu.Lock()
		u.outcomes[outcome]++
		if kept && outcome == outcomeNone && len(u.world.runs.byRequest()[id]) > 0 {
			u.lost++
		}
		u.mu.Unlock()
		if kept = outcome != outcomeNone && outcome != outcomeCut; !kept {
			time.Sleep(time.Second)
		}
	}
}

// Outcomes of requests that got no whole answer.
const (
	outcomeNone = "no answer"
	outcomeCut  = "answer cut off"
)

// post sends one request and returns its outcome: a status, or one of the constants.
func (w *world) post(transport *http.Transport, r *router, id, path, content string) (outcome string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.address(frontPort)+path, strings.NewReader(content))
	must(err)
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "20000")
	request.Header.Set("Authorization", "Token key-a1")
	request.Header.Set("Model", "*")
	request.Header.Set("Token-Counts", "6000,120")
	request.Header.Set("Prompt-Prefix", id[1:]+":6000")
	request.GetBody = nil
	w.rec.line("request %s to %s: POST %s, %d bytes", id, r.name, path, len(content))
	response, err := transport.RoundTrip(request)
	if err != nil {
		w.rec.line("request %s ends: %v", id, err)
		return outcomeNone
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	w.rec.line("request %s ends: status %d, error %v", id, response.StatusCode, err)
	if err != nil {
		return outcomeCut
	}
	return fmt.Sprint(response.StatusCode)
}
