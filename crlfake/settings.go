package crlfake

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// DaemonAddresses names a daemon of a test cluster and the addresses that it listens on.
type DaemonAddresses struct {
	Name   crlid.Daemon
	Domain crlid.Domain
	Listen string
	Admin  string
	Peer   string
}

// testSecret is the key that seals session and stream tokens in test clusters. Deployments create their own key.
const testSecret = "cranberrylock-example-secret-001"

// Test ports lie below the range that operating systems use for outgoing connections. Otherwise such a connection could
// take a port that FreeAddresses returned, before the daemon listens on it.
const (
	firstPort    = 20000
	portCount    = 12000 // ports from firstPort on
	maxPortTries = 100   // random ports tried per address
)

// FreeAddresses returns n different loopback addresses that were free during the call. Another process may take them
// before the caller listens on them.
func FreeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		listener, err := listenOnRandomPort()
		if err != nil {
			return nil, fmt.Errorf("find a free loopback port: %w", err)
		}
		// Closed only on return, so that the next listeners get other addresses.
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

// FreeDaemonAddresses returns names and free addresses for n daemons, spread evenly over the failure domains.
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

// SettingsFile returns the settings file of a test daemon. all lists the daemons of the cluster, of which the others become
// its peers; limits holds the lines of the file's [limits] section.
func SettingsFile(daemon DaemonAddresses, all []DaemonAddresses, platformURL, limits string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[daemon]\nname = %s\nfailure-domain = %s\n", daemon.Name, daemon.Domain)
	fmt.Fprintf(&b, "listen = %s\nadmin-listen = %s\npeer-listen = %s\n\n", daemon.Listen, daemon.Admin, daemon.Peer)
	fmt.Fprintf(&b, "[platform]\nlog = %s\nvm-list = %s/vms\nratings = %s/ratings\n\n", platformURL, platformURL, platformURL)
	for _, peer := range all {
		if peer.Name != daemon.Name {
			fmt.Fprintf(&b, "[peer %s]\naddress = %s\n\n", peer.Name, peer.Peer)
		}
	}
	fmt.Fprintf(&b, "[key trial]\nsecret = %s\n\n[keys]\nnewest = trial\n\n", base64.StdEncoding.EncodeToString([]byte(testSecret)))
	fmt.Fprintf(&b, "[limits]\n%s\n", limits)
	return b.Bytes()
}
