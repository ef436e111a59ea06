package crlhistory

import (
	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// atMostOnce checks, for each idempotency key, that its call ran at most once, that it ran if there is an answer, and that
// all complete answers are equal. Calls of services that the configuration states to be idempotent may run repeatedly.
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
			f.addf("idempotency key %s ran %d times", key, n)
		}
	}
	answers := make(map[string]string)
	for _, o := range h.Observations {
		if o.Key == "" || !o.Whole {
			continue
		}
		if runs[o.Key] == 0 {
			f.addf("idempotency key %s was answered but did not run", o.Key)
		}
		if first, ok := answers[o.Key]; ok && first != o.Text {
			f.addf("idempotency key %s was answered %q and then %q", o.Key, first, o.Text)
		}
		answers[o.Key] = o.Text
	}
	return f.found
}

// truthfulRefusal checks that no request ran whose refusal stated that it had not run.
func truthfulRefusal(h *History) []Violation {
	f := findings{guarantee: GuaranteeTruthfulRefusal}
	ran := make(map[crlid.Request]crlfake.Run)
	for _, r := range h.Runs {
		ran[r.Request] = r
	}
	for _, o := range h.Observations {
		if !o.Refused || o.Ran != crlentry.RanNotRun || o.Request == "" {
			continue
		}
		if r, ok := ran[o.Request]; ok {
			f.addf("request %s was refused as not run (%s) but ran on server %s", o.Request, o.Code, r.Server)
		}
	}
	return f.found
}

// billedOnce checks that each answered request or idempotency key has a bill, that no request or key has two, and that no
// request that was refused as not run has one.
func billedOnce(h *History) []Violation {
	f := findings{guarantee: GuaranteeBilledOnce}
	bills := make(map[crlid.Request]crlbill.Bill)
	for _, b := range h.Bills {
		if _, ok := bills[b.Request]; ok {
			f.addf("request %s has two bills", b.Request)
		}
		bills[b.Request] = b
	}
	keys := make(map[string]map[crlid.Request]bool) // billed requests of each idempotency key
	for _, o := range h.Observations {
		_, billed := bills[o.Request]
		if o.Key != "" {
			addBill(keys, o, billed)
		} else if o.Whole && !billed {
			f.addf("request %s was answered but not billed", o.Request)
		}
		if o.Refused && o.Ran == crlentry.RanNotRun && billed {
			f.addf("request %s was refused as not run (%s) but billed", o.Request, o.Code)
		}
	}
	for _, r := range h.Runs {
		if requests, ok := keys[r.Key]; ok && r.Key != "" {
			if _, billed := bills[r.Request]; billed {
				requests[r.Request] = true
			}
		}
	}
	for key, requests := range keys {
		if len(requests) > 1 {
			f.addf("idempotency key %s has %d bills", key, len(requests))
		}
		if len(requests) == 0 && h.answered(key) {
			f.addf("idempotency key %s was answered but not billed", key)
		}
	}
	return f.found
}

// addBill adds the key of an observation to keys and, if its request was billed, the request.
func addBill(keys map[string]map[crlid.Request]bool, o Observation, billed bool) {
	if keys[o.Key] == nil {
		keys[o.Key] = make(map[crlid.Request]bool)
	}
	if billed {
		keys[o.Key][o.Request] = true
	}
}

// answered reports whether a caller received a complete answer for an idempotency key.
func (h *History) answered(key string) bool {
	for _, o := range h.Observations {
		if o.Key == key && o.Whole {
			return true
		}
	}
	return false
}
