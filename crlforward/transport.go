package crlforward

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is many times the round trip between failure domains. An unreachable server does not refuse a connection
	// but never answers, so a send would otherwise wait for the timeout of TCP.
	dialTimeout           = 300 * time.Millisecond
	unackedTimeout        = 1500 * time.Millisecond // how long sent bytes may stay unacknowledged before the connection is closed
	keepAliveInterval     = time.Second             // idle time before the first TCP keep-alive probe, and time between probes
	keepAliveProbes       = 2                       // unanswered probes after which the connection is closed
	connectionBufferBytes = 4 << 10
)

// NewTransport returns a transport that opens a new connection for each send, at the cost of a round trip.
//
// With a connection per send it is certain which request an answer belongs to, and a send can't fail because a reused
// connection was closed or became unresponsive before the server read the request.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUnackedTimeout,
	}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		WriteBufferSize: connectionBufferBytes, ReadBufferSize: connectionBufferBytes,
	}
}

// setUnackedTimeout sets TCP_USER_TIMEOUT, which closes a connection whose peer does not acknowledge sent bytes.
func setUnackedTimeout(_, _ string, connection syscall.RawConn) error {
	var optionErr error
	err := connection.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
