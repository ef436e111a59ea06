package crlforward

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlquarantine"
)

const (
	// maxCrashes is the number of servers that a request may crash. A third one would most likely crash as well.
	maxCrashes = 2
	// crowdTime is the time within which servers end together, as when a failure domain loses its power.
	crowdTime = 100 * time.Millisecond
	// minCrowd is the number of servers that end together with those of a request from which on these aren't taken for the request's work.
	minCrowd = 3
	// knownTime is the time for which the end of a server is known, so that it isn't taken for another one.
	knownTime = 3 * time.Second
)

// serverEnd is the end of a server that ran a request.
type serverEnd struct {
	crash crlquarantine.Crash
	at    crlclock.Instant
	apart bool // whether few other servers had just ended
}

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

// observation returns the end as the quarantine records it.
func (e *serverEnd) observation() crlquarantine.Observation {
	return crlquarantine.Observation{Crash: e.crash, At: e.at, Apart: e.apart}
}

// checkQuarantine returns a refusal if the request would probably crash the next server. A stream of which the caller has a part may go on after more
// crashes than others, unless its parts are known to cause them.
func (s *Service) checkQuarantine(x *exchange) *Refusal {
	if !x.stream.started && len(x.ends) >= maxCrashes {
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

// recordBreak records that the connection of a send ended before the answer did, which had come to a moment, and whether that was since its server ended. A
// server that only lost the answer goes on accepting connections; a stream that breaks between its head and its first event is how most servers crash. An end
// for a reason on this VM, because the server's host fell silent or because it left, is none; nor is one over another router, which records it itself.
func (s *Service) recordBreak(ctx context.Context, x *exchange, pick *crlfleet.Pick, moment crlquarantine.Moment) {
	if ctx.Err() != nil {
		return
	}
	x.recordBroken(moment)
	if pick == nil || pick.IsLeaving() {
		return
	}
	if moment != crlquarantine.MomentHead {
		if !s.probes.hasEnded(ctx, pick.Address) {
			return
		}
		x.recordEnded()
		pick.RecordEnded()
		if !x.stream.started {
			s.reachability.recordFailed(pick.Address)
		}
		if s.reachability.cutOff.Load() {
			return // All servers seem to have ended.
		}
	}
	s.addEnd(x, pick, moment)
}

// addEnd adds the end of a server to those of the request. If the request is suspected already, or has crashed several servers, that is recorded before the
// next send.
func (s *Service) addEnd(x *exchange, pick *crlfleet.Pick, moment crlquarantine.Moment) {
	end := &serverEnd{crash: crlquarantine.Crash{Request: x.head.Request, Server: pick.Server, Moment: moment}, at: s.config.Now()}
	s.crowd.record(pick.Server, end.at)
	x.ends, x.endedLast = append(x.ends, end), true
	end.apart = s.crowd.others(x.ends, end.at) < minCrowd
	switch {
	case moment == crlquarantine.MomentHead && end.apart:
		s.config.Quarantine.RecordCrash(end.observation(), x.sharedParts())
	case moment == crlquarantine.MomentHead:
		end.crash.Moment = crlquarantine.MomentBefore // What the server worked on tells little.
	}
	if len(x.ends) >= maxCrashes || s.config.Quarantine.Suspects(x.wholeRequest()) {
		s.recordEnds(x)
	}
}

// recordEnds records which servers ended with the request. Unless it is suspected already, that waits until it has crashed several or ends, as a request that
// only was at a server that another one crashed gets its answer from the next.
func (s *Service) recordEnds(x *exchange) {
	if x.completed || !x.endedLast {
		return
	}
	for _, end := range x.ends {
		s.config.Quarantine.RecordCrash(end.observation(), []crlquarantine.Suspect{x.wholeRequest()})
		if end.crash.Moment != crlquarantine.MomentHead {
			s.config.Quarantine.RecordCrash(end.observation(), x.sharedParts())
		}
	}
}

// recordStart records that an answer to the request has begun, which clears the request and its parts if servers crash on them before that.
func (s *Service) recordStart(x *exchange) {
	s.config.Quarantine.RecordStart(s.suspects(x, x.sharedParts()))
}

// recordCompletion records that an answer to the request is complete, which clears the request and the given ones of its parts.
func (s *Service) recordCompletion(x *exchange, parts []crlquarantine.Suspect) {
	x.completed = true
	s.config.Quarantine.RecordCompletion(s.suspects(x, parts))
}

// suspects returns the given parts of the request, and the whole request if anything is suspected.
func (s *Service) suspects(x *exchange, parts []crlquarantine.Suspect) []crlquarantine.Suspect {
	if s.config.Quarantine.Idle() {
		return parts
	}
	return x.withWholeRequest(parts)
}

// serverCrowd tells whether servers ended together.
type serverCrowd struct {
	mu    sync.Mutex                        // guards ended
	ended map[crlid.Server]crlclock.Instant // when each server ended last, as far as this router saw; at most maxCrowd
}

const maxCrowd = 256

// record records that a server ended, unless that is known already: several sends break with it, and others are refused until its entry is removed.
func (c *serverCrowd) record(server crlid.Server, at crlclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended, ok := c.ended[server]; ok && at.Sub(ended) < knownTime {
		return
	}
	if len(c.ended) >= maxCrowd {
		maps.DeleteFunc(c.ended, func(_ crlid.Server, ended crlclock.Instant) bool { return at.Sub(ended) >= knownTime })
	}
	if len(c.ended) < maxCrowd {
		c.ended[server] = at
	}
}

// others returns the number of servers, but for those of the given ends, that ended within crowdTime of a moment.
func (c *serverCrowd) others(ends []*serverEnd, at crlclock.Instant) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, ended := range c.ended {
		isOwn := slices.ContainsFunc(ends, func(e *serverEnd) bool { return e.crash.Server == server })
		if !isOwn && max(ended.Sub(at), at.Sub(ended)) <= crowdTime {
			count++
		}
	}
	return count
}
