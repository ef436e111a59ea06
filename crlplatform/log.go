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

// Record is one append as the log keeps it.
type Record struct {
	Offset  crlid.Offset `json:"offset"`
	Time    time.Time    `json:"time"`
	Payload []byte       `json:"payload"`
}

// Page is the reply to a read: records in offset order and the bounds of the stream.
type Page struct {
	First   crlid.Offset `json:"first"` // First is the oldest offset that the log still keeps.
	Head    crlid.Offset `json:"head"`  // Head is the offset that the next append gets.
	Records []Record     `json:"records"`
}

// ReadRequest asks for records of a stream.
type ReadRequest struct {
	Stream crlid.Stream
	From   crlid.Offset  // From is the first offset wanted.
	Limit  int           // Limit bounds the number of records.
	Wait   time.Duration // Wait bounds how long the log holds the reply when there is nothing new.
}

// LogClient calls the log service by HTTP.
type LogClient struct {
	baseURL string
	client  *http.Client
}

// LogClientConfig configures a LogClient.
type LogClientConfig struct {
	URL    string       // URL is the base URL of the log service.
	Client *http.Client // Client carries the calls.
}

// NewLogClient returns a client of the log service at the configured URL.
func NewLogClient(config LogClientConfig) *LogClient {
	return &LogClient{baseURL: config.URL, client: config.Client}
}

// Append adds a payload to the stream and returns its offset or an *Error.
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

// Read returns the records from the wanted offset on, or an *Error with Trimmed set
// when that offset is no longer kept.
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

// httpCall is one exchange with a platform service.
type httpCall struct {
	service, action string
	method, url     string
	body            []byte
	mutates         bool // changes is true when the call alters the service's state.
}

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

func (h httpCall) statusError(status int) error {
	return &Error{
		Service: h.service, Action: h.action, Status: status,
		MaybeApplied: h.mutates && status >= http.StatusInternalServerError,
		Trimmed:      status == http.StatusGone,
		TooLarge:     status == http.StatusRequestEntityTooLarge,
	}
}

// drainBytes bounds what is read of a reply that nobody wants, so that its connection can be kept.
const maxDrainBytes = 64 << 10

func drain(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes))
}
