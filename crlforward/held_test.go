package crlforward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// heldWriter is the writer of a caller that reads nothing until release is closed.
type heldWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

func (w *heldWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.ResponseRecorder.Write(p)
}

// TestSlowReadersDontExceedTheMemory guards against a daemon that ends for want of memory because many callers read large answers slowly. Each of
// them still gets its answer whole.
func TestSlowReadersDontExceedTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, size, limit = 60, 900_000, 5 << 20
		c := newCluster(repeat(answers(strings.Repeat("x", size)), callers)...)
		c.service.held.limit = limit
		release := make(chan struct{})
		var wait sync.WaitGroup
		for i := range callers {
			wait.Go(func() {
				w := &heldWriter{httptest.NewRecorder(), release}
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/read/1", strings.NewReader("body"))
				r.RequestURI = "/read/1"
				r.Header.Set("X-Request", fmt.Sprint("r", i))
				r.Header.Set("X-Key", "key")
				c.service.ServeHTTP(w, r)
				if w.Code != http.StatusOK || w.Body.Len() != size {
					t.Errorf("caller %d got status %d and %d bytes of %d", i, w.Code, w.Body.Len(), size)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		if held := c.service.held.used.Load(); held > limit || held < limit/2 {
			t.Errorf("%d bytes are held, want at most %d and not much less", held, limit)
		}
		close(release)
		wait.Wait()
		if held := c.service.held.used.Load(); held != 0 {
			t.Errorf("%d bytes are counted after the end of all requests", held)
		}
	})
}

// TestHeldAnswerIsComplete guards against an answer that loses or repeats bytes when the memory for it is used up, wherever that is.
func TestHeldAnswerIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 150_000).Draw(t, "size"))
		s := &Service{held: heldBytes{limit: int64(rapid.IntRange(1, 1<<21).Draw(t, "limit"))}}
		x, body := &exchange{}, bytes.NewReader(content)
		held, complete, err := s.readHeld(x, body)
		rest, _ := io.ReadAll(body)
		if err != nil || !bytes.Equal(append(held, rest...), content) || complete && len(rest) > 0 {
			t.Fatalf("held %d bytes (complete: %t, error %v) and left %d of %d", len(held), complete, err, len(rest), len(content))
		}
		if used := s.held.used.Load(); used > s.held.limit || used != x.heldBytes || int64(cap(held)) > freeHeldBytes+used {
			t.Fatalf("%d bytes are counted of %d, with a limit of %d", used, cap(held), s.held.limit)
		}
		if s.releaseHeld(x); s.held.used.Load() != 0 {
			t.Fatalf("%d bytes are counted after the release", s.held.used.Load())
		}
	})
}

// TestIncompleteFailureIsNotDelivered guards against the first part of a server's failure, which is all that there was memory for, being taken for
// the whole.
func TestIncompleteFailureIsNotDelivered(t *testing.T) {
	const size = 100_000
	for _, tc := range []struct {
		name   string
		limit  int64
		status int
		bytes  int // 0 for the router's own refusal
	}{
		{"memory for the whole", 1 << 20, http.StatusInternalServerError, size},
		{"memory for a part", 1, http.StatusBadGateway, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(func(r *http.Request) (*http.Response, error) {
					connect(r)
					return newResponse(r, http.StatusInternalServerError, signed, strings.NewReader(strings.Repeat("x", size))), nil
				})
				c.service.held.limit = tc.limit
				got, aborted := c.call(t.Context(), "/file/1", nil)
				if got.Code != tc.status || aborted || strings.Count(got.Body.String(), "x") != tc.bytes {
					t.Errorf("got %d with %d bytes, cut off %v, want %d with %d bytes of the server's", got.Code, got.Body.Len(), aborted, tc.status, tc.bytes)
				}
			})
		})
	}
}

// stalledWriter fails after some writes, as a connection does whose caller doesn't read.
type stalledWriter struct {
	*httptest.ResponseRecorder
	writes int
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	if w.writes--; w.writes < 0 {
		return 0, errors.New("write to the caller made no progress")
	}
	return w.ResponseRecorder.Write(p)
}

// TestStalledCallerEndsItsStream guards against a stream that goes on at its server, or that the caller takes for complete, when its caller doesn't read.
func TestStalledCallerEndsItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(answers(events(1, 100)))
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/draft/1", strings.NewReader("body"))
		r.RequestURI = "/draft/1"
		r.Header.Set("X-Request", "r1")
		r.Header.Set("X-Key", "key")
		func() {
			defer func() {
				if err, ok := recover().(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
					t.Errorf("the handler ended with %v, want an aborted connection", err)
				}
			}()
			c.service.ServeHTTP(&stalledWriter{httptest.NewRecorder(), 3}, r)
		}()
		if line := c.findLine(t, "r1"); line.Cause != "write to the caller made no progress" || len(c.backend.sent) != 1 {
			t.Errorf("logged cause %q after %d sends", line.Cause, len(c.backend.sent))
		}
	})
}
