package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crldaemon"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlsettings"
)

// demoDaemons is the number of daemons of the demo.
const demoDaemons = 3

// fleet holds the daemons of the demo and the stand-ins for their environment.
type fleet struct {
	environment *crlfake.Environment // stand-ins for the platform and the backend servers
	daemons     []*runningDaemon
	domainOf    map[crlid.Server]crlid.Domain // failure domain of each backend server
	acceptedAt  time.Time                     // when the configuration published last was accepted
}

// runningDaemon is a daemon that runs on a goroutine of this process.
type runningDaemon struct {
	crlfake.DaemonAddresses
	stop   context.CancelFunc // starts a graceful stop
	abort  context.CancelFunc // ends the daemon at once and cuts off its open requests
	ended  chan struct{}      // closed when the daemon has ended
	result error              // error that crldaemon.Serve returned; valid once ended is closed
}

// startFleet starts stand-ins for the backend servers of the configuration file at path, and demoDaemons daemons.
func startFleet(path string) (*fleet, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	configuration, err := crlconfig.Parse(path, content)
	if err != nil {
		return nil, err
	}
	environment, err := crlfake.StartEnvironment(crlfake.EnvironmentConfig{
		Content: content, Platform: "127.0.0.1:0", AnyPort: true, Tokens: demoTokens, TokenDelay: demoTokenDelay,
	})
	if err != nil {
		return nil, err
	}
	f := &fleet{environment: environment, domainOf: make(map[crlid.Server]crlid.Domain)}
	for id, server := range configuration.Servers {
		f.domainOf[id] = server.Domain
	}
	var domains []crlid.Domain
	for id := range configuration.Domains {
		domains = append(domains, id)
	}
	addresses, err := crlfake.FreeDaemonAddresses(demoDaemons, domains)
	if err != nil {
		return nil, err
	}
	for _, a := range addresses {
		if err := f.startDaemon(a, addresses); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// startDaemon starts a daemon at the addresses a. The daemons at all other addresses are its peers.
func (f *fleet) startDaemon(a crlfake.DaemonAddresses, all []crlfake.DaemonAddresses) error {
	content := crlfake.SettingsFile(a, all, f.environment.PlatformURL, "drain-delay = 100ms")
	settings, err := crlsettings.Parse(string(a.Name), content)
	if err != nil {
		return err
	}
	stopping, stop := context.WithCancel(context.Background())
	base, abort := context.WithCancel(context.Background())
	d := &runningDaemon{DaemonAddresses: a, stop: stop, abort: abort, ended: make(chan struct{})}
	go func() {
		d.result = crldaemon.Serve(base, stopping, settings)
		close(d.ended)
	}()
	f.daemons = append(f.daemons, d)
	return nil
}

// close stops all daemons gracefully, then the stand-ins.
func (f *fleet) close() {
	var stopping sync.WaitGroup
	for _, d := range f.daemons {
		d.stop()
		stopping.Go(func() { <-d.ended })
	}
	stopping.Wait()
	_ = f.environment.Close()
}

// printUsage prints the addresses of the daemons and curl commands that call them.
func (f *fleet) printUsage() {
	fmt.Printf("Three daemons are ready:\n")
	for _, d := range f.daemons {
		fmt.Printf("  %s in failure domain %s: requests http://%s, admin interface http://%s\n", d.Name, d.Domain, d.Listen, d.Admin)
	}
	fmt.Printf("\nA chat with a streamed answer:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"auto\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		f.daemons[0].Listen, demoKey)
	fmt.Printf("\nA call of the plain service \"filing\", which runs once however often it is sent with the same key:\n"+
		"  curl http://%s/v1/services/filing -H 'Authorization: Bearer %s' -H 'Idempotency-Key: filing-1' -d '{\"entry\":1}'\n",
		f.daemons[1].Listen, demoKey)
	fmt.Printf("\nInterrupt to stop.\n")
}
