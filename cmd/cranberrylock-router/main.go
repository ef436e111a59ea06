package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cranberrylock/cranberrylock/crlcommand"
	"github.com/cranberrylock/cranberrylock/crlforward"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlrouter"
	"github.com/cranberrylock/cranberrylock/platform"
)

type options struct {
	Settings      string `long:"settings" description:"settings file (default: the file that the platform names in its environment variable)"`
	CheckSettings bool   `long:"check-settings" description:"check the settings file and exit"`
}

func main() { os.Exit(start(os.Args[1:])) }

// start runs the command and returns its exit code.
func start(arguments []string) int {
	// Registered before anything else, since the default action of SIGHUP ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	// By default a write to standard output or standard error ends the process when the reader of that pipe has gone.
	signal.Ignore(syscall.SIGPIPE)
	var o options
	if exit, ok := crlcommand.Parse(&o, arguments); !ok {
		return exit
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(platform.SettingsVariable)
	}
	load := func() (*crlrouter.Settings, error) { return loadSettings(o.Settings) }
	settings, err := load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return crlcommand.ExitUsage
	}
	if o.CheckSettings {
		fmt.Printf("%s: settings of router %s are valid\n", o.Settings, settings.Daemon)
		return crlcommand.ExitDone
	}
	if err := serve(settings, load, hangup); err != nil {
		fmt.Fprintf(os.Stderr, "router: %v\n", err)
		return crlcommand.ExitFailure
	}
	return crlcommand.ExitDone
}

// loadSettings reads and checks a settings file in the platform's format.
func loadSettings(path string) (*crlrouter.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return platform.ParseSettings(path, content)
}

// serve runs a router until SIGTERM or an interrupt, and writes its log lines to standard output. On a signal from hangup the
// router calls load and applies the settings that it returns.
func serve(settings *crlrouter.Settings, load func() (*crlrouter.Settings, error), hangup <-chan os.Signal) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	logger := crllog.New(crllog.Config{Output: os.Stdout})
	logging, stopLogging := context.WithCancel(context.Background())
	logged := make(chan error, 1)
	go func() { logged <- logger.Run(logging) }()
	defer func() {
		stopLogging()
		if err := <-logged; err != nil {
			fmt.Fprintf(os.Stderr, "router: write the last log lines: %v\n", err)
		}
	}()
	config := platform.RouterConfig(settings, logger)
	config.Reload, config.Hangup, config.Transport = load, hangup, crlforward.NewTransport(crlforward.TransportConfig{})
	config.Build = build()
	router := crlrouter.New(config)
	return router.Run(stop)
}

// build returns the revision of the repository that the program was built from, empty if it wasn't recorded.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
