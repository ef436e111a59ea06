package crlengine

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// closingService is a plain service that reads each call. While closing is set, it counts the call as run and closes the
// connection without an answer.
type closingService struct {
	runs    atomic.Int32
	closing atomic.Bool
}

func (c *closingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = new(bytes.Buffer).ReadFrom(r.Body)
	if !c.closing.Load() {
		return
	}
	c.runs.Add(1)
	if connection, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = connection.Close()
	}
}

func startClosingService(t *testing.T) (*closingService, string) {
	t.Helper()
	c := &closingService{}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return c, server.Listener.Addr().String()
}

func newTestClient() *Client {
	return NewClient(ClientConfig{ConnectTimeout: time.Second, HeaderTimeout: 5 * time.Second, IdlePerServer: 4})
}

func atMostOnceAttempt(address string) ServiceAttempt {
	return ServiceAttempt{
		Server: "s", Address: address, Service: "filing", Key: "k", ContentType: "text/plain", Body: []byte("body"), AtMostOnce: true,
	}
}

// TestNetHTTPReplaysAReplayableBody shows the failure that Client avoids: if a reused connection is closed without an answer,
// net/http itself sends a call with an idempotency key a second time, provided that it can read the body again.
func TestNetHTTPReplaysAReplayableBody(t *testing.T) {
	service, address := startClosingService(t)
	client := &http.Client{Transport: &http.Transport{}}
	post := func() {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/filing", bytes.NewReader([]byte("body")))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Idempotency-Key", "k")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	post()
	service.closing.Store(true)
	post()
	if n := service.runs.Load(); n < 2 {
		t.Errorf("the service ran the call %d times, want at least 2: if net/http no longer sends a call twice, the next test shows nothing", n)
	}
}

func TestAtMostOnceCallIsSentOnceWhenServiceCloses(t *testing.T) {
	for _, tt := range []struct {
		name       string
		atMostOnce bool
	}{{"own connection", true}, {"reused connection", false}} {
		service, address := startClosingService(t)
		client := newTestClient()
		attempt := atMostOnceAttempt(address)
		attempt.AtMostOnce = tt.atMostOnce
		if _, err := client.Call(context.Background(), attempt); err != nil {
			t.Fatal(err)
		}
		service.closing.Store(true)
		_, err := client.Call(context.Background(), attempt)
		var broken *Error
		if !errors.As(err, &broken) || broken.NotRun() {
			t.Errorf("%s: got the error %v, want an *Error whose NotRun is false", tt.name, err)
		}
		if n := service.runs.Load(); n != 1 {
			t.Errorf("%s: the service ran the call %d times, want once", tt.name, n)
		}
	}
}

func TestAtMostOnceCallIsNotSentAfterSendBy(t *testing.T) {
	service, address := startClosingService(t)
	service.closing.Store(true)
	client := NewClient(ClientConfig{
		ConnectTimeout: 5 * time.Second, HeaderTimeout: time.Second,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(100 * time.Millisecond) // The SendBy time passes while the connection is opened.
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	})
	attempt := atMostOnceAttempt(address)
	attempt.SendBy = time.Now().Add(50 * time.Millisecond)
	_, err := client.Call(context.Background(), attempt)
	var late *Error
	if !errors.As(err, &late) || !late.NotRun() || !errors.Is(err, errSendByPassed) {
		t.Errorf("got the error %v, want errSendByPassed on a call that did not run", err)
	}
	if n := service.runs.Load(); n != 0 {
		t.Errorf("the service ran the call %d times, want 0", n)
	}
}

func TestAtMostOnceCallClassifiesStatuses(t *testing.T) {
	for _, c := range []struct {
		status           int
		notRunHeader     bool
		answered, notRun bool
	}{
		{http.StatusOK, false, true, false},
		{http.StatusConflict, false, true, false},
		{http.StatusInternalServerError, false, true, false},
		{http.StatusInternalServerError, true, false, true},
		{http.StatusTooManyRequests, true, false, true},
		{http.StatusBadGateway, false, false, false},
		{http.StatusServiceUnavailable, false, false, false},
		{http.StatusServiceUnavailable, true, false, true},
		{http.StatusGatewayTimeout, false, false, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c.notRunHeader {
				w.Header().Set(HeaderOutcome, OutcomeNotRun)
			}
			w.WriteHeader(c.status)
		}))
		answer, err := newTestClient().Call(context.Background(), atMostOnceAttempt(server.Listener.Addr().String()))
		server.Close()
		var failed *Error
		errors.As(err, &failed)
		if answered := err == nil && answer.Status == c.status; answered != c.answered {
			t.Errorf("status %d, header not-run %t: answered is %t, want %t", c.status, c.notRunHeader, answered, c.answered)
		}
		if notRun := failed != nil && failed.NotRun(); notRun != c.notRun {
			t.Errorf("status %d, header not-run %t: NotRun is %t, want %t", c.status, c.notRunHeader, notRun, c.notRun)
		}
	}
}
