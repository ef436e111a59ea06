package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// TestProcessKeepsAPartFromServersThatItCrashes guards against a part that goes on crashing servers (BUDGET), and against sound requests that fail with it
// (LOST), at a router that runs as a process, whether servers end before the head of an answer or after its first event.
func TestProcessKeepsAPartFromServersThatItCrashes(t *testing.T) {
	const (
		servers     = 14
		requests    = 8 // of three attempts each, enough to crash all
		mostCrashes = 9 // three requests
		head        = "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s"
		event       = "id: 1\ndata: a\n\n"
		rest        = "id: 2\ndata: b\n\n"
	)
	for _, form := range []string{"before the head", "after an event"} {
		t.Run(form, func(t *testing.T) {
			var crashes atomic.Int32
			address := startRouter(t, servers, func(listener net.Listener, connection *net.TCPConn) {
				defer func() { _ = connection.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				text := event + rest
				deadly := strings.Contains(standin.Prompt(request.Header), "dead")
				if deadly {
					text = event
				}
				if !deadly || form == "after an event" {
					_, _ = fmt.Fprintf(connection, head, standin.AnswerHeader(request), len(event+rest), text)
				}
				if deadly {
					time.Sleep(10 * time.Millisecond)
					_ = listener.Close()
					crashes.Add(1)
				}
			})
			for end := time.Now().Add(20 * time.Second); post(t, address, "/draft/1", "sound", "aa:400,01:50", 16) != http.StatusOK; time.Sleep(100 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the router answers no request within 20 s")
				}
			}
			for n := range requests {
				post(t, address, "/draft/1", fmt.Sprint("deadly", n), fmt.Sprintf("aa:400,dead:200,%x:50", n), 16+n)
			}
			if got := crashes.Load(); got > mostCrashes {
				t.Errorf("%d requests with the part crashed %d servers, want at most %d", requests, got, mostCrashes)
			}
			if got := post(t, address, "/draft/1", "beside", "aa:400,02:50", 15); got != http.StatusOK {
				t.Errorf("a sound request beside got %d, want 200", got)
			}
		})
	}
}
