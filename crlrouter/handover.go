package crlrouter

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/cranberrylock/cranberrylock/crlconn"
	"github.com/cranberrylock/cranberrylock/crlforward"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// handoverPeers returns the function that lists the other routers to which requests may be handed over: all of the roster. It is nil if this router
// doesn't take any itself.
func (r *Router) handoverPeers() func() []crlforward.Peer {
	_, port, err := net.SplitHostPort(r.config.Settings.HandoverListen)
	if err != nil {
		return nil
	}
	return func() []crlforward.Peer { return r.peersOf(r.follower.Roster().Members, port) }
}

// placePeers returns the function that lists those of the other routers which have places at a random brittle server of a service. It is nil if this
// router doesn't take any requests itself.
func (r *Router) placePeers() func(crlid.Service) []crlforward.Peer {
	_, port, err := net.SplitHostPort(r.config.Settings.HandoverListen)
	if err != nil {
		return nil
	}
	return func(service crlid.Service) []crlforward.Peer {
		key, places, ok := r.fleet.BrittleServer(service)
		if !ok {
			return nil
		}
		return r.peersOf(r.follower.First(key, places), port)
	}
}

// peersOf returns the members without this router, with the port on which they take requests.
func (r *Router) peersOf(members []crlrelay.Member, port string) []crlforward.Peer {
	peers := make([]crlforward.Peer, 0, len(members))
	for _, m := range members {
		if host, _, err := net.SplitHostPort(m.Address); err == nil && m.Address != r.follower.Self().Address {
			peers = append(peers, crlforward.Peer{Address: net.JoinHostPort(host, port), Domain: m.Domain})
		}
	}
	return peers
}

// listenForHandovers opens the listener for requests that other routers hand over, and adds its server to the group.
func (r *Router) listenForHandovers(taskCtx context.Context, group *supervisor) error {
	if r.config.Settings.HandoverListen == "" {
		return nil
	}
	listener, err := r.openListener(r.config.Settings.HandoverListen)
	if err != nil {
		return fmt.Errorf("listen for requests that other routers hand over: %w", err)
	}
	server := r.newHandoverServer()
	connections := crlconn.New(crlconn.Config{StallTimeout: callerStallTimeout, OnStalled: r.logStalled}, server)
	group.Add(func() error { return server.Serve(connections.Listener(listener)) }, func(error) {
		// What the drain has answered may still be on its way.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(taskCtx), shutdownMargin/2)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	return nil
}

// newHandoverServer returns the server of requests that other routers hand over.
func (r *Router) newHandoverServer() *http.Server {
	return &http.Server{
		Handler: r.service.Handovers(), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, DisableGeneralOptionsHandler: true,
	}
}
