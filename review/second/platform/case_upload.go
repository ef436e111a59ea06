package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// uploadCase lowers a route's timeoutMs by a configuration, below the time for which clients send their bodies. DENIED: more than 5 + one in 500 requests
// are ended with a 4xx of the router's own.
func uploadCase(r *record, trouble bool) (held bool, err error) {
	f, err := newFleet(r, 3, 284)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.store.put("keyed.op", "config", configuration(1, usualLimits(), route{"file", "non_idempotent", "app", 20000, 1}))
	for n := range 3 {
		if _, err := f.addServer(fmt.Sprint("i-", n+1), "app", "v1", plain); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.store.put("keyed.op", "config", configuration(2, usualLimits(), route{"file", "non_idempotent", "app", 1000, 1}))
		r.line("operator: configuration 2 lowers timeoutMs from 20000 to 1000, acknowledged")
		time.Sleep(4 * time.Second)
	}
	total, denied := 0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for n := range 30 {
		address := f.front(f.routers[n%len(f.routers)])
		all.Go(func() {
			a := f.send(address, http.MethodPost, "/file/x", fmt.Sprint("upload-", n), 10*time.Second, "Content-Length: 15000\r\n", func(c io.Writer) error {
				for range 15 {
					if _, err := io.WriteString(c, strings.Repeat("x", 1000)); err != nil {
						return err
					}
					time.Sleep(100 * time.Millisecond)
				}
				return nil
			})
			f.note(a)
			mu.Lock()
			defer mu.Unlock()
			total++
			if a.status >= 300 && a.status < 500 && a.stamp == "" && a.status != 408 && a.status != 421 && a.status != 429 {
				denied++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	r.line("%d of %d", denied, total)
	fmt.Println(denied, total)
	return denied <= 5+total/500, nil
}
