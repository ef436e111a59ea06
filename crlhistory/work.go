package crlhistory

import (
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// sessionVersion checks that all answers of a session came from one version.
func sessionVersion(h *History) []Violation {
	f := findings{guarantee: GuaranteeSessionVersion}
	versions := make(map[string]crlid.Version)
	for _, o := range h.Observations {
		if o.Session == "" || o.Version == "" {
			continue
		}
		if first, ok := versions[o.Session]; ok && first != o.Version {
			f.addf("session %s was answered by version %s and then by version %s", o.Session, first, o.Version)
		}
		versions[o.Session] = o.Version
	}
	return f.found
}

// wholeAnswer checks that each complete chat answer has all frames of its own request, in order.
func wholeAnswer(h *History) []Violation {
	f := findings{guarantee: GuaranteeWholeAnswer}
	for _, o := range h.Observations {
		if !o.Whole || o.Service != "" {
			continue
		}
		if want := ExpectedText(o.Request, h.Tokens); o.Text != want {
			f.addf("request %s got the answer %q, want %q", o.Request, o.Text, want)
		}
	}
	return f.found
}

// ExpectedText returns the complete answer that a crlfake.Engine gives to a request, with the given number of tokens.
func ExpectedText(request crlid.Request, tokens int) string {
	var b strings.Builder
	for n := 1; n <= tokens; n++ {
		b.WriteString(crlfake.FrameText(request, crlid.Frame(n)))
	}
	return b.String()
}

// boot identifies one boot of a server.
type boot struct {
	server crlid.Server
	at     time.Time
}

// coldLimit checks that no cold backend server ran more requests than its cold limit.
//
// Daemons notice a reboot only when the server answers. Attempts that were permitted before may therefore still arrive for
// PermitExpiry after the first run since the reboot; in that time the limit isn't checked.
func coldLimit(h *History) []Violation {
	f := findings{guarantee: GuaranteeColdLimit}
	firstRun := make(map[boot]time.Time)
	for _, r := range h.Runs {
		b := boot{server: r.Server, at: r.Booted}
		if _, ok := firstRun[b]; !ok {
			firstRun[b] = r.Time
		}
		permitted := r.Rebooted && r.Time.Before(firstRun[b].Add(h.PermitExpiry))
		if limit := h.Configuration.Servers[r.Server].ColdLimit; r.Cold && r.OpenRequests > limit && !permitted {
			f.addf("cold server %s ran %d requests %s after its boot, more than its cold limit of %d",
				r.Server, r.OpenRequests, r.Time.Sub(r.Booted), limit)
		}
	}
	return f.found
}

// allowedVersion checks that daemons requested, and callers got answers of, only versions that the caller's organisation may
// use.
func allowedVersion(h *History) []Violation {
	f := findings{guarantee: GuaranteeAllowedVersion}
	organisations := make(map[crlid.Request]crlid.Organisation)
	for _, o := range h.Observations {
		if o.Request != "" {
			organisations[o.Request] = o.Organisation
		}
		if o.Version != "" && !h.Configuration.Allows(o.Organisation, o.Version) {
			f.addf("request %s of organisation %s was answered by version %s, which it may not use", o.Request, o.Organisation, o.Version)
		}
	}
	for _, r := range h.Runs {
		organisation, ok := organisations[r.Request]
		if ok && r.RequestedVersion != "" && !h.Configuration.Allows(organisation, r.RequestedVersion) {
			f.addf("request %s of organisation %s was sent to version %s, which it may not use", r.Request, organisation, r.RequestedVersion)
		}
	}
	return f.found
}

// outOfService checks that no new request ran at a failure domain or version that was out of service. Resumed streams may
// continue there.
func outOfService(h *History) []Violation {
	f := findings{guarantee: GuaranteeOutOfService}
	for _, r := range h.Runs {
		for _, period := range h.OutOfServicePeriods {
			if !r.Resumed && h.appliesTo(period, r) && h.isEnforced(period, r) {
				f.addf("request %s started on server %s (version %s) %s after the domain or version was taken out of service",
					r.Request, r.Server, r.Version, r.Time.Sub(period.From))
			}
		}
	}
	return f.found
}

// appliesTo reports whether a run was at the failure domain of a period, or was requested of the version of a period.
func (h *History) appliesTo(period OutOfServicePeriod, r crlfake.Run) bool {
	if period.Domain != "" {
		return h.Configuration.Servers[r.Server].Domain == period.Domain
	}
	return period.Version == r.RequestedVersion
}

// isEnforced reports whether a run started during a period, after the delay that daemons are allowed until they send no new
// requests there.
func (h *History) isEnforced(period OutOfServicePeriod, r crlfake.Run) bool {
	delay := h.MaxConfigurationDelay
	if period.Domain != "" {
		delay = h.MaxDomainOutDelay
	}
	return r.Time.After(period.From.Add(delay)) && (period.To.IsZero() || r.Time.Before(period.To))
}
