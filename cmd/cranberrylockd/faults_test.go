package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlhistory"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlsettings"
)

// Sizes and timing of the tests under traffic.
const (
	daemonCount   = 9
	callerCount   = 6               // callers of chats, and as many of filings
	standinTokens = 20              // tokens of an answer, the default of cranberrylock-standins
	settleTime    = 2 * time.Second // time for traffic to start and for a change to take effect
)

// checkHistory stops the callers and checks the replies that they got against what the backend servers ran. The periods are those
// in which the configuration had a failure domain or a version out of service.
func (d *deployment) checkHistory(c *callers, periods []crlhistory.OutOfServicePeriod) {
	d.t.Helper()
	results := c.stopAndWait()
	time.Sleep(settleTime)
	configuration, err := crlconfig.Parse("configuration", d.content)
	if err != nil {
		d.t.Fatal(err)
	}
	limits := crlsettings.DefaultLimits()
	history := &crlhistory.History{
		Configuration: configuration, Runs: d.backendRuns(), Observations: results, OutOfServicePeriods: periods,
		MaxConfigurationDelay: domainOutLimit, MaxDomainOutDelay: domainOutLimit,
		PermitExpiry: limits.PermitExpiry, Tokens: standinTokens,
	}
	complete := 0
	for _, r := range results {
		if r.Whole {
			complete++
		}
	}
	d.t.Logf("%d sends, %d complete answers, %d runs, %d answers ended early and were resumed",
		len(results), complete, len(history.Runs), len(c.brokenAnswers))
	if complete == 0 {
		d.t.Error("no request was answered")
	}
	for _, v := range history.Check() {
		if v.Guarantee != crlhistory.GuaranteeBilledOnce { // The admin interface returns only sums, which checkBills checks.
			d.t.Error(v)
		}
	}
	d.checkBills(history)
}

// checkBills waits until at least as many requests are billed as were answered, and checks that no more are billed than ran.
func (d *deployment) checkBills(h *crlhistory.History) {
	d.t.Helper()
	answered, ran := make(map[string]bool), make(map[crlid.Request]bool)
	for _, o := range h.Observations {
		switch {
		case o.Whole && o.Key != "":
			answered[o.Key] = true // A repeated filing gets the answer of the request that ran, so it counts once by its key.
		case o.Whole:
			answered[string(o.Request)] = true
		}
	}
	for _, r := range h.Runs {
		ran[r.Request] = true
	}
	eventually(d.t, "the bills of all answered requests are counted", func() bool {
		response, err := http.Get("http://" + d.daemons[1].Admin + "/admin/bills")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var summary crlbill.Summary
		if err := json.NewDecoder(response.Body).Decode(&summary); err != nil {
			return false
		}
		if summary.Requests > len(ran) {
			d.t.Fatalf("%d requests are billed, %d ran", summary.Requests, len(ran))
		}
		return summary.Requests >= len(answered)
	})
}

// backendRuns returns what the backend servers ran.
func (d *deployment) backendRuns() []crlfake.Run {
	d.t.Helper()
	response, err := http.Get(d.platformURL + "/history")
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()
	var runs []crlfake.Run
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		d.t.Fatal(err)
	}
	return runs
}

// signal sends a signal to the process of a daemon.
func (d *deployment) signal(p *process, sig syscall.Signal) {
	d.t.Helper()
	if err := p.command.Process.Signal(sig); err != nil {
		d.t.Fatalf("send signal %s to %s: %v", sig, p.Name, err)
	}
}

// domainOutLimit is the time after which a failure domain that was taken out of service must get no new requests. checkHistory
// also allows it as the longest time until a configuration is in force.
const domainOutLimit = 3 * time.Second

// TestProcessesRollingRestartCutsNothing restarts each daemon gracefully in turn under traffic and checks that no answer is cut
// off and every guarantee holds.
func TestProcessesRollingRestartCutsNothing(t *testing.T) {
	d := startDeployment(t, daemonCount)
	c := d.startCallers(callerCount)
	time.Sleep(settleTime)
	for _, p := range d.daemons {
		d.signal(p, syscall.SIGTERM)
		if err := p.command.Wait(); err != nil {
			t.Errorf("graceful stop of %s: %v", p.Name, err)
		}
		d.startDaemon(p)
		eventually(t, string(p.Name)+" is ready again", func() bool { return d.status(p).Ready })
	}
	d.checkHistory(c, nil)
	for _, cut := range c.brokenAnswers {
		t.Errorf("a graceful stop cut request %s", cut)
	}
}

// TestProcessesKilledPausedAndPartitionedKeepGuarantees kills one daemon, pauses a second and cuts a third off from the platform
// until their leases have expired, all at once and under traffic. Then it takes a failure domain out of service and checks that
// every guarantee held.
func TestProcessesKilledPausedAndPartitionedKeepGuarantees(t *testing.T) {
	d := startDeployment(t, daemonCount)
	c := d.startCallers(callerCount)
	time.Sleep(settleTime)
	killed, paused, partitioned := d.daemons[0], d.daemons[1], d.daemons[2]
	d.signal(killed, syscall.SIGKILL)
	_ = killed.command.Wait()
	d.signal(paused, syscall.SIGSTOP)
	partitioned.link.setCut(true)
	time.Sleep(crlsettings.DefaultLimits().Lease + settleTime)
	d.signal(paused, syscall.SIGCONT)
	partitioned.link.setCut(false)
	d.startDaemon(killed)
	for _, p := range []*process{killed, paused, partitioned} {
		eventually(t, string(p.Name)+" is ready again", func() bool { return d.status(p).Ready })
	}
	withoutDomain := strings.Replace(string(d.content), "[domain montevideo-1]", "[domain montevideo-1]\nstate = out", 1)
	accepted := d.publish("out", []byte(withoutDomain))
	time.Sleep(domainOutLimit + settleTime)
	d.checkHistory(c, []crlhistory.OutOfServicePeriod{{Domain: "montevideo-1", From: accepted}})
}
