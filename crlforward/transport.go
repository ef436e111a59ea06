package crlforward

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout           = 300 * time.Millisecond  // dialTimeout is many times the round trip between failure domains; a dark server never answers.
	unackedTimeout        = 1500 * time.Millisecond // silentTimeout is how long sent bytes may stay unacknowledged.
	keepAliveInterval     = time.Second             // probeIdle is the silence after which a connection is probed.
	keepAliveProbes       = 2
	connectionBufferBytes = 4 << 10
)

// NewTransport returns a transport that opens a connection for each send.
//
// A connection of its own leaves no doubt whose answer arrives, and none whether a kept connection was closed or went
// silent before the request was read; opening one costs a round trip.
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

// setSilentTimeout ends a connection whose peer acknowledges nothing.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
