package crlentry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbalance"
	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlcascade"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpermit"
	"github.com/cranberrylock/cranberrylock/crlqueue"
	"github.com/cranberrylock/cranberrylock/crlsession"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

const dispatchConfiguration = `
[configuration]
name = dispatch
[organisation firm-a]
key-digest = 07d3e59f483494fd396ae97f63deda81928159dc5906f71a058cd08081ba6c0c
versions = v-1
services = lookup
[organisation firm-b]
key-digest = f21c9139100669506da51fe20d70b9042715361a5c89111c6c4fb42def9d1dc7
versions = v-1
[version v-1]
model = m
[class c]
[domain near]
[domain far]
[service lookup]
idempotent = yes
[server engine-1]
address = 127.0.0.1:1
domain = near
versions = v-1
[server engine-2]
address = 127.0.0.1:2
domain = far
versions = v-1
`

// scriptedEngines runs one step for each attempt, in order, and records the attempts.
type scriptedEngines struct {
	steps []func(ctx context.Context, a crlengine.Attempt) (*crlengine.Answer, error)
	sent  []crlengine.Attempt
}

// Open runs the next step.
func (s *scriptedEngines) Open(ctx context.Context, a crlengine.Attempt) (*crlengine.Answer, error) {
	if len(s.sent) >= len(s.steps) {
		return nil, errors.New("unexpected attempt after the last step")
	}
	s.sent = append(s.sent, a)
	return s.steps[len(s.sent)-1](ctx, a)
}

// Call fails; the tests send no calls to plain services.
func (*scriptedEngines) Call(context.Context, crlengine.ServiceAttempt) (crlengine.ServiceAnswer, error) {
	return crlengine.ServiceAnswer{}, errors.New("no plain service")
}

// Commit accepts every bill.
func (*scriptedEngines) Commit(context.Context, crlbill.Bill) error { return nil }

func failWith(fault crlengine.Fault, status int, after time.Duration) func(context.Context, crlengine.Attempt) (*crlengine.Answer, error) {
	return func(_ context.Context, a crlengine.Attempt) (*crlengine.Answer, error) {
		return nil, &crlengine.Error{Server: a.Server, Fault: fault, Status: status, RetryAfter: after}
	}
}

// answerUpTo returns a step whose answer of three frames breaks off after the frame last, unless last is 3. Like a server
// that resumes an answer, it begins after the frame a.After.
func answerUpTo(last crlid.Frame) func(context.Context, crlengine.Attempt) (*crlengine.Answer, error) {
	return func(_ context.Context, a crlengine.Attempt) (*crlengine.Answer, error) {
		frames := func(yield func(crlengine.Frame, error) bool) {
			for n := a.After + 1; n <= last; n++ {
				if !yield(crlengine.Frame{Number: n, Text: fmt.Sprint(n), Data: "{}", Last: n == 3}, nil) || n == 3 {
					return
				}
			}
			yield(crlengine.Frame{}, &crlengine.Error{Server: a.Server, Fault: crlengine.FaultBroken})
		}
		return &crlengine.Answer{Version: a.Version, Stream: "stream-1", Frames: frames, Close: func() {}}, nil
	}
}

// hangUntilCancelled is a step that waits until the attempt is cancelled.
func hangUntilCancelled(ctx context.Context, a crlengine.Attempt) (*crlengine.Answer, error) {
	<-ctx.Done()
	return nil, &crlengine.Error{Server: a.Server, Fault: crlengine.FaultBroken, Err: ctx.Err()}
}

// textSink is a Sink that collects the text of an answer.
type textSink struct {
	text   string
	head   Head
	broken bool // makes Frame fail
}

// Head implements Sink.
func (s *textSink) Head(head Head) error {
	s.head = head
	return nil
}

// Frame implements Sink.
func (s *textSink) Frame(f crlengine.Frame) error {
	if s.broken {
		return errors.New("caller disconnected")
	}
	s.text += f.Text
	return nil
}

// permitAll is a Permitter that grants every permit.
type permitAll struct {
	before func() // called before a permit is returned, unless nil
}

// testPermit returns a permit that stays valid for the whole test.
func testPermit() crlpermit.Permit {
	return crlpermit.Permit{Expiry: time.Now().Add(time.Minute), End: time.Now().Add(time.Hour)}
}

// Acquire calls before and grants a permit.
func (p permitAll) Acquire(context.Context, crlconfig.Server) (crlpermit.Permit, bool) {
	if p.before != nil {
		p.before()
	}
	return testPermit(), true
}

// discardBiller is a Biller that discards every bill.
type discardBiller struct{}

// Open does nothing.
func (discardBiller) Open(crlbill.Bill) {}

// Close does nothing.
func (discardBiller) Close(crlid.Request) {}

// Commit accepts every bill.
func (discardBiller) Commit(context.Context, crlbill.Bill) error { return nil }

// Answered does nothing.
func (permitAll) Answered(crlid.Server, crlid.Boot) {}

// Done does nothing.
func (permitAll) Done(crlpermit.Report) {}

// newDispatch returns a service that sends to engines, and its snapshots. before, unless nil, runs when a permit is
// granted, that is between the choice of a server and the send.
func newDispatch(t *testing.T, engines *scriptedEngines, before func(*crlsnapshot.Holder)) (*Service, *crlsnapshot.Holder) {
	t.Helper()
	sealer, err := crlsession.NewSealer(crlsession.SealerConfig{
		Keys: map[crlsession.KeyID][]byte{"k": bytes.Repeat([]byte("k"), crlsession.KeyBytes)}, Newest: "k",
	})
	if err != nil {
		t.Fatal(err)
	}
	snapshots := crlsnapshot.NewHolder()
	applyConfiguration(t, snapshots, "", "")
	granted := permitAll{}
	if before != nil {
		granted.before = func() { before(snapshots) }
	}
	return NewService(ServiceConfig{
		Snapshots: snapshots, Sealer: sealer, Bills: discardBiller{}, Permits: granted,
		Queue: crlqueue.New(crlqueue.Config{Limit: 10}), Planner: crlcascade.NewPlanner(crlcascade.Config{Origin: "test"}),
		Balancer: crlbalance.New(crlbalance.Config{Domain: "near"}), Engines: engines,
		Limits: Limits{Freshness: time.Hour, Attempts: 3, Record: time.Second, PermitRetry: time.Millisecond},
	}), snapshots
}

// applyConfiguration publishes dispatchConfiguration with the first occurrence of from replaced by to.
func applyConfiguration(t *testing.T, snapshots *crlsnapshot.Holder, from, to string) {
	t.Helper()
	c, err := crlconfig.Parse("test", []byte(strings.Replace(dispatchConfiguration, from, to, 1)))
	if err != nil {
		t.Fatal(err)
	}
	snapshots.Update(func(s *crlsnapshot.Snapshot) { s.Configuration, s.ConfirmedAt = c, time.Now() })
}

func chatCall() Call {
	return Call{Request: crlid.NewRequest(), APIKey: "key-firm-a", Wanted: "auto", Body: []byte(`{"messages":[1]}`)}
}

func TestDispatchReportsWhetherTheRequestMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		open  []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error)
		code  Code
		ran   Ran
		after time.Duration
	}{
		{"refused everywhere", []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){
			failWith(crlengine.FaultRefused, 503, 0), failWith(crlengine.FaultRefused, 503, 7*time.Second),
		}, CodeBackendFailed, RanNotRun, 7 * time.Second},
		{"first broke, second unreachable", []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){
			failWith(crlengine.FaultBroken, 0, 0), failWith(crlengine.FaultUnreachable, 0, 0),
		}, CodeBackendFailed, RanUnknown, attemptRetryAfter},
		{"wrong version, then refused", []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){
			failWith(crlengine.FaultWrongVersion, 0, 0), failWith(crlengine.FaultRefused, 503, 0),
		}, CodeBackendFailed, RanUnknown, attemptRetryAfter},
		{"broke after a frame, stream lost", []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){
			answerUpTo(1), failWith(crlengine.FaultFailed, http.StatusNotFound, 0),
		}, CodeAnswerBroken, RanUnknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &scriptedEngines{steps: c.open}
				service, _ := newDispatch(t, engines, nil)
				refusal := service.Complete(t.Context(), chatCall(), &textSink{})
				if refusal == nil || refusal.Code != c.code || refusal.Ran != c.ran || refusal.RetryAfter != c.after {
					t.Errorf("got %v after %v, want %s %s after %v", refusal, refusal.RetryAfter, c.code, c.ran, c.after)
				}
				if len(engines.sent) != len(c.open) {
					t.Errorf("%d attempts were sent, want %d", len(engines.sent), len(c.open))
				}
			})
		})
	}
}

// TestSendIsCancelledWhenItsServerGoesOutOfService guards against a request that a broken link holds while the failure
// domain of its server is taken out of service, and delivers seconds later: the send must be cancelled before. The random
// fault test found this failure with the workload register and seed 100.
func TestSendIsCancelledWhenItsServerGoesOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{steps: []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){
			hangUntilCancelled, answerUpTo(3),
		}}
		service, snapshots := newDispatch(t, engines, nil)
		const outAfter = 5 * time.Second
		time.AfterFunc(outAfter, func() {
			applyConfiguration(t, snapshots, "[domain near]", "[domain near]\nstate = out")
		})
		started := time.Now()
		sink := &textSink{}
		if refusal := service.Complete(t.Context(), chatCall(), sink); refusal != nil || sink.text != "123" {
			t.Errorf("answer %q, refusal %v, want 123 and none", sink.text, refusal)
		}
		if took := time.Since(started); took > outAfter+time.Second || len(engines.sent) != 2 {
			t.Errorf("%d sends, done after %s, want 2 sends within 1s of the change at %s", len(engines.sent), took, outAfter)
		}
	})
}

func TestNothingIsSentAfterAChangeBetweenPickAndSend(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		sent           []crlid.Server
		code           Code
	}{
		{"domain out", "[domain near]", "[domain near]\nstate = out", []crlid.Server{"engine-2"}, 0},
		{"version withdrawn", "model = m", "model = m\nstate = withdrawn", nil, CodeVersionWithdrawn},
		{"permission removed", "versions = v-1\nservices", "versions =\nservices", nil, CodeNotAllowed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &scriptedEngines{steps: []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){answerUpTo(3)}}
				service, _ := newDispatch(t, engines, func(h *crlsnapshot.Holder) { applyConfiguration(t, h, c.from, c.to) })
				sink := &textSink{}
				refusal := service.Complete(t.Context(), chatCall(), sink)
				var sent []crlid.Server
				for _, a := range engines.sent {
					sent = append(sent, a.Server)
				}
				if fmt.Sprint(sent) != fmt.Sprint(c.sent) {
					t.Errorf("sent to %v, want %v", sent, c.sent)
				}
				if c.sent != nil && (refusal != nil || sink.text != "123") {
					t.Errorf("answer %q, refusal %v, want 123 and none", sink.text, refusal)
				}
				if c.sent == nil && (refusal == nil || refusal.Code != c.code || refusal.Ran != RanNotRun) {
					t.Errorf("got %v, want %s not-run", refusal, c.code)
				}
			})
		})
	}
}

func TestDeadlineEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{steps: []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){hangUntilCancelled}}
		service, _ := newDispatch(t, engines, nil)
		call := chatCall()
		call.Deadline = time.Now().Add(time.Second)
		refusal := service.Complete(t.Context(), call, &textSink{})
		if refusal == nil || refusal.Code != CodeDeadlineExceeded || refusal.Ran != RanUnknown {
			t.Errorf("got %v, want deadline-exceeded unknown", refusal)
		}
		if late := time.Since(call.Deadline); late != 0 {
			t.Errorf("refused %s after the deadline, want at the deadline", late)
		}
	})
}

func TestBrokenAnswerResumesAtItsServerAfterTheVersionIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{}
		service, snapshots := newDispatch(t, engines, nil)
		engines.steps = []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){
			func(ctx context.Context, a crlengine.Attempt) (*crlengine.Answer, error) {
				applyConfiguration(t, snapshots, "model = m", "model = m\nstate = withdrawn")
				return answerUpTo(2)(ctx, a)
			}, failWith(crlengine.FaultUnreachable, 0, 0), answerUpTo(3),
		}
		sink := &textSink{}
		if refusal := service.Complete(t.Context(), chatCall(), sink); refusal != nil || sink.text != "123" {
			t.Errorf("answer %q, refusal %v, want 123 and none", sink.text, refusal)
		}
		for _, a := range engines.sent[1:] {
			if a.Stream != "stream-1" || a.After != 2 || a.Server != engines.sent[0].Server {
				t.Errorf("resumed by %+v, want stream-1 after frame 2 at server %s", a, engines.sent[0].Server)
			}
		}
		refusal := service.Complete(t.Context(), Call{
			Request: "r", APIKey: "key-firm-a", Wanted: "auto", SessionToken: sink.head.SessionToken, Body: []byte(`{"messages":[1]}`),
		}, &textSink{})
		if refusal == nil || refusal.Code != CodeVersionWithdrawn || refusal.Ran != RanNotRun {
			t.Errorf("the next call of the session got %v, want version-withdrawn not-run", refusal)
		}
	})
}

func TestNoFurtherAttemptAfterTheCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{steps: []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){answerUpTo(3), answerUpTo(3)}}
		service, _ := newDispatch(t, engines, nil)
		refusal := service.Complete(t.Context(), chatCall(), &textSink{broken: true})
		if refusal == nil || len(engines.sent) != 1 {
			t.Errorf("%d attempts, refusal %v, want 1 attempt and a refusal", len(engines.sent), refusal)
		}
	})
}

func TestTokensOfAnotherOrganisationAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{steps: []func(context.Context, crlengine.Attempt) (*crlengine.Answer, error){answerUpTo(3)}}
		service, _ := newDispatch(t, engines, nil)
		sink := &textSink{}
		if refusal := service.Complete(t.Context(), chatCall(), sink); refusal != nil {
			t.Fatal(refusal)
		}
		for _, c := range []struct {
			call Call
			code Code
		}{
			{Call{APIKey: "key-firm-b", SessionToken: sink.head.SessionToken}, CodeSessionTokenRefused},
			{Call{APIKey: "key-firm-a", SessionToken: sink.head.StreamToken}, CodeSessionTokenRefused},
			{Call{APIKey: "key-firm-b", StreamToken: sink.head.StreamToken}, CodeStreamTokenRefused},
			{Call{APIKey: "key-firm-a", StreamToken: sink.head.SessionToken}, CodeStreamTokenRefused},
			{Call{APIKey: "key-firm-a", StreamToken: sink.head.StreamToken + "A"}, CodeStreamTokenRefused},
		} {
			refusal := service.Complete(t.Context(), c.call, &textSink{})
			if refusal == nil || refusal.Code != c.code || refusal.Ran != RanNotRun {
				t.Errorf("%+v: got %v, want %s not-run", c.call, refusal, c.code)
			}
		}
		if len(engines.sent) != 1 {
			t.Errorf("%d attempts were sent, want 1", len(engines.sent))
		}
	})
}

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	const maxBody = 256
	service, _ := newDispatch(t, &scriptedEngines{}, nil)
	server := NewServer(ServerConfig{Service: service, MaxBodyBytes: maxBody})
	good := `{"model":"auto","messages":[{"role":"user","content":"x"}]}`
	for _, c := range []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		code                     Code
	}{
		{"no key", "POST", "/v1/chat/completions", good, http.Header{"Authorization": {""}}, 401, CodeUnauthenticated},
		{"wrong key", "POST", "/v1/chat/completions", good, http.Header{"Authorization": {"Bearer x"}}, 401, CodeUnauthenticated},
		{"too large", "POST", "/v1/chat/completions", strings.Repeat("x", maxBody+1), nil, 413, CodeTooLarge},
		{"no JSON", "POST", "/v1/chat/completions", "hello", nil, 400, CodeMalformedRequest},
		{"JSON null", "POST", "/v1/chat/completions", "null", nil, 400, CodeMalformedRequest},
		{"array", "POST", "/v1/chat/completions", "[]", nil, 400, CodeMalformedRequest},
		{"empty", "POST", "/v1/chat/completions", "", nil, 400, CodeMalformedRequest},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"auto"}`, nil, 400, CodeMalformedRequest},
		{"model of another type", "POST", "/v1/chat/completions", `{"model":1,"messages":[1]}`, nil, 400, CodeMalformedRequest},
		{"unknown model", "POST", "/v1/chat/completions", `{"model":"none","messages":[1]}`, nil, 403, CodeNotAllowed},
		{"unknown class", "POST", "/v1/chat/completions", good, http.Header{HeaderClass: {"none"}}, 400, CodeUnknownClass},
		{"bad deadline", "POST", "/v1/chat/completions", good, http.Header{HeaderDeadline: {"-5"}}, 400, CodeMalformedRequest},
		{"bad target", "POST", "/v1/chat/completions", good, http.Header{HeaderQualityTarget: {"NaN"}}, 400, CodeMalformedRequest},
		{"forged session", "POST", "/v1/chat/completions", good, http.Header{HeaderSession: {"k.AAAA"}}, 401, CodeSessionTokenRefused},
		{"no stream", "GET", "/v1/streams", "", nil, 401, CodeStreamTokenRefused},
		{"bad frame", "GET", "/v1/streams", "", http.Header{HeaderStream: {"k.AAAA"}, HeaderLastEventID: {"x"}}, 400, CodeMalformedRequest},
		{"unknown service", "POST", "/v1/services/none", "{}", nil, 404, CodeUnknownService},
		{"service of others", "POST", "/v1/services/lookup", "{}", http.Header{"Authorization": {"Bearer key-firm-b"}}, 403, CodeNotAllowed},
		{"unknown path", "GET", "/v2", "", nil, 404, CodeMalformedRequest},
		{"wrong method", "GET", "/v1/chat/completions", "", nil, 405, CodeMalformedRequest},
	} {
		request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		request.Header.Set("Authorization", "Bearer key-firm-a")
		for name, values := range c.header {
			request.Header.Set(name, values[0])
		}
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		var reply errorBody
		if err := json.Unmarshal(recorder.Body.Bytes(), &reply); err != nil {
			t.Errorf("%s: reply %q: %v", c.name, recorder.Body, err)
			continue
		}
		e := reply.Error
		if recorder.Code != c.status || e.Code != c.code || e.Ran != RanNotRun || e.Message == "" || e.Type != "cranberrylock" {
			t.Errorf("%s: status %d, %+v, want %d %s not-run", c.name, recorder.Code, e, c.status, c.code)
		}
	}
}
