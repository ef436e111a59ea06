package crlsoak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cranberrylock/cranberrylock/crlforward"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlrouter"
	"github.com/cranberrylock/cranberrylock/platform"
)

// RunRouter runs a router, as the command cranberrylock-router does, whose connections to backend servers go over links of its own, so that it can be cut
// off from servers that other routers reach. Each element of through is the address of a server, an equals sign and the address of the link.
func RunRouter(settingsPath string, through []string) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	links := make(map[string]string)
	for _, t := range through {
		server, link, ok := strings.Cut(t, "=")
		if !ok {
			return fmt.Errorf("link %q: want the address of a server, an equals sign and the address of a link", t)
		}
		links[server] = link
	}
	load := func() (*crlrouter.Settings, error) {
		content, err := os.ReadFile(settingsPath)
		if err != nil {
			return nil, fmt.Errorf("read settings: %w", err)
		}
		return platform.ParseSettings(settingsPath, content)
	}
	settings, err := load()
	if err != nil {
		return err
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if link, ok := links[address]; ok {
			address = link
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	logger := crllog.New(crllog.Config{Output: os.Stdout})
	logging, stopLogging := context.WithCancel(context.Background())
	logged := make(chan error, 1)
	go func() { logged <- logger.Run(logging) }()
	config := platform.RouterConfig(settings, logger)
	config.Reload, config.Hangup, config.Transport = load, hangup, crlforward.NewTransport(crlforward.TransportConfig{Dial: dial})
	config.Probe = func(ctx context.Context, address string) error {
		c, err := dial(ctx, "tcp", address)
		if err != nil {
			return err
		}
		return c.Close()
	}
	err = crlrouter.New(config).Run(ctx)
	stopLogging()
	return errors.Join(err, <-logged)
}
