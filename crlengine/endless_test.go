package crlengine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestHeadWithoutEnd guards against the head of an answer that takes memory as long as its server sends more of it.
func TestHeadWithoutEnd(t *testing.T) {
	const (
		// maxTaken is well below the 10 MiB that net/http allows, and above what the buffers of two sockets hold.
		maxTaken  = 8 << 20
		lineBytes = 16 << 10
	)
	taken := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = connection.Close() }()
		written, line := 0, "HTTP/1.1 200 OK\r\n"
		for {
			n, err := io.WriteString(connection, line)
			if written += n; err != nil {
				taken <- written
				return
			}
			line = "X-More: " + strings.Repeat("x", lineBytes) + "\r\n"
		}
	}))
	defer server.Close()
	client := NewClient(ClientConfig{ConnectTimeout: time.Second, HeaderTimeout: time.Minute})
	_, err := client.Call(t.Context(), ServiceAttempt{Server: "s", Address: server.Listener.Addr().String(), Service: "app", Request: "r", Body: []byte("{}")})
	if err == nil {
		t.Error("an answer whose head has no end is accepted")
	}
	if got := <-taken; got > maxTaken {
		t.Errorf("%d bytes of a head without end were taken, want at most %d", got, maxTaken)
	}
}
