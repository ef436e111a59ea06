package crlforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlrollout"
)

// pacedTransport answers each send with a stream of ten events. Servers of version v2 are slower by a factor.
type pacedTransport struct {
	slowness  time.Duration // factor
	v2Servers map[string]bool
	mu        sync.Mutex // guards v2Sends
	v2Sends   []time.Time
}

func (p *pacedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	factor := time.Duration(1)
	if p.v2Servers[r.Header.Get("X-Server")] {
		factor = p.slowness
		p.mu.Lock()
		p.v2Sends = append(p.v2Sends, time.Now())
		p.mu.Unlock()
	}
	connect(r)
	time.Sleep(factor * 50 * time.Millisecond)
	reader, writer := io.Pipe()
	go func() {
		for n := range 10 {
			if _, err := io.WriteString(writer, events(n+1, n+1)); err != nil {
				return
			}
			time.Sleep(factor * 20 * time.Millisecond)
		}
		_ = writer.Close()
	}()
	return newResponse(r, http.StatusOK, signed, reader), nil
}

// rollOut sends a request every 30 ms while the service moves to version v2 within 24 s, and returns the times of the sends to v2.
func rollOut(slowness time.Duration) []time.Time {
	c := newCluster()
	transport := &pacedTransport{slowness: slowness, v2Servers: make(map[string]bool)}
	c.service.config.Transport = transport
	c.service.config.MaxConfirmationAge = time.Hour
	for n := range 4 {
		id := fmt.Sprint("t", n)
		transport.v2Servers[id] = true
		c.fleet.Announce(crlfleet.Entry{
			Server: crlid.Server(id), Service: "app", Address: fmt.Sprintf("10.0.1.%d:1", n), Domain: "near", Version: "v2",
		}, c.now())
	}
	c.service.config.Rollouts.AddOrder(crlrollout.Order{Service: "app", Target: "v2", Duration: 24 * time.Second, Position: crlid.Position{Offset: 1}}, false, c.now())
	for n := range 24 * 33 {
		go c.call(context.Background(), "/once/1", map[string]string{"X-Request": fmt.Sprint("r", n)})
		time.Sleep(30 * time.Millisecond)
		c.service.config.Rollouts.Due(c.now(), c.fleet.Capacity)
	}
	time.Sleep(10 * time.Second)
	transport.mu.Lock()
	defer transport.mu.Unlock()
	return transport.v2Sends
}

// TestSlowVersionIsLeft guards against a version that is only slow: its first bytes come after 0.4 s instead of 0.05 s, under the 1 s
// from which an answer counted as bad, and its events come more slowly, which was not measured.
func TestSlowVersionIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		sends := rollOut(8)
		if len(sends) < 5 || len(sends) > 50 {
			t.Errorf("%d requests reached a version that is 8 times slower, want 5 to 50", len(sends))
		}
		if last := sends[len(sends)-1].Sub(start); last > 22*time.Second {
			t.Errorf("the last request reached a version that is 8 times slower after %s, want it left before the last step", last)
		}
	})
}

// TestVersionOfEqualSpeedIsKept is the counterpart of TestSlowVersionIsLeft.
func TestVersionOfEqualSpeedIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		sends := rollOut(1)
		if last := sends[len(sends)-1].Sub(start); last < 23*time.Second {
			t.Errorf("the last request reached a version of equal speed after %s, want it used until the end", last)
		}
	})
}
