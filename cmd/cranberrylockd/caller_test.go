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

// Bounds of what callers do.
const (
	callerTimeout = 20 * time.Second
	callerPause   = 100 * time.Millisecond
	resumeTries   = 20
	filingTries   = 20
)

// callers send requests to the daemons and note what they were told.
type callers struct {
	deployment    *deployment
	client        *http.Client
	stop          context.CancelFunc
	running       sync.WaitGroup
	mu            sync.Mutex // mu guards the fields below.
	results       []crlhistory.Observation
	brokenAnswers []string // cut describes answers that broke before their end.
}

// startCallers starts n callers of chats and as many of filings.
func (s *deployment) startCallers(n int) *callers {
	ctx, stop := context.WithCancel(context.Background())
	c := &callers{deployment: s, stop: stop, client: &http.Client{
		Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for i := range n {
		c.running.Go(func() {
			for k := i; ctx.Err() == nil; k++ {
				c.chat(fmt.Sprintf("session-%d-%d", i, k), k)
			}
		})
		c.running.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				c.file(fmt.Sprintf("filing-%d-%d", i, k), i+k)
				time.Sleep(callerPause)
			}
		})
	}
	return c
}

// end stops the callers once their open requests have an answer.
func (c *callers) stopAndWait() []crlhistory.Observation {
	c.stop()
	c.running.Wait()
	return c.results
}

func (c *callers) record(told crlhistory.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, told)
}

func (c *callers) daemon(i int) *process { return c.deployment.daemons[i%len(c.deployment.daemons)] }

// file sends a filing to one daemon after the other until it is answered.
func (c *callers) file(key string, first int) {
	for try := range filingTries {
		told := crlhistory.Observation{Organisation: "firm-a", Service: "filing", Key: key, Sent: time.Now()}
		r := c.send(c.daemon(first+try), http.MethodPost, "/v1/services/filing", http.Header{crlentry.HeaderIdempotencyKey: {key}}, `{"entry":"`+key+`"}`)
		told.Request = crlid.Request(r.header.Get(crlentry.HeaderRequest))
		told.Whole, told.Text = r.status == http.StatusOK && r.complete, r.body
		if !told.Whole {
			recordRefusal(&told, r.body)
		}
		c.record(told)
		if told.Whole || told.Code == crlentry.CodeOutcomeUnknown && told.Refused {
			return
		}
		time.Sleep(callerPause)
	}
}

func recordRefusal(told *crlhistory.Observation, body string) {
	var refusal struct {
		Error struct {
			Code crlentry.Code `json:"code"`
			Ran  crlentry.Ran  `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &refusal); err == nil {
		told.Refused, told.Code, told.Ran = true, refusal.Error.Code, refusal.Error.Ran
	}
}

// chat asks for a streamed answer and resumes it at other daemons when it breaks.
func (c *callers) chat(session string, first int) {
	told := crlhistory.Observation{Organisation: "firm-a", Session: session, Sent: time.Now()}
	r := c.send(c.daemon(first), http.MethodPost, "/v1/chat/completions", nil,
		`{"model":"auto","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	if r.status != http.StatusOK {
		recordRefusal(&told, r.body)
		c.record(told)
		time.Sleep(callerPause)
		return
	}
	told.Request = crlid.Request(r.header.Get(crlentry.HeaderRequest))
	told.Version = crlid.Version(r.header.Get(crlentry.HeaderVersion))
	last := appendFrames(&told, r.body)
	if !told.Whole {
		c.mu.Lock()
		c.brokenAnswers = append(c.brokenAnswers, fmt.Sprintf("%s after frame %d at %s", told.Request, last, c.daemon(first).Name))
		c.mu.Unlock()
	}
	for try := 1; try <= resumeTries && !told.Whole; try++ {
		time.Sleep(callerPause)
		header := http.Header{}
		header.Set(crlentry.HeaderStream, r.header.Get(crlentry.HeaderStream))
		header.Set(crlentry.HeaderLastEventID, strconv.Itoa(last))
		if rest := c.send(c.daemon(first+try), http.MethodGet, "/v1/streams", header, ""); rest.status == http.StatusOK {
			last = max(last, appendFrames(&told, rest.body))
		}
	}
	c.record(told)
}

// takeFrames adds the frames of a reply to what the caller has and returns the last number.
func appendFrames(told *crlhistory.Observation, body string) (last int) {
	for event, err := range sse.Read(strings.NewReader(body), nil) {
		if err != nil || event.Type == "error" {
			return last
		}
		if event.Data == crlengine.EndData {
			told.Whole = true
			return last
		}
		var chunk crlengine.Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return last
		}
		last, _ = strconv.Atoi(event.LastEventID)
		told.Text += chunk.Choices[0].Delta.Content
	}
	return last
}

// reply is as much of a reply as arrived; its status is 0 when none began.
type reply struct {
	status   int
	header   http.Header
	body     string
	complete bool
}

func (c *callers) send(p *process, method, path string, header http.Header, body string) reply {
	// A reader without GetBody keeps net/http from sending a call again of its own accord.
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

// completeEvents drops the piece of an event with which a cut stream ends.
func completeEvents(text, path string) string {
	if strings.HasPrefix(path, "/v1/services") {
		return text
	}
	if i := strings.LastIndex(text, "\n\n"); i >= 0 {
		return text[:i+2]
	}
	return text
}
