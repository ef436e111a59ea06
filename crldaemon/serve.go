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
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlmember"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlsettings"
)

// Bounds of the daemon's sockets.
const (
	connectTimeout        = time.Second
	peerCallTimeout       = time.Second
	maxIdlePerServer      = 64
	readHeaderTimeout     = 10 * time.Second
	maxConfigurationBytes = 8 << 20
)

// listeners are the sockets of a daemon.
type listeners struct {
	callers, admin, peers net.Listener
}

// Serve runs a daemon on its configured addresses until stop ends and it has stopped gracefully, or base ends and
// it cuts what is open, as the death of its VM would.
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

// serve runs the daemon until stop ends and it has stopped gracefully, or base ends and it stops at once.
func (d *Daemon) serve(base, stop context.Context, sockets listeners) error {
	callers := newHTTPServer(d.closeWhileDraining(crlentry.NewServer(crlentry.ServerConfig{
		Service: d.entry, MaxBodyBytes: d.config.Settings.Limits.BodyBytes,
	})))
	admin := newHTTPServer(d.newAdmin())
	running, cancel := context.WithCancel(base)
	defer cancel()
	var group run.Group
	add := func(actor func() error) { group.Add(actor, func(error) { cancel() }) }
	add(func() error { return d.Run(running) })
	add(func() error { return d.mux.Serve(running, sockets.peers) })
	group.Add(func() error { return serveHTTP(running, callers, sockets.callers) }, func(error) { _ = callers.Close() })
	group.Add(func() error { return serveHTTP(running, admin, sockets.admin) }, func(error) { _ = admin.Close() })
	add(func() error { return d.awaitStop(stop, running, callers) })
	klog.Infof("daemon: %s serves callers on %s", d.config.Settings.Name, sockets.callers.Addr())
	err := group.Run()
	if errors.Is(err, context.Canceled) || errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// closeWhileDraining asks callers of a leaving daemon to connect anew, so that none sends on a connection that closes.
func (d *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// errStopped ends the actors after a graceful stop.
var errStopped = errors.New("daemon stopped")

// awaitStop waits for the order to stop and finishes everything that is open.
func (d *Daemon) awaitStop(stop, running context.Context, callers *http.Server) error {
	select {
	case <-stop.Done():
	case <-running.Done():
		return running.Err()
	}
	d.Drain()
	time.Sleep(d.config.Settings.Limits.DrainDelay)
	// No deadline: a planned stop cuts off no request.
	if err := callers.Shutdown(running); err != nil {
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

func listen(settings *crlsettings.Settings) (listeners, error) {
	var sockets listeners
	for _, s := range []struct {
		address string
		target  *net.Listener
	}{{settings.Listen, &sockets.callers}, {settings.Admin, &sockets.admin}, {settings.Peer, &sockets.peers}} {
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
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

// serveHTTP serves until the server is closed and every other part has ended.
func serveHTTP(running context.Context, server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-running.Done()
		return nil
	}
	return err
}

// vmLister returns nil when the platform has no VM list.
func vmLister(url string) crlmember.VMLister {
	if url == "" {
		return nil
	}
	return crlplatform.NewVMListClient(crlplatform.VMListClientConfig{URL: url, Client: platformClient()})
}

func platformClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerServer}}
}
