//go:build review

// Command superseded orders a roll-out of a bad version and, while it runs, one back to the version before,
// or to the good version that the variable SECOND names. It counts the requests that reach the bad one.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
	"github.com/cranberrylock/cranberrylock/review/third/platform/rig"
)

const (
	routers       = 3
	perSecond     = 60               // requests
	rolloutTime   = 24 * time.Second // overS of the orders
	supersededIn  = 2 * time.Second  // from the first order to the second
	startTime     = 300 * time.Millisecond
	exposeShare   = 0.15
	exposeSlack   = 30
	rollbackBound = 5 * time.Second
	badAnswers    = 50 // from the last of which rollbackBound counts
	failsIn       = 3  // a third of the answers of v2 are failures
	statusTopic   = "keyed.status"
	orderKey      = "rollout/" + standin.Service
	transit       = 500 * time.Millisecond // longest time that a request is under way to a server
	drainAfter    = 3 * time.Second        // from rolled_back until the new servers drain
	removeAfter   = 3 * time.Second        // from draining until their entries are removed
	serversOfEach = 3
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
	all := make(map[string][]*rig.Engine) // by version
	start := func(version string, failsIn int) error {
		for n := range serversOfEach {
			e, err := r.StartEngine(rig.EngineConfig{
				ID: fmt.Sprintf("i-%s-%d", version, n+1), Service: standin.Service, Zone: fmt.Sprintf("zone-%c", 'a'+n%2), Version: version,
				Work: 20 * time.Millisecond, FailsIn: failsIn,
			})
			if err != nil {
				return err
			}
			all[version] = append(all[version], e)
		}
		return nil
	}
	order := func(version string) time.Time {
		r.Store.Put(standin.ConfigurationTopic, orderKey, rig.JSON(map[string]any{
			"service": standin.Service, "target": version, "overS": rolloutTime.Seconds(),
		}))
		r.Note("operator: the store has acknowledged the order of a roll-out to %s over %s", version, rolloutTime)
		return time.Now()
	}
	if err := errors.Join(start("v1", 0), r.StartRouters(routers)); err != nil {
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
					Path: []string{"/read/x", "/file/x"}[n%2], ID: fmt.Sprintf("r-%d", n), Key: "key-1", Deadline: 2 * time.Second,
				})
			}
		}
	}()
	time.Sleep(8 * time.Second)
	ordered := order("v2")
	deadline := ordered.Add(rolloutTime)
	time.Sleep(startTime)
	if err := start("v2", failsIn); err != nil {
		return rig.Failed, err
	}
	time.Sleep(time.Until(ordered.Add(supersededIn)))
	if os.Getenv("TROUBLE") != "0" {
		r.Note("status when the second order is written: %s", r.Store.Newest(statusTopic, orderKey))
		second := cmp.Or(os.Getenv("SECOND"), "v1")
		order(second)
		time.Sleep(startTime)
		if len(all[second]) == 0 {
			if err := start(second, 0); err != nil {
				return rig.Failed, err
			}
		}
	}
	for rolledBack := false; time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		status := r.Store.Newest(statusTopic, orderKey)
		if !rolledBack && strings.Contains(status, "rolled_back") && strings.Contains(status, "v2") {
			rolledBack = true
			r.Note("operator: reads %s", status)
			time.AfterFunc(drainAfter, func() {
				for _, e := range all["v2"] {
					e.SetState("draining")
					time.AfterFunc(removeAfter, e.Leave)
				}
			})
		}
	}
	close(stop)
	time.Sleep(100 * time.Millisecond)
	statuses := make(map[int]int)
	for _, a := range callers.Wait() {
		statuses[a.Status]++
	}
	total, counts := 0, make(map[string]int)
	for version, engines := range all {
		for _, e := range engines {
			counts[version] += e.Arrivals(ordered, deadline)
		}
		total += counts[version]
	}
	limit := exposeShare*float64(total) + exposeSlack
	r.Note("statuses that callers got: %v; newest status of the roll-out: %s", statuses, r.Store.Newest(statusTopic, orderKey))
	r.Note("requests that reached the service between the order of v2 and its deadline: %v, %d in all; v2 may get %.0f", counts, total, limit)
	var failures []time.Time
	for _, e := range all["v2"] {
		failures = append(failures, e.Failures()...)
	}
	slices.SortFunc(failures, time.Time.Compare)
	late := 0
	if len(failures) >= badAnswers {
		from := failures[badAnswers-1].Add(rollbackBound + transit)
		for _, e := range all["v2"] {
			late += e.Arrivals(from, deadline)
		}
		r.Note("the %d. bad answer of v2 came %s after its order; v2 got %d requests later than %s after that",
			badAnswers, failures[badAnswers-1].Sub(ordered), late, rollbackBound)
	}
	fmt.Printf("%v of %d, allowed %.0f; %d bad answers, %d late requests; statuses %v\n", counts, total, limit, len(failures), late, statuses)
	if float64(counts["v2"]) > limit || late > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
