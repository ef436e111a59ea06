package crlanswer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// serve listens on loopback and passes each connection to answer, which it then closes. It returns the listener's address.
func serve(t *testing.T, answer func(n int, connection *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for n := 0; ; n++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				answer(n, connection.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// post sends a request with a body and returns the body of the answer.
func post(t *testing.T, transport http.RoundTripper, address string, size int) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("u", size)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestEndsOfConnections checks which answers without a length are whole: those whose server ended the connection in order, also early if it reads on.
func TestEndsOfConnections(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\n\r\n"
		size  = 8 << 20 // larger than what the kernel takes at once
		plays = 40
	)
	for _, tc := range []struct {
		name  string
		play  func(connection *net.TCPConn, body io.Reader)
		whole bool
	}{
		{"after the request", func(c *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
			_, _ = io.WriteString(c, head+"done")
		}, true},
		{"early, reads on", func(c *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(c, head+"done")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		}, true},
		{"early, reset", func(c *net.TCPConn, _ io.Reader) { _, _ = io.WriteString(c, head+"done"); _ = c.SetLinger(0) }, false},
		{"early, closed", func(c *net.TCPConn, _ io.Reader) { _, _ = io.WriteString(c, head+"done") }, false},
		{"early, ended in order, then closed", func(c *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(c, head+"done")
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, body, 64<<10)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			address := serve(t, func(_ int, c *net.TCPConn) {
				if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					tc.play(c, request.Body)
				}
			})
			transport := NewTransport(&http.Transport{DisableKeepAlives: true})
			for range plays {
				body, err := post(t, transport, address, size)
				if whole := err == nil; whole != tc.whole || whole && body != "done" {
					t.Fatalf("got %q and error %v, want whole: %t", body, err, tc.whole)
				}
			}
		})
	}
}

// TestEveryAnswerOnAConnectionIsChecked guards against a malformed head that is taken for an answer because a sound one came before it on the same connection.
func TestEveryAnswerOnAConnectionIsChecked(t *testing.T) {
	connections := 0
	address := serve(t, func(_ int, c *net.TCPConn) {
		connections++
		reader := bufio.NewReader(c)
		for n := range 4 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			name := "Content-Length"
			if n == 3 {
				name += " "
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 4\r\n\r\ndone", name)
		}
	})
	transport := NewTransport(&http.Transport{})
	for n := range 4 {
		body, err := post(t, transport, address, 10)
		var headErr *HeadError
		if malformed := errors.As(err, &headErr); malformed != (n == 3) || !malformed && body != "done" {
			t.Errorf("answer %d: got %q and error %v", n, body, err)
		}
	}
	if connections != 1 {
		t.Errorf("%d connections, want one", connections)
	}
	transport.CloseIdleConnections()
}

// TestConnectionsShowTheirSocket guards against connections whose socket options can't be read any more, as the router does to see whether a host is silent.
func TestConnectionsShowTheirSocket(t *testing.T) {
	address := serve(t, func(int, *net.TCPConn) {})
	plain, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = plain.Close() }()
	if _, ok := newConn(plain).(syscall.Conn); !ok {
		t.Error("a connection of TCP has no socket")
	}
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	if _, ok := newConn(near).(syscall.Conn); ok {
		t.Error("a pipe has a socket")
	}
}

// BenchmarkExchange measures what the checks cost one request and answer on a kept connection.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })} //nolint:gosec // Loopback.
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	for name, transport := range map[string]http.RoundTripper{"unchecked": &http.Transport{}, "checked": NewTransport(&http.Transport{})} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
				if err != nil {
					b.Fatal(err)
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
