package crlconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
)

// dial returns the caller's end of a new connection.
func dial(t *testing.T, l *crlfake.Listener) net.Conn {
	t.Helper()
	c, err := l.DialContext(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// serve runs a test against a server whose connections are tracked, and returns what the tracker reported.
func serve(t *testing.T, handler http.HandlerFunc, test func(t *testing.T, tracker *Tracker, l *crlfake.Listener)) (reported []Closed) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		server := &http.Server{Handler: handler}
		tracker := New(Config{OnUnanswered: func(c Closed) { reported = append(reported, c) }}, server)
		l := crlfake.NewListener()
		served := make(chan error, 1)
		go func() { served <- server.Serve(tracker.Listener(l)) }()
		test(t, tracker, l)
		if err := server.Close(); err != nil {
			t.Errorf("close the server: %v", err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	})
	return reported
}

// exchange sends a request on a connection and reads the answer.
func exchange(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatalf("send a request: %v", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read the answer: %v", err)
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Fatalf("read the answer's body: %v", err)
	}
}

// TestConnectionClosedBeforeItsAnswerIsReported checks that a request which net/http drops without calling the handler leaves a
// trace, as no handler can log it.
func TestConnectionClosedBeforeItsAnswerIsReported(t *testing.T) {
	reported := serve(t, func(http.ResponseWriter, *http.Request) {}, func(t *testing.T, _ *Tracker, l *crlfake.Listener) {
		caller := dial(t, l)
		exchange(t, caller)
		time.Sleep(time.Second)
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	})
	want := Closed{Remote: "pipe", Age: 3 * time.Second, Waited: 2 * time.Second, ReadBytes: 16, Answers: 1}
	if len(reported) != 1 || reported[0] != want {
		t.Errorf("reported %+v, want only %+v", reported, want)
	}
}

// TestAnsweredAndAbandonedConnectionsAreNotReported checks that neither a complete exchange nor a caller that leaves counts as a
// request without an answer.
func TestAnsweredAndAbandonedConnectionsAreNotReported(t *testing.T) {
	var stats Stats
	reported := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Second)
		stats, _ = StatsOf(r.Context())
	}, func(t *testing.T, _ *Tracker, l *crlfake.Listener) {
		kept := dial(t, l)
		exchange(t, kept)
		exchange(t, kept)
		abandoned := dial(t, l)
		if _, err := io.WriteString(abandoned, "GET / HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		if err := abandoned.Close(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
	})
	if len(reported) != 0 {
		t.Errorf("reported %+v, want nothing", reported)
	}
	if want := (Stats{Age: 2 * time.Second, Answers: 1}); stats != want {
		t.Errorf("the second request's connection is %+v, want %+v", stats, want)
	}
}

// contestedConn is a connection on which the bytes of a request arrive at the moment in which a Read is interrupted.
type contestedConn struct {
	net.Conn
	deadlines chan time.Time // read deadlines that were set
	packets   []string       // what further reads return
}

func (c *contestedConn) Read(p []byte) (int, error) {
	if deadline := <-c.deadlines; len(c.packets) == 2 || !deadline.Equal(interruptDeadline) {
		n := copy(p, c.packets[0])
		c.packets = c.packets[1:]
		if len(c.packets) == 1 {
			c.deadlines <- deadline // The interrupt is still in force for the next Read.
		}
		return n, nil
	}
	return 0, os.ErrDeadlineExceeded
}

func (c *contestedConn) SetReadDeadline(deadline time.Time) error {
	c.deadlines <- deadline
	return nil
}

// TestRequestThatArrivesWhileItsConnectionIsClosedIsRead guards against losing a request between the decision to close an idle
// connection and its close: a Read that already has bytes wins, and the rest of the request can be read.
func TestRequestThatArrivesWhileItsConnectionIsClosedIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(Config{}, &http.Server{})
		c := &conn{Conn: &contestedConn{deadlines: make(chan time.Time, 4), packets: []string{"GET", " /"}}, tracker: tracker}
		read := make(chan string, 1)
		go func() {
			var text string
			for len(text) < len("GET /") {
				p := make([]byte, 8)
				n, err := c.Read(p)
				if err != nil {
					t.Errorf("read after %q: %v", text, err)
					break
				}
				text += string(p[:n])
			}
			read <- text
		}()
		synctest.Wait()
		if c.closeIfQuiet() {
			t.Error("a connection with a request was closed")
		}
		if text := <-read; text != "GET /" {
			t.Errorf("read %q, want the whole request", text)
		}
	})
}

// TestDrainWaitsForRequests checks which connections Drain closes at once: all but those on which a request has begun.
func TestDrainWaitsForRequests(t *testing.T) {
	serve(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }, func(t *testing.T, tracker *Tracker, l *crlfake.Listener) {
		idle, unused, busy, arriving := dial(t, l), dial(t, l), dial(t, l), dial(t, l)
		exchange(t, idle)
		exchange(t, arriving)
		for c, part := range map[net.Conn]string{busy: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", arriving: "GET / HTT"} {
			if _, err := io.WriteString(c, part); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- tracker.Drain(t.Context()) }()
		synctest.Wait()
		for _, c := range []net.Conn{idle, unused} {
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("read from a connection without a request: got error %v, want %v", err, io.EOF)
			}
		}
		for c, rest := range map[net.Conn]string{busy: "", arriving: "P/1.1\r\nHost: h\r\n\r\n"} {
			if _, err := io.WriteString(c, rest); err != nil {
				t.Errorf("send the rest of a request: %v", err)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("read the answer on a connection with a request: %v", err)
				continue
			}
			_ = response.Body.Close()
		}
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}

// TestUnreadRequestKeepsItsConnection guards against losing a request that has reached the VM when the decision to close its idle
// connection falls, and which a busy process has not read yet.
func TestUnreadRequestKeepsItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	tracked := New(Config{}, &http.Server{}).Listener(l)
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	accepted, err := tracked.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := accepted.(*conn)
	if _, err := io.WriteString(caller, "GET /"); err != nil {
		t.Fatal(err)
	}
	for !hasUnread(c.Conn) {
		time.Sleep(time.Millisecond)
	}
	if c.closeOrResume() {
		t.Fatal("a connection with an unread request was closed")
	}
	p := make([]byte, 8)
	if n, err := c.Read(p); err != nil || string(p[:n]) != "GET /" {
		t.Errorf("read %q, error %v, want the request", p[:n], err)
	}
	c.recordAnswer()
	if !c.closeOrResume() {
		t.Error("a connection without a request was not closed")
	}
}

// TestPipelinedRequestIsAnswered guards against a connection that counts as quiet while a handler serves a request that was read
// together with the one before it.
func TestPipelinedRequestIsAnswered(t *testing.T) {
	serve(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) }, func(t *testing.T, tracker *Tracker, l *crlfake.Listener) {
		caller := dial(t, l)
		const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		if _, err := io.WriteString(caller, request+request); err != nil {
			t.Fatal(err)
		}
		drained := make(chan error, 1)
		answers := bufio.NewReader(caller)
		for n := range 2 {
			response, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatalf("read answer %d: %v", n+1, err)
			}
			_ = response.Body.Close()
			if n == 0 {
				time.Sleep(500 * time.Millisecond) // The handler of the second request runs.
				go func() { drained <- tracker.Drain(t.Context()) }()
			}
		}
		if err := <-drained; err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}
