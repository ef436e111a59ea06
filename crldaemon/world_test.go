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

// The nodes and addresses of a world.
const (
	platformNode    crlfake.Node = "platform"
	platformAddress              = "127.0.2.1:9000"
	networkLatency               = 1500 * time.Microsecond
	answerTokens                 = 8
	tokenDelay                   = 20 * time.Millisecond
	coldTime                     = 10 * time.Second
)

// world is a set of whole daemons, backend servers and a platform on an in-memory network.
type testCluster struct {
	t             *testing.T
	network       *crlfake.Network
	platform      *crlfake.Platform
	engines       map[crlid.Server]*crlfake.Engine
	services      map[crlid.Server]*crlfake.Service
	content       []byte
	configuration *crlconfig.Configuration
	daemons       []*daemonNode
	servers       []*http.Server
	running       sync.WaitGroup
}

// daemonNode is one VM that runs a daemon, with a new incarnation at each start.
type daemonNode struct {
	crlfake.DaemonAddresses
	settings *crlsettings.Settings
	node     crlfake.Node
	starts   int
	kill     context.CancelFunc
	stop     context.CancelFunc
	ended    chan error // ended has the result of a daemon that ended.
	daemon   atomic.Pointer[Daemon]
}

// newWorld starts everything; it must be closed before the bubble of synctest ends.
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
	w := &testCluster{
		t: t, network: crlfake.NewNetwork(crlfake.NetworkConfig{Latency: networkLatency}),
		platform: crlfake.NewPlatform(), content: content, configuration: configuration,
		engines: make(map[crlid.Server]*crlfake.Engine), services: make(map[crlid.Server]*crlfake.Service),
	}
	w.serveHTTP(platformNode, platformAddress, w.platform)
	for _, s := range configuration.Servers {
		w.startServer(s)
	}
	w.startDaemons(daemons)
	return w
}

func (w *testCluster) startServer(s crlconfig.Server) {
	if s.Kind == crlconfig.KindService {
		service := crlfake.NewService(crlfake.ServiceConfig{Server: s.ID, History: w.platform.History})
		w.services[s.ID] = service
		w.serveHTTP(crlfake.Node(s.ID), s.Address, service)
		return
	}
	engine := crlfake.NewEngine(crlfake.EngineConfig{
		Server: s.ID, Versions: s.Versions, Tokens: answerTokens, TokenDelay: tokenDelay, History: w.platform.History,
		Profile: crlfake.Profile{Batch: s.WarmLimit, ColdFor: coldTime, ColdLimit: s.ColdLimit},
	})
	w.engines[s.ID] = engine
	w.serveHTTP(crlfake.Node(s.ID), s.Address, engine)
}

func (w *testCluster) serveHTTP(node crlfake.Node, address string, handler http.Handler) {
	w.t.Helper()
	listener, err := w.network.Listen(node, address)
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	w.servers = append(w.servers, server)
	w.running.Go(func() { _ = server.Serve(listener) })
}

func (w *testCluster) startDaemons(n int) {
	w.t.Helper()
	domains := sortedDomains(w.configuration)
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
			w.t.Fatal(err)
		}
		d := &daemonNode{DaemonAddresses: a, settings: settings}
		w.startDaemon(d)
		w.daemons = append(w.daemons, d)
	}
}

// startDaemon runs a new incarnation of a daemon on its addresses.
func (w *testCluster) startDaemon(d *daemonNode) {
	w.t.Helper()
	d.starts++
	d.node = crlfake.Node(fmt.Sprintf("%s/%d", d.Name, d.starts))
	dial := w.network.Dialer(d.node)
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
		w.t.Fatal(err)
	}
	base, kill := context.WithCancel(context.Background())
	stop, drain := context.WithCancel(context.Background())
	d.daemon.Store(daemon)
	d.kill, d.stop, d.ended = kill, drain, make(chan error, 1)
	sockets := listeners{callers: w.listen(d, d.Listen), admin: w.listen(d, d.Admin), peers: w.listen(d, d.Peer)}
	w.running.Go(func() {
		d.ended <- daemon.serve(base, stop, sockets)
		peers.Close()
		platform.CloseIdleConnections()
	})
}

func (w *testCluster) listen(d *daemonNode, address string) net.Listener {
	w.t.Helper()
	listener, err := w.network.Listen(d.node, address)
	if err != nil {
		w.t.Fatal(err)
	}
	return listener
}

// killDaemon ends a daemon at once, as kill -9 does.
func (w *testCluster) killDaemon(d *daemonNode) {
	w.network.Kill(d.node)
	d.kill()
}

// awaitEnd waits until a daemon that was killed has ended.
func (w *testCluster) awaitEnd(d *daemonNode) {
	w.t.Helper()
	w.t.Logf("%s ended with: %v", d.Name, <-d.ended)
}

// close ends every process and waits for their goroutines.
func (w *testCluster) close() {
	for _, d := range w.daemons {
		w.killDaemon(d)
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.network.Close()
	w.running.Wait()
}

// client returns an HTTP client of a caller or an operator.
func (w *testCluster) client(node crlfake.Node) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: w.network.Dialer(node), DisableKeepAlives: true}}
}

// apply publishes a configuration through a daemon and returns the verdict.
func (w *testCluster) apply(ctx context.Context, client *http.Client, d *daemonNode, publication crlconfig.Publication) (crlconfig.Verdict, error) {
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

// begin puts the first configuration in force at every daemon.
func (w *testCluster) applyFirstConfiguration() {
	w.t.Helper()
	client := w.client("operator")
	defer client.CloseIdleConnections()
	verdict, err := w.apply(context.Background(), client, w.daemons[0], crlconfig.Publication{ID: "first", Force: true, Content: w.content})
	if err != nil || verdict.Decision != crlconfig.DecisionAccepted {
		w.t.Fatalf("first configuration: %v %+v", err, verdict)
	}
	time.Sleep(configurationLimit)
	for _, d := range w.daemons {
		if status := d.daemon.Load().Status(); !status.Ready || status.Offset != verdict.Offset {
			w.t.Fatalf("%s: %+v after %s", d.Name, status, configurationLimit)
		}
	}
}

// configurationLimit is the promised time until a configuration is in force everywhere.
const configurationLimit = 5 * time.Second

func sortedDomains(c *crlconfig.Configuration) []crlid.Domain {
	return slices.Sorted(maps.Keys(c.Domains))
}
