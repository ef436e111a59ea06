package crlforward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlroute"
)

// TestBodiesAreBounded guards against a router that is killed with all its open requests (LOST), because many callers send large bodies at once, each within the
// configured limit. Small bodies find room beside large ones, and a refused request has not run.
func TestBodiesAreBounded(t *testing.T) {
	const (
		limit  = 8 << 20
		large  = 1 << 20
		middle = 100 << 10
		small  = 10 << 10
		tooBig = 4<<20 + 1
	)
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				c.service.bodies.limit = limit
				table := crlroute.NewTable(crlroute.TableConfig{
					Routes: []crlroute.Route{{
						Name: "file", Host: "h", Prefix: "/", Kind: crlroute.KindNonIdempotent, Timeout: 10 * time.Second, Attempts: 1,
						Targets: []crlroute.Target{{Service: "app", Weight: 1}},
					}},
					Services: []crlroute.Service{{Name: "app"}}, Limits: crlroute.Limits{BodyBytes: 4 << 20},
				})
				c.service.config.State = func() State { return State{Table: table, ConfirmedAt: c.now()} }
				c.service.config.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
					connect(r)
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return nil, err
					}
					time.Sleep(2 * time.Second)
					return newResponse(r, http.StatusOK, signed, bytes.NewReader([]byte("done"))), nil
				})
				var mu sync.Mutex
				statuses := make(map[string]int)
				var open sync.WaitGroup
				send := func(name string, size int) {
					open.Go(func() {
						var body io.Reader = bytes.NewReader(make([]byte, size))
						if chunked {
							body = struct{ io.Reader }{body}
						}
						r := httptest.NewRequest(http.MethodPost, "http://h/", body)
						r.Header.Set("X-Request", "r1")
						recorder := httptest.NewRecorder()
						start := time.Now()
						c.service.ServeHTTP(recorder, r)
						mu.Lock()
						defer mu.Unlock()
						statuses[fmt.Sprint(name, " ", recorder.Code)]++
						if recorder.Code == http.StatusServiceUnavailable && (recorder.Header().Get("Retry-After") == "" || time.Since(start) > 0) {
							t.Errorf("refused after %s with Retry-After %q", time.Since(start), recorder.Header().Get("Retry-After"))
						}
					})
				}
				for range 20 {
					send("large", large)
				}
				synctest.Wait()
				if used := float64(c.service.BodyBytes()); used > largeBodiesFraction*limit {
					t.Errorf("%.0f bytes of large bodies are held, want at most %.0f", used, largeBodiesFraction*limit)
				}
				for range 10 {
					send("middle", middle)
					send("small", small)
				}
				send("too big", tooBig)
				synctest.Wait()
				if used := c.service.BodyBytes(); used > limit {
					t.Errorf("%d bytes are held, want at most %d", used, limit)
				}
				open.Wait()
				served := statuses["large 200"]
				if served == 0 || served+statuses["large 503"] != 20 || statuses["middle 200"] != 10 || statuses["small 200"] != 10 || statuses["too big 200"] > 0 {
					t.Errorf("got %v, want some of the large ones served, the others refused, and all middle and small ones served", statuses)
				}
				if used := c.service.BodyBytes(); used != 0 {
					t.Errorf("%d bytes count as held after the last request", used)
				}
				send("large", large)
				open.Wait()
				if statuses["large 200"] != served+1 {
					t.Error("a large body is refused when nothing else is held")
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// roundTripper is a function that serves as an http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
