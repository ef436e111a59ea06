package crlforward

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crladmission"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlroute"
)

// newEngineCluster returns a cluster whose service is a model engine. Its servers answer as answer says.
func newEngineCluster(answer step) *cluster {
	c := newCluster(repeat(answer, 1000)...)
	routes := []crlroute.Route{
		{Name: "urgent", Host: "h", Prefix: "/urgent/", Priority: 0, Objective: time.Second, Timeout: 20 * time.Second},
		{Name: "patient", Host: "h", Prefix: "/patient/", Priority: 2, Objective: 4 * time.Second, Timeout: 5 * time.Second},
	}
	for i := range routes {
		r := &routes[i]
		r.Kind, r.Attempts, r.Resumable = crlroute.KindStream, 2, true
		r.Models, r.Targets = []crlid.Model{"small", "large"}, []crlroute.Target{{Service: "app", Weight: 1}}
	}
	table := crlroute.NewTable(crlroute.TableConfig{
		Routes: routes, Services: []crlroute.Service{{Name: "app", Slots: 4}}, RequireKeys: true,
		Keys: map[string]crlroute.Organisation{"key": {Name: "firm"}, "key2": {Name: "firm-2"}},
	})
	c.confirmedAt = 0
	c.service.config.State = func() State {
		if c.confirmedAt == 0 {
			return State{Table: table, ConfirmedAt: c.now()}
		}
		return State{Table: table, ConfirmedAt: c.confirmedAt}
	}
	return c
}

func repeat(s step, n int) []step {
	steps := make([]step, n)
	for i := range steps {
		steps[i] = s
	}
	return steps
}

// answersAfter returns a step that begins to answer after a delay.
func answersAfter(delay func() time.Duration, then step) step {
	return func(r *http.Request) (*http.Response, error) {
		connect(r)
		select {
		case <-time.After(delay()):
			return then(r)
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// send sends one request after another at an interval, without waiting for the answers.
func (c *cluster) send(ctx context.Context, n int, interval time.Duration, path string, each func(status int, retryAfter, took time.Duration)) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range n {
		wait.Go(func() {
			start := time.Now()
			answer, _ := c.call(ctx, path, map[string]string{"X-Request": fmt.Sprint(path, i)})
			after, _ := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
			mu.Lock()
			defer mu.Unlock()
			each(answer.Code, time.Duration(after*float64(time.Second)), time.Since(start))
		})
		time.Sleep(interval)
	}
	wait.Wait()
}

// logged returns the lines that were logged so far.
func (c *cluster) logged(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.service.config.Log.Run(ctx); err != nil {
		t.Fatal(err)
	}
	return c.log.String()
}

// TestHopelessRequestsAreRejectedBeforeASend guards against requests that wait until their deadline at servers that begin no answer in time, and
// against rejections that go on once the servers are fast again.
func TestHopelessRequestsAreRejectedBeforeASend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delay := 8 * time.Second
		c := newEngineCluster(answersAfter(func() time.Duration { return delay }, answers(events(1, 3))))
		rejected, unserved := 0, 0
		c.send(t.Context(), 100, 100*time.Millisecond, "/patient/1", func(status int, after, took time.Duration) {
			switch {
			case status == http.StatusServiceUnavailable && took == 0:
				rejected++
				if after < 50*time.Millisecond || after > 5*time.Second/3 {
					t.Errorf("Retry-After %s", after)
				}
			case took == 5*time.Second:
				unserved++
			default:
				t.Errorf("got status %d after %s", status, took)
			}
		})
		// 50 are sent before the first deadline passes and 6 more before there is evidence enough; from then on one a second is sent as a probe.
		if rejected < 35 || unserved > 65 {
			t.Errorf("%d requests were rejected at once and %d waited until their deadline", rejected, unserved)
		}
		c.backend.mu.Lock()
		if sent := len(c.backend.sent); sent != unserved {
			t.Errorf("%d requests were sent, and %d were not rejected", sent, unserved)
		}
		c.backend.mu.Unlock()
		if log := c.logged(t); !strings.Contains(log, `"cause":"deadline"`) || !strings.Contains(log, `"evidence-age-ms"`) {
			t.Errorf("log has no line with the evidence for a rejection: %s", log)
		}
		delay = 0
		time.Sleep(2 * time.Second)
		c.send(t.Context(), 30, 100*time.Millisecond, "/patient/2", func(status int, _, _ time.Duration) {
			if status != http.StatusOK {
				t.Errorf("got status %d from servers that are fast again", status)
			}
		})
	})
}

// TestOneSlowServerRejectsNothing guards against rejections because of a single server, while the others answer at once.
func TestOneSlowServerRejectsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEngineCluster(nil)
		for i := range c.backend.steps {
			c.backend.steps[i] = func(r *http.Request) (*http.Response, error) {
				delay := time.Duration(0)
				if r.Header.Get("X-Server") == "s1" {
					delay = 4900 * time.Millisecond
				}
				return answersAfter(func() time.Duration { return delay }, answers(events(1, 3)))(r)
			}
		}
		c.send(t.Context(), 200, 50*time.Millisecond, "/patient/1", func(status int, _, _ time.Duration) {
			if status != http.StatusOK {
				t.Errorf("got status %d", status)
			}
		})
	})
}

// TestLargerModelIsLeftToUrgentRequests guards against escalations of patient requests that take the servers from urgent ones that wait.
func TestLargerModelIsLeftToUrgentRequests(t *testing.T) {
	for _, tc := range []struct {
		urgentWait time.Duration
		want       bool
	}{{100 * time.Millisecond, true}, {700 * time.Millisecond, false}} {
		synctest.Test(t, func(t *testing.T) {
			c := newEngineCluster(answersAfter(func() time.Duration { return tc.urgentWait }, answers(events(1, 3))))
			c.send(t.Context(), 8, 100*time.Millisecond, "/urgent/1", func(int, time.Duration, time.Duration) {})
			x := &exchange{service: &crlroute.Service{Name: "app", Slots: 4}, route: &crlroute.Route{Priority: 2}}
			if got := c.service.allowsLargerModel(x); got != tc.want {
				t.Errorf("urgent requests wait for %s of an objective of 1s: a larger model for a patient one is allowed: %t", tc.urgentWait, got)
			}
			x.route = &crlroute.Route{Priority: 0}
			if !c.service.allowsLargerModel(x) {
				t.Error("a larger model for an urgent request is not allowed")
			}
		})
	}
}

// TestPatientRequestWaitsForUrgentOnes guards against a patient request that is sent between urgent ones that have waited for too long, and against
// one that is held for so long that it misses its own objective.
func TestPatientRequestWaitsForUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEngineCluster(answersAfter(func() time.Duration { return 700 * time.Millisecond }, answers(events(1, 3))))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.send(ctx, 60, 50*time.Millisecond, "/urgent/1", func(int, time.Duration, time.Duration) {})
		}()
		time.Sleep(2 * time.Second)
		start := time.Now()
		answer, _ := c.call(t.Context(), "/patient/1", nil)
		held := time.Since(start) - 700*time.Millisecond
		if answer.Code != http.StatusOK || held < 300*time.Millisecond || held > 2*time.Second {
			t.Errorf("got status %d, held for %s", answer.Code, held)
		}
		<-done
		cancel()
		if log := c.logged(t); !strings.Contains(log, `"action":"wait"`) {
			t.Error("log has no line about the wait")
		}
	})
}

// TestRequestsWithoutAnObjectiveAreNotHeldBack guards against admission control of services that are no model engines, and of routes that state no
// objective.
func TestRequestsWithoutAnObjectiveAreNotHeldBack(t *testing.T) {
	for _, tc := range []struct {
		name    string
		x       exchange
		admits  bool
		service crlroute.Service
		route   crlroute.Route
	}{
		{"engine with an objective", exchange{}, true, crlroute.Service{Slots: 4}, crlroute.Route{Objective: time.Second}},
		{"engine with stated memory", exchange{}, true, crlroute.Service{MemoryTokens: 4}, crlroute.Route{Objective: time.Second}},
		{"no objective", exchange{}, false, crlroute.Service{Slots: 4}, crlroute.Route{}},
		{"plain service", exchange{}, false, crlroute.Service{}, crlroute.Route{Objective: time.Second}},
		{"handed over", exchange{handedOver: true}, false, crlroute.Service{Slots: 4}, crlroute.Route{Objective: time.Second}},
		{"sent before", exchange{sends: 1}, false, crlroute.Service{Slots: 4}, crlroute.Route{Objective: time.Second}},
		{"started stream", exchange{stream: stream{started: true}}, false, crlroute.Service{Slots: 4}, crlroute.Route{Objective: time.Second}},
	} {
		tc.x.service, tc.x.route = &tc.service, &tc.route
		if got := tc.x.admits(); got != tc.admits {
			t.Errorf("%s: got %t", tc.name, got)
		}
	}
}

// TestCallersReturnOneAfterTheOther guards against all callers returning together after an outage of the store, which overloaded the servers a
// second time.
func TestCallersReturnOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newEngineCluster(answers(events(1, 3)))
		c.send(t.Context(), 50, 100*time.Millisecond, "/urgent/1", func(int, time.Duration, time.Duration) {})
		c.confirmedAt = c.now()
		time.Sleep(5 * time.Second)
		returns := make(map[int]int) // by second
		start := time.Now()
		c.send(t.Context(), 30, 10*time.Millisecond, "/urgent/2", func(status int, after, _ time.Duration) {
			if status != http.StatusServiceUnavailable || after < time.Second || after > 20*time.Second/3 {
				t.Errorf("got status %d, Retry-After %s", status, after)
			}
			returns[int((time.Since(start)+after)/time.Second)]++
		})
		for second, n := range returns {
			if n > 12 { // The usual rate is 10 a second.
				t.Errorf("%d of 30 callers return in second %d: %v", n, second, returns)
			}
		}
		x := &exchange{route: &crlroute.Route{Timeout: 20 * time.Second}, arrived: time.Now()}
		patient := *x
		patient.route = &crlroute.Route{Timeout: 20 * time.Second, Priority: 2}
		if p, u := c.service.notReady(&patient, ReasonUnconfirmed, time.Second), c.service.notReady(x, ReasonUnconfirmed, time.Second); u.RetryAfter > p.RetryAfter {
			t.Errorf("an urgent caller returns after %s and a patient one after %s", u.RetryAfter, p.RetryAfter)
		}
	})
}

// TestImpossibleTokenCountsDontOverflow guards against a caller that states impossible numbers of tokens, whose request is then expected to take a
// negative time and counts for other requests of its service without bound.
func TestImpossibleTokenCountsDontOverflow(t *testing.T) {
	const most = math.MaxInt64
	head := Head{PromptTokens: most, MaxAnswerTokens: most, ExpectedAnswerTokens: most, Parts: []Part{{ID: "a", Tokens: most}, {ID: "b", Tokens: most}}}
	c := newEngineCluster(answers(events(1, 1)))
	c.service.config.Dialect = headDialect{head: head}
	x := &exchange{
		request: httptest.NewRequest(http.MethodPost, "/", nil), service: &crlroute.Service{Name: "app", Slots: 4},
		route: &crlroute.Route{Models: []crlid.Model{"small", "large"}, Affinity: true},
	}
	if refusal := c.service.readHead(t.Context(), x); refusal != nil {
		t.Fatalf("refused as %s", refusal.Reason)
	}
	plan := newModelPlan(x)
	plan.escalate()
	got := c.service.estimate(x, plan.model(), plan)
	if got.firstByte <= 0 || got.firstByte > time.Hour || got.workSeconds > 3600 || got.decodeSeconds > 3600 {
		t.Errorf("the request is estimated to take %+v, want more than 0 and at most an hour each", got)
	}
	if saving := c.service.affinity(x, plan.model(), plan).Saving; saving < 0 || saving > 3600 {
		t.Errorf("a cached prefix is estimated to save %v s, want 0 to an hour", saving)
	}
	if sum := x.head.PromptTokens + x.head.MaxAnswerTokens; sum <= 0 {
		t.Errorf("the request holds %d tokens, want more than 0", sum)
	}
}

// TestHandedOverStreamsDontCountAsWaiting guards against requests that are rejected or get a smaller model after the end of a cut-off, because streams
// that other routers relay still count as requests that wait for this router's servers.
func TestHandedOverStreamsDontCountAsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := make(chan struct{})
		c := newEngineCluster(func(r *http.Request) (*http.Response, error) {
			connect(r)
			reader, writer := io.Pipe()
			go func() {
				_, _ = io.WriteString(writer, events(1, 1))
				<-end
				_ = writer.Close()
			}()
			return newResponse(r, http.StatusOK, signed, reader), nil
		})
		c.service.config.Peers = func() []Peer { return []Peer{{Address: "router-a:2", Domain: "far"}} }
		c.probeErr = errReset
		c.service.reachability.recordFailed("s0")
		c.service.reachability.recordFailed("s1")
		var open sync.WaitGroup
		for n := range 8 {
			open.Go(func() { c.call(t.Context(), "/urgent/1", map[string]string{"X-Request": fmt.Sprint("r", n)}) })
		}
		time.Sleep(2 * time.Second) // twice the objective
		synctest.Wait()
		if !isRouter(c.backend.sent[0]) {
			t.Fatal("the requests were not handed over")
		}
		for n := range 22 { // Of the requests at servers, 2 of 22 are late.
			request := crladmission.Request{Service: "app", Objective: time.Second}
			var ticket crladmission.Ticket
			now := c.now()
			c.service.admission.Begin(&ticket, request, now)
			c.service.admission.RecordServer(&ticket, crlid.Server(fmt.Sprint("s", n)))
			wait := 100 * time.Millisecond
			if n < 2 {
				wait = 900 * time.Millisecond
			}
			c.service.admission.RecordFirstEvent(&ticket, now.Add(wait))
		}
		if !c.service.admission.AllowsLarger("app", 2, c.now()) {
			t.Error("urgent requests count as late, although nearly all begin in time")
		}
		close(end)
		open.Wait()
		time.Sleep(time.Second)
	})
}

// headDialect decodes every request to the same head.
type headDialect struct {
	dialect
	head Head
}

// DecodeRequest returns a copy of the head.
func (d headDialect) DecodeRequest(http.Header) (Head, error) {
	head := d.head
	head.Parts = slices.Clone(head.Parts)
	return head, nil
}
