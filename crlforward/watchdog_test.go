package crlforward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// newLoopbackCluster returns a cluster whose only server listens on loopback. Sends and probes use real connections. The server
// sends two events of a stream, calls during, sends two more and ends the answer.
func newLoopbackCluster(t *testing.T, during func(listener *net.TCPListener, connection *net.TCPConn)) *cluster {
	t.Helper()
	listener := listenForFilters(t)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nX-Signed: yes\r\nX-Request: "+request.Header.Get("X-Request")+"\r\n\r\n"+events(1, 2))
		during(listener, connection.(*net.TCPConn))
		_, _ = io.WriteString(connection, events(3, 4))
	}()
	c := newCluster()
	for _, id := range c.fleet.Servers() {
		c.fleet.Remove(id)
	}
	c.fleet.Announce(crlfleet.Entry{
		Server: "real", Service: "app", Address: listener.Addr().String(), Domain: "near", Version: crlid.Version("v1"),
	}, c.now())
	c.service.config.Transport = NewTransport(TransportConfig{})
	c.service.probes = newProbes(nil)
	return c
}

// fillAcceptQueue opens connections to a listener that accepts none, until the kernel drops further ones without a reply.
func fillAcceptQueue(t *testing.T, listener *net.TCPListener) {
	t.Helper()
	control(t, listener, func(fd int) error { return unix.Listen(fd, 0) })
	for range 10 {
		connection, err := net.DialTimeout("tcp", listener.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = connection.Close() })
	}
	t.Error("listener still accepts connections")
}

// TestLiveAnswerSurvivesUnansweredProbes guards against a silent answer being ended because new connections to its server get no
// reply for a while, though the server's host is alive: a full accept queue drops them, and so does the full queue of a link.
func TestLiveAnswerSurvivesUnansweredProbes(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		during func(t *testing.T, listener *net.TCPListener)
	}{
		{"accept queue is full", func(t *testing.T, listener *net.TCPListener) {
			fillAcceptQueue(t, listener)
			time.Sleep(5 * time.Second)
		}},
		{"packets are lost for 0.8 s", func(t *testing.T, listener *net.TCPListener) {
			time.Sleep(unresponsiveAfter / 2)
			dropPackets(t, listener)
			time.Sleep(unresponsiveAfter/2 + 800*time.Millisecond)
			keepPackets(t, listener)
			time.Sleep(2 * time.Second)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newLoopbackCluster(t, func(listener *net.TCPListener, _ *net.TCPConn) { tc.during(t, listener) })
			got, aborted := c.call(context.Background(), "/draft/1", nil)
			if aborted || got.Body.String() != events(1, 4) {
				t.Errorf("got %q (aborted %v), want %q", got.Body, aborted, events(1, 4))
			}
		})
	}
}

// TestDarkHostIsLeft checks that the watchdog leaves an answer on a real connection, before the kernel does, when its host has gone
// dark, also if the host is heard of for the last time shortly before it is probed. TestDarkHostIsLeftAfterItsLastSign holds the
// time that this takes, on virtual time.
func TestDarkHostIsLeft(t *testing.T) {
	t.Parallel()
	for _, quiet := range []time.Duration{0, 1200 * time.Millisecond} { // A keep-alive probe comes after 1 s.
		t.Run(quiet.String(), func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			c := newLoopbackCluster(t, func(listener *net.TCPListener, connection *net.TCPConn) {
				time.Sleep(quiet)
				dropPackets(t, listener)
				dropPackets(t, connection)
				<-ended
			})
			c.call(context.Background(), "/draft/1", map[string]string{"X-Request": "r2"})
			close(ended)
			if l := c.findLine(t, "r2"); l.Cause != errUnresponsive.Error() {
				t.Errorf("left with cause %q, want %q", l.Cause, errUnresponsive)
			}
		})
	}
}

// slowWriter is the connection of a caller that takes the first part of its answer only after a time.
type slowWriter struct {
	*httptest.ResponseRecorder
	wait time.Duration
}

func (s *slowWriter) Write(content []byte) (int, error) {
	time.Sleep(s.wait)
	s.wait = 0
	return s.ResponseRecorder.Write(content)
}

// TestSlowCallerDoesntEndItsAnswer guards against an answer being ended while it waits for its caller to read: its server may have
// completed it and be gone since.
func TestSlowCallerDoesntEndItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(pauses(0))
		c.unreachable.Store(true)
		w := &slowWriter{httptest.NewRecorder(), 5 * time.Second}
		r := httptest.NewRequest(http.MethodPost, "http://h/draft/1", nil)
		r.RequestURI = "/draft/1"
		r.Header.Set("X-Request", "r1")
		r.Header.Set("X-Key", "key")
		defer func() {
			if recovered := recover(); recovered != nil || w.Body.String() != events(1, 4) {
				t.Errorf("got %q (aborted: %v), want %q", w.Body, recovered, events(1, 4))
			}
		}()
		c.service.ServeHTTP(w, r)
	})
}

// darkHostBound is the longest time after a host's last sign until an answer from it is left, as docs/design/0060-platform.md states.
const darkHostBound = 2500 * time.Millisecond

// connectionOfAHost is the connection of a send, whose silence a test sets.
type connectionOfAHost struct{ net.Conn }

func (connectionOfAHost) SyscallConn() (syscall.RawConn, error) { return nil, syscall.ENOTSUP }

// TestDarkHostIsLeftAfterItsLastSign guards against a watchdog that waits too long, or not at all, for a host that has acknowledged
// packets on the send's own connection since its last byte.
func TestDarkHostIsLeftAfterItsLastSign(t *testing.T) {
	for _, lastSign := range []time.Duration{0, 1200 * time.Millisecond, 2 * time.Second} { // after the last byte
		t.Run(lastSign.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				c := newCluster(func(r *http.Request) (*http.Response, error) {
					httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{Conn: connectionOfAHost{}})
					<-r.Context().Done()
					return nil, context.Cause(r.Context())
				}, answers(events(1, 4)))
				c.unreachable.Store(true)
				c.service.probes.silence = func(syscall.Conn) (time.Duration, bool) {
					return max(time.Since(start)-lastSign, 0), true
				}
				got, aborted := c.call(t.Context(), "/draft/1", nil)
				left := time.Since(start) - lastSign
				if aborted || got.Body.String() != events(1, 4) || left > darkHostBound || left < hostSilentAfter {
					t.Errorf("got %q (aborted %v), left %s after the last sign, want between %s and %s", got.Body, aborted, left, hostSilentAfter, darkHostBound)
				}
			})
		})
	}
}

// TestSilenceFrom guards against a kernel that leaves the times of TCP_INFO at zero being taken for a host that was just heard of.
func TestSilenceFrom(t *testing.T) {
	for _, tc := range []struct {
		info unix.TCPInfo
		want time.Duration
		ok   bool
	}{
		{unix.TCPInfo{Last_data_sent: 900, Last_data_recv: 800, Last_ack_recv: 300}, 300 * time.Millisecond, true},
		{unix.TCPInfo{Last_data_sent: 900, Last_data_recv: 0, Last_ack_recv: 300}, 0, true},
		{unix.TCPInfo{State: 1, Rto: 204_200, Rtt: 200}, 0, false},
	} {
		if got, ok := silenceFrom(&tc.info); got != tc.want || ok != tc.ok {
			t.Errorf("silence of %+v is %s, known %v; want %s, %v", tc.info, got, ok, tc.want, tc.ok)
		}
	}
}
