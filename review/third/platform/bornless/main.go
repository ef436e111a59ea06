//go:build review

// Command bornless has another writer write an entry that lacks a field under the id of a server that is draining. It counts the requests that reach
// the server later than it is allowed.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
	"github.com/cranberrylock/cranberrylock/review/third/platform/rig"
)

const (
	routers    = 3
	perSecond  = 60 // requests
	drainBound = 2 * time.Second
	writtenIn  = 2 * time.Second // from the acknowledgement of the draining entry; the other writer's entry follows the next heartbeat
	watchTime  = 6 * time.Second // from the acknowledgement, in which the server goes on serving
)

func main() {
	code, err := run()
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}

func run() (code int, err error) {
	r, err := rig.New()
	if err != nil {
		return rig.Failed, err
	}
	defer r.Close()
	r.Store.Put(standin.ConfigurationTopic, standin.ConfigurationKey, standin.Configuration(1, []string{"key-1"}))
	var engines []*rig.Engine
	for n := range 4 {
		e, startErr := r.StartEngine(rig.EngineConfig{
			ID: fmt.Sprintf("i-%d", n+1), Service: standin.Service, Zone: fmt.Sprintf("zone-%c", 'a'+n%2), Version: "v1", Work: 20 * time.Millisecond,
		})
		engines, err = append(engines, e), errors.Join(err, startErr)
	}
	if err = errors.Join(err, r.StartRouters(routers)); err != nil {
		return rig.Failed, err
	}
	callers := r.NewCallers()
	stop := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / perSecond):
				callers.Call(r.Routers()[n%routers], rig.Request{
					Path: []string{"/read/x", "/file/x"}[n/routers%2], ID: fmt.Sprintf("r-%d", n), Key: "key-1", Deadline: 2 * time.Second,
				})
			}
		}
	}()
	time.Sleep(8 * time.Second)
	leaving := engines[0]
	leaving.SetState("draining")
	acknowledged := time.Now()
	time.Sleep(writtenIn)
	leaving.WaitBeat() // The other writer's entry stays the newest until the next one.
	if os.Getenv("TROUBLE") != "0" {
		entry := rig.JSON(map[string]any{
			"service": leaving.Service, "addr": leaving.Address, "zone": leaving.Zone, "version": leaving.Version, "slots": 6, "state": "ready",
			"coldLeftMs": 0, "sequence": 1,
		})
		r.Store.Put(standin.ServersTopic, leaving.ID, entry)
		r.Note("another writer: writes %s under the id %s", entry, leaving.ID)
	}
	time.Sleep(time.Until(acknowledged.Add(watchTime)))
	close(stop)
	time.Sleep(100 * time.Millisecond)
	callers.Wait()
	late := leaving.Arrivals(acknowledged.Add(drainBound), time.Now())
	r.Note("%d requests reached %s later than %s after the acknowledgement that it is draining", late, leaving.ID, drainBound)
	fmt.Println(late, "requests reached the draining server too late")
	if late > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
