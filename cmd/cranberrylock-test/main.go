package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"

	"github.com/cranberrylock/cranberrylock/crlcommand"
	"github.com/cranberrylock/cranberrylock/crltest"
)

type options struct {
	KnownRed string `long:"known-red" description:"list of known failures" default:"KNOWN-RED.txt"`
	Quiet    bool   `long:"quiet" description:"don't print the known failures"`
	Rest     struct {
		Arguments []string `positional-arg-name:"GO-TEST-ARGUMENT"`
	} `positional-args:"yes"`
}

func main() {
	var o options
	if exit, ok := crlcommand.Parse(&o, os.Args[1:]); !ok {
		os.Exit(exit)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(crlcommand.ExitFailure)
	}
}

var errFailed = errors.New("tests failed")

// run runs the tests and prints their results.
func run(o options) error {
	list, err := os.ReadFile(o.KnownRed)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read known failures: %w", err)
	}
	entries := crltest.ParseKnownRed(string(list))
	passedOver := 0
	for _, e := range entries {
		if !o.Quiet {
			fmt.Printf("known red: %s: %s\n", e.Test, e.Seen)
		}
		if e.IsGoTest() {
			passedOver++
		}
	}
	arguments := append([]string{"test", "-json", "-skip", crltest.SkipPattern(entries)}, o.Rest.Arguments...)
	if !slices.ContainsFunc(o.Rest.Arguments, func(a string) bool { return !strings.HasPrefix(a, "-") }) {
		arguments = append(arguments, "./...")
	}
	command := exec.Command("go", arguments...)
	command.Stderr = os.Stderr
	results, err := command.StdoutPipe()
	if err != nil {
		return fmt.Errorf("read the results of go test: %w", err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("run go test: %w", err)
	}
	var summary crltest.Summary
	readErr := summary.Read(results, os.Stdout)
	err = command.Wait()
	fmt.Printf("known failures passed over: %d\n%s\n", passedOver, &summary)
	switch {
	case readErr != nil:
		return readErr
	case summary.HasFailed():
		return errFailed
	case err != nil:
		return fmt.Errorf("run go test: %w", err)
	default:
		return nil
	}
}
