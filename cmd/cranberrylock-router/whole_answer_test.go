package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// routers counts the routers of the tests, which have ports of their own.
var routers atomic.Int32

// badAnswers are what a server in trouble sends, by the last element of the path; %s stands for the header of a sound answer.
var badAnswers = map[string]string{
	"status-000":      "HTTP/1.1 000 OK\r\n%sContent-Length: 4\r\n\r\ndone",
	"blank-in-a-name": "HTTP/1.1 200 OK\r\n%sContent-Length : 4\r\n\r\ndone and more",
	"continued-line":  "HTTP/1.1 200 OK\r\n%s Content-Length: 4\r\n\r\ndone and more",
	"reset":           "HTTP/1.1 200 OK\r\n%s\r\npart of it",
}

// answerBadly answers one request in the form that its path names.
func answerBadly(_ net.Listener, connection *net.TCPConn) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReaderSize(connection, 1<<10))
	if err != nil {
		return
	}
	form := path.Base(request.URL.Path)
	if form != "reset" {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = fmt.Fprintf(connection, badAnswers[form], standin.AnswerHeader(request))
	if form == "reset" {
		_ = connection.SetLinger(0)
	}
}

// startRouter starts a router as a process, with servers each connection of which is passed to serve with its listener, and returns its address for callers.
func startRouter(t *testing.T, servers int, serve func(listener net.Listener, connection *net.TCPConn)) string {
	t.Helper()
	store := standin.NewStore()
	platform := httptest.NewServer(store)
	t.Cleanup(platform.Close)
	store.Put(standin.ConfigurationTopic, standin.ConfigurationKey, standin.Configuration(1, []string{"key"}))
	for n := range servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				go serve(listener, connection.(*net.TCPConn))
			}
		}()
		store.Put(standin.ServersTopic, fmt.Sprint("i-", n), standin.ServerEntry(listener.Addr().String(), "z", "ready", 1))
	}
	settings := standin.RouterSettings{
		Name: "r", Zone: "z", IP: fmt.Sprintf("127.0.41.%d", 1+os.Getpid()%250), Port: 21000 + 10*int(routers.Add(1)), Store: strings.TrimPrefix(platform.URL, "http://"),
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(standin.Settings(settings)), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0], "--settings", file)
	command.Env = append(os.Environ(), processVariable+"=1")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return fmt.Sprintf("%s:%d", settings.IP, settings.Port)
}

// post sends a request and returns the status of its answer, 0 if it has no whole one.
func post(t *testing.T, address, target, id, parts string, size int) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+target, strings.NewReader(strings.Repeat("u", size)))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = standin.Host
	standin.SetHeaders(request.Header, standin.RequestHead{Request: id, Key: "key", Deadline: 5 * time.Second})
	if parts != "" {
		standin.SetPrompt(request.Header, parts)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestProcessPassesOnNoBadAnswer guards against callers that get a part of an answer, what is no answer, or nothing, from a router that runs as a process
// (MIXED, LOST).
func TestProcessPassesOnNoBadAnswer(t *testing.T) {
	address := startRouter(t, 4, answerBadly)
	id := 0
	send := func(target string, size int) int {
		id++
		return post(t, address, target, fmt.Sprint("r", id), "", size)
	}
	for end := time.Now().Add(20 * time.Second); send("/file/status-000", 1) != http.StatusBadGateway; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the router answers no request with 502 within 20 s")
		}
	}
	for form := range badAnswers {
		for _, kind := range []string{"read", "file"} {
			for n := range 10 {
				if got := send("/"+kind+"/"+form, []int{16, 900 << 10}[n%2]); got == 0 || got == http.StatusOK {
					t.Errorf("%s of %s: got %d, want a failure", form, kind, got)
				}
			}
		}
	}
}
