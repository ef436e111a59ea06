package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberrylock/cranberrylock/crlcommand"
	"github.com/cranberrylock/cranberrylock/crlid"
)

type options struct {
	Configuration string `long:"configuration" description:"configuration file for the daemons" default:"examples/demo.ini"`
	Script        bool   `long:"script" description:"run a scenario, check each of its steps and exit, instead of serving until an interrupt"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	if exit, ok := crlcommand.Parse(&o, arguments); !ok {
		return exit
	}
	if err := runDemo(o); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return crlcommand.ExitFailure
	}
	return crlcommand.ExitDone
}

// runDemo starts the fleet and runs the scenario or, without --script, serves until an interrupt.
func runDemo(o options) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	fleet, err := startFleet(o.Configuration)
	if err != nil {
		return err
	}
	defer fleet.close()
	if o.Script {
		return fleet.runScenario(stop)
	}
	offset, err := fleet.publish(stop, crlid.NoOffset, fleet.environment.Content)
	if err != nil {
		return err
	}
	if err := retry(stop, func() error { return fleet.checkInForce(stop, offset) }); err != nil {
		return err
	}
	fleet.printUsage()
	<-stop.Done()
	return nil
}
