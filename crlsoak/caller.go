package crlsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlanswer"
	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// outcome is what a caller received for one request.
type outcome struct {
	request     string // identifier that the caller gave the request
	kind        string // one of requestKinds
	key         string // API key
	router      string // name of the router that was called
	sent, ended time.Time
	status      int // 0 when no response header arrived
	body        string
	complete    bool // the response body ended without an error
}

const (
	callDeadline        = 4 * time.Second        // longest that a caller waits for an answer, and the deadline that its request states
	revokedKeyRetryOdds = 10                     // one in this many replies of status 401 makes a caller keep its revoked API key
	failurePause        = 200 * time.Millisecond // pause after a request without a response
	callPause           = 30 * time.Millisecond  // mean pause between requests, which gives each caller about ten a second
)

// requestKinds are the kinds of requests, each a path of its own: "file" must run at most once, "read" is a GET, and "draft" is
// streamed.
var requestKinds = []string{"file", "read", "draft"}

// caller sends requests of random kinds to one router, one at a time, over a connection that it keeps open.
type caller struct {
	name   string
	router *router
	key    string // API key that the caller uses
	// lastKey is the API key that is never revoked. The caller uses it after its own was refused.
	lastKey string
	random  *rand.Rand
	record  func(outcome) // called with the outcome of each request
}

// newClient returns a client that shares no connections with other clients.
func newClient() *http.Client {
	return &http.Client{Transport: crlanswer.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	})}
}

// run sends requests until ctx ends. It waits for the outcome of the last one.
func (c *caller) run(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		kind := requestKinds[c.random.IntN(len(requestKinds))]
		o := call(client, c.router, kind, fmt.Sprintf("%s-%d", c.name, n), c.key)
		c.record(o)
		if o.status == 0 {
			time.Sleep(failurePause)
		}
		if o.status == http.StatusUnauthorized && c.random.IntN(revokedKeyRetryOdds) > 0 {
			c.key = c.lastKey
		}
		time.Sleep(callPause/2 + time.Duration(c.random.Int64N(int64(callPause))))
	}
}

// call sends one request to a router and waits for the complete answer, for callDeadline at most.
func call(client *http.Client, r *router, kind, request, key string) outcome {
	o := outcome{request: request, kind: kind, key: key, router: r.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	method := http.MethodPost
	if kind == "read" {
		method = http.MethodGet
	}
	// The type of the body does not let net/http rewind it, so the client never sends a request twice by itself.
	body := io.MultiReader(strings.NewReader("form"))
	if method == http.MethodGet {
		body = nil
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+r.address()+"/"+kind+"/x", body)
	if err != nil {
		o.ended = time.Now()
		return o
	}
	httpRequest.Host = standin.Host
	standin.SetHeaders(httpRequest.Header, standin.RequestHead{Request: request, Key: key, Deadline: callDeadline})
	response, err := client.Do(httpRequest)
	if err == nil {
		defer response.Body.Close()
		content, readErr := io.ReadAll(response.Body)
		o.status, o.body, o.complete = response.StatusCode, string(content), readErr == nil
	}
	o.ended = time.Now()
	return o
}
