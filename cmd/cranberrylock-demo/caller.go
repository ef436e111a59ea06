package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// answer is what a caller got of a streamed answer.
type answer struct {
	request  string
	version  crlid.Version
	session  string
	stream   string
	texts    []string // texts holds the frames in the order of their arrival.
	complete bool
}

func newAnswer(response *http.Response) *answer {
	header := response.Header
	return &answer{
		request: header.Get(crlentry.HeaderRequest), version: crlid.Version(header.Get(crlentry.HeaderVersion)),
		session: header.Get(crlentry.HeaderSession), stream: header.Get(crlentry.HeaderStream),
	}
}

// read takes events until the answer has the wanted frames and, when these are all, its end.
func (a *answer) read(body io.Reader, frames int) error {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		if event.Data == crlengine.EndData {
			a.complete = true
			return nil
		}
		var chunk crlengine.Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return fmt.Errorf("event %q: %w", event.Data, errors.Join(err, errors.New("not a frame")))
		}
		a.texts = append(a.texts, chunk.Choices[0].Delta.Content)
		if len(a.texts) == frames && frames < demoTokens {
			return nil
		}
	}
	return io.EOF
}

func (f *fleet) chat(ctx context.Context, m *runningDaemon, model, session string) (answer, error) {
	response, err := f.sendChat(ctx, m, model, session)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a := newAnswer(response)
	return *a, a.read(response.Body, demoTokens)
}

func (f *fleet) sendChat(ctx context.Context, m *runningDaemon, model, session string) (*http.Response, error) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, model)
	header := http.Header{}
	if session != "" {
		header.Set(crlentry.HeaderSession, session)
	}
	return f.send(ctx, http.MethodPost, "http://"+m.Listen+"/v1/chat/completions", header, body)
}

// publish puts content in force and returns its offset.
func (f *fleet) publish(ctx context.Context, base crlid.Offset, content []byte) (crlid.Offset, error) {
	publication := crlconfig.Publication{ID: fmt.Sprintf("tour-%d", base), Base: base, Content: content}
	var verdict crlconfig.Verdict
	err := retry(ctx, func() error {
		return f.callJSON(ctx, http.MethodPost, "http://"+f.daemons[0].Admin+"/admin/configuration", nil, publication, &verdict)
	})
	if err != nil {
		return crlid.NoOffset, err
	}
	if verdict.Decision != crlconfig.DecisionAccepted {
		return crlid.NoOffset, fmt.Errorf("configuration: %s: %s", verdict.Decision, verdict.Reason)
	}
	f.acceptedAt = time.Now()
	return verdict.Offset, nil
}

// inForce checks that every daemon has the configuration in force.
func (f *fleet) checkInForce(ctx context.Context, offset crlid.Offset) error {
	for _, m := range f.daemons {
		var status crladmin.Status
		if err := f.callJSON(ctx, http.MethodGet, "http://"+m.Admin+"/admin/status", nil, nil, &status); err != nil {
			return err
		}
		if status.Offset < offset || !status.Ready {
			return fmt.Errorf("%s has configuration %d, want %d", m.Name, status.Offset, offset)
		}
	}
	return nil
}

func (f *fleet) callJSON(ctx context.Context, method, url string, header http.Header, body, reply any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := f.send(ctx, method, url, header, raw)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(reply)
}

// refusedError is a refusal as a caller reads it.
type refusedError struct {
	Status  int
	Message string        `json:"message"`
	Code    crlentry.Code `json:"code"`
	Ran     crlentry.Ran  `json:"ran"`
}

// Error describes the refusal in one line.
func (e *refusedError) Error() string {
	return fmt.Sprintf("status %d, %s, %s: %s", e.Status, e.Code, e.Ran, e.Message)
}

// send returns a response with status 200, or a *refusedError for any other.
func (f *fleet) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name := range header {
		request.Header.Set(name, header.Get(name))
	}
	request.Header.Set("Authorization", "Bearer "+demoKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, readRefusal(response)
}

func readRefusal(response *http.Response) error {
	var reply struct {
		Error refusedError `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return fmt.Errorf("status %d without a refusal: %w", response.StatusCode, err)
	}
	reply.Error.Status = response.StatusCode
	return &reply.Error
}

// retryPause is the time between two tries of a check.
const retryPause = 50 * time.Millisecond

// retry repeats a check until it passes or ctx ends.
func retry(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(retryPause):
		}
	}
}
