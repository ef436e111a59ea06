package crlengine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// newTransport returns a transport that uses no proxy; with once set it keeps no connection.
func newTransport(config ClientConfig, once bool) *http.Transport {
	dial := config.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, config.ConnectTimeout)
			defer cancel()
			return dialBeforeSendBy(ctx, dial, network, address)
		},
		DisableKeepAlives:     once,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   config.IdlePerServer,
		ResponseHeaderTimeout: config.HeaderTimeout,
	}
}

// sendByKey is the context key of an attempt's last moment to leave.
type sendByKey struct{}

// errTooLate is the cause when an attempt was not sent because its time had passed.
var errSendByPassed = errors.New("the time to send had passed")

func withSendBy(ctx context.Context, sendBy time.Time) context.Context {
	if sendBy.IsZero() {
		return ctx
	}
	return context.WithValue(ctx, sendByKey{}, sendBy)
}

// dialInTime gives up a connection that was opened after the attempt's last moment.
//
// A call that may not be repeated opens its own connection, so this check comes
// after every wait and pause, and no byte has left before it.
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
