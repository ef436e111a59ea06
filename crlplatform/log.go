package crlplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Record is one append to a stream of the log.
type Record struct {
	Offset  crlid.Offset `json:"offset"`
	Time    time.Time    `json:"time"`
	Payload []byte       `json:"payload"`
}

// Page is the reply to a read: records in the order of their offsets, and the bounds of the stream.
type Page struct {
	First   crlid.Offset `json:"first"` // oldest offset that the log retains
	Head    crlid.Offset `json:"head"`  // offset that the next append will get
	Records []Record     `json:"records"`
}

// ReadRequest asks for records of a stream.
type ReadRequest struct {
	Stream crlid.Stream
	From   crlid.Offset  // first offset to return
	Limit  int           // largest number of records
	Wait   time.Duration // how long the log may delay the reply while it has no new record
}

// LogClient is an HTTP client of the platform's log service. It is safe for concurrent use.
type LogClient struct {
	baseURL string
	client  *http.Client
}

// LogClientConfig configures a LogClient.
type LogClientConfig struct {
	URL    string       // base URL of the log service
	Client *http.Client // sends the requests
}

// NewLogClient returns a client of the log service at config.URL. It sends nothing yet.
func NewLogClient(config LogClientConfig) *LogClient {
	return &LogClient{baseURL: config.URL, client: config.Client}
}

// Append appends a payload to a stream and returns its offset. The error is an *Error.
func (c *LogClient) Append(ctx context.Context, stream crlid.Stream, payload []byte) (crlid.Offset, error) {
	var reply struct {
		Offset crlid.Offset `json:"offset"`
	}
	call := httpCall{
		service: "log", action: "append to " + string(stream), method: http.MethodPost,
		url: c.streamURL(stream), body: payload, mutates: true,
	}
	if err := call.do(ctx, c.client, &reply); err != nil {
		return crlid.NoOffset, err
	}
	return reply.Offset, nil
}

// Read returns records of a stream from the offset request.From on. If the log no longer retains that offset, the
// returned *Error has Trimmed set.
func (c *LogClient) Read(ctx context.Context, request ReadRequest) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(int64(request.From), 10)},
		"limit":   {strconv.Itoa(request.Limit)},
		"wait-ms": {strconv.FormatInt(request.Wait.Milliseconds(), 10)},
	}
	var page Page
	call := httpCall{
		service: "log", action: fmt.Sprintf("read %s from %d", request.Stream, request.From),
		method: http.MethodGet, url: c.streamURL(request.Stream) + "?" + query.Encode(),
	}
	if err := call.do(ctx, c.client, &page); err != nil {
		return Page{}, err
	}
	return page, nil
}

func (c *LogClient) streamURL(stream crlid.Stream) string {
	return c.baseURL + "/streams/" + url.PathEscape(string(stream))
}

// httpCall describes one HTTP request to a service of the platform.
type httpCall struct {
	service, action string
	method, url     string
	body            []byte
	mutates         bool // the call alters the service's state
}

// do sends the request and decodes the JSON body of a reply with status 200 into reply. The error is an *Error.
func (h httpCall) do(ctx context.Context, client *http.Client, reply any) error {
	request, err := http.NewRequestWithContext(ctx, h.method, h.url, bytes.NewReader(h.body))
	if err != nil {
		return &Error{Service: h.service, Action: h.action, Err: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return &Error{Service: h.service, Action: h.action, MaybeApplied: h.mutates, Err: err}
	}
	defer func() {
		drain(response.Body)
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		return h.statusError(response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return &Error{Service: h.service, Action: h.action, MaybeApplied: h.mutates, Err: err}
	}
	return nil
}

// statusError returns the error for a reply with another status than 200. A call that alters state may have done so
// despite a status of 500 or above.
func (h httpCall) statusError(status int) error {
	return &Error{
		Service: h.service, Action: h.action, Status: status,
		MaybeApplied: h.mutates && status >= http.StatusInternalServerError,
		Trimmed:      status == http.StatusGone,
		TooLarge:     status == http.StatusRequestEntityTooLarge,
	}
}

// maxDrainBytes bounds how much of the rest of a reply is read and discarded so that its connection can be reused. The
// connection of a longer reply is closed.
const maxDrainBytes = 64 << 10

// drain reads and discards the rest of a reply, up to maxDrainBytes.
func drain(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes))
}
