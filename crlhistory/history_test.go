package crlhistory

import (
	"slices"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// epoch is the time of the first run of the histories.
var epoch = time.Unix(1000, 0)

// goodHistory returns a history that keeps every promise.
func validHistory() *History {
	configuration := &crlconfig.Configuration{
		Organisations: map[crlid.Organisation]crlconfig.Organisation{"o": {Versions: map[crlid.Version]bool{"v1": true, "v2": true}}},
		Services:      map[crlid.Service]crlconfig.Service{"filing": {}},
		Servers: map[crlid.Server]crlconfig.Server{
			"e1": {Domain: "d1", ColdLimit: 1}, "e2": {Domain: "d2", ColdLimit: 1}, "app": {Domain: "d1"},
		},
	}
	return &History{
		Configuration: configuration, MaxConfigurationDelay: time.Second, MaxDomainOutDelay: time.Second, PermitExpiry: time.Second, Tokens: 2,
		OutOfServicePeriods: []OutOfServicePeriod{{Domain: "d2", From: epoch, To: epoch.Add(time.Minute)}},
		Runs: []crlfake.Run{
			{Request: "r1", Server: "e1", Version: "v1", RequestedVersion: "v1", Time: epoch.Add(2 * time.Second), OpenRequests: 1, Cold: true},
			{Request: "r2", Server: "app", Service: "filing", Key: "k", Time: epoch},
		},
		Observations: []Observation{
			{Request: "r1", Organisation: "o", Version: "v1", Session: "s", Whole: true, Text: ExpectedText("r1", 2)},
			{Request: "r0", Organisation: "o", Key: "k", Service: "filing", Refused: true, Ran: crlentry.RanNotRun},
			{Request: "r2", Organisation: "o", Key: "k", Service: "filing", Whole: true, Text: "1"},
			{Request: "r3", Organisation: "o", Key: "k", Service: "filing", Whole: true, Text: "1"},
		},
		Bills: []crlbill.Bill{{Request: "r1"}, {Request: "r2"}},
	}
}

func TestCheckAcceptsValidHistory(t *testing.T) {
	if violations := validHistory().Check(); len(violations) > 0 {
		t.Errorf("got %v, want none", violations)
	}
}

func TestCheckFindsEachViolation(t *testing.T) {
	late := epoch.Add(10 * time.Second)
	tests := []struct {
		name   string
		want   Guarantee
		damage func(h *History)
	}{
		{"a key ran twice", GuaranteeAtMostOnce, func(h *History) { h.Runs = append(h.Runs, h.Runs[1]) }},
		{"a key got two answers", GuaranteeAtMostOnce, func(h *History) { h.Observations[3].Text = "2" }},
		{"a key was answered without a run", GuaranteeAtMostOnce, func(h *History) { h.Runs = h.Runs[:1] }},
		{"not run but ran", GuaranteeTruthfulRefusal, func(h *History) { h.Runs[1].Request = "r0" }},
		{"an answer without a bill", GuaranteeBilledOnce, func(h *History) { h.Bills = h.Bills[1:] }},
		{"a key without a bill", GuaranteeBilledOnce, func(h *History) { h.Bills = h.Bills[:1] }},
		{"a key with two bills", GuaranteeBilledOnce, func(h *History) { h.Bills = append(h.Bills, crlbill.Bill{Request: "r3"}) }},
		{"a refused request with a bill", GuaranteeBilledOnce, func(h *History) { h.Bills[1].Request = "r0" }},
		{"a session on two versions", GuaranteeSessionVersion, func(h *History) {
			h.Observations = append(h.Observations, Observation{Session: "s", Version: "v2"})
		}},
		{"a frame is missing", GuaranteeWholeAnswer, func(h *History) { h.Observations[0].Text = ExpectedText("r1", 1) }},
		{"another caller's answer", GuaranteeWholeAnswer, func(h *History) { h.Observations[0].Text = ExpectedText("r9", 2) }},
		{"too much on a cold server", GuaranteeColdLimit, func(h *History) { h.Runs[0].OpenRequests = 2 }},
		{"too much on a server long after its first answer since a reboot", GuaranteeColdLimit, func(h *History) {
			late := h.Runs[0]
			late.OpenRequests, late.Time = 2, late.Time.Add(2*time.Second)
			h.Runs = append(h.Runs, late)
			for i := range h.Runs {
				h.Runs[i].Rebooted, h.Runs[i].Booted = true, epoch
			}
		}},
		{"a version that is not allowed", GuaranteeAllowedVersion, func(h *History) { h.Runs[0].RequestedVersion = "v3" }},
		{"an answer of a version that is not allowed", GuaranteeAllowedVersion, func(h *History) { h.Observations[0].Version = "v3" }},
		{"new work in a domain that is out", GuaranteeOutOfService, func(h *History) {
			h.Runs[0].Server, h.Runs[0].Time = "e2", late
		}},
		{"new work on a withdrawn version", GuaranteeOutOfService, func(h *History) {
			h.OutOfServicePeriods = append(h.OutOfServicePeriods, OutOfServicePeriod{Version: "v1", From: epoch})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := validHistory()
			tt.damage(h)
			found := slices.ContainsFunc(h.Check(), func(v Violation) bool { return v.Guarantee == tt.want })
			if !found {
				t.Errorf("got %v, want a violation of %s", h.Check(), tt.want)
			}
		})
	}
}
