// Command standin plays a case of the review: routers as processes against stand-ins of the platform.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// host is the host of all routes.
const host = "review.example"

// world is what a case plays in.
type world struct {
	rec       *recorder
	store     *store
	runs      *runLog
	clients   *clients
	engines   []*engine
	routers   []*router
	temporary string
	trouble   bool // whether the disruption is played
	// linkDelay is the time that the first router's calls to the other ones named in its settings take one way; 0 for no delay.
	linkDelay time.Duration
}

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*world) bool{
	"store-from-copy": storeFromCopy,
	"foreign-entry":   foreignEntry,
	"late-entry":      lateEntry,
	"reader-restarts": readerRestarts,
	"large-bodies":    largeBodies,
	"two-slashes":     twoSlashes,
	"raised-limit":    raisedLimit,
}

func main() { os.Exit(play()) }

func play() (exit int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	w := &world{rec: rec, store: newStore(rec), runs: new(runLog), temporary: temporary, trouble: os.Getenv("TROUBLE") != "0"}
	w.clients = &clients{rec: rec}
	defer rec.close()
	defer func() {
		for _, r := range w.routers {
			r.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temporary)
		} else {
			fmt.Println("kept", temporary)
		}
	}()
	defer func() {
		if failure := recover(); failure != nil {
			c, ok := failure.(cannotRun)
			if !ok {
				panic(failure)
			}
			rec.say("the case can't run: %v", c.cause)
			exit = 2
		}
	}()
	rec.say("trouble is played: %t", w.trouble)
	if cases[os.Args[1]](w) {
		rec.say("BROKEN")
		return 1
	}
	rec.say("held")
	return 0
}

// operator writes a configuration and returns when the store acknowledged it.
func (w *world) putConfig(c config) acknowledged {
	offset, ok := w.store.put("keyed.op", "config", c.json())
	if !ok {
		panic(cannotRun{fmt.Errorf("the store didn't take configuration %d", c.version)})
	}
	a := acknowledged{at: now(), offset: offset}
	w.rec.say("operator: configuration %d is acknowledged at offset %d, keys %v, routes %v", c.version, offset, c.keys, c.routes)
	return a
}
