package crlpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestCallsEndAtTheirDeadlineWhileAPeerReadsNothing guards against calls that wait beyond their deadline behind one that can't be
// written, because the peer doesn't read from the connection.
func TestCallsEndAtTheirDeadlineWhileAPeerReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		client := NewClient(ClientConfig{
			ConnectTimeout: time.Second, CallTimeout: time.Second,
			Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil },
		})
		defer client.Close()
		failures := make(chan error, 3)
		start := time.Now()
		for range cap(failures) {
			go func() { failures <- client.Call(t.Context(), "peer", "heartbeat", struct{}{}, nil) }()
		}
		for range cap(failures) {
			var callError *Error
			if err := <-failures; !errors.As(err, &callError) {
				t.Fatalf("call to a peer that reads nothing failed with %v, want an *Error", err)
			}
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Fatalf("three concurrent calls took %s, want at most 2s for a timeout of 1s each", took)
		}
	})
}

// TestErrorOfACallStatesWhatArrived guards against logs in which a reply that came too late looks like one that never came.
func TestErrorOfACallStatesWhatArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		go func() {
			buffer := make([]byte, 1<<10)
			_, _ = far.Read(buffer)
			_, _ = far.Write([]byte(`{"jsonrpc":"2.0","id":0,"result":"unfinished`))
		}()
		client := NewClient(ClientConfig{
			ConnectTimeout: time.Second, CallTimeout: time.Second,
			Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil },
		})
		defer client.Close()
		err := client.Call(t.Context(), "peer", "heartbeat", struct{}{}, nil)
		const want = "call to peer peer, method heartbeat: context deadline exceeded after 44 bytes"
		if err == nil || err.Error() != want {
			t.Errorf("call whose reply began and did not end: got error %v, want %s", err, want)
		}
	})
}

// TestCallGoesOnWhileItsReplyArrives guards against calls that end, and are made anew, while a large reply is on its way over a thin link, and
// against calls that go on when its bytes stop or don't end.
func TestCallGoesOnWhileItsReplyArrives(t *testing.T) {
	const callTimeout, transferTimeout = time.Second, 5 * time.Second
	for _, test := range []struct {
		name     string
		transfer time.Duration // TransferTimeout of the client
		parts    int           // parts of the reply that arrive, one every 0.8 s; the last of four completes it
		want     time.Duration // time that the call takes
		wantOK   bool
	}{
		{name: "complete", transfer: transferTimeout, parts: 4, want: 3200 * time.Millisecond, wantOK: true},
		{name: "no transfer time", parts: 4, want: callTimeout},
		{name: "stalled", transfer: transferTimeout, parts: 2, want: 2600 * time.Millisecond},
		{name: "nothing", transfer: transferTimeout, parts: 0, want: callTimeout},
		{name: "endless", transfer: transferTimeout, parts: 100, want: transferTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				go func() {
					_, _ = far.Read(make([]byte, 1<<10))
					parts := []string{`{"jsonrpc":"2.0",`, `"id":0,`, `"result":"`, `whole"}`}
					for n := range test.parts {
						time.Sleep(800 * time.Millisecond)
						part := " "
						if test.parts == len(parts) || n < len(parts)-1 {
							part = parts[n]
						}
						if _, err := far.Write([]byte(part)); err != nil {
							return
						}
					}
				}()
				client := NewClient(ClientConfig{
					ConnectTimeout: time.Second, CallTimeout: callTimeout, TransferTimeout: test.transfer,
					Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil },
				})
				start := time.Now()
				var result string
				err := client.Call(t.Context(), "peer", "follow", struct{}{}, &result)
				if took := time.Since(start); took != test.want || (err == nil) != test.wantOK {
					t.Errorf("got %q and error %v after %s, want success %v after %s", result, err, took, test.wantOK, test.want)
				}
				client.Close()
				_ = far.Close()
				time.Sleep(time.Second) // Let the peer end.
			})
		})
	}
}

// TestLargeReplyIsWrittenForAsLongAsItIsRead guards against a server that breaks off a large reply because it takes longer than the time for
// a write, although the peer reads all the while.
func TestLargeReplyIsWrittenForAsLongAsItIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		large := strings.Repeat("x", 10*writeChunkBytes)
		conn := &deadlineConn{Conn: near, timeout: time.Second}
		written := make(chan error, 1)
		go func() {
			_, err := fmt.Fprint(conn, large)
			written <- err
		}()
		buffer := make([]byte, writeChunkBytes)
		for read := 0; read < len(large); {
			time.Sleep(900 * time.Millisecond)
			n, err := far.Read(buffer)
			if err != nil {
				t.Fatalf("the writer broke off after %d of %d bytes: %v", read, len(large), err)
			}
			read += n
		}
		if err := <-written; err != nil {
			t.Error(err)
		}
	})
}
