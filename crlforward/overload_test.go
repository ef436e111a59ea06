package crlforward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// TestOverloadIsRefusedBeforeTheBody guards against a daemon that ends for want of memory, and cuts every open request, because it
// reads the bodies of more requests at once than it may have open.
func TestOverloadIsRefusedBeforeTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		const limit = 4
		c.service.config.MaxOpenRequests = limit
		bodies := make([]*io.PipeWriter, limit)
		answered := make(chan int, limit)
		for i := range bodies {
			var body *io.PipeReader
			body, bodies[i] = io.Pipe()
			go func() {
				recorder := httptest.NewRecorder()
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/none/1", body)
				r.RequestURI = "/read/1"
				r.Header.Set("X-Request", "slow")
				r.Header.Set("X-Key", "key")
				c.service.ServeHTTP(recorder, r)
				answered <- recorder.Code
			}()
		}
		synctest.Wait()
		body, writer := io.Pipe()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/none/1", body)
		r.RequestURI = "/read/1"
		r.Header.Set("X-Request", "r1")
		r.Header.Set("X-Key", "key")
		recorder := httptest.NewRecorder()
		start := time.Now()
		time.AfterFunc(500*time.Millisecond, func() { _ = writer.Close() })
		c.service.ServeHTTP(recorder, r)
		if took := time.Since(start); recorder.Code != http.StatusServiceUnavailable || took > 0 {
			t.Errorf("got status %d after %s, want 503 before the body is read", recorder.Code, took)
		}
		for i := range bodies {
			_ = bodies[i].Close()
			<-answered
		}
	})
}
