//go:build review

package rig

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// Answer is what a caller sent and got.
type Answer struct {
	Request string
	Router  string
	Path    string
	Sent    time.Time
	Ended   time.Time
	Status  int    // 0 for none
	Stamp   string // of the backend server, empty for an answer of the router
	Body    string
}

// Request is what a caller sends.
type Request struct {
	Path, ID, Key string
	Deadline      time.Duration
	Parts         int // number of parts of the prompt, 0 for no prompt
}

// Callers collects answers.
type Callers struct {
	rig     *Rig
	client  *http.Client
	mu      sync.Mutex // guards answers
	answers []Answer
	open    sync.WaitGroup
}

// NewCallers returns callers that open a connection for each request.
func (r *Rig) NewCallers() *Callers {
	return &Callers{rig: r, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Call sends a GET request to a router in the background.
func (c *Callers) Call(router *Router, request Request) {
	c.open.Go(func() {
		r, err := http.NewRequest(http.MethodGet, "http://"+router.Front()+request.Path, nil)
		if err != nil {
			panic(err)
		}
		r.Host = standin.Host
		r.Header.Set("Request-Id", request.ID)
		r.Header.Set("Deadline-Ms", strconv.FormatInt(request.Deadline.Milliseconds(), 10))
		r.Header.Set("Authorization", "Token "+request.Key)
		if request.Parts > 0 {
			parts := make([]string, request.Parts)
			for n := range parts {
				parts[n] = fmt.Sprintf("%08x:%06d", n, 100)
			}
			r.Header.Set("Prompt-Prefix", strings.Join(parts, ","))
		}
		a := Answer{Request: request.ID, Router: router.Settings.Name, Path: request.Path, Sent: time.Now()}
		c.rig.Note("%s: sent %s to %s", request.ID, request.Path, router.Settings.Name)
		if response, err := c.client.Do(r); err == nil {
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil {
				a.Status, a.Stamp, a.Body = response.StatusCode, response.Header.Get("Response-Stamp"), string(body)
			}
		}
		a.Ended = time.Now()
		c.rig.Note("%s: answered %d", request.ID, a.Status)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers = append(c.answers, a)
	})
}

// Wait waits for all answers and returns them.
func (c *Callers) Wait() []Answer {
	c.open.Wait()
	return c.answers
}
