package crlforward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// endsAfter returns a step whose answer has neither a length nor chunks, and whose connection is closed after text.
func endsAfter(text string) step { return answers(text) }

// endsChunked returns a step with an answer in chunks that ends as complete after text.
func endsChunked(text string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		response := newResponse(r, http.StatusOK, signed, strings.NewReader(text))
		response.TransferEncoding = []string{"chunked"}
		return response, nil
	}
}

// TestStreamThatEndsInsideAnEventIsBrokenOff guards against part of a stream that looks complete to its caller, because the server's answer had
// neither a length nor chunks and ended with its connection when the server crashed.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for _, tc := range []struct {
		name    string
		path    string
		steps   []step
		body    string
		sends   int
		aborted bool
	}{
		{"complete", "/draft/1", []step{endsAfter(events(1, 3))}, events(1, 3), 1, false},
		{"inside an event", "/draft/1", []step{endsAfter(events(1, 2) + "id: 3\nda"), endsAfter(events(3, 5))}, events(1, 5), 2, false},
		{"before the empty line", "/draft/1", []step{endsAfter(events(1, 2) + "id: 3\ndata: token\n"), endsAfter(events(3, 5))}, events(1, 5), 2, false},
		{"inside an event of a stream that is continued", "/draft/1", []step{
			breaksAfter(events(1, 2)), endsAfter(events(3, 3) + "id"), endsAfter(events(4, 5)),
		}, events(1, 5), 3, false},
		{"inside an event, in chunks", "/draft/1", []step{endsChunked(events(1, 2) + "id: 3\nda"), endsChunked(events(3, 5))}, events(1, 5), 2, false},
		{"without an event", "/draft/1", []step{endsAfter(""), endsAfter(events(1, 2))}, events(1, 2), 2, false},
		{"without a further event, in chunks", "/draft/1", []step{breaksAfter(events(1, 2)), endsChunked("")}, events(1, 2), 2, false},
		{"inside an event, not to be repeated", "/once/1", []step{endsAfter(events(1, 2) + "id")}, events(1, 2), 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(tc.steps...)
			got, aborted := c.call(t.Context(), tc.path, nil)
			if got.Body.String() != tc.body || aborted != tc.aborted || len(c.backend.sent) != tc.sends {
				t.Errorf("got %q (aborted %v) after %d sends, want %q (aborted %v) after %d", got.Body, aborted, len(c.backend.sent), tc.body, tc.aborted, tc.sends)
			}
		})
	}
}

// TestBrokenAnswerIsNoFallback guards against a smaller model's answer that broke off inside an event and is sent in place of the larger
// model's, which failed.
func TestBrokenAnswerIsNoFallback(t *testing.T) {
	unsure := func(text string) step {
		return func(r *http.Request) (*http.Response, error) {
			connect(r)
			return newResponse(r, http.StatusOK, map[string]string{"X-Signed": "yes", "X-Confidence": "20"}, strings.NewReader(text)), nil
		}
	}
	for _, tc := range []struct {
		name, text string
		status     int
	}{
		{"complete", events(1, 2), http.StatusOK},
		{"inside an event", events(1, 1) + "id: 2", http.StatusBadGateway},
		{"without an event", "", http.StatusBadGateway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(unsure(tc.text), losesAnswer, losesAnswer)
			if got, _ := c.call(t.Context(), "/draft/1", map[string]string{"X-Output": "20"}); got.Code != tc.status {
				t.Errorf("got %d %q, want %d", got.Code, got.Body, tc.status)
			}
		})
	}
}

// TestEndsOfUnframedAnswersOverTCP checks that the router's transport tells the ends of answers without length or chunks apart as the other
// tests assume: a closed connection ends the answer without an error, and a reset with one.
func TestEndsOfUnframedAnswersOverTCP(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for _, tc := range []struct {
		name, text string
		reset      bool
		body       string
		wantErr    error
	}{
		{name: "complete", text: events(1, 2), body: events(1, 2), wantErr: io.EOF},
		{name: "inside an event", text: events(1, 1) + "id: 2", body: events(1, 1), wantErr: errInsideEvent},
		{name: "without an event", wantErr: errInsideEvent},
		{name: "reset after an event", text: events(1, 1), reset: true, body: events(1, 1), wantErr: syscall.ECONNRESET},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			relayed := make(chan struct{})
			address := serveOnce(t, func(connection *net.TCPConn) {
				if err := readRequest(connection); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(connection, head+tc.text)
				if tc.reset {
					<-relayed // The kernel drops what has not been read when a reset arrives.
					_ = connection.SetLinger(0)
				}
			})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := NewTransport(TransportConfig{}).RoundTrip(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if isFramed(response) {
				t.Error("the answer counts as one with a length or chunks")
			}
			reader, stop := newEventReader(response)
			defer stop()
			var body strings.Builder
			for err == nil {
				var event []byte
				event, err = reader.next()
				body.Write(event)
				if reader.count == 1 && tc.reset && err == nil {
					close(relayed)
				}
			}
			if body.String() != tc.body || !errors.Is(err, tc.wantErr) {
				t.Errorf("got %q and error %v, want %q and %v", body.String(), err, tc.body, tc.wantErr)
			}
		})
	}
}
