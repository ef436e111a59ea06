package crldaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlanswer"
	"github.com/cranberrylock/cranberrylock/crlconn"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlmember"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlsettings"
)

// Time-outs and limits of the daemon's connections.
const (
	connectTimeout        = time.Second
	peerCallTimeout       = time.Second
	maxIdlePerServer      = 64 // idle connections kept open per backend server or host of the platform
	readHeaderTimeout     = 10 * time.Second
	idleTimeout           = time.Minute // also ends a connection that stalls in the first bytes of a request
	maxConfigurationBytes = 8 << 20     // limit on the body of a request that publishes a configuration
)

// listeners are the listening sockets of a daemon: for callers, for operators (admin) and for other daemons (peers).
type listeners struct {
	callers, admin, peers net.Listener
}

// Serve runs a daemon on the addresses of its settings. When stop ends, the daemon stops gracefully and Serve returns
// nil. When base ends, open requests and connections are aborted, as in a crash of the VM.
func Serve(base, stop context.Context, settings *crlsettings.Settings) error {
	sockets, err := listen(settings)
	if err != nil {
		return err
	}
	peers := crlpeer.NewClient(crlpeer.ClientConfig{ConnectTimeout: connectTimeout, CallTimeout: peerCallTimeout})
	defer peers.Close()
	daemon, err := New(Config{
		Settings: settings,
		Log:      crlplatform.NewLogClient(crlplatform.LogClientConfig{URL: settings.LogURL, Client: platformClient()}),
		Engines: crlengine.NewClient(crlengine.ClientConfig{
			ConnectTimeout: connectTimeout, HeaderTimeout: settings.Limits.EngineHeader, IdlePerServer: maxIdlePerServer,
		}),
		Peers: peers,
		Rater: newRater(settings.RatingsURL, platformClient()),
		VMs:   vmLister(settings.VMListURL),
	})
	if err != nil {
		sockets.close()
		return err
	}
	return daemon.serve(base, stop, sockets)
}

// serve runs the daemon until it has stopped gracefully after the end of stop, or at once after the end of base.
func (d *Daemon) serve(base, stop context.Context, sockets listeners) error {
	callers := newHTTPServer(d.closeWhileDraining(crlentry.NewServer(crlentry.ServerConfig{
		Service: d.entry, MaxBodyBytes: d.config.Settings.Limits.BodyBytes,
	})))
	connections := crlconn.New(crlconn.Config{OnUnanswered: logUnanswered}, callers)
	sockets.callers = connections.Listener(sockets.callers)
	admin := newHTTPServer(d.newAdmin())
	running, cancel := context.WithCancel(base)
	defer cancel()
	var group run.Group
	add := func(actor func() error) { group.Add(actor, func(error) { cancel() }) }
	add(func() error { return d.Run(running) })
	add(func() error { return d.mux.Serve(running, sockets.peers) })
	group.Add(func() error { return serveHTTP(running, callers, sockets.callers) }, func(error) { _ = callers.Close() })
	group.Add(func() error { return serveHTTP(running, admin, sockets.admin) }, func(error) { _ = admin.Close() })
	add(func() error { return d.awaitStop(stop, running, sockets.callers, connections) })
	klog.Infof("daemon: %s accepts requests on %s", d.config.Settings.Name, sockets.callers.Addr())
	err := group.Run()
	if errors.Is(err, context.Canceled) || errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// closeWhileDraining makes a draining daemon answer with "Connection: close". Callers then open a new connection for the next
// request instead of sending it on one that is about to be closed.
func (d *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// errStopped is the error by which awaitStop ends the other goroutines of serve after a graceful stop.
var errStopped = errors.New("daemon stopped")

// awaitStop waits for the end of stop. It then drains the daemon: it waits DrainDelay, in which the load balancer in front of the
// daemons should notice, finishes all open requests, flushes the pending log entries and returns errStopped. It returns early
// if running ends, except during DrainDelay.
func (d *Daemon) awaitStop(stop, running context.Context, callers net.Listener, connections *crlconn.Tracker) error {
	select {
	case <-stop.Done():
	case <-running.Done():
		return running.Err()
	}
	d.Drain()
	time.Sleep(d.config.Settings.Limits.DrainDelay)
	if err := callers.Close(); err != nil {
		return fmt.Errorf("close the callers' listener: %w", err)
	}
	// No deadline, since a planned stop must not abort any request.
	if err := connections.Drain(running); err != nil {
		return fmt.Errorf("finish open requests: %w", err)
	}
	if err := d.Flush(running); err != nil {
		return err
	}
	klog.Infof("daemon: %s stopped", d.config.Settings.Name)
	return errStopped
}

func (d *Daemon) newAdmin() *crladmin.Server {
	return crladmin.NewServer(crladmin.ServerConfig{
		Configurations: d.store, Bills: d.ledger, Fleet: d, Reporter: d, BurnReporter: d,
		Metrics: d.metrics.registry(), MaxFileBytes: maxConfigurationBytes,
	})
}

// listen opens the three sockets of the settings, or none if one of them fails.
func listen(settings *crlsettings.Settings) (listeners, error) {
	var sockets listeners
	for _, s := range []struct {
		address string
		target  *net.Listener
	}{{settings.Listen, &sockets.callers}, {settings.AdminListen, &sockets.admin}, {settings.PeerListen, &sockets.peers}} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			sockets.close()
			return listeners{}, fmt.Errorf("listen on %s: %w", s.address, err)
		}
		*s.target = listener
	}
	return sockets, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.admin, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// logUnanswered logs that a caller's connection was closed without an answer to its request.
func logUnanswered(c crlconn.Closed) {
	klog.Warningf("daemon: closed the connection of %s without an answer: %d bytes of a request arrived, the first %s ago", c.Remote, c.ReadBytes, c.Waited)
}

// serveHTTP serves until the server or its listener is closed, and then waits for the end of running, so that closing this server doesn't
// end the other goroutines of the group.
func serveHTTP(running context.Context, server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-running.Done()
		return nil
	}
	return err
}

// vmLister returns a client of the platform's list of VMs, or nil if url is empty.
func vmLister(url string) crlmember.VMLister {
	if url == "" {
		return nil
	}
	return crlplatform.NewVMListClient(crlplatform.VMListClientConfig{URL: url, Client: platformClient()})
}

// platformClient returns an HTTP client without a total time-out; calls to the platform are bounded by their contexts.
func platformClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: crlanswer.NewTransport(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerServer})}
}
