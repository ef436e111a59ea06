package crlforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

// dialect is a plain dialect of the tests' own.
type dialect struct{}

func (dialect) DecodeRequest(h http.Header) (Head, error) {
	head := Head{Request: crlid.Request(h.Get("X-Request")), Key: h.Get("X-Key"), Prompt: 1000, Output: 100}
	if head.Request == "" {
		return head, errors.New("no request id")
	}
	if n, err := strconv.Atoi(h.Get("X-Output")); err == nil {
		head.Output = crlid.Tokens(n)
	}
	if ms, err := strconv.Atoi(h.Get("X-Deadline")); err == nil {
		head.Deadline = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.ParseInt(h.Get("X-After"), 10, 64); err == nil {
		head.After, head.Resumes = n, true
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
		h.Set("X-After", fmt.Sprint(a.After))
	}
}

func (dialect) DecodeAnswer(status int, h http.Header) AnswerHead {
	head := AnswerHead{Request: crlid.Request(h.Get("X-Request")), NotRun: h.Get("X-Not-Run") != "" || status == http.StatusMisdirectedRequest, Signed: h.Get("X-Signed") != "", Confidence: NoConfidence}
	if n, err := strconv.Atoi(h.Get("X-Confidence")); err == nil {
		head.Confidence = n
	}
	return head
}

func (dialect) RetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

// backend plays the backend servers of a test: each send is answered by the next step of the script.
type scriptedBackend struct {
	mu    sync.Mutex
	steps []step
	sent  []*http.Request
	done  int // done counts sends whose context ended.
}

type step func(r *http.Request) (*http.Response, error)

func (b *scriptedBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	n := len(b.sent)
	b.sent = append(b.sent, r)
	b.mu.Unlock()
	context.AfterFunc(r.Context(), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.done++
	})
	if n >= len(b.steps) {
		return nil, errors.New("the script expects no further send")
	}
	return b.steps[n](r)
}

func connect(r *http.Request) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
}

// broken yields its content and then fails.
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

func answer(r *http.Request, status int, header map[string]string, body io.Reader) *http.Response {
	h := http.Header{"X-Request": {r.Header.Get("X-Request")}}
	for name, value := range header {
		h.Set(name, value)
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(body), ContentLength: -1}
}

var signed = map[string]string{"X-Signed": "yes"}

func answers(text string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		return answer(r, http.StatusOK, signed, strings.NewReader(text)), nil
	}
}

func fails(status int, header map[string]string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		return answer(r, status, header, strings.NewReader("failure")), nil
	}
}

func breaksAfter(text string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		return answer(r, http.StatusOK, signed, &brokenReader{strings.NewReader(text), errReset}), nil
	}
}

func losesAnswer(r *http.Request) (*http.Response, error) {
	connect(r)
	return nil, errReset
}

func unreachable(*http.Request) (*http.Response, error) { return nil, errors.New("no route to host") }

func hangs(r *http.Request) (*http.Response, error) {
	connect(r)
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func answersWithConfidence(confidence int, text string) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		return answer(r, http.StatusOK, map[string]string{"X-Signed": "yes", "X-Confidence": fmt.Sprint(confidence)}, strings.NewReader(text)), nil
	}
}

func events(from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: token\n\n", n)
	}
	return text.String()
}

type cluster struct {
	service     *Service
	backend     *scriptedBackend
	fleet       *crlfleet.Fleet
	unreachable atomic.Bool // dark makes every server unreachable for probes.
	confirmedAt crlclock.Instant
	now         crlclock.Clock
	log         *bytes.Buffer
}

func newCluster(steps ...step) *cluster {
	w := &cluster{backend: &scriptedBackend{steps: steps}, now: crlclock.NewMonotonic(), log: new(bytes.Buffer)}
	w.confirmedAt = w.now()
	w.fleet = crlfleet.New(crlfleet.Config{Domain: "near", Share: func() float64 { return 1 }, Daemons: func() int { return 1 }, Now: w.now})
	for n := range 4 {
		w.fleet.Announce(crlfleet.Entry{
			Server: crlid.Server(fmt.Sprint("s", n)), Service: "app", Address: fmt.Sprintf("10.0.0.%d:1", n), Domain: "near", Version: "v1",
		}, w.now())
	}
	routes := []crlroute.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Kind: crlroute.KindIdempotent, Timeout: time.Second, Attempts: 2},
		{Name: "file", Host: "h", Prefix: "/file/", Kind: crlroute.KindNonIdempotent, Timeout: time.Second, Attempts: 3},
		{Name: "draft", Host: "h", Prefix: "/draft/", Kind: crlroute.KindStream, Timeout: 25 * time.Second, Attempts: 3, Resumable: true, Objective: 2 * time.Second, Models: []crlid.Model{"small", "middle", "large"}},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: crlroute.KindStream, Timeout: 25 * time.Second, Attempts: 3, Models: []crlid.Model{"small", "large"}},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: crlroute.KindIdempotent, Timeout: time.Second, Attempts: 2, Open: true},
	}
	for i := range routes {
		routes[i].Targets = []crlroute.Target{{Service: "app", Weight: 1}}
	}
	table := crlroute.NewTable(crlroute.TableConfig{
		Routes: routes, Services: []crlroute.Service{{Name: "app"}}, RequireKeys: true,
		Keys: map[string]crlroute.Organisation{"key": {Name: "firm"}}, Limits: crlroute.Limits{BodyBytes: 100},
	})
	w.service = New(Config{
		Dialect: dialect{}, Fleet: w.fleet, Rollouts: crlrollout.NewTracker(crlrollout.Config{Daemons: func() int { return 1 }}),
		State:     func() State { return State{Table: table, ConfirmedAt: w.confirmedAt} },
		Retries:   crlbudget.NewRetryBudget(crlbudget.RetryBudgetConfig{Ratio: 1, Slack: 50, Window: 10 * time.Second, Share: func() float64 { return 1 }}),
		Transport: w.backend, Probe: w.probe, Log: crllog.New(crllog.Config{Output: w.log}), Metrics: NewMetrics(prometheus.NewRegistry()),
		Now: w.now, MaxConfirmationAge: 4500 * time.Millisecond, SessionTimeout: 5 * time.Second, MaxOpenRequests: 400,
	})
	return w
}

// probe answers as servers do unless they are dark.
func (w *cluster) probe(context.Context, string) error {
	if w.unreachable.Load() {
		return errReset
	}
	return nil
}

// retries gives the service another budget of repeats.
func (w *cluster) setRetryBudget(config crlbudget.RetryBudgetConfig) {
	w.service.config.Retries = crlbudget.NewRetryBudget(config)
}

// call sends a request and returns the answer; aborted is set when the connection ended within the answer.
func (w *cluster) call(ctx context.Context, path string, header map[string]string) (recorder *httptest.ResponseRecorder, aborted bool) {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("body")).WithContext(ctx)
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
	w.service.ServeHTTP(recorder, r)
	return recorder, false
}

// TestAnswers shows what callers get for each way in which servers answer.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		steps   []step
		status  int
		body    string
		sends   int
		aborted bool
	}{
		{"plain answer", "/file/1", []step{answers("done")}, 200, "done", 1, false},
		{"filing whose answer is lost runs once", "/file/1", []step{losesAnswer}, 502, "", 1, false},
		{"filing whose answer is cut runs once", "/file/1", []step{breaksAfter("do")}, 502, "", 1, false},
		{"filing that a full server did not run", "/file/1", []step{fails(503, map[string]string{"X-Not-Run": "1"}), answers("done")}, 200, "done", 2, false},
		{"filing at a server that moved", "/file/1", []step{fails(421, nil), answers("done")}, 200, "done", 2, false},
		{"filing without a connection", "/file/1", []step{unreachable, answers("done")}, 200, "done", 2, false},
		{"filing that all servers refuse has not run", "/file/1", []step{
			fails(503, map[string]string{"X-Not-Run": "1"}), fails(503, map[string]string{"X-Not-Run": "1"}), fails(429, map[string]string{"X-Not-Run": "1"}),
		}, 503, "", 3, false},
		{"filing that failed keeps its status", "/file/1", []step{fails(500, signed)}, 500, "failure", 1, false},
		{"filing refused after an unknown outcome", "/file/1", []step{unreachable, losesAnswer}, 502, "", 2, false},
		{"lookup that failed is tried elsewhere", "/read/1", []step{fails(500, signed), answers("page")}, 200, "page", 2, false},
		{"lookup that fails everywhere keeps the status", "/read/1", []step{fails(500, signed), fails(500, signed)}, 500, "failure", 2, false},
		{"answer without a signature is no success", "/read/1", []step{fails(200, nil), answers("page")}, 200, "page", 2, false},
		{"answer of another request", "/read/1", []step{fails(200, map[string]string{"X-Request": "r0", "X-Signed": "yes"}), answers("page")}, 200, "page", 2, false},
		{"caller's error passes", "/file/1", []step{fails(400, signed)}, 400, "failure", 1, false},
		{"stream", "/draft/1", []step{answers(events(1, 3))}, 200, events(1, 3), 1, false},
		{"stream that broke goes on without gap or repeat", "/draft/1", []step{breaksAfter(events(1, 2) + "id: 3\nda"), answers(events(3, 5))}, 200, events(1, 5), 2, false},
		{"server that repeats events", "/draft/1", []step{breaksAfter(events(1, 3)), answers(events(2, 5))}, 200, events(1, 5), 2, false},
		{"server that leaves a gap", "/draft/1", []step{breaksAfter(events(1, 2)), answers(events(4, 5)), answers(events(3, 5))}, 200, events(1, 5), 3, false},
		{"stream that may not be resumed does not look whole", "/once/1", []step{breaksAfter(events(1, 2))}, 200, events(1, 2), 1, true},
		{"stream that breaks everywhere does not look whole", "/draft/1", []step{breaksAfter(events(1, 2)), breaksAfter(""), breaksAfter("")}, 200, events(1, 2), 3, true},
		{"sure answer of the smallest model", "/draft/1", []step{answersWithConfidence(90, events(1, 2))}, 200, events(1, 2), 1, false},
		{"unsure answer is dropped for the largest model's", "/draft/1", []step{answersWithConfidence(20, events(1, 1)), answers(events(1, 2))}, 200, events(1, 2), 2, false},
		{"unsure answer that may not be repeated is kept", "/once/1", []step{answersWithConfidence(20, events(1, 1))}, 200, events(1, 1), 1, false},
		{"unknown path", "/none/1", nil, 404, "", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newCluster(c.steps...)
			got, aborted := w.call(t.Context(), c.path, nil)
			if got.Code != c.status || c.body != "" && got.Body.String() != c.body || aborted != c.aborted {
				t.Errorf("got %d %q (aborted %v), want %d %q (aborted %v)", got.Code, got.Body, aborted, c.status, c.body, c.aborted)
			}
			if len(w.backend.sent) != c.sends {
				t.Errorf("%d sends, want %d", len(w.backend.sent), c.sends)
			}
			if got.Code == http.StatusServiceUnavailable && got.Header().Get("Retry-After") == "" {
				t.Error("a refusal does not say when to come back")
			}
		})
	}
}

// TestUnreachableServersDrawNoBudget is the pattern of a failure domain that goes away: sends that reach no server repeat
// nothing, so they leave the budget to streams that broke.
func TestUnreachableServersSpendNoRetryBudget(t *testing.T) {
	steps := []step{
		breaksAfter(events(1, 2)), unreachable, answers(events(3, 4)), // One repeat, and a send that reached nothing.
		unreachable, answers("done"), // No repeat.
		breaksAfter(events(1, 2)), // No budget is left for this one.
	}
	w := newCluster(steps...)
	w.setRetryBudget(crlbudget.RetryBudgetConfig{Ratio: 0, Slack: 1, Window: 10 * time.Second, Share: func() float64 { return 1 }})
	if got, aborted := w.call(t.Context(), "/draft/1", nil); aborted || got.Body.String() != events(1, 4) {
		t.Errorf("stream: got %q, aborted %v", got.Body, aborted)
	}
	if got, _ := w.call(t.Context(), "/file/1", nil); got.Code != http.StatusOK {
		t.Errorf("filing: got %d", got.Code)
	}
	if _, aborted := w.call(t.Context(), "/draft/2", nil); !aborted || len(w.backend.sent) != len(steps) {
		t.Errorf("stream without budget: aborted %v after %d sends in all, want %d", aborted, len(w.backend.sent), len(steps))
	}
}

// TestSendsCarryWhatIsLeft shows what a server is told: its id, the organisation, the model, the events so far, the time left.
func TestSendsCarryRemainingDeadlineAndPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slowCut := func(r *http.Request) (*http.Response, error) {
			time.Sleep(time.Second)
			return breaksAfter(events(1, 2))(r)
		}
		w := newCluster(slowCut, answers(events(3, 4)))
		w.call(t.Context(), "/draft/a%2Fb?q=%20", map[string]string{"X-Deadline": "9000", "X-Organisation": "forged"})
		first, second := w.backend.sent[0], w.backend.sent[1]
		if first.URL.RequestURI() != "/draft/a%2Fb?q=%20" || first.Header.Get("X-Organisation") != "firm" || first.Header.Get("X-Model") != "small" {
			t.Errorf("sent %s with %v", first.URL.RequestURI(), first.Header)
		}
		if first.Header.Get("X-Server") == second.Header.Get("X-Server") {
			t.Error("the stream goes on at the server that broke it")
		}
		if first.Header.Get("X-Deadline") != "9000" || second.Header.Get("X-Deadline") != "8000" || second.Header.Get("X-After") != "2" {
			t.Errorf("second send has deadline %s after event %s", second.Header.Get("X-Deadline"), second.Header.Get("X-After"))
		}
		if first.GetBody != nil || first.Body == nil {
			t.Error("net/http may send the body again by itself")
		}
	})
}

// TestFinalAnswerAtTheRoutesTimeout shows that the caller isn't held longer, and hears truly whether the request ran.
func TestRefusalAtTheRoutesTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(hangs)
		began := time.Now()
		got, _ := w.call(t.Context(), "/read/1", map[string]string{"X-Deadline": "5000"})
		if took := time.Since(began); got.Code != http.StatusGatewayTimeout || took != time.Second {
			t.Errorf("got %d after %s, want 504 after 1s", got.Code, took)
		}
	})
}

// TestCallerThatLeavesEndsTheSend shows that a server stops its work for a caller that left.
func TestCallerDisconnectEndsTheSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(hangs)
		ctx, leave := context.WithCancel(t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			leave()
		}()
		w.call(ctx, "/draft/1", nil)
		synctest.Wait()
		if w.backend.done != 1 || len(w.backend.sent) != 1 {
			t.Errorf("%d of %d sends ended", w.backend.done, len(w.backend.sent))
		}
	})
}

// TestRefusalsBeforeTheFirstSend shows requests that no server sees.
func TestRefusalsBeforeTheFirstSend(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		header map[string]string
		change func(w *cluster)
		status int
	}{
		{"unknown key", "/read/1", map[string]string{"X-Key": "other"}, nil, 401},
		{"no key", "/read/1", map[string]string{"X-Key": ""}, nil, 401},
		{"malformed", "/read/1", map[string]string{"X-Request": ""}, nil, 400},
		{"proof too old", "/read/1", nil, func(w *cluster) { w.confirmedAt = w.now().Add(-5 * time.Second) }, 503},
		{"no server", "/read/1", nil, func(w *cluster) { w.fleet.Evacuate("near", true) }, 503},
		{"process ends", "/read/1", nil, func(w *cluster) { w.service.Close() }, 503},
	} {
		w := newCluster()
		if c.change != nil {
			c.change(w)
		}
		if got, _ := w.call(t.Context(), c.path, c.header); got.Code != c.status || len(w.backend.sent) != 0 {
			t.Errorf("%s: got %d after %d sends, want %d", c.name, got.Code, len(w.backend.sent), c.status)
		}
	}
}

// TestOpenRoutesNeedNoProof shows that only keys can be taken away.
func TestOpenRoutesNeedNoConfirmation(t *testing.T) {
	w := newCluster(answers("page"))
	w.confirmedAt = w.now().Add(-time.Minute)
	if got, _ := w.call(t.Context(), "/open/1", map[string]string{"X-Key": ""}); got.Code != http.StatusOK {
		t.Errorf("got %d on an open route with an old proof", got.Code)
	}
}

// TestBodyOverTheLimit shows 413 also for a body without a length.
func TestBodyOverTheLimit(t *testing.T) {
	for _, length := range []int64{101, -1} {
		w := newCluster()
		r := httptest.NewRequest(http.MethodPost, "http://h/read/1", strings.NewReader(strings.Repeat("x", 101)))
		r.RequestURI, r.ContentLength = "/read/1", length
		r.Header.Set("X-Request", "r1")
		r.Header.Set("X-Key", "key")
		recorder := httptest.NewRecorder()
		w.service.ServeHTTP(recorder, r)
		if recorder.Code != http.StatusRequestEntityTooLarge {
			t.Errorf("length %d: got %d", length, recorder.Code)
		}
	}
}

// TestSilentServerThatCantBeReached is the pattern of engines that go dark: their connections give no sign, and what may
// be repeated goes on elsewhere soon, while a server that is only slow keeps its request.
func TestUnresponsiveAndUnreachableServer(t *testing.T) {
	stalls := func(text string) step {
		return func(r *http.Request) (*http.Response, error) {
			connect(r)
			return answer(r, http.StatusOK, signed, io.MultiReader(strings.NewReader(text), stalledReader(r.Context().Done()))), nil
		}
	}
	slow := func(r *http.Request) (*http.Response, error) {
		time.Sleep(700 * time.Millisecond)
		return answers("page")(r)
	}
	for _, c := range []struct {
		name   string
		path   string
		dark   bool
		steps  []step
		body   string
		within time.Duration
	}{
		{"stream goes on", "/draft/1", true, []step{stalls(events(1, 2)), answers(events(3, 4))}, events(1, 4), 600 * time.Millisecond},
		{"stream that has not begun", "/draft/1", true, []step{hangs, answers(events(1, 4))}, events(1, 4), 600 * time.Millisecond},
		{"lookup", "/read/1", true, []step{hangs, answers("page")}, "page", 600 * time.Millisecond},
		{"lookup at a slow server", "/read/1", false, []step{slow}, "page", 800 * time.Millisecond},
		{"filing is not sent again", "/file/1", true, []step{hangs}, "route-timeout\n", time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(c.steps...)
				w.unreachable.Store(c.dark)
				began := time.Now()
				got, aborted := w.call(t.Context(), c.path, nil)
				if took := time.Since(began); aborted || got.Body.String() != c.body || took > c.within {
					t.Errorf("got %q (aborted %v) after %s, want %q within %s", got.Body, aborted, took, c.body, c.within)
				}
				if len(w.backend.sent) != len(c.steps) {
					t.Errorf("%d sends, want %d", len(w.backend.sent), len(c.steps))
				}
			})
		})
	}
}

// stalled yields nothing until its request is given up.
type stalledReader <-chan struct{}

func (s stalledReader) Read([]byte) (int, error) {
	<-s
	return 0, context.Canceled
}

// TestNoEscalationWithoutTime is the pattern of full engines: an answer in hand is worth more than a better one too late.
func TestNoEscalationWithoutTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := func(r *http.Request) (*http.Response, error) {
			time.Sleep(1900 * time.Millisecond)
			return answersWithConfidence(20, events(1, 2))(r)
		}
		w := newCluster(late)
		got, _ := w.call(t.Context(), "/draft/1", nil)
		if got.Code != http.StatusOK || got.Body.String() != events(1, 2) || len(w.backend.sent) != 1 {
			t.Errorf("got %d %q after %d sends", got.Code, got.Body, len(w.backend.sent))
		}
	})
}

// TestNoEscalationIntoABurst is the pattern of all callers that return at once after a restart: nothing has been waited for
// yet, and what is open shows that the larger model would begin too late.
func TestNoEscalationIntoAReturningBurst(t *testing.T) {
	for _, c := range []struct {
		open, sends int
	}{{1, 2}, {320, 1}} { // 320 sends of 30 ms each keep 4 servers busy for longer than the objective of 2 s.
		t.Run(fmt.Sprint(c.open), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steps := slices.Repeat([]step{hangs}, c.open)
				w := newCluster(append(steps, answersWithConfidence(20, events(1, 1)), answers(events(1, 2)))...)
				ctx, leave := context.WithCancel(t.Context())
				for range c.open {
					go w.call(ctx, "/draft/1", nil)
				}
				synctest.Wait()
				if got, _ := w.call(t.Context(), "/draft/1", nil); got.Code != http.StatusOK {
					t.Errorf("got %d", got.Code)
				}
				if sends := len(w.backend.sent) - c.open; sends != c.sends {
					t.Errorf("%d sends, want %d", sends, c.sends)
				}
				leave()
				synctest.Wait()
			})
		})
	}
}

// TestShortAnswerIsKept is the pattern of full engines for short answers: the larger model doesn't begin, is slow or fails,
// and the smaller model's whole answer is given within the objective.
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
	for _, c := range []struct {
		name   string
		steps  []step
		want   string
		within time.Duration
	}{
		{"larger model in time", []step{answersWithConfidence(20, events(1, 2)), answers(events(1, 3))}, events(1, 3), 0},
		{"larger model too late", []step{answersWithConfidence(20, events(1, 2)), slow}, events(1, 2), 1800 * time.Millisecond},
		{"larger model fails", []step{answersWithConfidence(20, events(1, 2)), losesAnswer, losesAnswer}, events(1, 2), 0},
		{"larger model breaks after it began", []step{answersWithConfidence(20, events(1, 2)), breaksAfter(events(1, 2)), answers(events(3, 4))}, events(1, 4), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(c.steps...)
				began := time.Now()
				got, aborted := w.call(t.Context(), "/draft/1", map[string]string{"X-Output": "20"})
				if took := time.Since(began); aborted || got.Body.String() != c.want || took > c.within {
					t.Errorf("got %q after %s, want %q within %s", got.Body, took, c.want, c.within)
				}
			})
		})
	}
}
