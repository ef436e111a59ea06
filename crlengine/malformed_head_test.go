package crlengine

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// TestMalformedHeadIsNoAnswerToACall guards against calls that are answered with what is no answer, because a backend server in trouble sent a status that is
// none or a name of a field with a blank (MIXED).
func TestMalformedHeadIsNoAnswerToACall(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\ndone", "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\ndone",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ndone and more", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\ndone",
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 4\r\n\r\ndone and more",
	} {
		for _, atMostOnce := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				attempt := atMostOnceAttempt("server:1")
				attempt.AtMostOnce = atMostOnce
				if answer, err := newCutClient(text).Call(t.Context(), attempt); !isBroken(err) {
					t.Errorf("at most once %t, %q: got %d %q and error %v, want a broken answer", atMostOnce, text, answer.Status, answer.Body, err)
				}
			})
		}
	}
}

// isBroken reports whether an attempt failed with a broken answer.
func isBroken(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Fault == FaultBroken
}

// resetUpload is a connection to a server that answers at once and resets the connection, which the write of the request is told and a read is not.
type resetUpload struct {
	net.Conn
	answer  io.Reader
	writing chan struct{}
}

func (c *resetUpload) Write([]byte) (int, error) {
	close(c.writing)
	time.Sleep(time.Millisecond)
	return 0, syscall.ECONNRESET
}

func (c *resetUpload) Read(b []byte) (int, error) {
	<-c.writing
	return c.answer.Read(b)
}

func (c *resetUpload) Close() error { return nil }

// TestAnswerThatIsResetDuringItsCallIsNotWhole guards against a part of a service's answer that is taken for the whole (MIXED), because the service reset the
// connection while the call was written.
func TestAnswerThatIsResetDuringItsCallIsNotWhole(t *testing.T) {
	for _, atMostOnce := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			client := NewClient(ClientConfig{
				ConnectTimeout: time.Second, HeaderTimeout: time.Second,
				Dial: func(context.Context, string, string) (net.Conn, error) {
					return &resetUpload{answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart"), writing: make(chan struct{})}, nil
				},
			})
			attempt := atMostOnceAttempt("server:1")
			attempt.AtMostOnce, attempt.Body = atMostOnce, make([]byte, 64<<10)
			if answer, err := client.Call(t.Context(), attempt); !isBroken(err) {
				t.Errorf("at most once %t: got %d %q and error %v, want a broken answer", atMostOnce, answer.Status, answer.Body, err)
			}
			client.pooled.CloseIdleConnections()
			time.Sleep(time.Second)
		})
	}
}
