package crlconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
)

// stallServer is a server whose answers have a size that no buffer holds, and stop a caller's connection after stallTimeout without progress.
type stallServer struct {
	server  *http.Server
	tracker *Tracker
	stalled chan Stalled
	failed  chan error // errors of the handlers' writes, nil for one that was written
	served  chan error
}

const (
	stallTimeout = 5 * time.Second
	largeAnswer  = 200_000 // bytes
)

func newStallServer(l net.Listener, timeout time.Duration, size int) *stallServer {
	s := &stallServer{stalled: make(chan Stalled, 10), failed: make(chan error, 10), served: make(chan error, 1)}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := w.Write(make([]byte, size))
		if err != nil && r.Context().Err() == nil {
			err = fmt.Errorf("the request's context goes on after %w", err)
		}
		s.failed <- err
	})}
	s.tracker = New(Config{StallTimeout: timeout, OnStalled: func(c Stalled) { s.stalled <- c }}, s.server)
	go func() { s.served <- s.server.Serve(s.tracker.Listener(l)) }()
	return s
}

func (s *stallServer) close(t *testing.T) {
	t.Helper()
	if err := s.server.Close(); err != nil {
		t.Errorf("close the server: %v", err)
	}
	if err := <-s.served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("serve: %v", err)
	}
}

// TestCallerThatStopsReadingIsAborted guards against requests that stay open, with all that is held for them, because their callers don't read, and
// against such a caller taking the part that it has for the whole answer.
func TestCallerThatStopsReadingIsAborted(t *testing.T) {
	for _, read := range []int64{0, 50_000} {
		synctest.Test(t, func(t *testing.T) {
			l := crlfake.NewListener()
			s := newStallServer(l, stallTimeout, largeAnswer)
			defer s.close(t)
			caller := dial(t, l)
			start := time.Now()
			if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.CopyN(io.Discard, caller, read); err != nil {
				t.Fatal(err)
			}
			if err := <-s.failed; !errors.Is(err, ErrStalled) {
				t.Errorf("the handler's write ended with %v", err)
			}
			report := <-s.stalled
			if took := time.Since(start); took < stallTimeout || took > stallTimeout*6/5 || report.WrittenBytes < read || report.WrittenBytes > read+10_000 {
				t.Errorf("aborted after %s, reported %+v", took, report)
			}
			time.Sleep(time.Second)
			if rest, err := io.Copy(io.Discard, caller); read+rest >= largeAnswer || err != nil && !errors.Is(err, io.ErrClosedPipe) {
				t.Errorf("the caller can read %d bytes more (%v)", rest, err)
			}
			if open := len(s.tracker.snapshot()); open != 0 {
				t.Errorf("%d connections are open", open)
			}
		})
	}
}

// TestCallerThatReadsSlowlyGetsItsAnswer guards against an answer that is aborted because it takes long, though its caller goes on reading.
func TestCallerThatReadsSlowlyGetsItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := crlfake.NewListener()
		s := newStallServer(l, stallTimeout, largeAnswer)
		defer s.close(t)
		caller := dial(t, l)
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReaderSize(caller, 4000), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		start, got := time.Now(), int64(0)
		for err == nil {
			time.Sleep(4900 * time.Millisecond)
			var n int64
			n, err = io.CopyN(io.Discard, response.Body, 20_000)
			got += n
		}
		if !errors.Is(err, io.EOF) || got != largeAnswer || time.Since(start) < 40*time.Second {
			t.Errorf("the caller got %d bytes in %s: %v", got, time.Since(start), err)
		}
		if len(s.stalled) > 0 {
			t.Errorf("reported %+v", <-s.stalled)
		}
	})
}

// TestServersOwnDeadlineStaysInForce guards against a write deadline of the server that a stall timeout prolongs.
func TestServersOwnDeadlineStaysInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := crlfake.NewListener()
		defer func() { _ = l.Close() }()
		tracked := New(Config{StallTimeout: stallTimeout, OnStalled: func(Stalled) { t.Error("reported as stalled") }}, &http.Server{}).Listener(l)
		accepted := make(chan net.Conn)
		go func() {
			c, err := tracked.Accept()
			if err != nil {
				t.Error(err)
			}
			accepted <- c
		}()
		caller := dial(t, l)
		defer func() { _ = caller.Close() }()
		c := <-accepted
		defer func() { _ = c.Close() }()
		start := time.Now()
		if err := c.SetWriteDeadline(start.Add(2 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("answer")); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(start) != 2*time.Second {
			t.Errorf("the write ended with %v after %s", err, time.Since(start))
		}
	})
}

// TestStalledCallerIsResetOnTCP guards against a kernel that keeps an aborted answer for its caller, and against a caller that sees a clean end.
func TestStalledCallerIsResetOnTCP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newStallServer(l, 100*time.Millisecond, 64<<20)
	defer s.close(t)
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := <-s.failed; !errors.Is(err, ErrStalled) {
		t.Errorf("the handler's write ended with %v", err)
	}
	for len(s.tracker.snapshot()) > 0 {
		time.Sleep(time.Millisecond)
	}
	if n, err := io.Copy(io.Discard, caller); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the caller read %d bytes and then %v, want a reset", n, err)
	}
}
