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

// fleet is the demo's daemons and stand-ins.
type fleet struct {
	site       *crlfake.Environment
	daemons    []*runningDaemon
	domainOf   map[crlid.Server]crlid.Domain
	acceptedAt time.Time // accepted is when the newest configuration was accepted.
}

// member is one daemon of the demo.
type runningDaemon struct {
	crlfake.DaemonAddresses
	stop   context.CancelFunc // stop asks for a graceful stop.
	abort  context.CancelFunc // abort cuts what is open.
	ended  chan struct{}
	result error
}

func startFleet(path string) (*fleet, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	configuration, err := crlconfig.Parse(path, content)
	if err != nil {
		return nil, err
	}
	site, err := crlfake.StartEnvironment(crlfake.EnvironmentConfig{
		Content: content, Platform: "127.0.0.1:0", AnyPort: true, Tokens: demoTokens, TokenDelay: demoTokenDelay,
	})
	if err != nil {
		return nil, err
	}
	f := &fleet{site: site, domainOf: make(map[crlid.Server]crlid.Domain)}
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

func (f *fleet) startDaemon(a crlfake.DaemonAddresses, all []crlfake.DaemonAddresses) error {
	content := crlfake.SettingsFile(a, all, f.site.PlatformURL, "drain-delay = 100ms")
	settings, err := crlsettings.Parse(string(a.Name), content)
	if err != nil {
		return err
	}
	stopping, stop := context.WithCancel(context.Background())
	base, abort := context.WithCancel(context.Background())
	m := &runningDaemon{DaemonAddresses: a, stop: stop, abort: abort, ended: make(chan struct{})}
	go func() {
		m.result = crldaemon.Serve(base, stopping, settings)
		close(m.ended)
	}()
	f.daemons = append(f.daemons, m)
	return nil
}

func (f *fleet) close() {
	var stops sync.WaitGroup
	for _, m := range f.daemons {
		m.stop()
		stops.Go(func() { <-m.ended })
	}
	stops.Wait()
	_ = f.site.Close()
}

func (f *fleet) printUsage() {
	fmt.Printf("Three daemons serve callers:\n")
	for _, m := range f.daemons {
		fmt.Printf("  %s in %s: http://%s, operators http://%s\n", m.Name, m.Domain, m.Listen, m.Admin)
	}
	fmt.Printf("\nA streamed answer:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n    -d '{\"model\":\"auto\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", f.daemons[0].Listen, demoKey)
	fmt.Printf("\nA filing that runs once however often it is sent:\n  curl http://%s/v1/services/filing -H 'Authorization: Bearer %s' -H 'Idempotency-Key: filing-1' -d '{\"entry\":1}'\n", f.daemons[1].Listen, demoKey)
	fmt.Printf("\nInterrupt to stop.\n")
}
