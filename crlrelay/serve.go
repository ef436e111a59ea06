package crlrelay

import (
	"context"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// longestWait bounds how long a follower's call is held.
const maxHold = time.Second

// ServerConfig configures a Server.
type ServerConfig struct {
	Self     crlid.Incarnation
	Replicas map[Topic]*Replica
	Roster   func() Roster
	Now      crlclock.Clock
}

// Server answers followers.
type Server struct{ config ServerConfig }

// NewServer returns a server of replicas.
func NewServer(config ServerConfig) *Server { return &Server{config: config} }

// Follow holds the call until there is news or its wait is over.
func (s *Server) Follow(ctx context.Context, f FollowRequest) (FollowResponse, error) {
	if f.Source != s.config.Self {
		f.Cursors = nil
	}
	arrived := s.config.Now()
	if s.loaded() {
		s.wait(ctx, f) // A source that knows nothing yet says so at once.
	}
	answered := s.config.Now()
	news := FollowResponse{Source: s.config.Self, Topics: make(map[Topic]TopicDelta, len(s.config.Replicas))}
	// Rounded down, and ages up, so that no proof looks newer than it is.
	news.HeldFor = Milliseconds(answered.Sub(arrived).Milliseconds())
	for topic, replica := range s.config.Replicas {
		after := f.Cursors[topic]
		d := replica.since(after)
		if !d.loaded {
			news.Topics[topic] = TopicDelta{ConfirmationAge: -1}
			continue
		}
		age := Milliseconds(-1)
		if d.confirmedAt > 0 {
			age = Milliseconds(answered.Sub(d.confirmedAt).Milliseconds() + 1)
		}
		news.Topics[topic] = TopicDelta{
			Full: after == 0, Records: d.records, Cursor: d.cursor, End: d.end, ConfirmationAge: age,
		}
	}
	if roster := s.config.Roster(); roster.digest() != f.RosterDigest {
		news.Roster = &roster
	}
	return news, nil
}

func (s *Server) loaded() bool {
	for _, replica := range s.config.Replicas {
		if !replica.Loaded() {
			return false
		}
	}
	return true
}

func (s *Server) wait(ctx context.Context, f FollowRequest) {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(f.MaxWait)*time.Millisecond, maxHold))
	defer cancel()
	arrived := make(chan struct{}, 1)
	for topic, replica := range s.config.Replicas {
		news := replica.Changes(f.Cursors[topic])
		go func() {
			select {
			case <-news:
				select {
				case arrived <- struct{}{}:
				default:
				}
			case <-ctx.Done():
			}
		}()
	}
	select {
	case <-arrived:
	case <-ctx.Done():
	}
}
