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

	"github.com/cranberrylock/cranberrylock/crlid"
)

// maxServiceAnswerBytes bounds the answer of a plain service.
const maxServiceAnswerBytes = 8 << 20

// Attempt is one try to get an answer from a model engine.
type Attempt struct {
	Server   crlid.Server
	Address  string // Address is an IP number and a port.
	Version  crlid.Version
	Request  crlid.Request
	Priority string
	Deadline time.Time
	Body     []byte      // Body is the chat request, unused on a resume.
	Stream   string      // Stream is the engine's name of a stream to resume, empty for a new one.
	After    crlid.Frame // After is the last frame that a resume need not send again.
}

// Frame is one numbered piece of a streamed answer.
type Frame struct {
	Number crlid.Frame
	Data   string // Data is the Chunk as the engine wrote it.
	Text   string // Text is what the frame adds to the answer.
	Last   bool   // Last is true on the frame that ends the answer.
	Usage  Usage  // Usage is set on the last frame.
}

// Answer is the head of a streamed answer; Frames may be ranged over once.
type Answer struct {
	Version crlid.Version
	Boot    crlid.Boot
	Stream  string
	Load    int
	Frames  iter.Seq2[Frame, error] // Frames yields each number once, in order, and an *Error if the answer breaks.
	Close   func()                  // Close ends the answer, cancelling it unless it is whole, and is called once.
}

// ServiceAttempt is one try of a call to a plain service.
type ServiceAttempt struct {
	Server      crlid.Server
	Address     string
	Service     crlid.Service
	Request     crlid.Request
	Key         string // Key is the caller's idempotency key, empty when it gave none.
	ContentType string
	Body        []byte
	AtMostOnce  bool      // Once is true for a call that may not be repeated.
	SendBy      time.Time // SendBy is the last moment at which the call may leave, zero for none.
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Boot        crlid.Boot
	Body        []byte
}

// ClientConfig configures a Client.
type ClientConfig struct {
	ConnectTimeout time.Duration // ConnectTimeout bounds the wait for a connection.
	HeaderTimeout  time.Duration // HeaderTimeout bounds the wait for an answer's head.
	IdlePerServer  int           // IdlePerServer bounds the idle connections kept to a server.
	Dial           Dial          // Dial opens connections; nil means TCP.
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends attempts to backend servers by HTTP.
type Client struct {
	pooled   *http.Client // shared keeps connections for attempts that may be repeated.
	unpooled *http.Client // once opens a connection for each attempt.
}

// NewClient returns a client that follows no redirects.
func NewClient(config ClientConfig) *Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		pooled:   &http.Client{Transport: newTransport(config, false), CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: newTransport(config, true), CheckRedirect: noRedirect},
	}
}

// Open sends an attempt and returns the head of its answer, or an *Error.
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
			Err: fmt.Errorf("asked for version %s, got %s", attempt.Version, answer.Version),
		}
	}
	return answer, nil
}

// Call sends a call to a plain service and returns its whole answer, or an *Error.
func (c *Client) Call(ctx context.Context, attempt ServiceAttempt) (ServiceAnswer, error) {
	request, err := attempt.request(ctx)
	if err != nil {
		return ServiceAnswer{}, &Error{Server: attempt.Server, Fault: FaultUnreachable, Err: err}
	}
	client, accepts := c.pooled, isAnswerStatus
	if attempt.AtMostOnce {
		client, accepts = c.unpooled, isAtMostOnceAnswerStatus
	}
	response, err := send(client, request, attempt.Server, accepts)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceAnswerBytes+1))
	if err == nil && len(body) > maxServiceAnswerBytes {
		err = fmt.Errorf("answer exceeds %d bytes", maxServiceAnswerBytes)
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
	// A plain reader leaves GetBody unset, so net/http can't send the body a second time.
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

// isAnswer reports whether a status is an answer; any other is a failure that another server may make good.
func isAnswerStatus(status int) bool { return status < http.StatusInternalServerError }

// isOnceAnswer reports whether a status is the service's own word on a call that may not be repeated.
//
// The statuses of gateways are not: they tell nothing of whether the service ran it.
func isAtMostOnceAnswerStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	return true
}

// send returns a response that accepts finds to be an answer, or an *Error.
func send(client *http.Client, request *http.Request, server crlid.Server, accepts func(status int) bool) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
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
	if !accepts(response.StatusCode) {
		return nil, statusError(response, server, FaultFailed)
	}
	return response, nil
}

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
	ending := &answerBody{body: response.Body, cancel: cancel}
	return &Answer{
		Version: crlid.Version(response.Header.Get(HeaderVersion)),
		Boot:    crlid.Boot(response.Header.Get(HeaderBoot)),
		Stream:  response.Header.Get(HeaderStream),
		Load:    load,
		Frames:  ending.trackLastFrame(frames(response.Body, attempt)),
		Close:   ending.close,
	}
}

// frames yields the frames after attempt.After in order and drops repeats.
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
				err := fmt.Errorf("frame %d arrived, expected %d", frame.Number, next)
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

// errEndedEarly is the cause when an answer ends without its last frame.
var errEndedEarly = errors.New("answer ended without its last frame")

func parseFrame(event sse.Event, err error) (Frame, error) {
	if err != nil {
		return Frame{}, err
	}
	if event.Data == EndData {
		return Frame{}, nil
	}
	number, err := strconv.ParseInt(event.LastEventID, 10, 64)
	if err != nil {
		return Frame{}, fmt.Errorf("frame number %q: %w", event.LastEventID, err)
	}
	var chunk Chunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return Frame{}, fmt.Errorf("frame %d: %w", number, err)
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
