package crlcommand

import (
	"errors"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the commands.
const (
	ExitDone    = 0
	ExitFailure = 1
	ExitUsage   = 2 // invalid arguments or settings
)

// Parse parses arguments into options, a pointer to a struct with go-flags tags. It prints help if that was asked for, or an
// error if the arguments are invalid; ok is then false, and the command should end at once with the code exit.
func Parse(options any, arguments []string) (exit int, ok bool) {
	_, err := flags.ParseArgs(options, arguments)
	var flagsError *flags.Error
	switch {
	case err == nil:
		return ExitDone, true
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		return ExitDone, false
	default:
		return ExitUsage, false
	}
}
