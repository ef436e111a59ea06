package crlengine

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startServer starts an engine that gives complete answers of one frame, and counts the connections that clients open to it.
func startServer(t testing.TB) (address string, count *atomic.Int64) {
	count = new(atomic.Int64)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderVersion, "a-1")
		_, _ = fmt.Fprint(w, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\n")
		w.(http.Flusher).Flush()
		time.Sleep(time.Millisecond) // The stream ends after its last frame, so that clients close the answer before its end.
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			count.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), count
}

func readAnswer(t testing.TB, c *Client, address string) {
	answer, err := c.Open(t.Context(), Attempt{Address: address, Version: "a-1", Body: []byte("{}")})
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	for _, err := range answer.Frames {
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestWholeAnswersShareAConnection(t *testing.T) {
	address, count := startServer(t)
	c := NewClient(ClientConfig{ConnectTimeout: time.Second, HeaderTimeout: time.Second, IdlePerServer: 4})
	const answers = 20
	for range answers {
		readAnswer(t, c, address)
		// The rest of an answer is read in the background after Close, before its connection can be reused.
		time.Sleep(5 * time.Millisecond)
	}
	if n := count.Load(); n > answers/2 {
		t.Errorf("%d answers used %d connections, want at most %d", answers, n, answers/2)
	}
}

// BenchmarkShortAnswers reads answers of one frame concurrently.
func BenchmarkShortAnswers(b *testing.B) {
	address, count := startServer(b)
	c := NewClient(ClientConfig{ConnectTimeout: time.Second, HeaderTimeout: 10 * time.Second, IdlePerServer: 64})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			readAnswer(b, c, address)
		}
	})
	b.ReportMetric(float64(count.Load())/float64(b.N), "connections/answer")
}
