package crlforward

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cranberrylock/cranberrylock/crlbudget"
	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crllog"
	"github.com/cranberrylock/cranberrylock/crlrollout"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// dialect is a minimal Dialect for tests.
type dialect struct{}

func (dialect) DecodeRequest(h http.Header) (Head, error) {
	head := Head{Request: crlid.Request(h.Get("X-Request")), Key: h.Get("X-Key"), PromptTokens: 1000, MaxAnswerTokens: 100}
	if head.Request == "" {
		return head, errors.New("no request id")
	}
	if text := h.Get("X-Parts"); text != "" {
		for _, id := range strings.Split(text, ",") {
			head.Parts = append(head.Parts, Part{ID: id, Tokens: 100})
		}
	}
	if n, err := strconv.Atoi(h.Get("X-Output")); err == nil {
		head.MaxAnswerTokens = crlid.Tokens(n)
	}
	if ms, err := strconv.Atoi(h.Get("X-Deadline")); err == nil {
		head.Deadline = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.ParseInt(h.Get("X-After"), 10, 64); err == nil {
		head.LastEvent, head.Resumes = n, true
	}
	return head, nil
}

func (dialect) EncodeAttempt(h http.Header, a Attempt) {
	h.Del("X-Key")
	h.Set("X-Server", string(a.Server))
	h.Set("X-Organisation", string(a.Organisation))
	h.Set("X-Model", string(a.Model))
	h.Set("X-Deadline", fmt.Sprint(a.Deadline.Milliseconds()))
	if a.Resumes {
		h.Set("X-After", fmt.Sprint(a.LastEvent))
	}
}

func (dialect) EncodeHandover(h http.Header, handover Handover) {
	h.Set("X-Deadline", fmt.Sprint(handover.Deadline.Milliseconds()))
	if handover.Resumes {
		h.Set("X-After", fmt.Sprint(handover.LastEvent))
	}
}

func (dialect) DecodeAnswer(status int, h http.Header) AnswerHead {
	head := AnswerHead{
		Request: crlid.Request(h.Get("X-Request")), NotRun: h.Get("X-Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Signed: h.Get("X-Signed") != "", Confidence: NoConfidence,
	}
	if n, err := strconv.Atoi(h.Get("X-Confidence")); err == nil {
		head.Confidence = n
	}
	return head
}

func (dialect) RetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

// scriptedBackend stands for all backend servers of a test: each send is answered by the next step of the script, whichever
// server it is for.
type scriptedBackend struct {
	mu    sync.Mutex
	steps []step
	sent  []*http.Request
	ended int // sends whose context ended
}

// step answers one send.
type step func(r *http.Request) (*http.Response, error)

func (b *scriptedBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	n := len(b.sent)
	b.sent = append(b.sent, r)
	b.mu.Unlock()
	context.AfterFunc(r.Context(), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ended++
	})
	if n >= len(b.steps) {
		return nil, errors.New("more sends than the script has steps")
	}
	return b.steps[n](r)
}

// connect reports to the sender that a connection was opened.
func connect(r *http.Request) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
}

// brokenReader returns its content and then err.
type brokenReader struct {
	content io.Reader
	err     error
}

func (b *brokenReader) Read(p []byte) (int, error) {
	n, err := b.content.Read(p)
	if err != nil {
		return n, b.err
	}
	return n, nil
}

var errReset = errors.New("connection reset by peer")

// newResponse returns a response that states the request id of r, unless header sets another id.
func newResponse(r *http.Request, status int, header map[string]string, body io.Reader) *http.Response {
	h := http.Header{"X-Request": {r.Header.Get("X-Request")}}
	for name, value := range header {
		h.Set(name, value)
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(body), ContentLength: -1}
}

// signed holds the header of an answer with a server's signature.
var signed = map[string]string{"X-Signed": "yes"}

// answers returns a step that answers with a complete, signed success.
func answers(text string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		return newResponse(r, http.StatusOK, signed, strings.NewReader(text)), nil
	}
}

// fails returns a step that answers with a status and headers, and "failure" as the body.
func fails(status int, header map[string]string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		return newResponse(r, status, header, strings.NewReader("failure")), nil
	}
}

// breaksAfter returns a step whose connection is reset after text.
func breaksAfter(text string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		return newResponse(r, http.StatusOK, signed, &brokenReader{strings.NewReader(text), errReset}), nil
	}
}

// losesAnswer is a step whose connection is reset after the request was sent.
func losesAnswer(r *http.Request) (*http.Response, error) {
	connect(r)
	return nil, errReset
}

// unreachable is a step that opens no connection.
func unreachable(*http.Request) (*http.Response, error) { return nil, errors.New("no route to host") }

// hangs is a step that accepts the request and never answers.
func hangs(r *http.Request) (*http.Response, error) {
	connect(r)
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// answersWithConfidence returns a step that answers with a signed success and states the model's confidence.
func answersWithConfidence(confidence int, text string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		return newResponse(
			r, http.StatusOK, map[string]string{"X-Signed": "yes", "X-Confidence": fmt.Sprint(confidence)}, strings.NewReader(text),
		), nil
	}
}

// events returns the text of stream events that are numbered from from to to, inclusive.
func events(from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: token\n\n", n)
	}
	return text.String()
}

// allSlots are the slots of a daemon that has the limits to itself.
type allSlots struct{}

func (allSlots) Count() int                                  { return 1 }
func (allSlots) Holds(crlbudget.Slot, crlclock.Instant) bool { return true }

// cluster is a Service with four backend servers, whose answers follow a script.
type cluster struct {
	service     *Service
	backend     *scriptedBackend
	fleet       *crlfleet.Fleet
	unreachable atomic.Bool   // whether every server's host is dark, so that probes get no reply
	probeDelay  time.Duration // time until probes of a host that is not dark get a reply
	probeErr    error         // error of such probes; nil if connections are accepted
	confirmedAt crlclock.Instant
	now         crlclock.Clock
	log         *bytes.Buffer
}

func newCluster(steps ...step) *cluster {
	c := &cluster{backend: &scriptedBackend{steps: steps}, now: crlclock.NewMonotonic(), log: new(bytes.Buffer)}
	c.confirmedAt = c.now()
	c.fleet = crlfleet.New(crlfleet.Config{Domain: "near", Slots: allSlots{}, Daemons: func() int { return 1 }, Now: c.now})
	for n := range 4 {
		c.fleet.Announce(crlfleet.Entry{
			Server: crlid.Server(fmt.Sprint("s", n)), Service: "app", Address: fmt.Sprintf("10.0.0.%d:1", n), Domain: "near", Version: "v1",
		}, c.now())
	}
	routes := []crlroute.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Kind: crlroute.KindIdempotent, Timeout: time.Second, Attempts: 2},
		{Name: "file", Host: "h", Prefix: "/file/", Kind: crlroute.KindNonIdempotent, Timeout: time.Second, Attempts: 3},
		{
			Name: "draft", Host: "h", Prefix: "/draft/", Kind: crlroute.KindStream, Timeout: 25 * time.Second, Attempts: 3,
			Resumable: true, Objective: 2 * time.Second, Models: []crlid.Model{"small", "middle", "large"},
		},
		{
			Name: "once", Host: "h", Prefix: "/once/", Kind: crlroute.KindStream, Timeout: 25 * time.Second, Attempts: 3,
			Models: []crlid.Model{"small", "large"},
		},
		{Name: "many", Host: "h", Prefix: "/many/", Kind: crlroute.KindIdempotent, Timeout: time.Second, Attempts: 4},
		{Name: "any", Host: "any", Prefix: "/", Kind: crlroute.KindNonIdempotent, Timeout: time.Second, Attempts: 3},
		{Name: "search", Host: "h", Prefix: "/search/", Kind: crlroute.KindIdempotent, Timeout: 4 * time.Second, Attempts: 2},
		{Name: "public", Host: "h", Prefix: "/public/", Kind: crlroute.KindIdempotent, Timeout: time.Second, Attempts: 2, Public: true},
	}
	for i := range routes {
		routes[i].Targets = []crlroute.Target{{Service: "app", Weight: 1}}
	}
	table := crlroute.NewTable(crlroute.TableConfig{
		Routes: routes, Services: []crlroute.Service{{Name: "app"}}, RequireKeys: true,
		Keys: map[string]crlroute.Organisation{"key": {Name: "firm"}, "key2": {Name: "firm-2"}}, Limits: crlroute.Limits{BodyBytes: 100},
	})
	c.service = New(Config{
		Dialect: dialect{}, Fleet: c.fleet, Rollouts: crlrollout.NewTracker(crlrollout.Config{Daemons: func() int { return 1 }}),
		State:     func() State { return State{Table: table, ConfirmedAt: c.confirmedAt} },
		Retries:   crlbudget.NewRetryBudget(crlbudget.RetryBudgetConfig{Ratio: 1, Slack: 50, Window: 10 * time.Second, Share: func() float64 { return 1 }}),
		Transport: c.backend, Probe: c.probe, Log: crllog.New(crllog.Config{Output: c.log}), Metrics: NewMetrics(prometheus.NewRegistry()),
		Now: c.now, MaxConfirmationAge: 4500 * time.Millisecond, MaxDenialAge: 2 * time.Second, SessionTimeout: 5 * time.Second, MaxOpenRequests: 400,
	})
	return c
}

// probe is the service's Probe. While the servers are unreachable it waits in vain, like a dial to a dark host.
func (c *cluster) probe(ctx context.Context, _ string) error {
	if c.unreachable.Load() {
		<-ctx.Done()
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	select {
	case <-time.After(c.probeDelay):
		return c.probeErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// setRetryBudget replaces the service's retry budget.
func (c *cluster) setRetryBudget(config crlbudget.RetryBudgetConfig) {
	c.service.config.Retries = crlbudget.NewRetryBudget(config)
}

// call sends a request and returns the answer. aborted reports whether the service aborted the connection within the answer.
func (c *cluster) call(ctx context.Context, path string, header map[string]string) (recorder *httptest.ResponseRecorder, aborted bool) {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader(cmp.Or(header["X-Body"], "body"))).WithContext(ctx)
	r.RequestURI = path
	r.Header.Set("X-Request", "r1")
	r.Header.Set("X-Key", "key")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	recorder = httptest.NewRecorder()
	defer func() {
		if recovered := recover(); recovered != nil {
			if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(recovered)
			}
			aborted = true
		}
	}()
	c.service.ServeHTTP(recorder, r)
	return recorder, false
}

// TestAnswers checks what a caller gets for each way in which servers may answer: requests that must not run twice ("filing")
// are sent again only if no server ran them, and streams continue without a gap or a repeated event.
func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		path    string
		steps   []step
		status  int
		body    string
		sends   int
		aborted bool
	}{
		{"plain answer", "/file/1", []step{answers("done")}, 200, "done", 1, false},
		{"filing whose answer is lost is sent once", "/file/1", []step{losesAnswer}, 502, "", 1, false},
		{"filing whose answer breaks off is sent once", "/file/1", []step{breaksAfter("do")}, 502, "", 1, false},
		{"filing that a full server did not run", "/file/1", []step{
			fails(503, map[string]string{"X-Not-Run": "1"}), answers("done"),
		}, 200, "done", 2, false},
		{"filing at an address that now belongs to another server", "/file/1", []step{fails(421, nil), answers("done")}, 200, "done", 2, false},
		{"filing without a connection", "/file/1", []step{unreachable, answers("done")}, 200, "done", 2, false},
		{"filing that all servers refuse may be retried", "/file/1", []step{
			fails(503, map[string]string{"X-Not-Run": "1"}), fails(503, map[string]string{"X-Not-Run": "1"}),
			fails(429, map[string]string{"X-Not-Run": "1"}),
		}, 503, "", 3, false},
		{"filing that failed keeps its status", "/file/1", []step{fails(500, signed)}, 500, "failure", 1, false},
		{"filing with an unknown outcome after an unreachable server", "/file/1", []step{unreachable, losesAnswer}, 502, "", 2, false},
		{"lookup that failed is sent to another server", "/read/1", []step{fails(500, signed), answers("page")}, 200, "page", 2, false},
		{"lookup that fails everywhere keeps the status", "/read/1", []step{fails(500, signed), fails(500, signed)}, 500, "failure", 2, false},
		{"answer without a signature is no success", "/read/1", []step{fails(200, nil), answers("page")}, 200, "page", 2, false},
		{"answer of another request", "/read/1", []step{
			fails(200, map[string]string{"X-Request": "r0", "X-Signed": "yes"}), answers("page"),
		}, 200, "page", 2, false},
		{"caller's error is relayed", "/file/1", []step{fails(400, signed)}, 400, "failure", 1, false},
		{"stream", "/draft/1", []step{answers(events(1, 3))}, 200, events(1, 3), 1, false},
		{"stream that broke continues without gap or repeat", "/draft/1", []step{
			breaksAfter(events(1, 2) + "id: 3\nda"), answers(events(3, 5)),
		}, 200, events(1, 5), 2, false},
		{"server that repeats events", "/draft/1", []step{breaksAfter(events(1, 3)), answers(events(2, 5))}, 200, events(1, 5), 2, false},
		{"server that leaves a gap", "/draft/1", []step{
			breaksAfter(events(1, 2)), answers(events(4, 5)), answers(events(3, 5)),
		}, 200, events(1, 5), 3, false},
		{"stream that may not be resumed does not look complete", "/once/1", []step{breaksAfter(events(1, 2))}, 200, events(1, 2), 1, true},
		{"stream that breaks at every server does not look complete", "/draft/1", []step{
			breaksAfter(events(1, 2)), breaksAfter(""), breaksAfter(""),
		}, 200, events(1, 2), 3, true},
		{"confident answer of the smallest model", "/draft/1", []step{answersWithConfidence(90, events(1, 2))}, 200, events(1, 2), 1, false},
		{"unsure answer is replaced by the largest model's", "/draft/1", []step{
			answersWithConfidence(20, events(1, 1)), answers(events(1, 2)),
		}, 200, events(1, 2), 2, false},
		{"unsure answer to a request that may not be repeated is sent", "/once/1", []step{
			answersWithConfidence(20, events(1, 1)),
		}, 200, events(1, 1), 1, false},
		{"unknown path", "/none/1", nil, 404, "", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(tc.steps...)
			got, aborted := c.call(t.Context(), tc.path, nil)
			if got.Code != tc.status || tc.body != "" && got.Body.String() != tc.body || aborted != tc.aborted {
				t.Errorf("got %d %q (aborted %v), want %d %q (aborted %v)", got.Code, got.Body, aborted, tc.status, tc.body, tc.aborted)
			}
			if len(c.backend.sent) != tc.sends {
				t.Errorf("%d sends, want %d", len(c.backend.sent), tc.sends)
			}
			if got.Code == http.StatusServiceUnavailable && got.Header().Get("Retry-After") == "" {
				t.Error("refusal has no Retry-After header")
			}
		})
	}
}

// TestUnreachableServersSpendNoRetryBudget guards against the loss of a failure domain using up the retry budget: a send that
// reaches no server repeats no work, so the budget stays for streams that broke.
func TestUnreachableServersSpendNoRetryBudget(t *testing.T) {
	steps := []step{
		breaksAfter(events(1, 2)), unreachable, answers(events(3, 4)), // One repeat, and a send that reached no server.
		unreachable, answers("done"), // No repeat.
		breaksAfter(events(1, 2)), // The budget is spent.
	}
	c := newCluster(steps...)
	c.setRetryBudget(crlbudget.RetryBudgetConfig{Ratio: 0, Slack: 1, Window: 10 * time.Second, Share: func() float64 { return 1 }})
	if got, aborted := c.call(t.Context(), "/draft/1", nil); aborted || got.Body.String() != events(1, 4) {
		t.Errorf("stream: got %q (aborted %v), want %q", got.Body, aborted, events(1, 4))
	}
	if got, _ := c.call(t.Context(), "/file/1", nil); got.Code != http.StatusOK {
		t.Errorf("filing: got %d, want 200", got.Code)
	}
	if _, aborted := c.call(t.Context(), "/draft/2", nil); !aborted || len(c.backend.sent) != len(steps) {
		t.Errorf("stream without budget: aborted %v after %d sends in all, want %d", aborted, len(c.backend.sent), len(steps))
	}
}

// TestSendsCarryRemainingDeadlineAndPosition checks what each send states to its server: the server's id, the organisation,
// the model, the last event that the caller has, and the time left.
func TestSendsCarryRemainingDeadlineAndPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		breaksAfterASecond := func(r *http.Request) (*http.Response, error) {
			connect(r)
			time.Sleep(time.Second)
			return newResponse(r, http.StatusOK, signed, &brokenReader{strings.NewReader(events(1, 2)), errReset}), nil
		}
		c := newCluster(breaksAfterASecond, answers(events(3, 4)))
		c.call(t.Context(), "/draft/a%2Fb?q=%20", map[string]string{"X-Deadline": "9000", "X-Organisation": "forged"})
		first, second := c.backend.sent[0], c.backend.sent[1]
		if first.URL.RequestURI() != "/draft/a%2Fb?q=%20" || first.Header.Get("X-Organisation") != "firm" ||
			first.Header.Get("X-Model") != "small" {
			t.Errorf("sent %s with %v, want the caller's path and query, organisation firm and model small", first.URL.RequestURI(), first.Header)
		}
		if first.Header.Get("X-Server") == second.Header.Get("X-Server") {
			t.Error("stream was resumed at the server that broke it")
		}
		if first.Header.Get("X-Deadline") != "9000" || second.Header.Get("X-Deadline") != "8000" || second.Header.Get("X-After") != "2" {
			t.Errorf("deadlines of the two sends are %s ms and %s ms, want 9000 and 8000; the second resumes after event %s, want 2",
				first.Header.Get("X-Deadline"), second.Header.Get("X-Deadline"), second.Header.Get("X-After"))
		}
		if first.GetBody != nil || first.Body == nil {
			t.Error("net/http may repeat the request by itself: GetBody is set or Body is nil")
		}
	})
}

// TestRefusalAtTheRoutesTimeout checks that a request ends at its route's timeout, and that the status shows that the request
// may have run.
func TestRefusalAtTheRoutesTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(hangs)
		start := time.Now()
		got, _ := c.call(t.Context(), "/read/1", map[string]string{"X-Deadline": "5000"})
		if took := time.Since(start); got.Code != http.StatusGatewayTimeout || took != time.Second {
			t.Errorf("got %d after %s, want 504 after 1s", got.Code, took)
		}
	})
}

// TestCallerDisconnectEndsTheSend checks that a send is cancelled when its caller disconnects, so that the server stops
// working on it.
func TestCallerDisconnectEndsTheSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(hangs)
		ctx, disconnect := context.WithCancel(t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			disconnect()
		}()
		c.call(ctx, "/draft/1", nil)
		synctest.Wait()
		if c.backend.ended != 1 || len(c.backend.sent) != 1 {
			t.Errorf("%d of %d sends ended, want 1 of 1", c.backend.ended, len(c.backend.sent))
		}
	})
}

// TestRefusalsBeforeTheFirstSend checks requests that are refused before they are sent to any server.
func TestRefusalsBeforeTheFirstSend(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		header map[string]string
		change func(c *cluster)
		status int
	}{
		{"unknown key", "/read/1", map[string]string{"X-Key": "other"}, nil, 401},
		{"no key", "/read/1", map[string]string{"X-Key": ""}, nil, 401},
		{"malformed", "/read/1", map[string]string{"X-Request": ""}, nil, 400},
		{"configuration not confirmed lately", "/read/1", nil, func(c *cluster) { c.confirmedAt = c.now().Add(-5 * time.Second) }, 503},
		{"no server", "/read/1", nil, func(c *cluster) { c.fleet.Evacuate("near", true) }, 503},
		{"service closed", "/read/1", nil, func(c *cluster) { c.service.Close() }, 503},
	} {
		c := newCluster()
		if tc.change != nil {
			tc.change(c)
		}
		if got, _ := c.call(t.Context(), tc.path, tc.header); got.Code != tc.status || len(c.backend.sent) != 0 {
			t.Errorf("%s: got %d after %d sends, want %d", tc.name, got.Code, len(c.backend.sent), tc.status)
		}
	}
}

// TestPublicRoutesNeedNoConfirmation checks that an old configuration serves routes without API keys, as only keys can be revoked.
func TestPublicRoutesNeedNoConfirmation(t *testing.T) {
	c := newCluster(answers("page"))
	c.confirmedAt = c.now().Add(-time.Minute)
	if got, _ := c.call(t.Context(), "/public/1", map[string]string{"X-Key": ""}); got.Code != http.StatusOK {
		t.Errorf("got %d on a public route a minute after the last confirmation, want 200", got.Code)
	}
}

// TestBodyOverTheLimit checks that a body over the limit is refused, also when its length is not stated.
func TestBodyOverTheLimit(t *testing.T) {
	for _, length := range []int64{101, -1} {
		c := newCluster()
		r := httptest.NewRequest(http.MethodPost, "http://h/read/1", strings.NewReader(strings.Repeat("x", 101)))
		r.RequestURI, r.ContentLength = "/read/1", length
		r.Header.Set("X-Request", "r1")
		r.Header.Set("X-Key", "key")
		recorder := httptest.NewRecorder()
		c.service.ServeHTTP(recorder, r)
		if recorder.Code != http.StatusRequestEntityTooLarge {
			t.Errorf("body of 101 bytes with Content-Length %d: got %d, want 413", length, recorder.Code)
		}
	}
}

// TestUnresponsiveAndUnreachableServer guards against requests waiting for an engine whose host vanished without closing its
// connections: a repeatable request soon moves to another server, while a server that is only slow keeps its request.
func TestUnresponsiveAndUnreachableServer(t *testing.T) {
	stalls := func(text string) step {
		return func(r *http.Request) (*http.Response, error) {
			connect(r)
			return newResponse(r, http.StatusOK, signed, io.MultiReader(strings.NewReader(text), stalledReader(r.Context().Done()))), nil
		}
	}
	slow := func(r *http.Request) (*http.Response, error) {
		time.Sleep(700 * time.Millisecond)
		return answers("page")(r)
	}
	for _, tc := range []struct {
		name   string
		path   string
		down   bool // whether probes fail
		steps  []step
		body   string
		within time.Duration
	}{
		{"stream that has started", "/draft/1", true, []step{stalls(events(1, 2)), answers(events(3, 4))}, events(1, 4), darkHostBound},
		{"stream that has not started", "/draft/1", true, []step{hangs, answers(events(1, 4))}, events(1, 4), darkHostBound},
		{"lookup", "/search/1", true, []step{hangs, answers("page")}, "page", darkHostBound},
		{"lookup at a slow server", "/read/1", false, []step{slow}, "page", 800 * time.Millisecond},
		{"filing is not sent again", "/file/1", true, []step{hangs}, "route-timeout\n", time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(tc.steps...)
				c.unreachable.Store(tc.down)
				start := time.Now()
				got, aborted := c.call(t.Context(), tc.path, nil)
				if took := time.Since(start); aborted || got.Body.String() != tc.body || took > tc.within {
					t.Errorf("got %q (aborted %v) after %s, want %q within %s", got.Body, aborted, took, tc.body, tc.within)
				}
				if len(c.backend.sent) != len(tc.steps) {
					t.Errorf("%d sends, want %d", len(c.backend.sent), len(tc.steps))
				}
			})
		})
	}
}

// pauses returns a step whose answer is silent for pause after its first two events, and then completes.
func pauses(pause time.Duration) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		body := io.MultiReader(strings.NewReader(events(1, 2)), &pausedReader{r.Context(), pause, strings.NewReader(events(3, 4))})
		return newResponse(r, http.StatusOK, signed, body), nil
	}
}

// pausedReader waits before its first read. It fails if its request is cancelled meanwhile.
type pausedReader struct {
	ctx   context.Context //nolint:containedctx // It is the request's, as in net/http.
	pause time.Duration
	text  io.Reader
}

func (p *pausedReader) Read(content []byte) (int, error) {
	if err := p.ctx.Err(); err != nil {
		return 0, err
	}
	select {
	case <-time.After(p.pause):
		p.pause = 0
		return p.text.Read(content)
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	}
}

// TestRefusedProbesDontEndALiveAnswer guards against a silent answer being ended because its server refuses or resets further
// connections, or because this VM can't open any: neither says that the server can't be reached.
func TestRefusedProbesDontEndALiveAnswer(t *testing.T) {
	for _, probeErr := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EMFILE, syscall.EADDRNOTAVAIL} {
		t.Run(probeErr.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(pauses(3 * time.Second))
				c.probeErr = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", probeErr)}
				got, aborted := c.call(t.Context(), "/draft/1", nil)
				if aborted || got.Body.String() != events(1, 4) || len(c.backend.sent) != 1 {
					t.Errorf("got %q (aborted %v) after %d sends, want %q after 1", got.Body, aborted, len(c.backend.sent), events(1, 4))
				}
			})
		})
	}
}

// TestLateReplyToAProbeSavesTheAnswer guards against a silent answer being ended because this VM's own link, with queues of 0.5 s in
// both directions, delays the replies of its server's host.
func TestLateReplyToAProbeSavesTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(pauses(10 * time.Second))
		c.probeDelay = 1100 * time.Millisecond
		got, aborted := c.call(t.Context(), "/draft/1", nil)
		if aborted || got.Body.String() != events(1, 4) || len(c.backend.sent) != 1 {
			t.Errorf("got %q (aborted %v) after %d sends, want %q after 1", got.Body, aborted, len(c.backend.sent), events(1, 4))
		}
	})
}

// stalledReader blocks until its request is cancelled.
type stalledReader <-chan struct{}

func (s stalledReader) Read([]byte) (int, error) {
	<-s
	return 0, context.Canceled
}

// TestNoEscalationWithoutTime guards against escalation when engines are so loaded that the larger model's answer would miss
// the latency objective: the answer of the smaller model is sent.
func TestNoEscalationWithoutTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := func(r *http.Request) (*http.Response, error) {
			time.Sleep(1900 * time.Millisecond)
			return answersWithConfidence(20, events(1, 2))(r)
		}
		c := newCluster(late)
		got, _ := c.call(t.Context(), "/draft/1", nil)
		if got.Code != http.StatusOK || got.Body.String() != events(1, 2) || len(c.backend.sent) != 1 {
			t.Errorf("got %d %q after %d sends, want 200 %q after 1", got.Code, got.Body, len(c.backend.sent), events(1, 2))
		}
	})
}

// TestNoEscalationDuringABurst guards against escalation when all callers return at once after a restart: no waiting
// times were observed yet, but the number of open sends shows that the larger model would start too late.
func TestNoEscalationDuringABurst(t *testing.T) {
	for _, tc := range []struct {
		open, sends int // sends without an answer before the request, and sends of the request
	}{{1, 2}, {320, 1}} { // 320 sends of 30 ms each keep 4 servers busy for longer than the objective of 2 s.
		t.Run(fmt.Sprint(tc.open), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steps := slices.Repeat([]step{hangs}, tc.open)
				c := newCluster(append(steps, answersWithConfidence(20, events(1, 1)), answers(events(1, 2)))...)
				ctx, disconnect := context.WithCancel(t.Context())
				for range tc.open {
					go c.call(ctx, "/draft/1", nil)
				}
				synctest.Wait()
				if got, _ := c.call(t.Context(), "/draft/1", nil); got.Code != http.StatusOK {
					t.Errorf("got status %d with %d sends open, want 200", got.Code, tc.open)
				}
				if sends := len(c.backend.sent) - tc.open; sends != tc.sends {
					t.Errorf("%d sends, want %d", sends, tc.sends)
				}
				disconnect()
				synctest.Wait()
			})
		})
	}
}

// TestStartedStreamKeepsItsAttempts guards against a started stream being cut off because servers that ran nothing of it used up the
// attempts of its route (three).
func TestStartedStreamKeepsItsAttempts(t *testing.T) {
	full := fails(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "1"})
	for _, tc := range []struct {
		name    string
		steps   []step
		aborted bool
	}{
		{"next server is full", []step{answersWithConfidence(20, events(1, 1)), breaksAfter(events(1, 2)), full, answers(events(3, 4))}, false},
		{"address of the next server is another's", []step{
			answersWithConfidence(20, events(1, 1)), breaksAfter(events(1, 2)), fails(http.StatusMisdirectedRequest, nil), answers(events(3, 4)),
		}, false},
		{"next servers accept no connection", []step{breaksAfter(events(1, 2)), unreachable, unreachable, answers(events(3, 4))}, false},
		{"first servers were full", []step{full, full, breaksAfter(events(1, 2)), answers(events(3, 4))}, false},
		{"three servers may have run it", []step{
			answersWithConfidence(20, events(1, 1)), breaksAfter(events(1, 2)), breaksAfter(""), answers(events(3, 4)),
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(tc.steps...)
			got, aborted := c.call(t.Context(), "/draft/1", nil)
			if aborted != tc.aborted || !aborted && got.Body.String() != events(1, 4) {
				t.Errorf("got %q (aborted %v), want %q (aborted %v)", got.Body, aborted, events(1, 4), tc.aborted)
			}
		})
	}
}

// unreachableAfterTheTimeout is a step whose dial gets no reply.
func unreachableAfterTheTimeout(r *http.Request) (*http.Response, error) {
	time.Sleep(r.Context().Value(dialTimeoutKey{}).(time.Duration))
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
}

// TestStartedStreamSurvivesACongestedLink guards against a started stream being cut off because, for a second or two, this VM's own
// link lets no dial come about in time: the servers stay candidates.
func TestStartedStreamSurvivesACongestedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failedDials = 4 // as many as the service has servers, and more than the route has attempts
		c := newCluster(slices.Concat(
			[]step{breaksAfter(events(1, 2))}, slices.Repeat([]step{unreachableAfterTheTimeout}, failedDials), []step{answers(events(3, 4))},
		)...)
		got, aborted := c.call(t.Context(), "/draft/1", nil)
		if aborted || got.Body.String() != events(1, 4) {
			t.Errorf("got %q (aborted %v) after %d sends, want %q", got.Body, aborted, len(c.backend.sent), events(1, 4))
		}
	})
}

// TestStartedStreamWaitsForAServer guards against a started stream being cut off because for a moment no server of the service may
// go on with it, as when servers of one version leave before those of another are known, or the retry budget is used up.
func TestStartedStreamWaitsForAServer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		blocked time.Duration
		aborted bool
	}{{"short", 400 * time.Millisecond, false}, {"long", 2 * time.Second, true}} {
		t.Run("no server "+tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var c *cluster
				leaves := func(r *http.Request) (*http.Response, error) {
					c.fleet.Evacuate("near", true)
					time.AfterFunc(tc.blocked, func() { c.fleet.Evacuate("near", false) })
					return breaksAfter(events(1, 2))(r)
				}
				c = newCluster(leaves, answers(events(3, 4)))
				if got, aborted := c.call(t.Context(), "/draft/1", nil); aborted != tc.aborted || !aborted && got.Body.String() != events(1, 4) {
					t.Errorf("got %q (aborted %v), want %q (aborted %v)", got.Body, aborted, events(1, 4), tc.aborted)
				}
			})
		})
		t.Run("no budget "+tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const others = 5 // Their parts of the ratio add up to one repeat.
				steps := slices.Concat([]step{breaksAfter(events(1, 2))}, slices.Repeat([]step{answers("page")}, others), []step{answers(events(3, 4))})
				c := newCluster(steps...)
				c.setRetryBudget(crlbudget.RetryBudgetConfig{Ratio: 0.6, Window: 10 * time.Second, Share: func() float64 { return 1 }})
				time.AfterFunc(tc.blocked, func() {
					for range others {
						c.call(context.Background(), "/read/1", nil)
					}
				})
				if got, aborted := c.call(t.Context(), "/draft/1", nil); aborted != tc.aborted || !aborted && got.Body.String() != events(1, 4) {
					t.Errorf("got %q (aborted %v), want %q (aborted %v)", got.Body, aborted, events(1, 4), tc.aborted)
				}
			})
		})
	}
}

// TestFailureIsNoPartOfAStream guards against the failure of a server that should have gone on with a stream being written into the
// stream, which then looks complete.
func TestFailureIsNoPartOfAStream(t *testing.T) {
	full := fails(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "1"})
	for _, tc := range []struct {
		name    string
		steps   []step
		body    string
		aborted bool
	}{
		{"not found", []step{breaksAfter(events(1, 2)), fails(404, signed), answers(events(3, 4))}, events(1, 4), false},
		{"not found at any server", []step{breaksAfter(events(1, 2)), fails(404, signed), fails(404, signed)}, events(1, 2), true},
		{"failure after a full server", []step{breaksAfter(events(1, 2)), full, fails(500, signed), answers(events(3, 4))}, events(1, 4), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(tc.steps...)
			if got, aborted := c.call(t.Context(), "/draft/1", nil); aborted != tc.aborted || got.Body.String() != tc.body {
				t.Errorf("got %q (aborted %v), want %q (aborted %v)", got.Body, aborted, tc.body, tc.aborted)
			}
		})
	}
}

// TestFallbackTimerSparesAStartedStream guards against a stream being cut off at the time for its fallback answer, when its first
// large model broke off after it had started and another one goes on.
func TestFallbackTimerSparesAStartedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(answersWithConfidence(20, events(1, 2)), breaksAfter(events(1, 2)), pauses(3*time.Second))
		got, aborted := c.call(t.Context(), "/draft/1", map[string]string{"X-Output": "20"})
		if aborted || got.Body.String() != events(1, 4) {
			t.Errorf("got %q (aborted %v), want %q", got.Body, aborted, events(1, 4))
		}
	})
}

// TestShortAnswerIsTheFallback guards against a late or failed answer when engines are loaded: if the larger model does not
// start in time or fails, the smaller model's complete short answer is sent within the latency objective.
func TestShortAnswerIsTheFallback(t *testing.T) {
	slow := func(r *http.Request) (*http.Response, error) {
		connect(r)
		select {
		case <-time.After(10 * time.Second):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
		return answers(events(1, 4))(r)
	}
	for _, tc := range []struct {
		name   string
		steps  []step
		want   string
		within time.Duration
	}{
		{"larger model in time", []step{answersWithConfidence(20, events(1, 2)), answers(events(1, 3))}, events(1, 3), 0},
		{"larger model too late", []step{answersWithConfidence(20, events(1, 2)), slow}, events(1, 2), 1800 * time.Millisecond},
		{"larger model fails", []step{answersWithConfidence(20, events(1, 2)), losesAnswer, losesAnswer}, events(1, 2), 0},
		{"larger model breaks after it started", []step{
			answersWithConfidence(20, events(1, 2)), breaksAfter(events(1, 2)), answers(events(3, 4)),
		}, events(1, 4), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(tc.steps...)
				start := time.Now()
				got, aborted := c.call(t.Context(), "/draft/1", map[string]string{"X-Output": "20"})
				if took := time.Since(start); aborted || got.Body.String() != tc.want || took > tc.within {
					t.Errorf("got %q after %s, want %q within %s", got.Body, took, tc.want, tc.within)
				}
			})
		})
	}
}

// TestUnconfirmedConfigurationDeniesNothing guards against callers that are told for good that a route or key does not exist, by a router
// whose configuration has been replaced by one that has it. The record inc1 has such answers.
func TestUnconfirmedConfigurationDeniesNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		age    time.Duration // of the latest confirmation
		path   string
		key    string
		status int
	}{
		{"unknown path", time.Second, "/none/1", "key", http.StatusNotFound},
		{"unknown path, unconfirmed", 2100 * time.Millisecond, "/none/1", "key", http.StatusServiceUnavailable},
		{"unknown key", time.Second, "/read/1", "other", http.StatusUnauthorized},
		{"unknown key, unconfirmed", 2100 * time.Millisecond, "/read/1", "other", http.StatusServiceUnavailable},
		{"allowed", 2100 * time.Millisecond, "/read/1", "key", http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(answers("page"))
			c.confirmedAt = c.now().Add(-tc.age)
			got, _ := c.call(t.Context(), tc.path, map[string]string{"X-Key": tc.key})
			if got.Code != tc.status || (got.Header().Get("Retry-After") == "") == (tc.status == http.StatusServiceUnavailable) {
				t.Errorf("confirmed %s ago: got %d, Retry-After %q, want %d", tc.age, got.Code, got.Header().Get("Retry-After"), tc.status)
			}
		})
	}
}

// TestDenialIsJudgedWithTheConfigurationThatItFollowsFrom guards against a request that is denied by an outdated configuration (CONFIG), or served with a
// revoked key, because a newer configuration was applied and confirmed while the request was being handled.
func TestDenialIsJudgedWithTheConfigurationThatItFollowsFrom(t *testing.T) {
	for _, tc := range []struct {
		name, path, key string
		age             time.Duration // of the first configuration's latest confirmation
	}{
		{"unknown path", "/none/1", "key", 3 * time.Second},
		{"unknown key", "/read/1", "other", 3 * time.Second},
		{"key that may have been revoked", "/read/1", "key", 5 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(answers("page"))
			outdated, reads := c.service.config.State, 0
			c.service.config.State = func() State {
				state := outdated()
				if reads++; reads == 1 {
					state.ConfirmedAt = c.now().Add(-tc.age)
				}
				return state
			}
			if got, _ := c.call(t.Context(), tc.path, map[string]string{"X-Key": tc.key}); got.Code != http.StatusServiceUnavailable {
				t.Errorf("got %d by a configuration that was confirmed %s ago, want 503", got.Code, tc.age)
			}
		})
	}
}
