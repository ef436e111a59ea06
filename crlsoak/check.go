package crlsoak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/platform/standin"
)

// Bounds of the platform's pages that the checks use.
const (
	revokeLimit       = 5 * time.Second        // revokeBound is how soon a key that was taken away must not work.
	drainLimit        = 2 * time.Second        // drainBound is how soon a leaving server must get nothing.
	undisturbedBefore = 3 * time.Second        // calmBefore is the calm before a request from which nothing excuses that it is cut.
	clockSlack        = 300 * time.Millisecond // clockSlack is the time that a send may be on its way on a busy machine.
)

// span is a time in which something held.
type span struct{ from, to time.Time }

// history is all that callers, servers and operators saw of a run.
type observations struct {
	journal      *standin.RunLog
	mu           sync.Mutex // mu guards all below.
	outcomes     []outcome
	disturbances []span               // faults holds the unplanned disturbances.
	revoked      map[string]time.Time // revoked holds when each key was taken away.
	leaving      map[string][]span    // leaving holds when each server had announced that it leaves.
	failures     []string             // failures holds what the soak itself found, such as processes that don't end.
}

func (h *observations) addOutcome(o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, o)
}

func (h *observations) addFailure(format string, arguments ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, fmt.Sprintf(format, arguments...))
}

func (h *observations) addDisturbance(from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, span{from, to})
}

// calm reports whether nothing unplanned happened in a time and shortly before it.
func (h *observations) undisturbed(from, to time.Time) bool {
	for _, f := range h.disturbances {
		if f.from.Before(to) && f.to.After(from.Add(-undisturbedBefore)) {
			return false
		}
	}
	return true
}

// check returns every broken promise; the run must have ended.
func (h *observations) violations() []string {
	broken := append([]string(nil), h.failures...)
	for _, o := range h.outcomes {
		runs := h.journal.Runs(o.request)
		for _, p := range []struct {
			broken bool
			what   string
		}{
			{o.kind == "file" && len(runs) > 1, "ran twice"},
			{o.kind == "file" && refused(o.status) && len(runs) > 0, "was refused as not run, and ran"},
			{o.status == http.StatusOK && o.complete && o.body != standin.ResponseBody(o.kind, o.request), "got another answer than its own, or not the whole"},
			{o.status == http.StatusOK && len(runs) == 0, "got an answer that no server gave"},
			{o.status == 0 && len(runs) > 0 && h.undisturbed(o.sent, o.ended) && o.ended.Sub(o.sent) < callDeadline, "was passed on and ended without an answer in calm"},
			{o.status == http.StatusOK && !o.complete && h.undisturbed(o.sent, o.ended) && o.ended.Sub(o.sent) < callDeadline, "was cut within its answer in calm"},
			{h.ranWithRevokedKey(o, runs), "ran under a key that was taken away"},
			{h.ranForOtherTenant(runs), "ran for another organisation"},
		} {
			if p.broken {
				broken = append(broken, fmt.Sprintf("request %s (%s) at %s, sent %s: %s; status %d, runs %v",
					o.request, o.kind, o.router, o.sent.Format(time.StampMilli), p.what, o.status, runs))
			}
		}
		broken = append(broken, h.ranAfterLeaving(o, runs)...)
	}
	return broken
}

func refused(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout ||
		status == http.StatusMisdirectedRequest
}

func (h *observations) ranWithRevokedKey(o outcome, runs []standin.Run) bool {
	at, ok := h.revoked[o.key]
	return ok && len(runs) > 0 && o.sent.After(at.Add(revokeLimit))
}

func (h *observations) ranForOtherTenant(runs []standin.Run) bool {
	for _, run := range runs {
		if run.Tenant != standin.Tenant {
			return true
		}
	}
	return false
}

// ranLeaving returns the runs of a request at servers that had announced too long ago that they leave.
func (h *observations) ranAfterLeaving(o outcome, runs []standin.Run) (broken []string) {
	for _, run := range runs {
		for _, s := range h.leaving[run.Server] {
			if run.Began.After(s.from.Add(drainLimit+clockSlack)) && run.Began.Before(s.to) && h.undisturbed(s.from, run.Began) {
				broken = append(broken, fmt.Sprintf("request %s ran at %s %s after the server announced that it leaves",
					o.request, run.Server, run.Began.Sub(s.from)))
			}
		}
	}
	return broken
}
