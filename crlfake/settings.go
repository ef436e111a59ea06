package crlfake

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// DaemonAddresses are the sockets of one daemon of a trial.
type DaemonAddresses struct {
	Name   crlid.Daemon
	Domain crlid.Domain
	Listen string
	Admin  string
	Peer   string
}

// trialSecret seals the tokens of trials; real deployments make their own.
const testSecret = "cranberrylock-example-secret-001"

// Ports of trials lie below those that systems give to outgoing connections, which could take one before its daemon.
const (
	firstPort    = 20000
	portCount    = 12000 // trialPort is the number of ports from firstPort on.
	maxPortTries = 100   // portTries bounds the ports tried for one address.
)

// FreeAddresses returns loopback addresses on which nothing listens now.
func FreeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		listener, err := listenOnRandomPort()
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

func listenOnRandomPort() (listener net.Listener, err error) {
	for range maxPortTries {
		listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			break
		}
	}
	return listener, err
}

// FreeDaemons returns addresses for n daemons, spread over the failure domains.
func FreeDaemonAddresses(n int, domains []crlid.Domain) ([]DaemonAddresses, error) {
	const socketsPerDaemon = 3
	free, err := FreeAddresses(n * socketsPerDaemon)
	if err != nil {
		return nil, err
	}
	daemons := make([]DaemonAddresses, n)
	for i := range daemons {
		sockets := free[i*socketsPerDaemon:]
		daemons[i] = DaemonAddresses{
			Name: crlid.Daemon(fmt.Sprintf("daemon-%d", i+1)), Domain: domains[i%len(domains)],
			Listen: sockets[0], Admin: sockets[1], Peer: sockets[2],
		}
	}
	return daemons, nil
}

// SettingsFile returns the settings file of a daemon of a trial, with extra lines for its [limits].
func SettingsFile(daemon DaemonAddresses, all []DaemonAddresses, platformURL, limits string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[daemon]\nname = %s\nfailure-domain = %s\n", daemon.Name, daemon.Domain)
	fmt.Fprintf(&b, "listen = %s\nadmin-listen = %s\npeer-listen = %s\n\n", daemon.Listen, daemon.Admin, daemon.Peer)
	fmt.Fprintf(&b, "[platform]\nlog = %s\nvm-list = %s/vms\nratings = %s/ratings\n\n", platformURL, platformURL, platformURL)
	for _, p := range all {
		if p.Name != daemon.Name {
			fmt.Fprintf(&b, "[peer %s]\naddress = %s\n\n", p.Name, p.Peer)
		}
	}
	fmt.Fprintf(&b, "[key trial]\nsecret = %s\n\n[keys]\nnewest = trial\n\n", base64.StdEncoding.EncodeToString([]byte(testSecret)))
	fmt.Fprintf(&b, "[limits]\n%s\n", limits)
	return b.Bytes()
}
