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

// Sizes of the tests of sessions and streams.
const (
	sessionTestDaemons = 3
	concurrentCallers  = 24
)

// changeConfiguration publishes the cluster's configuration with the first occurrence of a text replaced, and waits until it is in
// force at every daemon.
func (c *testCluster) changeConfiguration(id, from, to string) {
	c.t.Helper()
	content := bytes.Replace(c.content, []byte(from), []byte(to), 1)
	if bytes.Equal(content, c.content) {
		c.t.Fatalf("%q is not in the configuration", from)
	}
	client := c.client("operator")
	defer client.CloseIdleConnections()
	verdict, err := c.apply(c.t.Context(), client, c.daemons[0], crlconfig.Publication{
		ID: id, Force: true, Content: content,
	})
	if err != nil || verdict.Decision != crlconfig.DecisionAccepted {
		c.t.Fatalf("publish change %s of the configuration: error %v, verdict %+v, want accepted", id, err, verdict)
	}
	time.Sleep(configurationLimit)
}

// newDefaultCaller returns caller i of an example organisation, which sends requests only when a test calls its methods.
func (c *testCluster) newDefaultCaller(i int) *caller {
	return c.newCaller(i, 1, "filing", "firm-a", &recorder{})
}

// ask sends one chat to a daemon and returns the answer and the next session token. An empty token starts a new session.
func (c *caller) ask(d *daemonNode, model, token string) (*answer, string) {
	// read chooses a random daemon of the cluster, so c gets a cluster whose only daemon is d.
	all := c.cluster.daemons
	c.cluster = &testCluster{daemons: []*daemonNode{d}}
	defer func() { c.cluster = &testCluster{daemons: all} }()
	a := &answer{observed: crlhistory.Observation{Organisation: c.organisation}}
	header := http.Header{}
	if token != "" {
		header.Set(crlentry.HeaderSession, token)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"x"}]}`, model)
	return a, c.readFromRandomDaemon(a, http.MethodPost, "/v1/chat/completions", header, body)
}

// TestSessionKeepsItsVersionUntilItIsWithdrawn checks that a session stays on its model version at every daemon, also while the
// version is retiring, that a retiring version accepts no new session, and that a withdrawn one runs nothing.
func TestSessionKeepsItsVersionUntilItIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", sessionTestDaemons)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		c := cluster.newDefaultCaller(1)
		const version = "drafter-large-1"
		a, token := c.ask(cluster.daemons[0], version, "")
		for i := range 2 * sessionTestDaemons {
			if !a.observed.Whole || a.observed.Version != version {
				t.Fatalf("call %d of the session: %+v, want a complete answer of the session's version", i, a.observed)
			}
			a, token = c.ask(cluster.daemons[i%sessionTestDaemons], "auto", token)
		}
		head := "[version " + version + "]\n"
		cluster.changeConfiguration("retire", head, head+"state = retiring\n")
		if a, token = c.ask(cluster.daemons[1], "auto", token); !a.observed.Whole || a.observed.Version != version {
			t.Errorf("the session of a retiring version got %+v, want a complete answer", a.observed)
		}
		if fresh, _ := c.ask(cluster.daemons[2], version, ""); !fresh.observed.Refused || fresh.observed.Ran != crlentry.RanNotRun {
			t.Errorf("a new session on a retiring version got %+v, want a refusal as not run", fresh.observed)
		}
		cluster.changeConfiguration("withdraw", head, head+"state = withdrawn\n")
		before := len(cluster.platform.History.Runs())
		for _, d := range cluster.daemons {
			a, _ = c.ask(d, "auto", token)
			if a.observed.Code != crlentry.CodeVersionWithdrawn || !a.observed.Refused || a.observed.Ran != crlentry.RanNotRun {
				t.Errorf("%s: the session of a withdrawn version got %+v, want a refusal as not run", d.Name, a.observed)
			}
		}
		if after := len(cluster.platform.History.Runs()); after != before {
			t.Errorf("%d requests ran after the version was withdrawn", after-before)
		}
	})
}

// TestResumeAfterAnEngineRebootIsRefused checks that a stream isn't resumed after its engine has rebooted. The answer is lost then,
// and the refusal must say that it is unknown whether the request ran.
func TestResumeAfterAnEngineRebootIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", sessionTestDaemons)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		c := cluster.newDefaultCaller(1)
		a, _ := c.ask(cluster.daemons[0], "auto", "")
		for _, e := range cluster.engines {
			e.Reboot()
		}
		resume := http.Header{crlentry.HeaderStream: {a.streamToken}, crlentry.HeaderLastEventID: {strconv.Itoa(2)}}
		resumed := &answer{}
		if c.readFromRandomDaemon(resumed, http.MethodGet, "/v1/streams", resume, ""); !resumed.observed.Refused ||
			resumed.observed.Code != crlentry.CodeAnswerBroken || resumed.observed.Ran != crlentry.RanUnknown {
			t.Errorf("got %+v, want answer-broken unknown", resumed.observed)
		}
	})
}

// concurrentAnswers returns what concurrentCallers callers observed from daemons whose engines have the given faults.
func concurrentAnswers(t *testing.T, faults crlfake.EngineFaults) []crlhistory.Observation {
	t.Helper()
	cluster := newTestCluster(t, "../examples/register.ini", sessionTestDaemons)
	defer cluster.close()
	cluster.applyFirstConfiguration()
	for _, e := range cluster.engines {
		e.SetFaults(faults)
	}
	recorder := &recorder{}
	var callers sync.WaitGroup
	for i := range concurrentCallers {
		c := cluster.newCaller(i, 1, "filing", "firm-a", recorder)
		callers.Go(func() { c.chat(fmt.Sprint("session-", i), "") })
	}
	callers.Wait()
	return recorder.observed
}

// TestMixedAnswersAreDetected checks that crlhistory's check of complete answers detects frames of another request, which the
// engines are made to send.
func TestMixedAnswersAreDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		detected := 0
		history := crlhistory.History{
			Observations: concurrentAnswers(t, crlfake.EngineFaults{Misdeliver: true}), Tokens: answerTokens,
			Configuration: &crlconfig.Configuration{},
		}
		for _, v := range history.Check() {
			if v.Guarantee == crlhistory.GuaranteeWholeAnswer {
				detected++
			}
		}
		if detected != concurrentCallers {
			t.Errorf("%d of %d mixed answers were detected", detected, concurrentCallers)
		}
	})
}

// TestConcurrentAnswersNeverMix checks that every caller gets the complete answer to its own request while many share daemons, and
// engines repeat frames and break streams.
func TestConcurrentAnswersNeverMix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(map[crlid.Request]bool)
		for _, a := range concurrentAnswers(t, crlfake.EngineFaults{RepeatEvery: 2, BreakAfter: 3}) {
			if !a.Whole || a.Text != crlhistory.ExpectedText(a.Request, answerTokens) {
				t.Errorf("request %s: complete %t, text %q, want the complete answer to this request", a.Request, a.Whole, a.Text)
			}
			seen[a.Request] = true
		}
		if len(seen) != concurrentCallers {
			t.Errorf("%d requests were answered, want %d", len(seen), concurrentCallers)
		}
	})
}

// TestDrainingDaemonClosesCallerConnections checks that a daemon sends "Connection: close" only while it is draining.
func TestDrainingDaemonClosesCallerConnections(t *testing.T) {
	d := &Daemon{}
	handler := d.closeWhileDraining(http.NotFoundHandler())
	for _, draining := range []bool{false, true} {
		d.draining.Store(draining)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		if got := recorder.Header().Get("Connection") == "close"; got != draining {
			t.Errorf("draining %t: got \"Connection: close\" %t", draining, got)
		}
	}
}
