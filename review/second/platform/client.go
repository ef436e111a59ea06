package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	host = "app.example"
	key  = "key-0123456789abcdef"
)

// answer is what a client got for one request.
type answer struct {
	request  string
	status   int // 0 without an answer
	stamp    string
	body     string
	complete bool
	err      error
	took     time.Duration
}

// send sends one request on a new connection. write writes its body after the head, which says what follows; nil for none.
func (f *fleet) send(address, method, path, request string, deadline time.Duration, head string, write func(io.Writer) error) (a answer) {
	start := time.Now()
	a.request = request
	defer func() { a.took = time.Since(start) }()
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer connection.Close()
	_ = connection.SetDeadline(start.Add(deadline + 2*time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n",
		method, path, host, request, deadline.Milliseconds(), key, head)
	if _, err := io.WriteString(connection, text); err != nil {
		a.err = err
		return a
	}
	if write != nil {
		written := make(chan error, 1)
		go func() { written <- write(connection) }()
		defer func() { _ = connection.Close(); <-written }()
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.stamp = response.StatusCode, response.Header.Get("Response-Stamp")
	body, err := io.ReadAll(response.Body)
	a.body, a.complete, a.err = string(body), err == nil, err
	return a
}

// note writes an answer to the record.
func (f *fleet) note(a answer) {
	f.record.line("client: %s got %d, stamp %q, complete %v, body %q, after %d ms, %v", a.request, a.status, a.stamp, a.complete,
		strings.TrimSpace(a.body[:min(len(a.body), 60)]), a.took.Milliseconds(), a.err)
}

// route is a route of a configuration.
type route struct {
	name, kind, service string
	timeoutMs, attempts int
}

// configuration returns a configuration with one tenant.
func configuration(version int, limits map[string]any, routes ...route) map[string]any {
	var list, services []any
	seen := make(map[string]bool)
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "pathPrefix": "/" + r.name + "/", "kind": r.kind, "timeoutMs": r.timeoutMs, "sloMs": 1000,
			"priority": 1, "service": r.service, "attempts": r.attempts, "noAuth": false, "sticky": false, "resumable": r.kind == "stream",
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxConns": 2000, "coldS": 0.0, "coldPerS": 0.0})
		}
	}
	return map[string]any{
		"version": version, "routes": list, "services": services, "limits": limits,
		"tenants": []any{map[string]any{"name": "tenant-a", "apiKeys": []string{key}}},
	}
}

// usualLimits returns limits like those of the examples.
func usualLimits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// writeText returns a function that writes a body.
func writeText(text string) func(conn io.Writer) error {
	return func(conn io.Writer) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}
