package crlforward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
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

// TestDialsThatFailOnThisVMDontBlameTheServer guards against healthy servers being left because this daemon has no free descriptor
// or port for a connection to them.
func TestDialsThatFailOnThisVMDontBlameTheServer(t *testing.T) {
	for _, tc := range []struct {
		call   string
		causes []syscall.Errno
		want   crlfleet.Outcome
	}{
		{"socket", []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}, crlfleet.OutcomeNeutral},
		{"connect", []syscall.Errno{syscall.EADDRNOTAVAIL}, crlfleet.OutcomeNeutral},
		{"connect", []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}, crlfleet.OutcomeUnreachable},
	} {
		for _, cause := range tc.causes {
			err := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(tc.call, cause)}
			if got := dialOutcome(err); got != tc.want {
				t.Errorf("dial that failed with %v: got outcome %v, want %v", cause, got, tc.want)
			}
		}
	}
}
