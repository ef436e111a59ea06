package crlengine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cranberrylock/cranberrylock/crlanswer"
)

// maxHeadBytes bounds the head of an answer, so that one without end takes little memory.
const maxHeadBytes = 64 << 10

// newTransport returns a transport that uses no proxy. If unpooled is true, it opens a connection for each request.
func newTransport(config ClientConfig, unpooled bool) *crlanswer.Transport {
	dial := config.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return crlanswer.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, config.ConnectTimeout)
			defer cancel()
			return dialBeforeSendBy(ctx, dial, network, address)
		},
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    config.IdlePerServer,
		ResponseHeaderTimeout:  config.HeaderTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	})
}

// sendByKey is the context key of a ServiceAttempt's SendBy time.
type sendByKey struct{}

// errSendByPassed is the cause if an attempt was not sent because its SendBy time had passed.
var errSendByPassed = errors.New("not sent: the connection opened after the time until which the call may be sent")

func withSendBy(ctx context.Context, sendBy time.Time) context.Context {
	if sendBy.IsZero() {
		return ctx
	}
	return context.WithValue(ctx, sendByKey{}, sendBy)
}

// dialBeforeSendBy opens a connection. If the attempt's SendBy time has passed by then, it closes the connection and fails.
//
// A call that must not be sent twice opens its own connection. The check therefore comes after all waiting, and after any
// pause of the process meanwhile, but before anything is sent.
func dialBeforeSendBy(ctx context.Context, dial Dial, network, address string) (net.Conn, error) {
	connection, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if sendBy, ok := ctx.Value(sendByKey{}).(time.Time); ok && !time.Now().Before(sendBy) {
		_ = connection.Close()
		return nil, errSendByPassed
	}
	return connection, nil
}
