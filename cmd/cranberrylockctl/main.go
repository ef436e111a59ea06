package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/cranberrylock/cranberrylock/crlcommand"
)

// exitRejected is the exit code when the fleet did not take a configuration.
const exitNotAccepted = 3

// options are common to every command.
type options struct {
	Daemon string `long:"daemon" description:"admin address of any daemon" default:"127.0.0.1:8081"`
	JSON   bool   `long:"json" description:"print JSON"`

	Check  checkCommand  `command:"check" description:"check a configuration file without applying it" long-description:"Reads FILE and prints every problem as FILE:LINE: [SECTION]: MESSAGE. It calls no daemon."`
	Apply  applyCommand  `command:"apply" description:"put a whole configuration file in force" long-description:"Checks FILE, publishes it as a whole and waits for the verdict. FILE is accepted only if the configuration that it was made from, its base, is still in force. Then it waits until every daemon confirms and names those that have not."`
	Status statusCommand `command:"status" description:"show a daemon and the configuration of each of its peers" long-description:"Shows whether the daemon takes new work, how old the proof of its configuration is, and the offset of the configuration that each of its peers has in force."`
	Bills  billsCommand  `command:"bills" description:"show what was billed, by organisation and version" long-description:"Sums the bills that the log holds. Each request counts once; repeats are counted as dropped."`
	Burn   burnCommand   `command:"burn" description:"show the service-level burn of the fleet by organisation and class"`
}

// exitCodes ends the help text.
const exitCodes = "Exit codes: 0 done, 1 failed or not confirmed by every daemon, 2 wrong usage, 3 not accepted."

// rejectedError reports that the fleet did not take a configuration.
type notAcceptedError struct{ reason string }

// Error describes the rejection in one line.
func (e *notAcceptedError) Error() string { return e.reason }

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	o.Check.options, o.Apply.options, o.Status.options, o.Bills.options, o.Burn.options = &o, &o, &o, &o, &o
	parser := flags.NewNamedParser("cranberrylockctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = exitCodes
	if _, err := parser.AddGroup("Application Options", "", &o); err != nil {
		panic(fmt.Sprintf("declared options: %v", err))
	}
	_, err := parser.ParseArgs(arguments)
	var wrong *flags.Error
	var rejected *notAcceptedError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &wrong):
		fmt.Fprintln(os.Stderr, err)
		return crlcommand.ExitUsage
	case errors.As(err, &rejected):
		fmt.Fprintln(os.Stderr, err)
		return exitNotAccepted
	default:
		fmt.Fprintln(os.Stderr, err)
		return crlcommand.ExitFailure
	}
}
