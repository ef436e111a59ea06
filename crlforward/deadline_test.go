package crlforward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// TestStatedTimeIsWhatIsLeftOnceConnected guards against servers that are handed more time than their callers have left (BUDGET): the time that opening the
// connection takes, a second for a started stream whose server's queue of connections is full, has passed when the request is written.
func TestStatedTimeIsWhatIsLeftOnceConnected(t *testing.T) {
	const left = 9 * time.Second
	for _, failedDials := range []int{0, 2} {
		for _, receiver := range []string{"server", "router"} {
			t.Run(fmt.Sprintf("%s_after_%d_failed_dials", receiver, failedDials), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster()
					took := 5 * min(dialTimeout<<failedDials, maxDialTimeout) / 6
					stated := make(chan string, 1)
					c.service.config.Transport = NewTransport(TransportConfig{Dial: func(context.Context, string, string) (net.Conn, error) {
						time.Sleep(took)
						near, far := net.Pipe()
						go func() {
							defer func() { _ = far.Close() }()
							if r, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
								stated <- r.Header.Get("X-Deadline")
							}
						}()
						return near, nil
					}})
					request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/search/1", nil)
					x := &exchange{
						request: request, target: target{raw: "/search/1", path: "/search/1"}, route: &crlroute.Route{}, service: &crlroute.Service{Name: "app"},
						deadline: time.Now().Add(left), failedDials: failedDials,
					}
					encode := c.service.encodeHandover(x, 1)
					if receiver == "server" {
						encode = c.service.encodeAttempt(x, &crlfleet.Pick{}, &modelPlan{})
					}
					response, _, err := c.service.roundTrip(t.Context(), func(error) {}, x, "10.0.0.1:80", func() {}, encode)
					if err == nil {
						_ = response.Body.Close()
						t.Fatal("the receiver closes without an answer, want an error")
					}
					if got, want := <-stated, fmt.Sprint((left - took).Milliseconds()); got != want {
						t.Errorf("%s ms are stated, want the %s that are left", got, want)
					}
				})
			})
		}
	}
}
