package crlhistory

import (
	"strings"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// sessionVersion checks that every answer of a session came from one version.
func sessionVersion(h *History) []Violation {
	f := findings{guarantee: GuaranteeSessionVersion}
	versions := make(map[string]crlid.Version)
	for _, t := range h.Observations {
		if t.Session == "" || t.Version == "" {
			continue
		}
		if first, ok := versions[t.Session]; ok && first != t.Version {
			f.addf("session %s was answered by %s and by %s", t.Session, first, t.Version)
		}
		versions[t.Session] = t.Version
	}
	return f.found
}

// wholeAnswer checks that each whole chat answer is all frames of its own request in order.
func wholeAnswer(h *History) []Violation {
	f := findings{guarantee: GuaranteeWholeAnswer}
	for _, t := range h.Observations {
		if !t.Whole || t.Service != "" {
			continue
		}
		if want := ExpectedText(t.Request, h.Tokens); t.Text != want {
			f.addf("request %s got %q", t.Request, t.Text)
		}
	}
	return f.found
}

// ExpectedText returns the whole answer that an engine stand-in gives to a request.
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

// coldLimit checks that no cold backend server carried more than its cold limit.
//
// Nobody can know of an unannounced reboot until the server answers: what was
// permitted before may still arrive then, for as long as a permit lives.
func coldLimit(h *History) []Violation {
	f := findings{guarantee: GuaranteeColdLimit}
	contact := make(map[boot]time.Time)
	for _, r := range h.Runs {
		b := boot{server: r.Server, at: r.Booted}
		if _, ok := contact[b]; !ok {
			contact[b] = r.Time
		}
		permitted := r.Rebooted && r.Time.Before(contact[b].Add(h.PermitExpiry))
		if limit := h.Configuration.Servers[r.Server].ColdLimit; r.Cold && r.OpenRequests > limit && !permitted {
			f.addf("cold server %s had %d requests %s after its boot, its limit is %d", r.Server, r.OpenRequests, r.Time.Sub(r.Booted), limit)
		}
	}
	return f.found
}

// allowedVersion checks that daemons asked for, and callers got, only versions that their organisations may use.
func allowedVersion(h *History) []Violation {
	f := findings{guarantee: GuaranteeAllowedVersion}
	callers := make(map[crlid.Request]crlid.Organisation)
	for _, t := range h.Observations {
		if t.Request != "" {
			callers[t.Request] = t.Organisation
		}
		if t.Version != "" && !h.Configuration.Allows(t.Organisation, t.Version) {
			f.addf("request %s of %s was answered by version %s", t.Request, t.Organisation, t.Version)
		}
	}
	for _, r := range h.Runs {
		organisation, ok := callers[r.Request]
		if ok && r.RequestedVersion != "" && !h.Configuration.Allows(organisation, r.RequestedVersion) {
			f.addf("request %s of %s was sent to version %s", r.Request, organisation, r.RequestedVersion)
		}
	}
	return f.found
}

// outOfService checks that nothing new ran where operators allowed no new work.
func outOfService(h *History) []Violation {
	f := findings{guarantee: GuaranteeOutOfService}
	for _, r := range h.Runs {
		for _, o := range h.OutOfServicePeriods {
			if !r.Resumed && h.appliesTo(o, r) && h.isEnforced(o, r) {
				f.addf("request %s began on %s (%s) %s after it was taken out", r.Request, r.Server, r.Version, r.Time.Sub(o.From))
			}
		}
	}
	return f.found
}

func (h *History) appliesTo(o OutOfServicePeriod, r crlfake.Run) bool {
	if o.Domain != "" {
		return h.Configuration.Servers[r.Server].Domain == o.Domain
	}
	return o.Version == r.RequestedVersion
}

func (h *History) isEnforced(o OutOfServicePeriod, r crlfake.Run) bool {
	limit := h.MaxConfigurationDelay
	if o.Domain != "" {
		limit = h.MaxDomainOutDelay
	}
	return r.Time.After(o.From.Add(limit)) && (o.To.IsZero() || r.Time.Before(o.To))
}
