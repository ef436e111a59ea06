package crlforward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
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
			reader, stop := new(Service).newEventReader(new(exchange), response)
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

// TestErrorOfAServerIsNoPartOfTheStream guards against callers that find the text or the head of a server's error in the middle of their stream (MIXED), or a
// stream that ends as if it were complete (ORDER), after the server that began it broke off and another one answered with an error.
func TestErrorOfAServerIsNoPartOfTheStream(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nServer: engine\r\nContent-Length: 8\r\n\r\n"
	begun, rest := breaksAfter(events(1, 2)), answers(events(3, 4))
	for _, tc := range []struct {
		name    string
		path    string
		steps   []step
		want    string
		aborted bool
	}{
		{"failure", "/draft/1", []step{begun, fails(http.StatusInternalServerError, signed), rest}, events(1, 4), false},
		{"refusal", "/draft/1", []step{begun, fails(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "1"}), rest}, events(1, 4), false},
		{"denial", "/draft/1", []step{begun, fails(http.StatusNotFound, signed), rest}, events(1, 4), false},
		{"success with a text", "/draft/1", []step{begun, answers("overloaded"), rest}, events(1, 4), false},
		{"success with a text and an empty line", "/draft/1", []step{begun, answers("overloaded\n\n"), rest}, events(1, 4), false},
		{"success with an event of an error", "/draft/1", []step{begun, answers("event: error\ndata: overloaded\n\n"), rest}, events(1, 4), false},
		{"success with a head", "/draft/1", []step{begun, answers(head), rest}, events(1, 4), false},
		{"success with a head and a text", "/draft/1", []step{begun, answers(head + "overload"), rest}, events(1, 4), false},
		{"head after an event", "/draft/1", []step{begun, answers(events(3, 3) + head), answers(events(4, 4))}, events(1, 4), false},
		{"head within the first answer", "/draft/1", []step{answers(events(1, 2) + head), rest}, events(1, 4), false},
		{"text within the first answer", "/draft/1", []step{answers(events(1, 2) + "overloaded\n\n"), rest}, events(1, 4), false},
		{"only errors", "/draft/1", []step{begun, answers(head), answers("overloaded\n\n")}, events(1, 2), true},
		{"only failures", "/draft/1", []step{begun, fails(http.StatusInternalServerError, signed), fails(http.StatusBadGateway, signed)}, events(1, 2), true},
		{"stream that can't be resumed", "/once/1", []step{answers(events(1, 2) + head), rest}, events(1, 2), true},
		{"comments", "/draft/1", []step{begun, answers(": waiting\n\n" + events(3, 3) + ": waiting\n\n" + events(4, 4))}, events(1, 3) + ": waiting\n\n" + events(4, 4), false},
		{"nothing left", "/draft/1", []step{breaksAfter(events(1, 4)), answers(": end\n\n")}, events(1, 4), false},
		{"another field", "/draft/1", []step{answers(events(1, 1) + "weight-versions: 7\nid: 2\ndata: token\n\n" + events(3, 3))}, events(1, 1) + "weight-versions: 7\nid: 2\ndata: token\n\n" + events(3, 3), false},
		{"numbers only at first", "/draft/1", []step{answers(events(1, 2) + "data: [DONE]\n\n")}, events(1, 2) + "data: [DONE]\n\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(tc.steps...)
				got, aborted := c.call(t.Context(), tc.path, map[string]string{"X-Output": "20"})
				if got.Body.String() != tc.want || aborted != tc.aborted {
					t.Errorf("got %q, cut off %t, want %q, %t", got.Body, aborted, tc.want, tc.aborted)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
