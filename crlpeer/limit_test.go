package crlpeer

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestReplyLimitEndsCallsWithoutProgress guards against a call that goes on past the limit because a reply has begun and stalls, be it small or large, and
// against one that is ended while it brings a large reply. A large reply that stalled held its follower until the client's time-out before.
func TestReplyLimitEndsCallsWithoutProgress(t *testing.T) {
	const limit, stall, partTime = 310 * time.Millisecond, 150 * time.Millisecond, 100 * time.Millisecond
	large, part := strings.Repeat("x", LargeReplyBytes), strings.Repeat("x", progressBytes)
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
		{"large", []string{`{"jsonrpc":"2.0","id":0,"result":"`, large, part, part, part, part + `"}`}, 6 * partTime, true},
		{"large, a gap before the limit", []string{`{"jsonrpc":"2.0","id":0,"result":"` + large, ``, part, part + `"}`}, 4 * partTime, true},
		{"large, stalls before the limit", []string{`{"jsonrpc":"2.0","id":0,"result":"` + large}, limit, false},
		{"large, stalls at the limit", []string{`{"jsonrpc":"2.0","id":0,"result":"`, large}, 2*partTime + stall, false},
		{"large, stalls after the limit", []string{`{"jsonrpc":"2.0","id":0,"result":"`, large, part, part, part}, 5*partTime + stall, false},
		{"large, drips", []string{`{"jsonrpc":"2.0","id":0,"result":"`, large, ` `, ` `, ` `, ` `, ` `, ` `, `"}`}, 3*partTime + stall, false},
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
				ctx, stop := WithReplyLimit(t.Context(), ReplyLimit{Total: limit, Stall: stall})
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
