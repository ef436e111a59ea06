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

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// outcome is what a caller saw of one request.
type outcome struct {
	request, kind, key, router string
	sent, ended                time.Time
	status                     int // status is 0 when no head of an answer came.
	body                       string
	complete                   bool // whole is set when the answer ended as it should.
}

const (
	callDeadline        = 4 * time.Second
	revokedKeyRetryOdds = 10 // keepKey is one in how many callers try a key again that was taken away.
	failurePause        = 200 * time.Millisecond
	callPause           = 30 * time.Millisecond // callPause gives each caller about ten requests a second.
)

var requestKinds = []string{"file", "read", "draft"}

// caller sends requests to one router over connections that it keeps open, until ctx ends.
type caller struct {
	name   string
	router *router
	key    string
	// lastKey is never taken away.
	lastKey string
	random  *rand.Rand
	record  func(outcome)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

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

// call makes one request.
func call(client *http.Client, r *router, kind, request, key string) outcome {
	o := outcome{request: request, kind: kind, key: key, router: r.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	method := http.MethodPost
	if kind == "read" {
		method = http.MethodGet
	}
	// The body's type hides how to read it again, so that the client sends nothing twice.
	body := io.MultiReader(strings.NewReader("form"))
	if method == http.MethodGet {
		body = nil
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+r.address()+"/"+kind+"/x", body)
	if err != nil {
		o.ended = time.Now()
		return o
	}
	q.Host = standin.Host
	standin.SetHeaders(q.Header, standin.RequestHead{Request: request, Key: key, Deadline: callDeadline})
	response, err := client.Do(q)
	if err == nil {
		defer response.Body.Close()
		content, readErr := io.ReadAll(response.Body)
		o.status, o.body, o.complete = response.StatusCode, string(content), readErr == nil
	}
	o.ended = time.Now()
	return o
}
