package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cranberrylock/cranberrylock/crlcommand"
	"github.com/cranberrylock/cranberrylock/crlsoak"
)

// routerCommand is the first argument of a process that is a router of a soak test; see crlsoak.RunRouter.
const routerCommand = "router"

type options struct {
	Program string        `long:"program" description:"binary of cranberrylock-router" required:"yes"`
	Seed    uint64        `long:"seed" description:"first seed; 0 derives one from the current time"`
	Seeds   int           `long:"seeds" description:"number of seeds" default:"1"`
	For     time.Duration `long:"for" description:"how long faults are injected for each seed" default:"15s"`
	Routers int           `long:"routers" description:"number of routers" default:"4"`
	Engines int           `long:"engines" description:"number of backend servers" default:"4"`
	Callers int           `long:"callers" description:"number of callers for each router" default:"4"`
	Logs    string        `long:"logs" description:"directory for settings and logs; kept for seeds that break a guarantee" default:"/tmp"`
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == routerCommand {
		if err := crlsoak.RunRouter(os.Args[2], os.Args[3:]); err != nil {
			fmt.Fprintf(os.Stderr, "router: %v\n", err)
			os.Exit(crlcommand.ExitFailure)
		}
		return
	}
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	var o options
	if exit, ok := crlcommand.Parse(&o, arguments); !ok {
		return exit
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().Unix())
	}
	exit := crlcommand.ExitDone
	for seed := o.Seed; seed < o.Seed+uint64(o.Seeds); seed++ {
		broken, err := runSeed(o, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
		}
		if broken || err != nil {
			exit = crlcommand.ExitFailure
		}
	}
	return exit
}

// maxAttempts limits how often a seed is run if the soak test's own process stalls in each run, so that none can be judged. A run
// that could be judged is never repeated.
const maxAttempts = 3

// runSeed runs one seed, prints its report and reports whether a guarantee was broken. It removes the logs if the run was judged
// and no guarantee was broken.
func runSeed(o options, seed uint64) (broken bool, err error) {
	directory := filepath.Join(o.Logs, fmt.Sprintf("soak-%d", seed))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return false, err
	}
	self, err := os.Executable()
	if err != nil {
		return false, fmt.Errorf("find the path of this program: %w", err)
	}
	config := crlsoak.Config{
		Program: o.Program, Through: []string{self, routerCommand}, Directory: directory, Seed: seed, For: o.For, Routers: o.Routers, Engines: o.Engines, Callers: o.Callers,
	}
	report, err := crlsoak.Run(config)
	var stall *crlsoak.StallError
	for attempt := 1; errors.As(err, &stall) && attempt < maxAttempts; attempt++ {
		fmt.Printf("seed %d: run can't be judged and is repeated: %v\n", seed, err)
		report, err = crlsoak.Run(config)
	}
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d requests, %d answered, faults %v, %d broken\n",
		seed, report.Requests, report.Answered, report.Faults, len(report.Violations))
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	if kept, err := report.KeepLogs(directory); err != nil || kept {
		return len(report.Violations) > 0, err
	}
	return false, nil
}
