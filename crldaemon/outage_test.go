package crldaemon

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlhistory"
)

// longOutage is far above every lease and freshness limit.
const longOutage = 10 * time.Minute

func TestIdempotentRequestsSucceedInALogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, "../examples/register.ini", 9)
		defer w.close()
		w.applyFirstConfiguration()
		w.platform.Log.SetFaults(crlfake.LogFaults{Outage: true})
		time.Sleep(longOutage)
		recorder := &recorder{}
		c := w.newCaller(1, 1, "filing", "firm-a", recorder)
		for _, d := range w.daemons {
			a := &answer{observed: crlhistory.Observation{Organisation: c.organisation, Sent: time.Now()}}
			c.readFrom(d, a, http.MethodPost, "/v1/chat/completions", http.Header{}, chatBody)
			if !a.observed.Whole {
				t.Errorf("%s in the outage: %+v", d.Name, a.observed)
			}
			recorder.add(a.observed)
		}
		if told := c.send(w.daemons[0], "in-outage"); !told.Refused || told.Ran != crlentry.RanNotRun {
			t.Errorf("a filing in the outage: %+v, want a refusal as not run", told)
		}
		w.platform.Log.SetFaults(crlfake.LogFaults{})
		time.Sleep(settleTime)
		history := &crlhistory.History{
			Configuration: w.configuration, Runs: w.platform.History.Runs(), Observations: recorder.observed, Bills: w.bills(), Tokens: answerTokens,
		}
		for _, v := range history.Check() {
			t.Error(v)
		}
	})
}

func TestIsolatedDaemonRefusesNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, "../examples/register.ini", 9)
		defer w.close()
		w.applyFirstConfiguration()
		lonely := w.daemons[0]
		w.network.Cut(lonely.node, platformNode)
		for _, d := range w.daemons[1:] {
			w.network.Cut(lonely.node, d.node)
		}
		time.Sleep(lonely.settings.Limits.Freshness + time.Second)
		c := w.newCaller(1, 1, "filing", "firm-a", &recorder{})
		a := &answer{}
		c.readFrom(lonely, a, http.MethodPost, "/v1/chat/completions", http.Header{}, chatBody)
		if a.observed.Code != crlentry.CodeNotReady || a.observed.Ran != crlentry.RanNotRun {
			t.Errorf("a call at a daemon that is cut off: %+v, want a refusal as not ready and not run", a.observed)
		}
		if runs := w.platform.History.Runs(); len(runs) > 0 {
			t.Errorf("it ran: %+v", runs)
		}
	})
}

func TestConfigurationReachesADaemonConnectedToOnePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, "../examples/register.ini", 9)
		defer w.close()
		w.applyFirstConfiguration()
		client := w.client("operator")
		defer client.CloseIdleConnections()
		deaf := w.daemons[0]
		w.network.Cut(deaf.node, platformNode)
		for _, d := range w.daemons[2:] {
			w.network.Cut(deaf.node, d.node)
		}
		if !w.editOnce(client, w.daemons[1], "edit", "domain montevideo-2", "state", "out") {
			t.Fatal("the change was not accepted")
		}
		accepted := w.daemons[1].daemon.Load().Status().Offset
		time.Sleep(configurationLimit)
		if status := deaf.daemon.Load().Status(); status.Offset != accepted || !status.Ready {
			t.Errorf("after %s: %+v, want configuration %d", configurationLimit, status, accepted)
		}
	})
}

func TestDaemonStartedInALogOutageAdoptsTheNewestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, "../examples/register.ini", 9)
		defer w.close()
		w.applyFirstConfiguration()
		w.platform.Log.SetFaults(crlfake.LogFaults{Outage: true})
		starter := w.daemons[4]
		w.killDaemon(starter)
		w.awaitEnd(starter)
		time.Sleep(time.Minute)
		w.startDaemon(starter)
		if starter.daemon.Load().Status().Ready {
			t.Error("it is ready before it heard anybody")
		}
		time.Sleep(configurationLimit)
		want := w.daemons[0].daemon.Load().Status().Offset
		if status := starter.daemon.Load().Status(); !status.Ready || status.Offset != want {
			t.Errorf("after %s: %+v, want configuration %d", configurationLimit, status, want)
		}
	})
}
