package crldaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlsettings"
)

// Parameters of a test cluster.
const (
	platformNode    crlfake.Node = "platform"
	platformAddress              = "127.0.2.1:9000"
	networkLatency               = 1500 * time.Microsecond
	answerTokens                 = 8 // tokens of each chat answer
	tokenDelay                   = 20 * time.Millisecond
	coldTime                     = 10 * time.Second // time for which an engine is cold after its start
)

// testCluster is a set of complete daemons, fake backend servers and a fake platform on an in-memory network.
type testCluster struct {
	t             *testing.T
	network       *crlfake.Network
	platform      *crlfake.Platform
	engines       map[crlid.Server]*crlfake.Engine
	services      map[crlid.Server]*crlfake.Service
	content       []byte                   // the configuration file
	configuration *crlconfig.Configuration // parsed from content
	daemons       []*daemonNode
	servers       []*http.Server // HTTP servers of the platform and of the backend servers
	running       sync.WaitGroup // goroutines of the servers and daemons, and of edits by operators
}

// daemonNode is a VM that runs a daemon. Each start of the daemon has its own incarnation and its own node of the network.
type daemonNode struct {
	crlfake.DaemonAddresses
	settings *crlsettings.Settings
	node     crlfake.Node       // network node of the daemon's newest incarnation
	starts   int                // number of starts so far
	kill     context.CancelFunc // ends the daemon at once
	stop     context.CancelFunc // starts a graceful stop
	ended    chan error         // receives the result of serve when the daemon has ended
	daemon   atomic.Pointer[Daemon]
}

// newTestCluster starts the platform, the backend servers of the configuration file at path, and the given number of daemons,
// spread evenly over the failure domains. The cluster must be closed before the synctest bubble ends.
func newTestCluster(t *testing.T, path string, daemons int) *testCluster {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	configuration, err := crlconfig.Parse(path, content)
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{
		t: t, network: crlfake.NewNetwork(crlfake.NetworkConfig{Latency: networkLatency}),
		platform: crlfake.NewPlatform(), content: content, configuration: configuration,
		engines: make(map[crlid.Server]*crlfake.Engine), services: make(map[crlid.Server]*crlfake.Service),
	}
	cluster.serveHTTP(platformNode, platformAddress, cluster.platform)
	for _, s := range configuration.Servers {
		cluster.startServer(s)
	}
	cluster.startDaemons(daemons)
	return cluster
}

func (c *testCluster) startServer(s crlconfig.Server) {
	if s.Kind == crlconfig.KindService {
		service := crlfake.NewService(crlfake.ServiceConfig{Server: s.ID, History: c.platform.History})
		c.services[s.ID] = service
		c.serveHTTP(crlfake.Node(s.ID), s.Address, service)
		return
	}
	engine := crlfake.NewEngine(crlfake.EngineConfig{
		Server: s.ID, Versions: s.Versions, Tokens: answerTokens, TokenDelay: tokenDelay, History: c.platform.History,
		Profile: crlfake.Profile{Batch: s.WarmLimit, ColdFor: coldTime, ColdLimit: s.ColdLimit},
	})
	c.engines[s.ID] = engine
	c.serveHTTP(crlfake.Node(s.ID), s.Address, engine)
}

func (c *testCluster) serveHTTP(node crlfake.Node, address string, handler http.Handler) {
	c.t.Helper()
	listener, err := c.network.Listen(node, address)
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	c.servers = append(c.servers, server)
	c.running.Go(func() { _ = server.Serve(listener) })
}

func (c *testCluster) startDaemons(n int) {
	c.t.Helper()
	domains := sortedDomains(c.configuration)
	addresses := make([]crlfake.DaemonAddresses, n)
	for i := range addresses {
		host := fmt.Sprintf("127.0.1.%d", i+1)
		addresses[i] = crlfake.DaemonAddresses{
			Name: crlid.Daemon(fmt.Sprintf("daemon-%d", i+1)), Domain: domains[i%len(domains)],
			Listen: host + ":8000", Admin: host + ":8001", Peer: host + ":8002",
		}
	}
	for _, a := range addresses {
		content := crlfake.SettingsFile(a, addresses, "http://"+platformAddress, "drain-delay = 100ms")
		settings, err := crlsettings.Parse(string(a.Name), content)
		if err != nil {
			c.t.Fatal(err)
		}
		d := &daemonNode{DaemonAddresses: a, settings: settings}
		c.startDaemon(d)
		c.daemons = append(c.daemons, d)
	}
}

// startDaemon starts a new incarnation of a daemon on the addresses of its VM.
func (c *testCluster) startDaemon(d *daemonNode) {
	c.t.Helper()
	d.starts++
	d.node = crlfake.Node(fmt.Sprintf("%s/%d", d.Name, d.starts))
	dial := c.network.Dialer(d.node)
	platform := &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdlePerServer}}
	peers := crlpeer.NewClient(crlpeer.ClientConfig{ConnectTimeout: connectTimeout, CallTimeout: peerCallTimeout, Dial: dial})
	daemon, err := New(Config{
		Settings: d.settings,
		Log:      crlplatform.NewLogClient(crlplatform.LogClientConfig{URL: d.settings.LogURL, Client: platform}),
		Engines: crlengine.NewClient(crlengine.ClientConfig{
			ConnectTimeout: connectTimeout, HeaderTimeout: d.settings.Limits.EngineHeader, IdlePerServer: maxIdlePerServer, Dial: dial,
		}),
		Peers: peers,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	base, kill := context.WithCancel(context.Background())
	stopping, stop := context.WithCancel(context.Background())
	d.daemon.Store(daemon)
	d.kill, d.stop, d.ended = kill, stop, make(chan error, 1)
	sockets := listeners{callers: c.listen(d, d.Listen), admin: c.listen(d, d.Admin), peers: c.listen(d, d.Peer)}
	c.running.Go(func() {
		d.ended <- daemon.serve(base, stopping, sockets)
		peers.Close()
		platform.CloseIdleConnections()
	})
}

func (c *testCluster) listen(d *daemonNode, address string) net.Listener {
	c.t.Helper()
	listener, err := c.network.Listen(d.node, address)
	if err != nil {
		c.t.Fatal(err)
	}
	return listener
}

// killDaemon ends a daemon at once and cuts its connections, as kill -9 does. It doesn't wait for the end.
func (c *testCluster) killDaemon(d *daemonNode) {
	c.network.Kill(d.node)
	d.kill()
}

// awaitEnd waits until a killed daemon has ended, so that it can be started again.
func (c *testCluster) awaitEnd(d *daemonNode) {
	c.t.Helper()
	c.t.Logf("%s ended with: %v", d.Name, <-d.ended)
}

// close ends all daemons and servers of the cluster and waits for their goroutines.
func (c *testCluster) close() {
	for _, d := range c.daemons {
		c.killDaemon(d)
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.network.Close()
	c.running.Wait()
}

// client returns an HTTP client that connects from the given node of the network, such as that of a caller or an operator.
func (c *testCluster) client(node crlfake.Node) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.network.Dialer(node), DisableKeepAlives: true}}
}

// apply publishes a configuration through a daemon and returns the verdict. After an error, the publication may still be
// accepted.
func (c *testCluster) apply(
	ctx context.Context, client *http.Client, d *daemonNode, publication crlconfig.Publication,
) (crlconfig.Verdict, error) {
	var verdict crlconfig.Verdict
	body, err := json.Marshal(publication)
	if err != nil {
		return verdict, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Admin+"/admin/configuration", bytes.NewReader(body))
	if err != nil {
		return verdict, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return verdict, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return verdict, fmt.Errorf("status %d: %s: %w", response.StatusCode, text, err)
	}
	return verdict, json.Unmarshal(text, &verdict)
}

// applyFirstConfiguration publishes the cluster's configuration, and fails the test unless every daemon has it in force and is
// ready within configurationLimit.
func (c *testCluster) applyFirstConfiguration() {
	c.t.Helper()
	client := c.client("operator")
	defer client.CloseIdleConnections()
	verdict, err := c.apply(context.Background(), client, c.daemons[0], crlconfig.Publication{
		ID: "first", Force: true, Content: c.content,
	})
	if err != nil || verdict.Decision != crlconfig.DecisionAccepted {
		c.t.Fatalf("publish the first configuration: error %v, verdict %+v, want accepted", err, verdict)
	}
	time.Sleep(configurationLimit)
	for _, d := range c.daemons {
		if status := d.daemon.Load().Status(); !status.Ready || status.Offset != verdict.Offset {
			c.t.Fatalf("status of %s is %+v, %s after the first configuration, want ready with that one in force",
				d.Name, status, configurationLimit)
		}
	}
}

// configurationLimit is the guaranteed time from the acceptance of a configuration until it is in force at every daemon.
const configurationLimit = 5 * time.Second

func sortedDomains(c *crlconfig.Configuration) []crlid.Domain {
	return slices.Sorted(maps.Keys(c.Domains))
}
