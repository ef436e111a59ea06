// The stand-ins of the scripts of the second review: the platform with its store, servers and clients, all on loopback addresses. The routers are
// processes of the program that the deploy file builds.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestCase ends a case that hangs. Routers end with this process.
const longestCase = 110 * time.Second

// caseFunc runs a case and reports whether the rule held. trouble is false for a run without the disruption.
type caseFunc func(r *record, trouble bool) (held bool, err error)

func main() {
	// The kernel kills the routers when the thread that started them ends; the main thread lasts as long as this process.
	runtime.LockOSThread()
	cases := map[string]caseFunc{"grace": graceCase, "late": lateCase, "upload": uploadCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD-FILE, in the repository root; TROUBLE=0 leaves the disruption out")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r := &record{out: out, start: time.Now()}
	time.AfterFunc(longestCase, func() {
		r.line("not run: the case took more than %s", longestCase)
		os.Exit(exitNotRun)
	})
	r.line("case %s, with the disruption: %v", os.Args[1], trouble)
	held, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.line("not run: %v", err)
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	case !held:
		r.line("the rule is broken")
		fmt.Println("the rule is broken")
		os.Exit(exitBroken)
	}
	r.line("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// plain answers with one line.
func plain(_ *server, w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("Request-Id")+"\n")
}
