package crlforward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cranberrylock/cranberrylock/crlanswer"
)

const (
	// dialTimeout is many times the round trip between failure domains. An unreachable server does not refuse a connection
	// but never answers, so a send would otherwise wait for the timeout of TCP.
	dialTimeout       = 300 * time.Millisecond
	maxDialTimeout    = 1200 * time.Millisecond // longer than the round trip on a saturated link of this VM, with queues of 0.5 s
	keepAliveInterval = time.Second             // idle time before the first TCP keep-alive probe, and time between probes
	// keepAliveProbes is the number of unanswered probes in a row after which a connection is closed. A saturated link of this VM
	// delays or loses a few; the watchdog ends what may be sent again long before.
	keepAliveProbes       = 5
	connectionBufferBytes = 4 << 10
	maxHeadBytes          = 64 << 10 // a longer head of an answer ends the send
)

// TransportConfig configures the transport of sends.
type TransportConfig struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error) // opens connections; nil for TCP
}

// NewTransport returns a transport that opens a new connection for each send, at the cost of a round trip.
//
// With a connection per send it is certain which request an answer belongs to, and a send can't fail because a reused
// connection was closed or became unresponsive before the server read the request.
//
// TCP_USER_TIMEOUT is not set: it closes a connection after a single unanswered keep-alive probe, and one whose server is alive
// but does not read on.
func NewTransport(config TransportConfig) *crlanswer.Transport {
	return crlanswer.NewTransport(newUncheckedTransport(config))
}

// newUncheckedTransport returns the transport of net/http under that of NewTransport.
func newUncheckedTransport(config TransportConfig) *http.Transport {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		}).DialContext
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		timeout, ok := ctx.Value(dialTimeoutKey{}).(time.Duration)
		if !ok {
			timeout = dialTimeout
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return config.Dial(ctx, network, address)
	}
	return &http.Transport{
		DialContext: dial, DisableKeepAlives: true, DisableCompression: true,
		WriteBufferSize: connectionBufferBytes, ReadBufferSize: connectionBufferBytes, MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// dialTimeoutKey is the key of a send's dial time-out in its context.
type dialTimeoutKey struct{}

// withDialTimeout returns a context for a send on a transport of NewTransport, whose dial takes at most timeout.
func withDialTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, dialTimeoutKey{}, timeout)
}
