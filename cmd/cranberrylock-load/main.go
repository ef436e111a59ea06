package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cranberrylock/cranberrylock/crlcommand"
	"github.com/cranberrylock/cranberrylock/crlload"
)

type options struct {
	Runs  int           `long:"runs" description:"number of runs, each with the next seed" default:"1"`
	Pause time.Duration `long:"pause" description:"pause between two runs" default:"1s"`
	JSON  bool          `long:"json" description:"print JSON instead of a table"`
	Quiet bool          `long:"quiet" description:"print no progress"`

	Arguments struct {
		File string `positional-arg-name:"FILE" description:"experiment file"`
	} `positional-args:"yes" required:"yes"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	if exit, ok := crlcommand.Parse(&o, arguments); !ok {
		return exit
	}
	if err := o.runExperiment(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return crlcommand.ExitFailure
	}
	return crlcommand.ExitDone
}

// runExperiment runs the experiment Runs times, at least once, and writes the reports to standard output.
func (o options) runExperiment() error {
	content, err := os.ReadFile(o.Arguments.File)
	if err != nil {
		return fmt.Errorf("read experiment: %w", err)
	}
	experiment, err := crlload.Parse(o.Arguments.File, content)
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	var reports []crlload.Report
	for i := range max(o.Runs, 1) {
		if i > 0 {
			time.Sleep(o.Pause)
		}
		runner := crlload.NewRunner(crlload.RunnerConfig{
			Experiment: experiment, Seed: experiment.Seed + uint64(i), Progress: o.printProgress,
		})
		report, err := runner.Run(stop)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(reports)
	}
	return crlload.WriteTable(os.Stdout, reports)
}

// printProgress writes the state of a run to standard error.
func (o options) printProgress(p crlload.Progress) {
	if !o.Quiet {
		fmt.Fprintf(os.Stderr, "%s %s: %d started, %d open, %d failed\n",
			p.Phase, p.Elapsed.Round(time.Second), p.Started, p.Started-p.Ended, p.Failed)
	}
}
