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
	sessionDaemons = 3
	crowd          = 24
)

// change puts a configuration with one text replaced in force everywhere.
func (w *world) change(id, from, to string) {
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
func (w *world) visitor(i int) *caller { return w.newCaller(i, 1, "filing", "firm-a", &recorder{}) }

// ask makes one call of a session at a daemon.
func (c *caller) ask(d *daemonNode, model, token string) (*answer, string) {
	all := c.world.daemons
	c.world = &world{daemons: []*daemonNode{d}}
	defer func() { c.world = &world{daemons: all} }()
	a := &answer{told: crlhistory.Observation{Organisation: c.organisation}}
	header := http.Header{}
	if token != "" {
		header.Set(crlentry.HeaderSession, token)
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"x"}]}`, model)
	return a, c.read(a, http.MethodPost, "/v1/chat/completions", header, body)
}

func TestSessionKeepsItsVersionUntilItIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "../examples/register.ini", sessionDaemons)
		defer w.close()
		w.begin()
		c := w.visitor(1)
		const version = "drafter-large-1"
		a, token := c.ask(w.daemons[0], version, "")
		for i := range 2 * sessionDaemons {
			if !a.told.Whole || a.told.Version != version {
				t.Fatalf("call %d: %+v", i, a.told)
			}
			a, token = c.ask(w.daemons[i%sessionDaemons], "auto", token)
		}
		head := "[version " + version + "]\n"
		w.change("retire", head, head+"state = retiring\n")
		if a, token = c.ask(w.daemons[1], "auto", token); !a.told.Whole || a.told.Version != version {
			t.Errorf("the session of a retiring version got %+v", a.told)
		}
		if fresh, _ := c.ask(w.daemons[2], version, ""); !fresh.told.Refused || fresh.told.Ran != crlentry.RanNotRun {
			t.Errorf("a new session on a retiring version got %+v", fresh.told)
		}
		w.change("withdraw", head, head+"state = withdrawn\n")
		before := len(w.platform.History.Runs())
		for _, d := range w.daemons {
			a, _ = c.ask(d, "auto", token)
			if a.told.Code != crlentry.CodeVersionWithdrawn || !a.told.Refused || a.told.Ran != crlentry.RanNotRun {
				t.Errorf("%s: the session of a withdrawn version got %+v", d.Name, a.told)
			}
		}
		if after := len(w.platform.History.Runs()); after != before {
			t.Errorf("%d requests ran after the version was withdrawn", after-before)
		}
	})
}

func TestStreamOfARebootedEngineIsRefusedTruthfully(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "../examples/register.ini", sessionDaemons)
		defer w.close()
		w.begin()
		c := w.visitor(1)
		a, _ := c.ask(w.daemons[0], "auto", "")
		for _, e := range w.engines {
			e.Reboot()
		}
		resume := http.Header{crlentry.HeaderStream: {a.token}, crlentry.HeaderLastEventID: {strconv.Itoa(2)}}
		rest := &answer{}
		if c.read(rest, http.MethodGet, "/v1/streams", resume, ""); !rest.told.Refused ||
			rest.told.Code != crlentry.CodeAnswerBroken || rest.told.Ran != crlentry.RanUnknown {
			t.Errorf("got %+v, want answer-broken unknown", rest.told)
		}
	})
}

// crowdTold returns what many callers were told by daemons whose engines have faults.
func crowdTold(t *testing.T, faults crlfake.EngineFaults) []crlhistory.Observation {
	t.Helper()
	w := newWorld(t, "../examples/register.ini", sessionDaemons)
	defer w.close()
	w.begin()
	for _, e := range w.engines {
		e.SetFaults(faults)
	}
	told := &recorder{}
	var callers sync.WaitGroup
	for i := range crowd {
		c := w.newCaller(i, 1, "filing", "firm-a", told)
		callers.Go(func() { c.chat(fmt.Sprint("session-", i), "") })
	}
	callers.Wait()
	return told.told
}

// TestMixedAnswersAreFound shows that the check of whole answers finds frames of another request.
func TestMixedAnswersAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		found := 0
		history := crlhistory.History{
			Observations: crowdTold(t, crlfake.EngineFaults{Misdeliver: true}), Tokens: worldTokens,
			Configuration: &crlconfig.Configuration{},
		}
		for _, v := range history.Check() {
			if v.Guarantee == crlhistory.GuaranteeWholeAnswer {
				found++
			}
		}
		if found != crowd {
			t.Errorf("%d of %d mixed answers were found", found, crowd)
		}
	})
}

// TestAnswersOfACrowdNeverMix lets many callers share daemons and engines that repeat frames and break streams.
func TestAnswersOfACrowdNeverMix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(map[crlid.Request]bool)
		for _, a := range crowdTold(t, crlfake.EngineFaults{RepeatEvery: 2, BreakAfter: 3}) {
			if !a.Whole || a.Text != crlhistory.ExpectedText(a.Request, worldTokens) {
				t.Errorf("request %s: whole %t, %q", a.Request, a.Whole, a.Text)
			}
			seen[a.Request] = true
		}
		if len(seen) != crowd {
			t.Errorf("%d requests were answered, want %d", len(seen), crowd)
		}
	})
}

func TestLeavingDaemonAsksCallersToConnectAnew(t *testing.T) {
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
