package crlrouter

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// strictListener fails to close twice, as a TCP listener does.
type strictListener struct {
	*crlfake.Listener
	closed atomic.Bool
}

func (l *strictListener) Close() error {
	if l.closed.Swap(true) {
		return &net.OpError{Op: "close", Net: "tcp", Err: net.ErrClosed}
	}
	return l.Listener.Close()
}

// Addresses of the listeners of a router on pipes.
const (
	callersAddress   = "callers"
	readinessAddress = "readiness"
	metricsAddress   = "metrics"
	peersAddress     = "peers"
)

// openRouteCodec decodes every configuration as one with a public route for all paths, whose service has no server at first.
type openRouteCodec struct{ testCodec }

func (openRouteCodec) DecodeOrder(r crlplatform.KeyedRecord) (Order, error) {
	return Order{Position: r.Position, Table: crlroute.NewTable(crlroute.TableConfig{
		Version: 1, Services: []crlroute.Service{{Name: "s"}},
		Routes: []crlroute.Route{{
			Host: callersAddress, Prefix: "/", Kind: crlroute.KindNonIdempotent, Public: true, Timeout: time.Minute, Attempts: 1, Targets: []crlroute.Target{{Service: "s", Weight: 1}},
		}},
	})}, nil
}

// pipeRouter is a running router on in-memory listeners, with one open request of a caller.
type pipeRouter struct {
	*Router
	store     *memoryStore
	output    *bytes.Buffer // log, to be read after the router has ended and its logger was run
	listeners map[string]*crlfake.Listener
	ended     chan error // gets what Run returns
	body      *io.PipeWriter
	answers   chan callerAnswer
}

// callerAnswer is how a request ended for its caller.
type callerAnswer struct {
	status int // 0 if its connection ended without an answer
	err    error
}

// runOnPipes runs a router on in-memory listeners until ctx ends, and opens a request whose body is not complete. The router calls
// onReload at each reload of its settings.
func runOnPipes(ctx context.Context, onReload func()) *pipeRouter {
	p := &pipeRouter{
		output: new(bytes.Buffer), listeners: make(map[string]*crlfake.Listener), ended: make(chan error, 1), answers: make(chan callerAnswer, 1),
	}
	for _, a := range []string{callersAddress, readinessAddress, metricsAddress, peersAddress} {
		p.listeners[a] = crlfake.NewListener()
	}
	p.store = newMemoryStore()
	p.store.put("orders", "config", "1")
	c := newCluster(p.store)
	settings := &Settings{
		Daemon: "d", Domain: "near", Listen: callersAddress, ReadinessListen: readinessAddress, MetricsListen: metricsAddress,
		PeerListen: peersAddress, Bounds: Bounds{RetryWindow: 10 * time.Second, Grace: 8 * time.Second},
	}
	reload := func() (*Settings, error) {
		onReload()
		return settings, nil
	}
	p.Router = New(Config{
		Settings: settings, Store: p.store.storeView(0), Topics: Topics{Orders: "orders", Servers: "servers", Status: "status", Quarantine: "quarantine"},
		Codec: openRouteCodec{}, Dialect: testDialect{}, Peers: c.network, Clock: c.clock, Reload: reload,
		Logger: crllog.New(crllog.Config{Output: p.output}),
		Listen: func(_, address string) (net.Listener, error) {
			return &strictListener{Listener: p.listeners[address]}, nil
		},
		Transport: silentServer{},
	})
	go func() { p.ended <- p.Run(ctx) }()
	time.Sleep(time.Second)
	body, writer := io.Pipe()
	p.body = writer
	go func() {
		client := &http.Client{Transport: &http.Transport{DialContext: p.listeners[callersAddress].DialContext, DisableKeepAlives: true}}
		response, err := client.Post("http://callers/", "text/plain", body)
		if err != nil {
			p.answers <- callerAnswer{err: err}
			return
		}
		_ = response.Body.Close()
		p.answers <- callerAnswer{status: response.StatusCode}
	}()
	synctest.Wait()
	return p
}

// finishRequest completes the body of the open request and returns its answer.
func (p *pipeRouter) finishRequest() callerAnswer {
	_ = p.body.Close()
	return <-p.answers
}

// TestOpenRequestsOutliveAFailedAcceptOfPeers guards against a router that ends, and cuts every open request, because its peers'
// listener has no free descriptor for a moment.
func TestOpenRequestsOutliveAFailedAcceptOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := runOnPipes(ctx, func() {})
		p.listeners[peersAddress].Fail(ctx, crlfake.ErrNoDescriptor)
		time.Sleep(time.Second)
		if open := p.service.OpenRequests(); open != 1 || !p.ready() {
			t.Errorf("after the failed accept: %d open requests, ready %v; want 1 and ready", open, p.ready())
		}
		client := crlpeer.NewClient(crlpeer.ClientConfig{
			ConnectTimeout: time.Second, CallTimeout: 5 * time.Second, Dial: p.listeners[peersAddress].DialContext,
		})
		defer client.Close()
		var response crlrelay.FollowResponse
		if err := client.Call(ctx, peersAddress, crlrelay.MethodFollow, crlrelay.FollowRequest{}, &response); err != nil {
			t.Errorf("call of a peer after the failed accept: %v", err)
		}
		if got := p.finishRequest(); got.status != http.StatusServiceUnavailable {
			t.Errorf("open request: answer %d, error %v; want the router's answer %d", got.status, got.err, http.StatusServiceUnavailable)
		}
		cancel()
		if err := <-p.ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
}

// TestFailedAcceptsAreLogged guards against a router whose log doesn't tell that it accepted no connections, on any listener.
func TestFailedAcceptsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := runOnPipes(ctx, func() {})
		for _, l := range p.listeners {
			l.Fail(ctx, crlfake.ErrNoDescriptor)
		}
		synctest.Wait()
		p.finishRequest()
		cancel()
		if err := <-p.ended; err != nil {
			t.Errorf("Run: %v", err)
		}
		if err := p.config.Logger.Run(ctx); err != nil {
			t.Fatal(err)
		}
		got := p.output.String()
		for address := range p.listeners {
			line := `"event":"accept-failed","listen":"` + address + `","cause":"accept tcp: accept4: too many open files","open-requests":1`
			if n := strings.Count(got, line); n != 1 {
				t.Errorf("%d lines with %s in the log, want 1:\n%s", n, line, got)
			}
		}
		if n := strings.Count(got, string(EventAcceptFailed)); n != len(p.listeners) {
			t.Errorf("%d lines of failed accepts, want %d:\n%s", n, len(p.listeners), got)
		}
	})
}
