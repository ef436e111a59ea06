package crlrouter

import (
	"errors"
	"log/slog"
	"net"

	"github.com/cranberrylock/cranberrylock/crllog"
)

// EventAcceptFailed is logged when a listener could not accept a connection, as without a free descriptor.
const EventAcceptFailed crllog.Event = "accept-failed"

// openListener opens a TCP listener whose failures to accept are logged.
func (r *Router) openListener(address string) (net.Listener, error) {
	listener, err := r.config.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &loggedListener{Listener: listener, address: address, router: r}, nil
}

// loggedListener logs failures to accept. Its server pauses after each, so that few are logged.
type loggedListener struct {
	net.Listener
	address string
	router  *Router
}

// Accept accepts a connection, and logs a failure unless the listener is closed.
func (l *loggedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.router.config.Logger.Event(EventAcceptFailed, slog.String("listen", l.address), slog.String("cause", err.Error()),
			slog.Int("open-requests", l.router.service.OpenRequests()))
	}
	return connection, err
}
