package crlfake

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"gopkg.in/ini.v1"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// EnvironmentConfig configures an Environment.
type EnvironmentConfig struct {
	Content                 []byte        // configuration file that lists the backend servers
	Platform                string        // address on which the platform listens, such as 127.0.0.1:0
	AnyPort                 bool          // replaces the configured address of each backend server by a free loopback port
	Tokens                  int           // tokens per answer of an engine
	TokenDelay              time.Duration // time before each token on an idle engine
	Profile                 Profile       // behaviour of each engine under load
	LimitsFromConfiguration bool          // replaces the profile's Batch and ColdLimit by the server's configured limits
}

// Environment serves a fake platform and a fake of every backend server of a configuration over HTTP, in this process.
type Environment struct {
	Platform    *Platform
	PlatformURL string
	Content     []byte // configuration with the addresses on which the fakes listen
	Engines     map[crlid.Server]*Engine
	Services    map[crlid.Server]*Service

	config  EnvironmentConfig
	servers []*http.Server
}

// StartEnvironment listens on the address of the platform and of each backend server, and serves until Close is called. If
// it fails, it closes what it opened.
func StartEnvironment(config EnvironmentConfig) (*Environment, error) {
	e := &Environment{
		Platform: NewPlatform(), config: config,
		Engines: make(map[crlid.Server]*Engine), Services: make(map[crlid.Server]*Service),
	}
	address, err := e.serve(config.Platform, e.Platform)
	if err != nil {
		return nil, err
	}
	e.PlatformURL = "http://" + address
	if err := e.startServers(); err != nil {
		return nil, errors.Join(err, e.Close())
	}
	return e, nil
}

// Close stops listening and closes open connections without waiting for their requests.
func (e *Environment) Close() error {
	var errs []error
	for _, server := range e.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

func (e *Environment) startServers() error {
	parsed, err := crlconfig.Parse("configuration", e.config.Content)
	if err != nil {
		return err
	}
	file, err := ini.Load(e.config.Content)
	if err != nil {
		return fmt.Errorf("parse configuration as an INI file: %w", err)
	}
	for id, server := range parsed.Servers {
		address, err := e.startServer(server)
		if err != nil {
			return err
		}
		file.Section("server " + string(id)).Key("address").SetValue(address)
	}
	var content bytes.Buffer
	if _, err := file.WriteTo(&content); err != nil {
		return fmt.Errorf("write configuration with the served addresses: %w", err)
	}
	e.Content = content.Bytes()
	return nil
}

func (e *Environment) startServer(server crlconfig.Server) (address string, err error) {
	address = server.Address
	if e.config.AnyPort {
		address = "127.0.0.1:0"
	}
	if server.Kind == crlconfig.KindService {
		service := NewService(ServiceConfig{Server: server.ID, History: e.Platform.History})
		e.Services[server.ID] = service
		return e.serve(address, service)
	}
	profile := e.config.Profile
	if e.config.LimitsFromConfiguration {
		profile.Batch, profile.ColdLimit = server.WarmLimit, server.ColdLimit
	}
	engine := NewEngine(EngineConfig{
		Server: server.ID, Versions: server.Versions, Tokens: e.config.Tokens, TokenDelay: e.config.TokenDelay,
		Profile: profile, History: e.Platform.History,
	})
	e.Engines[server.ID] = engine
	return e.serve(address, engine)
}

func (e *Environment) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("fake server: listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	e.servers = append(e.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
