package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	shortGrace   = 4 // seconds
	longGrace    = 8
	graceStreams = 20
	streamEvents = 25 // at streamPause, so that a stream lasts 5 s
	streamPause  = 200 * time.Millisecond
)

// slowStream answers with a stream that lasts 5 s, or what is left of it after the event that the request names.
func slowStream(s *server, w http.ResponseWriter, r *http.Request) {
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, r.Header.Get("Request-Id"), n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			s.fleet.record.line("server %s: the connection of %s ended after event %d", s.id, r.Header.Get("Request-Id"), n)
			return
		case <-time.After(streamPause):
		}
	}
}

// graceCase changes graceS from 4 to 8 in the settings of one of three running routers, tells it by SIGHUP, and stops it by SIGTERM 6 s later while it has streams open that end well within the new time. LOST: around a SIGTERM, a process has passed a request on and its connection ends without a
// complete answer, although no server was at work on it in the last sixth of graceS.
func graceCase(r *record, trouble bool) (held bool, err error) {
	f, err := newFleet(r, 3, 284)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.grace = longGrace
	if trouble {
		f.grace = shortGrace
	}
	f.store.put("keyed.op", "config", configuration(1, usualLimits(), route{"draft", "stream", "models", 25000, 3}))
	for n := range 3 {
		if _, err := f.addServer(fmt.Sprint("i-", n+1), "models", "v1", slowStream); err != nil {
			return false, err
		}
	}
	stopped := f.routers[0]
	r.line("platform: the routers start with graceS = %d", f.grace)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.grace = longGrace
		if err := f.writeSettings(stopped); err != nil {
			return false, err
		}
		r.line("platform: the settings of %s state graceS = %d from now on; signal 1 to it", stopped.name, f.grace)
		_ = stopped.command.Process.Signal(syscall.SIGHUP)
	}
	time.Sleep(6 * time.Second)
	answers := make([]answer, graceStreams)
	var all sync.WaitGroup
	for n := range graceStreams {
		all.Go(func() {
			answers[n] = f.send(f.front(stopped), http.MethodPost, "/draft/x", fmt.Sprint("stream-", n), 20*time.Second,
				"Model: m0\r\nToken-Counts: 500,25\r\nContent-Length: 6\r\n", writeText("prompt"))
			f.note(answers[n])
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	termAt := time.Now()
	r.line("signal 15 to %s", stopped.name)
	_ = stopped.command.Process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() { _ = stopped.command.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(time.Duration(f.grace) * time.Second):
		r.line("signal 9 to %s, %d s after the other", stopped.name, f.grace)
		_ = stopped.command.Process.Kill()
		<-ended
	}
	after := time.Since(termAt)
	r.line("%s has ended, %.1f s after SIGTERM", stopped.name, after.Seconds())
	all.Wait()
	passedOn, lost := 0, 0
	for _, a := range answers {
		if f.ran(a.request) == 0 {
			continue
		}
		passedOn++
		if !a.complete {
			lost++
		}
	}
	r.line("%d streams were passed on to a server, %d of them ended without a complete answer", passedOn, lost)
	fmt.Printf("%d streams, %d cut off; the router ended %.1f s after SIGTERM, graceS is %d\n", passedOn, lost, after.Seconds(), f.grace)
	if passedOn < graceStreams/2 {
		return false, fmt.Errorf("only %d streams were passed on", passedOn)
	}
	return lost == 0, nil
}
