//go:build review

// Command lateconfig has the store carry out an unanswered write of a configuration after a newer one has taken a key away, and then kills
// one router, or with RESTART=all all at once. It counts the requests with that key that run later than it is allowed.
package main

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
	"github.com/cranberrylock/cranberrylock/review/third/platform/rig"
)

const (
	routers     = 3
	perSecond   = 90                     // requests, half of them with the key that is taken away
	answerWait  = time.Second            // that the operator waits for an answer of the store
	lateBy      = 5 * time.Second        // from the sending of the unanswered write until the store carries it out
	killAfter   = time.Second            // from then until the kill
	restartTime = 500 * time.Millisecond // that the routers are down
	watchTime   = 10 * time.Second       // after the restart
	revokeBound = 5 * time.Second
	keptKey     = "key-a"
	takenKey    = "key-b"
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
	write := func(version int, keys ...string) {
		r.Store.Put(standin.ConfigurationTopic, standin.ConfigurationKey, standin.Configuration(version, keys))
	}
	write(3, keptKey, takenKey)
	for n := range 3 {
		_, startErr := r.StartEngine(rig.EngineConfig{
			ID: fmt.Sprintf("i-%d", n+1), Service: standin.Service, Zone: fmt.Sprintf("zone-%c", 'a'+n%2), Version: "v1", Work: 20 * time.Millisecond,
		})
		err = errors.Join(err, startErr)
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
				key := []string{keptKey, takenKey}[n/routers%2]
				callers.Call(r.Routers()[n%routers], rig.Request{Path: "/file/x", ID: fmt.Sprintf("%s-%d", key, n), Key: key, Deadline: 2 * time.Second})
			}
		}
	}()
	time.Sleep(4 * time.Second)
	sent := time.Now()
	r.Note("operator: sends version 5 of the configuration, with the keys %s and %s, and gets no answer", keptKey, takenKey)
	time.Sleep(answerWait)
	write(8, keptKey)
	revoked := time.Now()
	r.Note("operator: the store has acknowledged version 8, which takes %s away", takenKey)
	time.Sleep(time.Until(sent.Add(lateBy)))
	if os.Getenv("TROUBLE") != "0" {
		write(5, keptKey, takenKey)
		r.Note("store: carries out the unanswered write of version 5")
	}
	time.Sleep(killAfter)
	killed := r.Routers()[:1]
	if os.Getenv("RESTART") == "all" {
		killed = r.Routers()
	}
	for _, router := range killed {
		err = errors.Join(err, router.Signal(syscall.SIGKILL))
	}
	for _, router := range killed {
		<-router.Exited()
	}
	time.Sleep(restartTime)
	for _, router := range killed {
		err = errors.Join(err, router.Run())
	}
	for _, router := range killed {
		err = errors.Join(err, router.WaitReady(10*time.Second))
	}
	if err != nil {
		return rig.Failed, err
	}
	time.Sleep(watchTime)
	close(stop)
	time.Sleep(100 * time.Millisecond)
	statuses, late := make(map[string]int), 0
	var last time.Duration
	for _, a := range callers.Wait() {
		after := a.Sent.Sub(revoked)
		if after <= revokeBound {
			continue
		}
		key := a.Request[:len(takenKey)]
		statuses[fmt.Sprintf("%s %d", key, a.Status)]++
		if key == takenKey && a.Stamp != "" {
			late++
			last = max(last, after)
		}
	}
	r.Note("answers to requests sent later than %s after the acknowledgement of version 8, by key and status: %v; %d with %s ran, the last one sent %s after it",
		revokeBound, statuses, late, takenKey, last)
	fmt.Printf("%v; %d ran, the last one sent %s after the acknowledgement\n", statuses, late, last)
	if late > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
