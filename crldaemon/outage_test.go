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

// longOutage is much longer than every lease and freshness limit.
const longOutage = 10 * time.Minute

// TestIdempotentRequestsSucceedInALogOutage checks that, in a long outage of the log, daemons that still reach each other serve
// chats and refuse calls that need a claim in the log, with the statement that these didn't run. After the outage, the daemons
// must append every bill.
func TestIdempotentRequestsSucceedInALogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", 9)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		cluster.platform.Log.SetFaults(crlfake.LogFaults{Outage: true})
		time.Sleep(longOutage)
		recorder := &recorder{}
		c := cluster.newCaller(1, 1, "filing", "firm-a", recorder)
		for _, d := range cluster.daemons {
			a := &answer{observed: crlhistory.Observation{Organisation: c.organisation, Sent: time.Now()}}
			c.readFrom(d, a, http.MethodPost, "/v1/chat/completions", http.Header{}, chatBody)
			if !a.observed.Whole {
				t.Errorf("chat at %s in the outage: %+v, want a complete answer", d.Name, a.observed)
			}
			recorder.add(a.observed)
		}
		if observed := c.send(cluster.daemons[0], "in-outage"); !observed.Refused || observed.Ran != crlentry.RanNotRun {
			t.Errorf("a call that isn't idempotent in the outage: %+v, want a refusal as not run", observed)
		}
		cluster.platform.Log.SetFaults(crlfake.LogFaults{})
		time.Sleep(settleTime)
		history := &crlhistory.History{
			Configuration: cluster.configuration, Runs: cluster.platform.History.Runs(), Observations: recorder.observed,
			Bills: cluster.bills(), Tokens: answerTokens,
		}
		for _, v := range history.Check() {
			t.Error(v)
		}
	})
}

// TestIsolatedDaemonRefusesNewRequests cuts a daemon off from the platform and all peers. It must refuse requests once its
// configuration was last confirmed longer ago than the freshness limit, as operators may have changed it since.
func TestIsolatedDaemonRefusesNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", 9)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		isolated := cluster.daemons[0]
		cluster.network.Cut(isolated.node, platformNode)
		for _, d := range cluster.daemons[1:] {
			cluster.network.Cut(isolated.node, d.node)
		}
		time.Sleep(isolated.settings.Limits.Freshness + time.Second)
		c := cluster.newCaller(1, 1, "filing", "firm-a", &recorder{})
		a := &answer{}
		c.readFrom(isolated, a, http.MethodPost, "/v1/chat/completions", http.Header{}, chatBody)
		if a.observed.Code != crlentry.CodeNotReady || a.observed.Ran != crlentry.RanNotRun {
			t.Errorf("a call at a daemon that is cut off: %+v, want a refusal as not ready and not run", a.observed)
		}
		if runs := cluster.platform.History.Runs(); len(runs) > 0 {
			t.Errorf("the refused call ran: %+v", runs)
		}
	})
}

// TestConfigurationReachesADaemonConnectedToOnePeer checks that a daemon that reaches neither the log nor most peers gets a new
// configuration from the remaining peer in time.
func TestConfigurationReachesADaemonConnectedToOnePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", 9)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		client := cluster.client("operator")
		defer client.CloseIdleConnections()
		partitioned := cluster.daemons[0]
		cluster.network.Cut(partitioned.node, platformNode)
		for _, d := range cluster.daemons[2:] {
			cluster.network.Cut(partitioned.node, d.node)
		}
		if !cluster.editOnce(client, cluster.daemons[1], "edit", "domain montevideo-2", "state", "out") {
			t.Fatal("the change was not accepted")
		}
		accepted := cluster.daemons[1].daemon.Load().Status().Offset
		time.Sleep(configurationLimit)
		if status := partitioned.daemon.Load().Status(); status.Offset != accepted || !status.Ready {
			t.Errorf("after %s: %+v, want configuration %d", configurationLimit, status, accepted)
		}
	})
}

// TestDaemonStartedInALogOutageAdoptsTheNewestConfiguration checks that a daemon that can't read the log at its start gets the
// configuration from peers, and isn't ready before.
func TestDaemonStartedInALogOutageAdoptsTheNewestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "../examples/register.ini", 9)
		defer cluster.close()
		cluster.applyFirstConfiguration()
		cluster.platform.Log.SetFaults(crlfake.LogFaults{Outage: true})
		restarted := cluster.daemons[4]
		cluster.killDaemon(restarted)
		cluster.awaitEnd(restarted)
		time.Sleep(time.Minute)
		cluster.startDaemon(restarted)
		if restarted.daemon.Load().Status().Ready {
			t.Error("the daemon is ready before it has received a configuration")
		}
		time.Sleep(configurationLimit)
		want := cluster.daemons[0].daemon.Load().Status().Offset
		if status := restarted.daemon.Load().Status(); !status.Ready || status.Offset != want {
			t.Errorf("after %s: %+v, want configuration %d", configurationLimit, status, want)
		}
	})
}
