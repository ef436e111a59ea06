package crldaemon

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestRequestThatArrivesAtTheEndOfAStopIsAnswered guards against a graceful stop that reads a request and closes its connection
// without an answer, because the request was still arriving when the daemon began to close connections.
func TestRequestThatArrivesAtTheEndOfAStopIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", 3)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		d := cluster.daemons[0]
		connection, err := cluster.network.Dialer("caller")(context.Background(), "tcp", d.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		if _, err := io.WriteString(connection, "GET /none HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		d.stop()
		time.Sleep(2 * d.settings.Limits.DrainDelay)
		if _, err := io.WriteString(connection, "Host: h\r\n\r\n"); err != nil {
			t.Errorf("send the rest of a request: %v", err)
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatalf("read the answer to a request that was arriving while the daemon stopped: %v", err)
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusNotFound {
			t.Errorf("got status %d, want 404", response.StatusCode)
		}
		if err := <-d.ended; err != nil {
			t.Errorf("the daemon ended with %v", err)
		}
	})
}

// TestStalledConnectionDoesntHoldUpAStop guards against a graceful stop that never ends, because a caller has sent the first bytes of
// a request on a kept connection and then nothing.
func TestStalledConnectionDoesntHoldUpAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", 3)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		d := cluster.daemons[0]
		connection, err := cluster.network.Dialer("caller")(context.Background(), "tcp", d.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		if _, err := io.WriteString(connection, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if _, err := io.WriteString(connection, "GE"); err != nil {
			t.Fatal(err)
		}
		d.stop()
		bound, cancel := context.WithTimeout(t.Context(), 2*idleTimeout)
		defer cancel()
		select {
		case err := <-d.ended:
			if err != nil {
				t.Errorf("the daemon ended with %v", err)
			}
		case <-bound.Done():
			t.Errorf("the daemon has not ended %s after the stop signal", 2*idleTimeout)
		}
	})
}
