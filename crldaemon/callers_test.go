package crldaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlhistory"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Bounds of what callers do.
const (
	callTimeout        = 20 * time.Second
	nonIdempotentTries = 10
	resumeTries        = 10
	retryPause         = 500 * time.Millisecond
	maxSessionCalls    = 4
)

// recorder gathers what callers were told.
type recorder struct {
	mu       sync.Mutex // mu guards told.
	observed []crlhistory.Observation
}

func (r *recorder) add(told crlhistory.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed = append(r.observed, told)
}

// caller sends requests of one organisation to random daemons.
type caller struct {
	name         string
	organisation crlid.Organisation
	service      crlid.Service // service is the non-idempotent one.
	cluster      *testCluster
	random       *rand.Rand
	client       *http.Client
	recorder     *recorder
}

func (w *testCluster) newCaller(i int, seed uint64, service crlid.Service, organisation crlid.Organisation, r *recorder) *caller {
	name := fmt.Sprintf("caller-%d", i)
	return &caller{
		name: name, organisation: organisation, service: service, cluster: w, recorder: r,
		random: rand.New(rand.NewPCG(seed, uint64(i))), client: w.client(crlfake.Node(name)),
	}
}

// run sends requests one after the other until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		if c.random.IntN(3) == 0 {
			c.callNonIdempotent(fmt.Sprintf("%s-key-%d", c.name, n))
		} else {
			c.runSession(fmt.Sprintf("%s-session-%d", c.name, n))
		}
		time.Sleep(time.Duration(c.random.IntN(1000)) * time.Millisecond)
	}
}

func (c *caller) daemon() *daemonNode {
	return c.cluster.daemons[c.random.IntN(len(c.cluster.daemons))]
}

// file sends a non-idempotent call, sometimes to two daemons at once, until it has a final answer.
func (c *caller) callNonIdempotent(key string) {
	if c.random.IntN(3) == 0 {
		var twins sync.WaitGroup
		for range 2 {
			daemon := c.daemon()
			twins.Go(func() { c.send(daemon, key) })
		}
		twins.Wait()
	}
	for range nonIdempotentTries {
		told := c.send(c.daemon(), key)
		if told.Whole || told.Refused && told.Code == crlentry.CodeOutcomeUnknown {
			return
		}
		time.Sleep(retryPause)
	}
}

func (c *caller) send(d *daemonNode, key string) crlhistory.Observation {
	told := crlhistory.Observation{Organisation: c.organisation, Key: key, Service: c.service, Sent: time.Now()}
	header := http.Header{crlentry.HeaderIdempotencyKey: {key}}
	response, cancel, err := c.do(d, http.MethodPost, "/v1/services/"+string(c.service), header, `{"entry":"`+key+`"}`)
	defer cancel()
	if err == nil {
		defer response.Body.Close()
		text, readErr := io.ReadAll(response.Body)
		told.Request = crlid.Request(response.Header.Get(crlentry.HeaderRequest))
		told.Text, told.Whole = string(text), readErr == nil && response.StatusCode == http.StatusOK
		if !told.Whole && readErr == nil {
			parseRefusal(&told, text)
		}
	}
	c.recorder.add(told)
	return told
}

// refuse takes a refusal from the body of a reply.
func parseRefusal(told *crlhistory.Observation, body []byte) {
	var refusal struct {
		Error struct {
			Code crlentry.Code `json:"code"`
			Ran  crlentry.Ran  `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil {
		return
	}
	told.Refused, told.Code, told.Ran = true, refusal.Error.Code, refusal.Error.Ran
}

// converse makes some calls of one session, each at another daemon.
func (c *caller) runSession(session string) {
	token := ""
	for range 1 + c.random.IntN(maxSessionCalls) {
		next, ok := c.chat(session, token)
		if !ok {
			return
		}
		token = next
		time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
	}
}

// answer is what a caller has of a streamed answer.
type answer struct {
	observed crlhistory.Observation
	token    string
	last     int
}

// chatBody asks for a streamed answer of any model.
const chatBody = `{"model":"auto","stream":true,"messages":[{"role":"user","content":"x"}]}`

// chat asks for one streamed answer and resumes it elsewhere if it breaks.
func (c *caller) chat(session, token string) (next string, ok bool) {
	a := &answer{observed: crlhistory.Observation{Organisation: c.organisation, Session: session, Sent: time.Now()}}
	header := http.Header{}
	if token != "" {
		header.Set(crlentry.HeaderSession, token)
	}
	next = c.read(a, http.MethodPost, "/v1/chat/completions", header, chatBody)
	for try := 0; try < resumeTries && a.token != "" && !a.observed.Whole; try++ {
		time.Sleep(retryPause)
		resume := http.Header{crlentry.HeaderStream: {a.token}, crlentry.HeaderLastEventID: {strconv.Itoa(a.last)}}
		c.read(a, http.MethodGet, "/v1/streams", resume, "")
	}
	c.recorder.add(a.observed)
	return next, a.observed.Whole && next != ""
}

// read takes the frames of one reply of a random daemon and returns the session token.
func (c *caller) read(a *answer, method, path string, header http.Header, body string) string {
	return c.readFrom(c.daemon(), a, method, path, header, body)
}

func (c *caller) readFrom(d *daemonNode, a *answer, method, path string, header http.Header, body string) string {
	response, cancel, err := c.do(d, method, path, header, body)
	defer cancel()
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	if a.token == "" {
		a.observed.Request = crlid.Request(response.Header.Get(crlentry.HeaderRequest))
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		if a.token == "" {
			parseRefusal(&a.observed, text)
		}
		return ""
	}
	a.observed.Version = crlid.Version(response.Header.Get(crlentry.HeaderVersion))
	a.token = response.Header.Get(crlentry.HeaderStream)
	a.readFrames(response.Body)
	return response.Header.Get(crlentry.HeaderSession)
}

func (a *answer) readFrames(body io.Reader) {
	for event, err := range sse.Read(body, nil) {
		if err != nil || event.Type == "error" {
			return
		}
		if event.Data == crlengine.EndData {
			a.observed.Whole = true
			return
		}
		var chunk crlengine.Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return
		}
		a.last, _ = strconv.Atoi(event.LastEventID)
		a.observed.Text += chunk.Choices[0].Delta.Content
	}
}

func (c *caller) do(d *daemonNode, method, path string, header http.Header, body string) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.Listen+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, cancel, err
	}
	// A body that can't be sent again keeps net/http from repeating a call of its own accord.
	request.GetBody = nil
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer key-"+string(c.organisation))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	return response, cancel, err
}
