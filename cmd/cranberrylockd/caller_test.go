package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlhistory"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Timing of the callers and the largest numbers of attempts.
const (
	callerTimeout     = 20 * time.Second       // bounds one request with its answer
	callerPause       = 100 * time.Millisecond // between two attempts, and between two filings
	maxResumeAttempts = 20                     // per streamed answer
	maxFilingAttempts = 20                     // per filing
)

// callers send requests to the daemons and record the replies.
type callers struct {
	deployment    *deployment
	client        *http.Client
	stop          context.CancelFunc // makes each caller end after its current chat or filing
	running       sync.WaitGroup     // goroutines of the callers
	mu            sync.Mutex         // guards the fields below
	results       []crlhistory.Observation
	brokenAnswers []string // descriptions of answers that ended early
}

// startCallers starts n callers that send chats and n that send filings, requests of the plain service "filing" that must run
// once per idempotency key.
func (d *deployment) startCallers(n int) *callers {
	ctx, stop := context.WithCancel(context.Background())
	c := &callers{deployment: d, stop: stop, client: &http.Client{
		Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for i := range n {
		c.running.Go(func() {
			for k := i; ctx.Err() == nil; k++ {
				c.sendChat(fmt.Sprintf("session-%d-%d", i, k), k)
			}
		})
		c.running.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				c.sendFiling(fmt.Sprintf("filing-%d-%d", i, k), i+k)
				time.Sleep(callerPause)
			}
		})
	}
	return c
}

// stopAndWait stops the callers, waits until their open requests have ended and returns all results.
func (c *callers) stopAndWait() []crlhistory.Observation {
	c.stop()
	c.running.Wait()
	return c.results
}

func (c *callers) record(result crlhistory.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result)
}

// daemon returns the daemon with number i modulo the number of daemons.
func (c *callers) daemon(i int) *process { return c.deployment.daemons[i%len(c.deployment.daemons)] }

// sendFiling sends a filing to one daemon after the other, from the one with the number first on, until the filing is answered
// or its outcome is reported as unknown, at most maxFilingAttempts times.
func (c *callers) sendFiling(key string, first int) {
	for attempt := range maxFilingAttempts {
		result := crlhistory.Observation{Organisation: "firm-a", Service: "filing", Key: key, Sent: time.Now()}
		r := c.send(c.daemon(first+attempt), http.MethodPost, "/v1/services/filing",
			http.Header{crlentry.HeaderIdempotencyKey: {key}}, `{"entry":"`+key+`"}`)
		result.Request = crlid.Request(r.header.Get(crlentry.HeaderRequest))
		result.Whole, result.Text = r.status == http.StatusOK && r.complete, r.body
		if !result.Whole {
			recordRefusal(&result, r.body)
		}
		c.record(result)
		if result.Whole || result.Code == crlentry.CodeOutcomeUnknown && result.Refused {
			return
		}
		time.Sleep(callerPause)
	}
}

// recordRefusal stores the refusal in a body in the result, if the body holds one.
func recordRefusal(result *crlhistory.Observation, body string) {
	var refusal struct {
		Error struct {
			Code crlentry.Code `json:"code"`
			Ran  crlentry.Ran  `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &refusal); err == nil {
		result.Refused, result.Code, result.Ran = true, refusal.Error.Code, refusal.Error.Ran
	}
}

// sendChat requests a streamed answer from the daemon with the number first and, when the answer ends early, resumes it at the
// other daemons. The session is only the caller's name for the request, which carries no session token.
func (c *callers) sendChat(session string, first int) {
	result := crlhistory.Observation{Organisation: "firm-a", Session: session, Sent: time.Now()}
	r := c.send(c.daemon(first), http.MethodPost, "/v1/chat/completions", nil,
		`{"model":"auto","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	if r.status != http.StatusOK {
		recordRefusal(&result, r.body)
		c.record(result)
		time.Sleep(callerPause)
		return
	}
	result.Request = crlid.Request(r.header.Get(crlentry.HeaderRequest))
	result.Version = crlid.Version(r.header.Get(crlentry.HeaderVersion))
	last := appendFrames(&result, r.body)
	if !result.Whole {
		c.mu.Lock()
		c.brokenAnswers = append(c.brokenAnswers, fmt.Sprintf("%s after frame %d at %s", result.Request, last, c.daemon(first).Name))
		c.mu.Unlock()
	}
	for attempt := 1; attempt <= maxResumeAttempts && !result.Whole; attempt++ {
		time.Sleep(callerPause)
		header := http.Header{}
		header.Set(crlentry.HeaderStream, r.header.Get(crlentry.HeaderStream))
		header.Set(crlentry.HeaderLastEventID, strconv.Itoa(last))
		if rest := c.send(c.daemon(first+attempt), http.MethodGet, "/v1/streams", header, ""); rest.status == http.StatusOK {
			last = max(last, appendFrames(&result, rest.body))
		}
	}
	c.record(result)
}

// appendFrames appends the frames of a reply to the result's text and returns the number of the last one, or 0 if there is none.
func appendFrames(result *crlhistory.Observation, body string) (last int) {
	for event, err := range sse.Read(strings.NewReader(body), nil) {
		if err != nil || event.Type == "error" {
			return last
		}
		if event.Data == crlengine.EndData {
			result.Whole = true
			return last
		}
		var chunk crlengine.Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return last
		}
		last, _ = strconv.Atoi(event.LastEventID)
		result.Text += chunk.Choices[0].Delta.Content
	}
	return last
}

// reply is the part of a response that arrived.
type reply struct {
	status   int // 0 when no response arrived
	header   http.Header
	body     string
	complete bool // the body ended without an error
}

// send sends a request to a daemon and reads the response, as far as it arrives.
func (c *callers) send(p *process, method, path string, header http.Header, body string) reply {
	// The type of the reader does not let net/http rewind the body, so it never sends a request again by itself.
	request, err := http.NewRequest(method, "http://"+p.Listen+path, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return reply{}
	}
	request.ContentLength = int64(len(body))
	for name, values := range header {
		request.Header.Set(name, values[0])
	}
	request.Header.Set("Authorization", "Bearer key-firm-a")
	response, err := c.client.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, header: response.Header, complete: err == nil,
		body: completeEvents(string(text), path),
	}
}

// completeEvents returns a body without the partial event at the end of a stream that was cut off. Bodies of plain services are
// no streams and stay as they are.
func completeEvents(text, path string) string {
	if strings.HasPrefix(path, "/v1/services") {
		return text
	}
	if i := strings.LastIndex(text, "\n\n"); i >= 0 {
		return text[:i+2]
	}
	return text
}
