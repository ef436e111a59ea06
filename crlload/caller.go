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

	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlentry"
)

// Outcomes of calls that no daemon names.
const (
	outcomeOK             = "ok"
	outcomeSkipped        = "skipped"        // outcomeSkipped is a call that was not sent because MaxOpen were open.
	outcomeTransport      = "transport"      // outcomeTransport is a call without an answer's head.
	outcomeIncomplete     = "incomplete"     // outcomeIncomplete is an answer that ended early or had a gap.
	outcomeVersionChanged = "moved"          // outcomeMoved is a session's answer by another version than its first.
	outcomeTimeout        = "client-timeout" // outcomeTimeout is a call that took longer than Timeout.
)

// result is what became of one call.
type result struct {
	outcome    string
	firstToken time.Duration // firstToken counts from the intended start.
	total      time.Duration // total counts from the intended start.
	between    []time.Duration
	version    string
	session    string
}

// caller sends calls of flows.
type caller struct {
	client *http.Client
}

func newCaller(maxOpen int) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxOpen, DisableCompression: true,
	}}}
}

// call sends one call and reads its answer to the end.
func (c *caller) call(ctx context.Context, target string, flow Flow, session string, body []byte, intended time.Time) result {
	request, err := newRequest(ctx, target, flow, session, body)
	if err != nil {
		return result{outcome: outcomeTransport}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return result{outcome: errorOutcome(err), total: time.Since(intended)}
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
		r.firstToken = time.Since(intended)
	default:
		r.readStream(response.Body, intended)
	}
	r.total = time.Since(intended)
	return r
}

// readStream takes the frames of an answer and checks that none is missing.
func (r *result) readStream(body io.Reader, intended time.Time) {
	r.outcome = outcomeIncomplete
	var last time.Time
	number := int64(0)
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
		if err != nil || n != number+1 || event.Type == "error" {
			return
		}
		now := time.Now()
		if number == 0 {
			r.firstToken = now.Sub(intended)
		} else {
			r.between = append(r.between, now.Sub(last))
		}
		number, last = n, now
	}
}

func readServiceAnswer(body io.Reader) string {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return outcomeIncomplete
	}
	return outcomeOK
}

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
	// A plain reader keeps net/http from sending a call a second time.
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

// newBody returns the body of a flow's call; calls of one session share their prompt's beginning.
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
		panic("crlload: a body of strings can't be encoded: " + err.Error())
	}
	return body
}
