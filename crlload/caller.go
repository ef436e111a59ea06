package crlload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/cranberrylock/cranberrylock/crlanswer"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlentry"
)

// Outcomes of calls. A call that was refused has the outcome that refusalCode returns instead.
const (
	outcomeOK             = "ok"             // a complete answer arrived
	outcomeSkipped        = "skipped"        // not sent because MaxOpen arrivals were open
	outcomeTransport      = "transport"      // transport error before the response headers or while frames were read
	outcomeIncomplete     = "incomplete"     // the answer ended early, had a gap or ended with an error event
	outcomeVersionChanged = "moved"          // answered by another version than the previous call of the session
	outcomeTimeout        = "client-timeout" // took longer than the experiment's Timeout
)

// result is the outcome and the measurements of one call.
type result struct {
	outcome    string
	firstToken time.Duration   // time from the due time to the first frame or, of a plain service, to the end of the answer
	total      time.Duration   // time from the due time to the end of the answer
	between    []time.Duration // times between successive frames
	version    string
	session    string // session token for the next call
}

// caller sends the calls of all flows, and the orders, over one pool of connections.
type caller struct {
	client *http.Client
}

func newCaller(maxOpen int) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{client: &http.Client{Transport: crlanswer.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxOpen, DisableCompression: true,
	})}}
}

// call sends one call of a flow and reads its answer to the end. Latencies count from the time at which it was due.
func (c *caller) call(ctx context.Context, target string, flow Flow, session string, body []byte, due time.Time) result {
	request, err := newRequest(ctx, target, flow, session, body)
	if err != nil {
		return result{outcome: outcomeTransport}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return result{outcome: errorOutcome(err), total: time.Since(due)}
	}
	defer func() { _ = response.Body.Close() }()
	r := result{
		version: response.Header.Get(crlentry.HeaderVersion), session: response.Header.Get(crlentry.HeaderSession),
	}
	switch {
	case response.StatusCode != http.StatusOK:
		r.outcome = refusalCode(response)
	case flow.Service != "":
		r.outcome = readServiceAnswer(response.Body)
		r.firstToken = time.Since(due)
	default:
		r.readStream(response.Body, due)
	}
	r.total = time.Since(due)
	return r
}

// readStream reads the frames of a streamed answer, records their times, and sets the outcome. It stops at a frame whose
// number isn't the next one.
func (r *result) readStream(body io.Reader, due time.Time) {
	r.outcome = outcomeIncomplete
	var lastTime time.Time
	lastNumber := int64(0)
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			r.outcome = errorOutcome(err)
			return
		}
		if event.Data == crlengine.EndData {
			r.outcome = outcomeOK
			return
		}
		n, err := strconv.ParseInt(event.LastEventID, 10, 64)
		if err != nil || n != lastNumber+1 || event.Type == "error" {
			return
		}
		now := time.Now()
		if lastNumber == 0 {
			r.firstToken = now.Sub(due)
		} else {
			r.between = append(r.between, now.Sub(lastTime))
		}
		lastNumber, lastTime = n, now
	}
}

func readServiceAnswer(body io.Reader) string {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return outcomeIncomplete
	}
	return outcomeOK
}

// refusalCode returns the outcome of a refused call: the daemon's error code and whether the request ran, such as
// overloaded/not-run, or the HTTP status, such as status-500, if the answer has no code.
func refusalCode(response *http.Response) string {
	var body struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error.Code == "" {
		return fmt.Sprintf("status-%d", response.StatusCode)
	}
	return body.Error.Code + "/" + body.Error.Ran
}

func errorOutcome(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcomeTimeout
	}
	return outcomeTransport
}

func newRequest(ctx context.Context, target string, flow Flow, session string, body []byte) (*http.Request, error) {
	url := "http://" + target + "/v1/chat/completions"
	if flow.Service != "" {
		url = "http://" + target + "/v1/services/" + string(flow.Service)
	}
	// A plain io.Reader leaves GetBody unset, so that net/http can't send a call a second time on a new connection.
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+flow.Key)
	if flow.Class != "" {
		request.Header.Set(crlentry.HeaderClass, string(flow.Class))
	}
	if session != "" {
		request.Header.Set(crlentry.HeaderSession, session)
	}
	if flow.WithIdempotencyKey {
		request.Header.Set(crlentry.HeaderIdempotencyKey, uuid.NewString())
	}
	return request, nil
}

// newBody returns the body of a call. The prompts of one session differ only in their end, so that engines can use cached
// prefixes.
func newBody(flow Flow, session uint64, call int) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	line := fmt.Sprintf("%s %d. ", flow.Name, session)
	prompt := strings.Repeat(line, flow.PromptBytes/len(line)+1) + strconv.Itoa(call)
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens,omitempty"`
	}{flow.Model, []message{{Role: "user", Content: prompt}}, true, flow.Tokens})
	if err != nil {
		panic("crlload: encode request body: " + err.Error())
	}
	return body
}
