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

// Sizes of the tests under traffic.
const (
	daemonCount   = 9
	callerCount   = 6
	standinTokens = 20
	settleTime    = 2 * time.Second
)

// checkHistory compares what really ran with what the callers were told.
func (s *deployment) checkHistory(c *callers, outages []crlhistory.OutOfServicePeriod) {
	s.t.Helper()
	told := c.stopAndWait()
	time.Sleep(settleTime)
	configuration, err := crlconfig.Parse("configuration", s.content)
	if err != nil {
		s.t.Fatal(err)
	}
	limits := crlsettings.DefaultLimits()
	history := &crlhistory.History{
		Configuration: configuration, Runs: s.backendRuns(), Observations: told, OutOfServicePeriods: outages, MaxConfigurationDelay: domainOutLimit, MaxDomainOutDelay: domainOutLimit,
		PermitExpiry: limits.PermitExpiry, Tokens: standinTokens,
	}
	whole := 0
	for _, t := range told {
		if t.Whole {
			whole++
		}
	}
	s.t.Logf("%d sends, %d whole answers, %d runs, %d answers broken and resumed", len(told), whole, len(history.Runs), len(c.brokenAnswers))
	if whole == 0 {
		s.t.Error("no request was answered")
	}
	for _, v := range history.Check() {
		if v.Guarantee != crlhistory.GuaranteeBilledOnce { // The admin interface tells sums, see checkBills.
			s.t.Error(v)
		}
	}
	s.checkBills(history)
}

// checkBills checks that every answered request is billed and none that never ran, or twice.
func (s *deployment) checkBills(h *crlhistory.History) {
	s.t.Helper()
	answered, ran := make(map[string]bool), make(map[crlid.Request]bool)
	for _, t := range h.Observations {
		switch {
		case t.Whole && t.Key != "":
			answered[t.Key] = true // A repeated filing gets the answer of the request that ran.
		case t.Whole:
			answered[string(t.Request)] = true
		}
	}
	for _, r := range h.Runs {
		ran[r.Request] = true
	}
	eventually(s.t, "the bills are folded", func() bool {
		response, err := http.Get("http://" + s.daemons[1].Admin + "/admin/bills")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var summary crlbill.Summary
		if err := json.NewDecoder(response.Body).Decode(&summary); err != nil {
			return false
		}
		if summary.Requests > len(ran) {
			s.t.Fatalf("%d requests are billed, %d ran", summary.Requests, len(ran))
		}
		return summary.Requests >= len(answered)
	})
}

func (s *deployment) backendRuns() []crlfake.Run {
	s.t.Helper()
	response, err := http.Get(s.platformURL + "/history")
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	var runs []crlfake.Run
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		s.t.Fatal(err)
	}
	return runs
}

func (s *deployment) signal(p *process, sig syscall.Signal) {
	s.t.Helper()
	if err := p.command.Process.Signal(sig); err != nil {
		s.t.Fatalf("%s: %v", p.Name, err)
	}
}

// outWithin is how soon a failure domain taken out gets no new work.
const domainOutLimit = 3 * time.Second

func TestProcessesRollingRestartCutsNothing(t *testing.T) {
	s := startDeployment(t, daemonCount)
	c := s.startCallers(callerCount)
	time.Sleep(settleTime)
	for _, p := range s.daemons {
		s.signal(p, syscall.SIGTERM)
		if err := p.command.Wait(); err != nil {
			t.Errorf("%s: %v", p.Name, err)
		}
		s.startDaemon(p)
		eventually(t, string(p.Name)+" is ready again", func() bool { return s.status(p).Ready })
	}
	s.checkHistory(c, nil)
	for _, cut := range c.brokenAnswers {
		t.Errorf("a graceful stop cut request %s", cut)
	}
}

func TestProcessesKilledPausedAndPartitionedKeepGuarantees(t *testing.T) {
	s := startDeployment(t, daemonCount)
	c := s.startCallers(callerCount)
	time.Sleep(settleTime)
	killed, frozen, cutOff := s.daemons[0], s.daemons[1], s.daemons[2]
	s.signal(killed, syscall.SIGKILL)
	_ = killed.command.Wait()
	s.signal(frozen, syscall.SIGSTOP)
	cutOff.link.setCut(true)
	time.Sleep(crlsettings.DefaultLimits().Lease + settleTime)
	s.signal(frozen, syscall.SIGCONT)
	cutOff.link.setCut(false)
	s.startDaemon(killed)
	for _, p := range []*process{killed, frozen, cutOff} {
		eventually(t, string(p.Name)+" is ready again", func() bool { return s.status(p).Ready })
	}
	out := strings.Replace(string(s.content), "[domain montevideo-1]", "[domain montevideo-1]\nstate = out", 1)
	accepted := s.publish("out", []byte(out))
	time.Sleep(domainOutLimit + settleTime)
	s.checkHistory(c, []crlhistory.OutOfServicePeriod{{Domain: "montevideo-1", From: accepted}})
}
