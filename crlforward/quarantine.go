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
			x.parts = append(x.parts, crlquarantine.PartSuspect(p.ID))
		}
	}
	return x.parts
}

// wholeRequest returns the suspect that stands for the request and its repeats.
func (x *exchange) wholeRequest() crlquarantine.Suspect {
	if x.whole == "" {
		x.whole = crlquarantine.RequestSuspect(crlquarantine.Content{
			Organisation: x.caller.Name, Method: x.request.Method, Host: x.request.Host, Target: x.request.RequestURI, Body: x.body,
		})
	}
	return x.whole
}

// withWholeRequest returns the given parts and the whole request.
func (x *exchange) withWholeRequest(parts []crlquarantine.Suspect) []crlquarantine.Suspect {
	return append([]crlquarantine.Suspect{x.wholeRequest()}, parts...)
}

// checkQuarantine returns a refusal if the request would probably crash the next server. A stream of which the caller has a part shows by that
// that it doesn't.
func (s *Service) checkQuarantine(x *exchange) *Refusal {
	if x.stream.started {
		return nil
	}
	if len(x.crashes) >= maxCrashes {
		return x.finalRefusal(ReasonCrashes)
	}
	if s.config.Quarantine.Idle() {
		return nil
	}
	verdict := s.config.Quarantine.Check(x.withWholeRequest(x.sharedParts()))
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
// this VM, or because the server's host fell silent, is none; nor is one of a stream over another router, which records it itself.
func (s *Service) recordCrash(ctx context.Context, x *exchange, pick *crlfleet.Pick) {
	if ctx.Err() != nil || pick == nil {
		return
	}
	s.addCrash(x, pick)
	s.config.Quarantine.RecordCrash(x.crashes[len(x.crashes)-1], x.sharedParts())
}

// recordLostAnswer records that a send's connection ended without an answer, if its server has ended too: a server that only lost the answer goes on
// accepting connections. If this VM is cut off, all servers seem to have ended. The prompt may not have been read yet, so its parts are not
// suspected.
func (s *Service) recordLostAnswer(ctx context.Context, x *exchange, pick *crlfleet.Pick) {
	if x.stream.started || ctx.Err() != nil || !s.probes.hasEnded(ctx, pick.Address) {
		return
	}
	x.recordEnded()
	s.reachability.recordFailed(pick.Address)
	if !s.reachability.cutOff.Load() {
		s.addCrash(x, pick)
	}
}

// addCrash adds a crash to those of the request. If the request is suspected already, the crash is recorded before the next send.
func (s *Service) addCrash(x *exchange, pick *crlfleet.Pick) {
	x.crashes = append(x.crashes, crlquarantine.Crash{Request: x.head.Request, Server: pick.Server})
	if s.config.Quarantine.Suspects(x.wholeRequest()) {
		s.recordCrashes(x)
	}
}

// recordCrashes records which servers crashed on the request. Unless it is suspected already, that waits for its end, as a request that only was at
// a server that another one crashed gets its answer from the next.
func (s *Service) recordCrashes(x *exchange) {
	if x.answerBegan {
		return
	}
	for _, crash := range x.crashes {
		s.config.Quarantine.RecordCrash(crash, []crlquarantine.Suspect{x.wholeRequest()})
	}
}

// recordStart records that an answer to the request has begun, which clears the request and the given parts of its prompt.
func (s *Service) recordStart(x *exchange, parts []crlquarantine.Suspect) {
	x.answerBegan = true
	if !s.config.Quarantine.Idle() {
		parts = x.withWholeRequest(parts)
	}
	s.config.Quarantine.RecordStart(parts)
}
