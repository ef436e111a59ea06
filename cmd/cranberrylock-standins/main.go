package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cranberrylock/cranberrylock/crlcommand"
	"github.com/cranberrylock/cranberrylock/crlfake"
)

type options struct {
	Configuration string        `long:"configuration" description:"configuration file that names the backend servers" required:"yes"`
	Platform      string        `long:"platform" description:"address on which the log, the VM list and the rating service are served" default:"127.0.0.1:9000"`
	AnyPort       bool          `long:"any-port" description:"give each backend server a free port"`
	Out           string        `long:"out" description:"file to which the configuration is written, with the addresses that the stand-ins serve"`
	Tokens        int           `long:"tokens" description:"number of tokens in each answer" default:"20"`
	TokenDelay    time.Duration `long:"token-delay" description:"time between two tokens of an answer" default:"20ms"`
	Modelled      bool          `long:"modelled" description:"model the batches, cold limit, prefix cache and reporting lag of real engines"`
	ColdFor       time.Duration `long:"cold-for" description:"duration of a cold start of an engine; needs --modelled" default:"5s"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var o options
	if exit, ok := crlcommand.Parse(&o, arguments); !ok {
		return exit
	}
	if err := serve(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return crlcommand.ExitFailure
	}
	return crlcommand.ExitDone
}

// Parameters of a modelled engine.
const (
	prefillPerKiB     = 10 * time.Millisecond  // time per KiB of prompt that is not in the prefix cache
	prefixCacheBlocks = 4096                   // capacity of the prefix cache
	loadReportLag     = 200 * time.Millisecond // age of the load that an engine reports
	cacheEventLag     = 500 * time.Millisecond // delay until a change of the cache is reported
	lostEventInterval = 20                     // every 20th report of a change of the cache is lost
)

// profile returns the behaviour of the engines under load; without --modelled it has no limits, no cache and no delays.
func (o options) profile() crlfake.Profile {
	if !o.Modelled {
		return crlfake.Profile{}
	}
	return crlfake.Profile{
		PrefillPerKiB: prefillPerKiB, CacheBlocks: prefixCacheBlocks, ColdFor: o.ColdFor,
		LoadLag: loadReportLag, EventLag: cacheEventLag, EventGap: lostEventInterval,
	}
}

// serve starts the stand-ins, writes the configuration with their addresses to the --out file, prints the platform's URL and
// serves until SIGTERM or an interrupt.
func serve(o options) error {
	content, err := os.ReadFile(o.Configuration)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	environment, err := crlfake.StartEnvironment(crlfake.EnvironmentConfig{
		Content: content, Platform: o.Platform, AnyPort: o.AnyPort, Tokens: o.Tokens, TokenDelay: o.TokenDelay,
		Profile: o.profile(), LimitsFromConfiguration: o.Modelled,
	})
	if err != nil {
		return err
	}
	if o.Out != "" {
		if err := os.WriteFile(o.Out, environment.Content, 0o600); err != nil {
			return fmt.Errorf("write configuration: %w", err)
		}
	}
	fmt.Println("platform " + environment.PlatformURL)
	<-stop.Done()
	return environment.Close()
}
