package crlengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cranberrylock/cranberrylock/crlanswer"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// maxServiceAnswerBytes is the largest accepted answer of a plain service.
const maxServiceAnswerBytes = 8 << 20

// Attempt is one send of a chat request to a model engine, or one request to resume a stream there.
type Attempt struct {
	Server   crlid.Server
	Address  string // IP address and port
	Version  crlid.Version
	Request  crlid.Request
	Priority string      // interactive or patient
	Deadline time.Time   // sent to the engine as the remaining time, zero for none
	Body     []byte      // chat request in JSON, unused on a resume
	Stream   string      // engine's name of the stream to resume, empty for a new request
	After    crlid.Frame // last frame received before a resume; the answer continues after it
}

// Frame is one numbered part of a streamed answer.
type Frame struct {
	Number crlid.Frame
	Data   string // Chunk in JSON, as the engine sent it
	Text   string // text that the frame adds to the answer
	Last   bool   // whether the frame ends the answer
	Usage  Usage  // set on the last frame if the engine counts tokens
}

// Answer is a streamed answer of which the response headers have arrived.
type Answer struct {
	Version crlid.Version
	Boot    crlid.Boot
	Stream  string                  // engine's name of the stream, for a resume
	Load    int                     // requests that the engine states to be running, 0 if it doesn't state them
	Frames  iter.Seq2[Frame, error] // yields each frame once, in order, then an *Error if the answer breaks; may be ranged over once
	Close   func()                  // releases the answer, cancelling it unless it is complete; must be called once
}

// ServiceAttempt is one send of a call to a plain service.
type ServiceAttempt struct {
	Server      crlid.Server
	Address     string
	Service     crlid.Service
	Request     crlid.Request
	Key         string // caller's idempotency key, empty for none
	ContentType string
	Body        []byte
	AtMostOnce  bool      // true for a call that isn't idempotent, which must not be sent twice
	SendBy      time.Time // the call fails unless its own connection opens before this time; zero for no limit
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Boot        crlid.Boot
	Body        []byte
}

// ClientConfig configures a Client.
type ClientConfig struct {
	ConnectTimeout time.Duration // per connection attempt
	HeaderTimeout  time.Duration // from the end of the request to the response headers
	IdlePerServer  int           // idle connections kept per server
	Dial           Dial          // opens connections; nil for the default of package net
}

// Dial opens a network connection to an address, with the parameters of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends attempts to backend servers over HTTP.
type Client struct {
	pooled   *http.Client // reuses connections, for attempts that may be repeated
	unpooled *http.Client // opens a connection for each attempt
}

// NewClient returns a Client, which follows no redirects and uses no proxy.
func NewClient(config ClientConfig) *Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		pooled:   &http.Client{Transport: newTransport(config, false), CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: newTransport(config, true), CheckRedirect: noRedirect},
	}
}

// Open sends an attempt and returns its answer once the response headers arrive. Any error is an *Error. An answer by
// another version than the attempt's is closed and reported as FaultWrongVersion.
func (c *Client) Open(ctx context.Context, attempt Attempt) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, err := attempt.request(ctx)
	if err != nil {
		cancel()
		return nil, &Error{Server: attempt.Server, Fault: FaultUnreachable, Err: err}
	}
	response, err := send(c.pooled, request, attempt.Server, isAnswerStatus)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		cancel()
		return nil, statusError(response, attempt.Server, FaultFailed)
	}
	answer := newAnswer(response, attempt, cancel)
	if answer.Version != attempt.Version {
		answer.Close()
		return nil, &Error{
			Server: attempt.Server, Fault: FaultWrongVersion,
			Err: fmt.Errorf("requested version %s, but version %s answered", attempt.Version, answer.Version),
		}
	}
	return answer, nil
}

// Call sends a call to a plain service and returns its complete answer. Any error is an *Error.
func (c *Client) Call(ctx context.Context, attempt ServiceAttempt) (ServiceAnswer, error) {
	request, err := attempt.request(ctx)
	if err != nil {
		return ServiceAnswer{}, &Error{Server: attempt.Server, Fault: FaultUnreachable, Err: err}
	}
	client, isAnswer := c.pooled, isAnswerStatus
	if attempt.AtMostOnce {
		client, isAnswer = c.unpooled, isAtMostOnceAnswerStatus
	}
	response, err := send(client, request, attempt.Server, isAnswer)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceAnswerBytes+1))
	if err == nil && len(body) > maxServiceAnswerBytes {
		err = fmt.Errorf("answer of the service exceeds %d bytes", maxServiceAnswerBytes)
	}
	if err != nil {
		return ServiceAnswer{}, &Error{Server: attempt.Server, Fault: FaultBroken, Err: err}
	}
	return ServiceAnswer{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Boot: crlid.Boot(response.Header.Get(HeaderBoot)), Body: body,
	}, nil
}

func (a Attempt) request(ctx context.Context) (*http.Request, error) {
	method, target := http.MethodPost, "http://"+a.Address+"/v1/chat/completions"
	if a.Stream != "" {
		method, target = http.MethodGet, "http://"+a.Address+"/v1/streams/"+url.PathEscape(a.Stream)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(HeaderRequest, string(a.Request))
	request.Header.Set(HeaderPriority, a.Priority)
	if a.Stream != "" {
		request.Header.Set(HeaderLastEventID, strconv.FormatInt(int64(a.After), 10))
	}
	if !a.Deadline.IsZero() {
		request.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(a.Deadline).Milliseconds(), 10))
	}
	return request, nil
}

func (a ServiceAttempt) request(ctx context.Context) (*http.Request, error) {
	// A plain io.Reader leaves GetBody unset, so that net/http can't send the body a second time on a new connection.
	body := struct{ io.Reader }{bytes.NewReader(a.Body)}
	target := "http://" + a.Address + "/v1/services/" + url.PathEscape(string(a.Service))
	request, err := http.NewRequestWithContext(withSendBy(ctx, a.SendBy), http.MethodPost, target, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(a.Body))
	request.Header.Set("Content-Type", a.ContentType)
	request.Header.Set(HeaderRequest, string(a.Request))
	if a.Key != "" {
		request.Header.Set("Idempotency-Key", a.Key)
	}
	return request, nil
}

// isAnswerStatus reports whether a status is an answer to an attempt that may be repeated. Any other status is a failure,
// after which another server may succeed.
func isAnswerStatus(status int) bool { return status < http.StatusInternalServerError }

// isAtMostOnceAnswerStatus reports whether a status is the service's own answer to a call that must not be sent twice. The
// statuses 502, 503 and 504 aren't: they may come from a gateway, which doesn't know whether the service ran the call.
func isAtMostOnceAnswerStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	return true
}

// send sends a request and returns a response whose status is an answer according to isAnswer, or an *Error. The Error of a
// failed send has FaultUnreachable if there was no connection yet, so that nothing can have been sent, else FaultBroken.
func send(client *http.Client, request *http.Request, server crlid.Server, isAnswer func(status int) bool) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(request.WithContext(crlanswer.WithTrace(request.Context(), trace)))
	if err != nil {
		fault := FaultUnreachable
		if connected.Load() {
			fault = FaultBroken
		}
		return nil, &Error{Server: server, Fault: fault, Err: err}
	}
	if response.Header.Get(HeaderOutcome) == OutcomeNotRun {
		return nil, statusError(response, server, FaultRefused)
	}
	if !isAnswer(response.StatusCode) {
		return nil, statusError(response, server, FaultFailed)
	}
	return response, nil
}

// statusError closes a response and returns an *Error with its status and its Retry-After time.
func statusError(response *http.Response, server crlid.Server, fault Fault) error {
	_ = response.Body.Close()
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &Error{
		Server: server, Fault: fault, Status: response.StatusCode,
		RetryAfter: time.Duration(seconds) * time.Second,
	}
}

func newAnswer(response *http.Response, attempt Attempt, cancel context.CancelFunc) *Answer {
	load, _ := strconv.Atoi(response.Header.Get(HeaderLoad))
	trackedBody := &answerBody{body: response.Body, cancel: cancel}
	return &Answer{
		Version: crlid.Version(response.Header.Get(HeaderVersion)),
		Boot:    crlid.Boot(response.Header.Get(HeaderBoot)),
		Stream:  response.Header.Get(HeaderStream),
		Load:    load,
		Frames:  trackedBody.trackLastFrame(frames(response.Body, attempt)),
		Close:   trackedBody.close,
	}
}

// frames yields the frames after attempt.After, in order, and drops repeated ones. A gap, an invalid frame, a read error or
// the end of the body before the last frame ends it with an *Error.
func frames(body io.Reader, attempt Attempt) iter.Seq2[Frame, error] {
	return func(yield func(Frame, error) bool) {
		next := attempt.After + 1
		for event, err := range sse.Read(body, nil) {
			frame, err := parseFrame(event, err)
			if err != nil {
				yield(Frame{}, &Error{Server: attempt.Server, Fault: FaultBroken, Err: err})
				return
			}
			if frame.Number < next || event.Data == EndData {
				continue
			}
			if frame.Number > next {
				err := fmt.Errorf("received frame %d, want frame %d", frame.Number, next)
				yield(Frame{}, &Error{Server: attempt.Server, Fault: FaultBroken, Err: err})
				return
			}
			next++
			if !yield(frame, nil) || frame.Last {
				return
			}
		}
		yield(Frame{}, &Error{Server: attempt.Server, Fault: FaultBroken, Err: errEndedEarly})
	}
}

// errEndedEarly is the cause if an answer ends without its last frame.
var errEndedEarly = errors.New("answer ended without its last frame")

// parseFrame returns the frame in an event; err is the error with which the event was read, and is returned if not nil. The
// event that marks the end of the stream gives the zero Frame.
func parseFrame(event sse.Event, err error) (Frame, error) {
	if err != nil {
		return Frame{}, err
	}
	if event.Data == EndData {
		return Frame{}, nil
	}
	number, err := strconv.ParseInt(event.LastEventID, 10, 64)
	if err != nil {
		return Frame{}, fmt.Errorf("parse frame number %q: %w", event.LastEventID, err)
	}
	var chunk Chunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return Frame{}, fmt.Errorf("parse JSON of frame %d: %w", number, err)
	}
	frame := Frame{Number: crlid.Frame(number), Data: event.Data}
	if len(chunk.Choices) > 0 {
		frame.Text = chunk.Choices[0].Delta.Content
		frame.Last = chunk.Choices[0].FinishReason != nil
	}
	if chunk.Usage != nil {
		frame.Usage = *chunk.Usage
	}
	return frame, nil
}
