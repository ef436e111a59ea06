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

// Time-outs and limits of test callers.
const (
	callTimeout        = 20 * time.Second
	nonIdempotentTries = 10                     // sends of one call that isn't idempotent, besides duplicates
	resumeTries        = 10                     // tries to resume one streamed answer
	retryPause         = 500 * time.Millisecond // before a call is repeated or an answer is resumed
	maxSessionCalls    = 4                      // chats of one session
)

// recorder collects the results that callers observed. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex // guards observed
	observed []crlhistory.Observation
}

func (r *recorder) add(observed crlhistory.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed = append(r.observed, observed)
}

// caller sends requests of one organisation to random daemons.
type caller struct {
	name         string
	organisation crlid.Organisation
	service      crlid.Service // for calls that aren't idempotent
	cluster      *testCluster
	random       *rand.Rand
	client       *http.Client
	recorder     *recorder
}

func (c *testCluster) newCaller(i int, seed uint64, service crlid.Service, organisation crlid.Organisation, r *recorder) *caller {
	name := fmt.Sprintf("caller-%d", i)
	return &caller{
		name: name, organisation: organisation, service: service, cluster: c, recorder: r,
		random: rand.New(rand.NewPCG(seed, uint64(i))), client: c.client(crlfake.Node(name)),
	}
}

// run sends requests one after the other until ctx ends: about a third are calls with an idempotency key, the others are
// sessions of chats.
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

// randomDaemon returns one of the cluster's daemons, whether or not it is running.
func (c *caller) randomDaemon() *daemonNode {
	return c.cluster.daemons[c.random.IntN(len(c.cluster.daemons))]
}

// callNonIdempotent sends a call that isn't idempotent to random daemons, sometimes to two at once, and repeats it under the
// same key until it gets an answer, or learns that the outcome is unknown, or has used up its tries.
func (c *caller) callNonIdempotent(key string) {
	if c.random.IntN(3) == 0 {
		var duplicates sync.WaitGroup
		for range 2 {
			daemon := c.randomDaemon()
			duplicates.Go(func() { c.send(daemon, key) })
		}
		duplicates.Wait()
	}
	for range nonIdempotentTries {
		observed := c.send(c.randomDaemon(), key)
		if observed.Whole || observed.Refused && observed.Code == crlentry.CodeOutcomeUnknown {
			return
		}
		time.Sleep(retryPause)
	}
}

// send sends one call with an idempotency key to a daemon, and records and returns what the caller observed.
func (c *caller) send(d *daemonNode, key string) crlhistory.Observation {
	observed := crlhistory.Observation{Organisation: c.organisation, Key: key, Service: c.service, Sent: time.Now()}
	header := http.Header{crlentry.HeaderIdempotencyKey: {key}}
	response, cancel, err := c.do(d, http.MethodPost, "/v1/services/"+string(c.service), header, `{"entry":"`+key+`"}`)
	defer cancel()
	if err == nil {
		defer response.Body.Close()
		text, readErr := io.ReadAll(response.Body)
		observed.Request = crlid.Request(response.Header.Get(crlentry.HeaderRequest))
		observed.Text, observed.Whole = string(text), readErr == nil && response.StatusCode == http.StatusOK
		if !observed.Whole && readErr == nil {
			parseRefusal(&observed, text)
		}
	}
	c.recorder.add(observed)
	return observed
}

// parseRefusal sets the refusal in observed from the body of a reply, if the body is the JSON of one.
func parseRefusal(observed *crlhistory.Observation, body []byte) {
	var refusal struct {
		Error struct {
			Code crlentry.Code `json:"code"`
			Ran  crlentry.Ran  `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil {
		return
	}
	observed.Refused, observed.Code, observed.Ran = true, refusal.Error.Code, refusal.Error.Ran
}

// runSession sends up to maxSessionCalls chats of one session, each to a random daemon, until one fails.
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

// answer is the part of a streamed answer that a caller has received so far, and what it needs to resume the stream.
type answer struct {
	observed    crlhistory.Observation
	streamToken string
	lastEventID int
}

// chatBody is a chat request for a streamed answer from any model.
const chatBody = `{"model":"auto","stream":true,"messages":[{"role":"user","content":"x"}]}`

// chat requests one streamed answer and resumes it at random daemons if it breaks. It returns the session token for the next
// chat; ok is false if the answer stayed incomplete or came without a token.
func (c *caller) chat(session, token string) (next string, ok bool) {
	a := &answer{observed: crlhistory.Observation{Organisation: c.organisation, Session: session, Sent: time.Now()}}
	header := http.Header{}
	if token != "" {
		header.Set(crlentry.HeaderSession, token)
	}
	next = c.readFromRandomDaemon(a, http.MethodPost, "/v1/chat/completions", header, chatBody)
	for try := 0; try < resumeTries && a.streamToken != "" && !a.observed.Whole; try++ {
		time.Sleep(retryPause)
		resume := http.Header{crlentry.HeaderStream: {a.streamToken}, crlentry.HeaderLastEventID: {strconv.Itoa(a.lastEventID)}}
		c.readFromRandomDaemon(a, http.MethodGet, "/v1/streams", resume, "")
	}
	c.recorder.add(a.observed)
	return next, a.observed.Whole && next != ""
}

// readFromRandomDaemon sends one request to a random daemon, like readFrom.
func (c *caller) readFromRandomDaemon(a *answer, method, path string, header http.Header, body string) string {
	return c.readFrom(c.randomDaemon(), a, method, path, header, body)
}

// readFrom sends one request to the given daemon, adds the frames of its reply to a, and returns the session token.
func (c *caller) readFrom(d *daemonNode, a *answer, method, path string, header http.Header, body string) string {
	response, cancel, err := c.do(d, method, path, header, body)
	defer cancel()
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	if a.streamToken == "" {
		a.observed.Request = crlid.Request(response.Header.Get(crlentry.HeaderRequest))
	}
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		if a.streamToken == "" {
			parseRefusal(&a.observed, text)
		}
		return ""
	}
	a.observed.Version = crlid.Version(response.Header.Get(crlentry.HeaderVersion))
	a.streamToken = response.Header.Get(crlentry.HeaderStream)
	a.readFrames(response.Body)
	return response.Header.Get(crlentry.HeaderSession)
}

// readFrames adds the frames of a reply until its end or its first error.
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
		a.lastEventID, _ = strconv.Atoi(event.LastEventID)
		a.observed.Text += chunk.Choices[0].Delta.Content
	}
}

// do sends one request. The cancel function is never nil and must be called after the response body was read.
func (c *caller) do(d *daemonNode, method, path string, header http.Header, body string) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.Listen+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, cancel, err
	}
	// Without GetBody, net/http can't send the request a second time by itself.
	request.GetBody = nil
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer key-"+string(c.organisation))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	return response, cancel, err
}
