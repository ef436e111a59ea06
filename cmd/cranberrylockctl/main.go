package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/cranberrylock/cranberrylock/crlcommand"
)

// exitNotAccepted is the exit code when a configuration was refused, by the checker or by the fleet.
const exitNotAccepted = 3

// options are the flags common to all commands, and the commands.
type options struct {
	Daemon string `long:"daemon" description:"admin address (HOST:PORT) of any daemon" default:"127.0.0.1:8081"`
	JSON   bool   `long:"json" description:"print JSON instead of text"`

	Check        checkCommand        `command:"check" description:"check a configuration file without applying it" long-description:"Reads FILE and prints every problem as FILE:LINE: [SECTION]: MESSAGE. It calls no daemon."`
	CheckRouting checkRoutingCommand `command:"check-routing" description:"check a platform's configuration of the router, and compare it with the one in force" long-description:"Reads FILE and IN-FORCE, both in the platform's form, and prints every finding on FILE as FILE:LINE:COLUMN: RULE: PART: MESSAGE, and every difference from IN-FORCE. API keys are not printed. It calls no daemon. Exit codes: 0 no findings, 1 findings, 2 wrong usage or unreadable input."`
	Apply        applyCommand        `command:"apply" description:"replace the configuration in force by a file" long-description:"Checks FILE, publishes it and waits for the verdict. FILE is accepted only if its base, the configuration that it was made from, is still in force. If FILE is accepted, apply waits until every daemon has it in force, and names the daemons that have not confirmed that in time."`
	Status       statusCommand       `command:"status" description:"show the state of a daemon, and which configuration every daemon has in force" long-description:"Shows whether the daemon accepts new requests, how long ago its configuration was confirmed current, and the offset of the configuration that every daemon has in force."`
	Bills        billsCommand        `command:"bills" description:"show what was billed, by organisation and version" long-description:"Sums the bills in the log. Each request counts once; repeated bills of a request are counted as dropped duplicates."`
	Burn         burnCommand         `command:"burn" description:"show the burn rates of error budgets, by organisation and class"`
}

// exitCodes ends the help text.
const exitCodes = "Exit codes: 0 done, 1 failed or not confirmed by every daemon, 2 wrong usage, 3 not accepted."

// notAcceptedError reports that a configuration was refused, by the checker or by the fleet.
type notAcceptedError struct{ reason string }

// Error returns the reason.
func (e *notAcceptedError) Error() string { return e.reason }

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	o.Check.options, o.CheckRouting.options, o.Apply.options, o.Status.options, o.Bills.options, o.Burn.options = &o, &o, &o, &o, &o, &o
	parser := flags.NewNamedParser("cranberrylockctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = exitCodes
	if _, err := parser.AddGroup("Application Options", "", &o); err != nil {
		panic(fmt.Sprintf("add the declared options to the parser: %v", err))
	}
	_, err := parser.ParseArgs(arguments)
	var wrong *flags.Error
	var notAccepted *notAcceptedError
	var unreadable *unreadableError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &wrong):
		fmt.Fprintln(os.Stderr, err)
		return crlcommand.ExitUsage
	case errors.As(err, &unreadable):
		fmt.Fprintln(os.Stderr, err)
		return crlcommand.ExitUsage
	case errors.As(err, &notAccepted):
		fmt.Fprintln(os.Stderr, err)
		return exitNotAccepted
	default:
		fmt.Fprintln(os.Stderr, err)
		return crlcommand.ExitFailure
	}
}
