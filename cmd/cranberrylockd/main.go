package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crlcommand"
	"github.com/cranberrylock/cranberrylock/crldaemon"
	"github.com/cranberrylock/cranberrylock/crlsettings"
)

type options struct {
	Settings      string `long:"settings" description:"settings file of this daemon" required:"yes"`
	CheckSettings bool   `long:"check-settings" description:"check the settings file and exit"`
	Verbosity     int    `short:"v" long:"verbosity" description:"log verbosity" default:"0"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	// By default a write to standard output or standard error ends the process when the reader of that pipe has gone.
	signal.Ignore(syscall.SIGPIPE)
	var o options
	if exit, ok := crlcommand.Parse(&o, arguments); !ok {
		return exit
	}
	settings, err := loadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return crlcommand.ExitUsage
	}
	if o.CheckSettings {
		fmt.Printf("%s: settings of daemon %s are valid\n", o.Settings, settings.Name)
		return crlcommand.ExitDone
	}
	setVerbosity(o.Verbosity)
	defer klog.Flush()
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := crldaemon.Serve(context.Background(), stop, settings); err != nil {
		klog.Errorf("daemon: %s ended with an error: %v", settings.Name, err)
		return crlcommand.ExitFailure
	}
	return crlcommand.ExitDone
}

// loadSettings reads and checks a settings file.
func loadSettings(path string) (*crlsettings.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return crlsettings.Parse(path, content)
}

// setVerbosity sets the verbosity of klog. A flag is klog's only interface for that.
func setVerbosity(level int) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("v", fmt.Sprint(level))
}
