//go:build review

// Command limits raises the limit on headers by a new version of the configuration, and then sends requests whose headers are within the new limit.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
	"github.com/cranberrylock/cranberrylock/review/third/platform/rig"
)

const (
	routers     = 2
	perSecond   = 40 // requests
	lowLimit    = "8192"
	highLimit   = "32768"
	promptParts = 1000            // in the header of a long request, 16 bytes each: about half of the new limit
	settleTime  = 5 * time.Second // from the acknowledgement of the new version until long requests are sent, more than configMs
	longTime    = 20 * time.Second
	allowed     = 5         // denials
	allowedPart = 1 / 500.0 // further denials, as a part of all requests
)

func main() {
	code, err := run()
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}

// configuration returns a version of the configuration with a limit on the bytes of headers.
func configuration(version int, headerBytes string) string {
	return strings.Replace(standin.Configuration(version, []string{"key-1"}), `"maxHeaderBytes":16384`, `"maxHeaderBytes":`+headerBytes, 1)
}

func run() (code int, err error) {
	r, err := rig.New()
	if err != nil {
		return rig.Failed, err
	}
	defer r.Close()
	first := lowLimit
	if os.Getenv("TROUBLE") == "0" {
		first = highLimit
	}
	r.Store.Put(standin.ConfigurationTopic, standin.ConfigurationKey, configuration(1, first))
	for n := range 3 {
		_, startErr := r.StartEngine(rig.EngineConfig{
			ID: fmt.Sprintf("i-%d", n+1), Service: standin.Service, Zone: fmt.Sprintf("zone-%c", 'a'+n%2), Version: "v1", Work: 20 * time.Millisecond,
		})
		err = errors.Join(err, startErr)
	}
	if err = errors.Join(err, r.StartRouters(routers)); err != nil {
		return rig.Failed, err
	}
	short, long := r.NewCallers(), r.NewCallers()
	send := func(callers *rig.Callers, prefix string, parts int, length time.Duration) {
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			callers.Call(r.Routers()[n%routers], rig.Request{
				Path: []string{"/read/x", "/file/x"}[n/routers%2], ID: fmt.Sprintf("%s-%d", prefix, n), Key: "key-1", Deadline: 2 * time.Second, Parts: parts,
			})
			time.Sleep(time.Second / perSecond)
		}
	}
	send(short, "short", 3, 3*time.Second)
	if os.Getenv("TROUBLE") != "0" {
		r.Store.Put(standin.ConfigurationTopic, standin.ConfigurationKey, configuration(2, highLimit))
		r.Note("operator: the store has acknowledged version 2 of the configuration, with maxHeaderBytes %s in place of %s", highLimit, lowLimit)
	}
	send(short, "settle", 3, settleTime)
	send(long, "long", promptParts, longTime)
	statuses, denied, all := make(map[string]int), 0, 0
	for _, callers := range []*rig.Callers{short, long} {
		for _, a := range callers.Wait() {
			kind, _, _ := strings.Cut(a.Request, "-")
			statuses[fmt.Sprintf("%s %d", kind, a.Status)]++
			all++
			if a.Status >= http.StatusMultipleChoices && a.Status < http.StatusInternalServerError && a.Stamp == "" {
				denied++
			}
		}
	}
	limit := allowed + allowedPart*float64(all)
	r.Note("answers by kind of request and status: %v; %d of %d requests got a 3xx or 4xx without an engine's stamp, %.1f are allowed", statuses, denied, all, limit)
	fmt.Printf("%v; %d of %d denied, allowed %.1f\n", statuses, denied, all, limit)
	if float64(denied) > limit {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
