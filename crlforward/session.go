package crlforward

import (
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// maxSessions bounds the retained sessions, which take about 100 bytes each.
const maxSessions = 8192

// sessions records on which version of a service the last request of each session ran.
type sessions struct {
	timeout time.Duration // time without a request after which a session has ended
	mu      sync.Mutex    // guards last
	states  map[sessionKey]sessionState
}

type sessionKey struct {
	service crlid.Service
	session crlid.Session
}

type sessionState struct {
	version crlid.Version
	seen    time.Time
}

func newSessions(timeout time.Duration) *sessions {
	return &sessions{timeout: timeout, states: make(map[sessionKey]sessionState)}
}

// version returns the version that a session's last request ran on, empty if the session is unknown or has ended.
func (s *sessions) version(key sessionKey) crlid.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.states[key]
	if !ok || time.Since(state.seen) > s.timeout {
		return ""
	}
	return state.version
}

// record sets the version that a session's newest request ran on. When maxSessions are retained, sessions that have ended
// are evicted; if none has ended, the new version is dropped.
func (s *sessions) record(key sessionKey, version crlid.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.states) >= maxSessions {
		for k, state := range s.states {
			if now.Sub(state.seen) > s.timeout {
				delete(s.states, k)
			}
		}
	}
	if len(s.states) < maxSessions {
		s.states[key] = sessionState{version: version, seen: now}
	}
}
