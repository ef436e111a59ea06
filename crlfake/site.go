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

// SiteConfig configures a Site.
type EnvironmentConfig struct {
	Content                 []byte        // Content is a configuration file that names the backend servers.
	Platform                string        // Platform is the address of the platform's services.
	AnyPort                 bool          // AnyPort gives each backend server a free port and rewrites its address.
	Tokens                  int           // Tokens is the length of each answer.
	TokenDelay              time.Duration // TokenDelay is the time between tokens.
	Profile                 Profile       // Profile is that of each engine.
	LimitsFromConfiguration bool          // Modelled takes batch and cold limit from the configuration instead.
}

// Site serves the platform and every backend server of a configuration by HTTP.
type Environment struct {
	Platform    *Platform
	PlatformURL string
	Content     []byte // Content is the configuration with the addresses that the site serves.
	Engines     map[crlid.Server]*Engine
	Services    map[crlid.Server]*Service

	config  EnvironmentConfig
	servers []*http.Server
}

// StartSite opens every socket and serves until Close is called.
func StartEnvironment(config EnvironmentConfig) (*Environment, error) {
	s := &Environment{
		Platform: NewPlatform(), config: config,
		Engines: make(map[crlid.Server]*Engine), Services: make(map[crlid.Server]*Service),
	}
	address, err := s.serve(config.Platform, s.Platform)
	if err != nil {
		return nil, err
	}
	s.PlatformURL = "http://" + address
	if err := s.startServers(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

// Close ends every socket and cuts what is open.
func (s *Environment) Close() error {
	var failures []error
	for _, server := range s.servers {
		failures = append(failures, server.Close())
	}
	return errors.Join(failures...)
}

func (s *Environment) startServers() error {
	parsed, err := crlconfig.Parse("configuration", s.config.Content)
	if err != nil {
		return err
	}
	file, err := ini.Load(s.config.Content)
	if err != nil {
		return fmt.Errorf("load configuration: %w", err)
	}
	for id, server := range parsed.Servers {
		address, err := s.startServer(server)
		if err != nil {
			return err
		}
		file.Section("server " + string(id)).Key("address").SetValue(address)
	}
	var content bytes.Buffer
	if _, err := file.WriteTo(&content); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	s.Content = content.Bytes()
	return nil
}

func (s *Environment) startServer(server crlconfig.Server) (address string, err error) {
	address = server.Address
	if s.config.AnyPort {
		address = "127.0.0.1:0"
	}
	if server.Kind == crlconfig.KindService {
		service := NewService(ServiceConfig{Server: server.ID, History: s.Platform.History})
		s.Services[server.ID] = service
		return s.serve(address, service)
	}
	profile := s.config.Profile
	if s.config.LimitsFromConfiguration {
		profile.Batch, profile.ColdLimit = server.WarmLimit, server.ColdLimit
	}
	engine := NewEngine(EngineConfig{
		Server: server.ID, Versions: server.Versions, Tokens: s.config.Tokens, TokenDelay: s.config.TokenDelay,
		Profile: profile, History: s.Platform.History,
	})
	s.Engines[server.ID] = engine
	return s.serve(address, engine)
}

func (s *Environment) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("stand-in: listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
