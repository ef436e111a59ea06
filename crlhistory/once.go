package crlhistory

import (
	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// atMostOnce checks that no key ran twice and that every whole answer of a key is the same one.
func atMostOnce(h *History) []Violation {
	f := findings{guarantee: GuaranteeAtMostOnce}
	runs := make(map[string]int)
	for _, r := range h.Runs {
		if r.Key != "" && !h.Configuration.Services[r.Service].Idempotent {
			runs[r.Key]++
		}
	}
	for key, n := range runs {
		if n > 1 {
			f.addf("key %s ran %d times", key, n)
		}
	}
	answers := make(map[string]string)
	for _, t := range h.Observations {
		if t.Key == "" || !t.Whole {
			continue
		}
		if runs[t.Key] == 0 {
			f.addf("key %s has an answer and never ran", t.Key)
		}
		if first, ok := answers[t.Key]; ok && first != t.Text {
			f.addf("key %s was answered %q and %q", t.Key, first, t.Text)
		}
		answers[t.Key] = t.Text
	}
	return f.found
}

// truthfulRefusal checks that nothing ran that a caller was told had not run.
func truthfulRefusal(h *History) []Violation {
	f := findings{guarantee: GuaranteeTruthfulRefusal}
	ran := make(map[crlid.Request]crlfake.Run)
	for _, r := range h.Runs {
		ran[r.Request] = r
	}
	for _, t := range h.Observations {
		if !t.Refused || t.Ran != crlentry.RanNotRun || t.Request == "" {
			continue
		}
		if r, ok := ran[t.Request]; ok {
			f.addf("request %s was refused as not run (%s) but ran on %s", t.Request, t.Code, r.Server)
		}
	}
	return f.found
}

// billedOnce checks that each answered request has a bill, each key at most one, and no request that did not run has one.
func billedOnce(h *History) []Violation {
	f := findings{guarantee: GuaranteeBilledOnce}
	bills := make(map[crlid.Request]crlbill.Bill)
	for _, b := range h.Bills {
		if _, ok := bills[b.Request]; ok {
			f.addf("request %s has two bills", b.Request)
		}
		bills[b.Request] = b
	}
	keys := make(map[string]map[crlid.Request]bool)
	for _, t := range h.Observations {
		_, billed := bills[t.Request]
		if t.Key != "" {
			addBill(keys, t, billed)
		} else if t.Whole && !billed {
			f.addf("request %s was answered and not billed", t.Request)
		}
		if t.Refused && t.Ran == crlentry.RanNotRun && billed {
			f.addf("request %s was refused as not run (%s) and billed", t.Request, t.Code)
		}
	}
	for _, r := range h.Runs {
		if set, ok := keys[r.Key]; ok && r.Key != "" {
			if _, billed := bills[r.Request]; billed {
				set[r.Request] = true
			}
		}
	}
	for key, set := range keys {
		if len(set) > 1 {
			f.addf("key %s has %d bills", key, len(set))
		}
		if len(set) == 0 && h.answered(key) {
			f.addf("key %s was answered and not billed", key)
		}
	}
	return f.found
}

func addBill(keys map[string]map[crlid.Request]bool, t Observation, billed bool) {
	if keys[t.Key] == nil {
		keys[t.Key] = make(map[crlid.Request]bool)
	}
	if billed {
		keys[t.Key][t.Request] = true
	}
}

func (h *History) answered(key string) bool {
	for _, t := range h.Observations {
		if t.Key == key && t.Whole {
			return true
		}
	}
	return false
}
