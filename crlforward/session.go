package crlforward

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// maxSessions bounds the sessions that are remembered, about 100 bytes each.
const maxSessions = 8192

// sessions remembers on which version of a service each session's last request ran.
type sessions struct {
	timeout time.Duration
	mu      sync.Mutex // mu guards last.
	last    map[sessionKey]sessionState
}

type sessionKey struct {
	service crlid.Service
	session crlid.Session
}

type sessionState struct {
	version crlid.Version
	seen    time.Time
}

func newSessions(length time.Duration) *sessions {
	return &sessions{timeout: length, last: make(map[sessionKey]sessionState)}
}

// version returns the version of a session's last request, empty when it is too long ago.
func (s *sessions) version(key sessionKey) crlid.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.last[key]
	if !ok || time.Since(state.seen) > s.timeout {
		return ""
	}
	return state.version
}

// note keeps the version of a session's newest request.
func (s *sessions) record(key sessionKey, version crlid.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.last) >= maxSessions {
		for k, state := range s.last {
			if now.Sub(state.seen) > s.timeout {
				delete(s.last, k)
			}
		}
	}
	if len(s.last) < maxSessions {
		s.last[key] = sessionState{version: version, seen: now}
	}
}
