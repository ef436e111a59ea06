package crlpeer

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestReplyLimitEndsSmallRepliesOnly guards against a call that goes on past the limit because a small reply has begun and stalls, and against one that is
// ended while it brings a large reply.
func TestReplyLimitEndsSmallRepliesOnly(t *testing.T) {
	const limit, partTime = 300 * time.Millisecond, 100 * time.Millisecond
	large := strings.Repeat("x", largeReplyBytes)
	for _, test := range []struct {
		name   string
		parts  []string // parts of the reply, one every partTime
		want   time.Duration
		wantOK bool
	}{
		{"in time", []string{`{"jsonrpc":"2.0","id":0,`, `"result":"small"}`}, 2 * partTime, true},
		{"nothing", nil, limit, false},
		{"stalls", []string{`{"jsonrpc":"2.0","id":0,`}, limit, false},
		{"drips", []string{`{"jsonrpc":"2.0",`, `"id":0,`, ` `, ` `, ` `, `"result":"small"}`}, limit, false},
		{"large", []string{`{"jsonrpc":"2.0","id":0,"result":"`, large, ` `, ` `, ` `, `"}`}, 6 * partTime, true},
		{"large, stalls", []string{`{"jsonrpc":"2.0","id":0,"result":"`, large}, 2*partTime + time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				go func() {
					_, _ = far.Read(make([]byte, 1<<10))
					for _, part := range test.parts {
						time.Sleep(partTime)
						if _, err := far.Write([]byte(part)); err != nil {
							return
						}
					}
				}()
				client := NewClient(ClientConfig{
					ConnectTimeout: time.Second, CallTimeout: time.Second, TransferTimeout: 5 * time.Second,
					Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil },
				})
				ctx, stop := WithReplyLimit(t.Context(), limit)
				defer stop()
				start := time.Now()
				var result string
				err := client.Call(ctx, "peer", "follow", struct{}{}, &result)
				if took := time.Since(start); took != test.want || (err == nil) != test.wantOK {
					t.Errorf("error %v after %s, want success %v after %s", err, took, test.wantOK, test.want)
				}
				client.Close()
				_ = far.Close()
				time.Sleep(time.Second) // Let the peer end.
			})
		})
	}
}
