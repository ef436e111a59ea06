package crldaemon

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlhistory"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Sizes of the directed tests of sessions and streams.
const (
	sessionTestDaemons = 3
	concurrentCallers  = 24
)

// change puts a configuration with one text replaced in force everywhere.
func (w *testCluster) changeConfiguration(id, from, to string) {
	w.t.Helper()
	content := bytes.Replace(w.content, []byte(from), []byte(to), 1)
	if bytes.Equal(content, w.content) {
		w.t.Fatalf("%q is not in the configuration", from)
	}
	client := w.client("operator")
	defer client.CloseIdleConnections()
	verdict, err := w.apply(w.t.Context(), client, w.daemons[0], crlconfig.Publication{ID: id, Force: true, Content: content})
	if err != nil || verdict.Decision != crlconfig.DecisionAccepted {
		w.t.Fatalf("change %s: %v %+v", id, err, verdict)
	}
	time.Sleep(configurationLimit)
}

// visitor is a caller that chooses its daemon.
func (w *testCluster) newDefaultCaller(i int) *caller {
	return w.newCaller(i, 1, "filing", "firm-a", &recorder{})
}

// ask makes one call of a session at a daemon.
func (c *caller) ask(d *daemonNode, model, token string) (*answer, string) {
	all := c.cluster.daemons
	c.cluster = &testCluster{daemons: []*daemonNode{d}}
	defer func() { c.cluster = &testCluster{daemons: all} }()
	a := &answer{observed: crlhistory.Observation{Organisation: c.organisation}}
	header := http.Header{}
	if token != "" {
		header.Set(crlentry.HeaderSession, token)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"x"}]}`, model)
	return a, c.read(a, http.MethodPost, "/v1/chat/completions", header, body)
}

func TestSessionKeepsItsVersionUntilItIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, "../examples/register.ini", sessionTestDaemons)
		defer w.close()
		w.applyFirstConfiguration()
		c := w.newDefaultCaller(1)
		const version = "drafter-large-1"
		a, token := c.ask(w.daemons[0], version, "")
		for i := range 2 * sessionTestDaemons {
			if !a.observed.Whole || a.observed.Version != version {
				t.Fatalf("call %d: %+v", i, a.observed)
			}
			a, token = c.ask(w.daemons[i%sessionTestDaemons], "auto", token)
		}
		head := "[version " + version + "]\n"
		w.changeConfiguration("retire", head, head+"state = retiring\n")
		if a, token = c.ask(w.daemons[1], "auto", token); !a.observed.Whole || a.observed.Version != version {
			t.Errorf("the session of a retiring version got %+v", a.observed)
		}
		if fresh, _ := c.ask(w.daemons[2], version, ""); !fresh.observed.Refused || fresh.observed.Ran != crlentry.RanNotRun {
			t.Errorf("a new session on a retiring version got %+v", fresh.observed)
		}
		w.changeConfiguration("withdraw", head, head+"state = withdrawn\n")
		before := len(w.platform.History.Runs())
		for _, d := range w.daemons {
			a, _ = c.ask(d, "auto", token)
			if a.observed.Code != crlentry.CodeVersionWithdrawn || !a.observed.Refused || a.observed.Ran != crlentry.RanNotRun {
				t.Errorf("%s: the session of a withdrawn version got %+v", d.Name, a.observed)
			}
		}
		if after := len(w.platform.History.Runs()); after != before {
			t.Errorf("%d requests ran after the version was withdrawn", after-before)
		}
	})
}

func TestResumeAfterAnEngineRebootIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, "../examples/register.ini", sessionTestDaemons)
		defer w.close()
		w.applyFirstConfiguration()
		c := w.newDefaultCaller(1)
		a, _ := c.ask(w.daemons[0], "auto", "")
		for _, e := range w.engines {
			e.Reboot()
		}
		resume := http.Header{crlentry.HeaderStream: {a.token}, crlentry.HeaderLastEventID: {strconv.Itoa(2)}}
		rest := &answer{}
		if c.read(rest, http.MethodGet, "/v1/streams", resume, ""); !rest.observed.Refused ||
			rest.observed.Code != crlentry.CodeAnswerBroken || rest.observed.Ran != crlentry.RanUnknown {
			t.Errorf("got %+v, want answer-broken unknown", rest.observed)
		}
	})
}

// crowdTold returns what many callers were told by daemons whose engines have faults.
func concurrentAnswers(t *testing.T, faults crlfake.EngineFaults) []crlhistory.Observation {
	t.Helper()
	w := newTestCluster(t, "../examples/register.ini", sessionTestDaemons)
	defer w.close()
	w.applyFirstConfiguration()
	for _, e := range w.engines {
		e.SetFaults(faults)
	}
	told := &recorder{}
	var callers sync.WaitGroup
	for i := range concurrentCallers {
		c := w.newCaller(i, 1, "filing", "firm-a", told)
		callers.Go(func() { c.chat(fmt.Sprint("session-", i), "") })
	}
	callers.Wait()
	return told.observed
}

// TestMixedAnswersAreFound shows that the check of whole answers finds frames of another request.
func TestMixedAnswersAreDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		found := 0
		history := crlhistory.History{
			Observations: concurrentAnswers(t, crlfake.EngineFaults{Misdeliver: true}), Tokens: answerTokens,
			Configuration: &crlconfig.Configuration{},
		}
		for _, v := range history.Check() {
			if v.Guarantee == crlhistory.GuaranteeWholeAnswer {
				found++
			}
		}
		if found != concurrentCallers {
			t.Errorf("%d of %d mixed answers were found", found, concurrentCallers)
		}
	})
}

// TestAnswersOfACrowdNeverMix lets many callers share daemons and engines that repeat frames and break streams.
func TestConcurrentAnswersNeverMix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(map[crlid.Request]bool)
		for _, a := range concurrentAnswers(t, crlfake.EngineFaults{RepeatEvery: 2, BreakAfter: 3}) {
			if !a.Whole || a.Text != crlhistory.ExpectedText(a.Request, answerTokens) {
				t.Errorf("request %s: whole %t, %q", a.Request, a.Whole, a.Text)
			}
			seen[a.Request] = true
		}
		if len(seen) != concurrentCallers {
			t.Errorf("%d requests were answered, want %d", len(seen), concurrentCallers)
		}
	})
}

func TestDrainingDaemonClosesCallerConnections(t *testing.T) {
	d := &Daemon{}
	handler := d.closeWhileDraining(http.NotFoundHandler())
	for _, draining := range []bool{false, true} {
		d.draining.Store(draining)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		if got := recorder.Header().Get("Connection") == "close"; got != draining {
			t.Errorf("draining %t: connection closed %t", draining, got)
		}
	}
}
