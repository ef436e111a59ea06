package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	callTimeout   = 30 * time.Second // bounds one call to a daemon
	maxErrorBytes = 4096             // longest part of a response's body that an error quotes
)

// get calls the daemon's admin interface and decodes the JSON response into reply.
func (o *options) get(path string, reply any) error { return o.call(http.MethodGet, path, nil, reply) }

// post sends a value as JSON to the daemon's admin interface and decodes the response into reply.
func (o *options) post(path string, body, reply any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	return o.call(http.MethodPost, path, raw, reply)
}

// call sends a request to the daemon's admin interface and decodes the JSON response into reply. Any status other than 200 is an
// error.
func (o *options) call(method, path string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.Daemon+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("daemon %s: %w", o.Daemon, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("daemon %s: %w", o.Daemon, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return fmt.Errorf("daemon %s: %s %s: status %d: %s", o.Daemon, method, path, response.StatusCode, text)
	}
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return fmt.Errorf("daemon %s: %s %s: decode response: %w", o.Daemon, method, path, err)
	}
	return nil
}

// printJSON writes a value as indented JSON to standard output.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
