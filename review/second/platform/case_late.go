package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	lateBy       = 5900 * time.Millisecond // of "1 to 6 s later"
	lateInterval = 25 * time.Millisecond   // between two requests
	lateMachines = 3
	drainMs      = 2000
)

// lateCase loses the answer of one write of a server's entry, which the store carries out 5.9 s later, after the server has reported that it is draining.
// DRAIN: a request reaches the server later than drainMs after that report was acknowledged, by a store that has been stable for contactMs.
func lateCase(r *record, trouble bool) (held bool, err error) {
	f, err := newFleet(r, lateMachines, 284)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.store.put("keyed.op", "config", configuration(1, usualLimits(), route{"read", "idempotent", "app", 5000, 2}))
	for n := range 3 {
		if _, err := f.addServer(fmt.Sprint("i-", n+1), "app", "v1", plain); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	leaver := f.servers[0]
	if trouble {
		leaver.beatLate(lateBy)
	}
	lostAt := time.Now()
	requests := f.requestAll()
	time.Sleep(time.Until(lostAt.Add(3300 * time.Millisecond))) // contactMs after the loss, the store counts as stable.
	leaver.setState("draining")
	drainingAt := time.Now()
	r.line("server %s reports draining, acknowledged; it goes on serving", leaver.id)
	time.Sleep(time.Until(lostAt.Add(lateBy + 2*time.Second)))
	requests()
	f.mu.Lock()
	defer f.mu.Unlock()
	late, all := 0, 0
	for _, run := range f.runs {
		after := run.at.Sub(drainingAt)
		if run.server != leaver.id {
			continue
		}
		all++
		if after > drainMs*time.Millisecond {
			late++
			r.line("%s reached %s %d ms after the acknowledgement of draining", run.request, leaver.id, after.Milliseconds())
		}
	}
	r.line("%d of %d requests at %s came later than drainMs", late, all, leaver.id)
	fmt.Printf("%d of %d requests came later than drainMs\n", late, all)
	if all == 0 {
		return false, fmt.Errorf("the server got no request before it left")
	}
	return late == 0, nil
}

// requestAll sends requests to all routers in turn until the returned function is called, which waits for their answers.
func (f *fleet) requestAll() (stop func()) {
	stopped := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		for n := 0; ; n++ {
			address := f.front(f.routers[n%len(f.routers)])
			all.Go(func() {
				f.note(f.send(address, http.MethodGet, "/read/x", fmt.Sprint("read-", n), 5*time.Second, "Connection: close\r\n", nil))
			})
			select {
			case <-stopped:
				return
			case <-time.After(lateInterval):
			}
		}
	})
	return func() { close(stopped); all.Wait() }
}
