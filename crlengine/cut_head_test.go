package crlengine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// newCutClient returns a client whose server reads a request, writes text and closes the connection.
func newCutClient(text string) *Client {
	return NewClient(ClientConfig{
		ConnectTimeout: time.Second, HeaderTimeout: time.Second,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(server))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(server, text)
			}()
			return client, nil
		},
	})
}

// TestAnswerThatEndsInsideItsHeadIsNoAnswer guards against callers that get a success with an empty or short body (MIXED, ORDER), because a backend server
// stopped in the middle of its answer's head, or of a framed body, and closed the connection.
func TestAnswerThatEndsInsideItsHeadIsNoAnswer(t *testing.T) {
	frames := encodeFrame(1, 2) + encodeFrame(2, 2)
	framed := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: a-1\r\nContent-Length: %d\r\n\r\n%s", HeaderVersion, len(body), body)
	}
	read := func(t *testing.T, text string, chat, atMostOnce bool) (body string, err error) {
		synctest.Test(t, func(t *testing.T) {
			c := newCutClient(text)
			if !chat {
				attempt := atMostOnceAttempt("server:1")
				attempt.AtMostOnce = atMostOnce
				var answer ServiceAnswer
				answer, err = c.Call(t.Context(), attempt)
				body = string(answer.Body)
				return
			}
			var answer *Answer
			if answer, err = c.Open(t.Context(), Attempt{Server: "s", Address: "server:1", Version: "a-1", Body: []byte("{}")}); err != nil {
				return
			}
			defer answer.Close()
			for f, frameErr := range answer.Frames {
				if frameErr != nil {
					err = frameErr
					return
				}
				body += encodeFrame(int(f.Number), 2)
			}
		})
		return body, err
	}
	for _, tc := range []struct {
		name       string
		body       string
		chat       bool
		atMostOnce bool
	}{
		{"call", "done", false, false},
		{"call that may be sent once", "done", false, true},
		{"chat", frames, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := framed(tc.body)
			if body, err := read(t, text, tc.chat, tc.atMostOnce); body != tc.body || err != nil {
				t.Fatalf("whole answer: got %q and error %v", body, err)
			}
			for n := range len(text) {
				body, err := read(t, text[:n], tc.chat, tc.atMostOnce)
				var failed *Error
				if err == nil && body != tc.body {
					t.Errorf("answer that ends after %q: got %q as whole", text[:n], body)
				} else if errors.As(err, &failed) && failed.NotRun() {
					t.Errorf("answer that ends after %q: got %v, which says that it has not run", text[:n], err)
				}
			}
		})
	}
}
