package crlforward

import (
	"context"
	"net/http"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlquarantine"
)

// maxCrashes is the number of servers that a request may crash. A third one would most likely crash as well.
const maxCrashes = 2

// sharedParts returns the parts of the request's prompt that other requests may have too: all but the last.
func (x *exchange) sharedParts() []crlquarantine.Suspect {
	if x.parts == nil && len(x.head.Parts) > 1 {
		for _, p := range x.head.Parts[:len(x.head.Parts)-1] {
			x.parts = append(x.parts, crlquarantine.Suspect(p.ID))
		}
	}
	return x.parts
}

// checkQuarantine returns a refusal if the request would probably crash the next server. A stream of which the caller has a part shows by that
// that it doesn't.
func (s *Service) checkQuarantine(x *exchange) *Refusal {
	if x.stream.started {
		return nil
	}
	if x.crashes >= maxCrashes {
		return x.finalRefusal(ReasonCrashes)
	}
	verdict := s.config.Quarantine.Check(x.sharedParts())
	if !verdict.Quarantined {
		return nil
	}
	x.trace.part = string(verdict.Suspect)
	refusal := x.finalRefusal(ReasonCrashes)
	if refusal.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = verdict.RetryAfter
	}
	return refusal
}

// recordCrash records that a stream broke before its first event, which is how the answer ends that a server crashes on. An end for a reason on
// this VM, or because the server's host fell silent, is none.
func (s *Service) recordCrash(ctx context.Context, x *exchange, pick *crlfleet.Pick) {
	if ctx.Err() != nil {
		return
	}
	x.crashes++
	s.config.Quarantine.RecordCrash(crlquarantine.Crash{Request: x.head.Request, Server: pick.Server}, x.sharedParts())
}
