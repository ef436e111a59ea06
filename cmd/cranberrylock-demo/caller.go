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

// answer is what a caller has received of a streamed answer.
type answer struct {
	request  string        // identifier of the request
	version  crlid.Version // version that answers
	session  string        // token of the session
	stream   string        // token with which the answer can be resumed
	texts    []string      // texts of the frames in the order of their arrival
	complete bool          // the end marker arrived
}

// newAnswer returns an answer without frames, with the identifiers in the response's headers.
func newAnswer(response *http.Response) *answer {
	header := response.Header
	return &answer{
		request: header.Get(crlentry.HeaderRequest), version: crlid.Version(header.Get(crlentry.HeaderVersion)),
		session: header.Get(crlentry.HeaderSession), stream: header.Get(crlentry.HeaderStream),
	}
}

// read reads events until the answer has the given number of frames. If that is demoTokens, all frames of an answer, it reads
// on to the end marker. The error is io.EOF if the stream ended before.
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
			return fmt.Errorf("event %q: %w", event.Data, errors.Join(err, errors.New("not a frame of an answer")))
		}
		a.texts = append(a.texts, chunk.Choices[0].Delta.Content)
		if len(a.texts) == frames && frames < demoTokens {
			return nil
		}
	}
	return io.EOF
}

// chat sends a chat request to a daemon and reads the answer to its end. If the token in session is not empty, the request
// belongs to that session.
func (f *fleet) chat(ctx context.Context, d *runningDaemon, model, session string) (answer, error) {
	response, err := f.sendChat(ctx, d, model, session)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a := newAnswer(response)
	return *a, a.read(response.Body, demoTokens)
}

// sendChat sends a chat request like chat, but returns the response with its stream unread.
func (f *fleet) sendChat(ctx context.Context, d *runningDaemon, model, session string) (*http.Response, error) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, model)
	header := http.Header{}
	if session != "" {
		header.Set(crlentry.HeaderSession, session)
	}
	return f.send(ctx, http.MethodPost, "http://"+d.Listen+"/v1/chat/completions", header, body)
}

// publish publishes a configuration that was made from the one at the offset base, and returns its own offset, or an error if it
// is not accepted. It repeats the call until the first daemon returns a verdict or ctx ends.
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
		return crlid.NoOffset, fmt.Errorf("configuration not accepted: %s: %s", verdict.Decision, verdict.Reason)
	}
	f.acceptedAt = time.Now()
	return verdict.Offset, nil
}

// checkInForce checks that every daemon is ready and has the configuration with the offset, or a newer one, in force.
func (f *fleet) checkInForce(ctx context.Context, offset crlid.Offset) error {
	for _, d := range f.daemons {
		var status crladmin.Status
		if err := f.callJSON(ctx, http.MethodGet, "http://"+d.Admin+"/admin/status", nil, nil, &status); err != nil {
			return err
		}
		if status.Offset < offset || !status.Ready {
			return fmt.Errorf("%s has configuration %d in force, want %d and the daemon ready", d.Name, status.Offset, offset)
		}
	}
	return nil
}

// callJSON sends body as JSON and decodes the JSON response into reply.
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

// refusedError is a refusal by a daemon, as the caller reads it from the response.
type refusedError struct {
	Status  int           // HTTP status
	Message string        `json:"message"`
	Code    crlentry.Code `json:"code"`
	Ran     crlentry.Ran  `json:"ran"` // whether a backend server ran the request
}

// Error describes the refusal in one line.
func (e *refusedError) Error() string {
	return fmt.Sprintf("status %d, %s, %s: %s", e.Status, e.Code, e.Ran, e.Message)
}

// send sends a request with the demo's API key. It returns the response if its status is 200; any other status is an error, a
// *refusedError if the body holds a refusal.
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

// readRefusal returns the refusal in a response as an error.
func readRefusal(response *http.Response) error {
	var reply struct {
		Error refusedError `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return fmt.Errorf("decode refusal of status %d: %w", response.StatusCode, err)
	}
	reply.Error.Status = response.StatusCode
	return &reply.Error
}

// retryPause is the time between two attempts of retry.
const retryPause = 50 * time.Millisecond

// retry repeats a check until it passes or ctx ends. In the second case the error includes that of the last attempt.
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
