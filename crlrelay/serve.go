package crlrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// maxHold is the longest time for which a follower's call is held, whatever the follower asks for.
const maxHold = time.Second

// ServerConfig configures a Server.
type ServerConfig struct {
	Address  string            // of this daemon, as in the roster
	Self     crlid.Incarnation // incarnation of this daemon, sent to followers as the source of their cursors
	Replicas map[Topic]*Replica
	Roster   func() Roster
	// UpdateRoster receives the roster of a follower whose roster is newer; nil ignores it.
	UpdateRoster func(Roster)
	Now          crlclock.Clock
	Exchange     Exchange // nil for none
}

// Server answers the calls of followers.
type Server struct {
	config ServerConfig
	packs  map[Topic]*pack
	mu     sync.Mutex // guards referred
	// referred holds when each daemon without a roster was last referred to others, by address.
	referred map[string]crlclock.Instant
}

// NewServer returns a Server of the given replicas.
func NewServer(config ServerConfig) *Server {
	if config.Exchange == nil {
		config.Exchange = noExchange{}
	}
	packs := make(map[Topic]*pack, len(config.Replicas))
	for topic := range config.Replicas {
		packs[topic] = new(pack)
	}
	return &Server{config: config, packs: packs, referred: make(map[string]crlclock.Instant)}
}

// Follow returns the changes since the request's cursors. It holds the call until there are changes or the requested wait
// is over. A server whose replicas are not all loaded replies at once, so that the follower can try another source, unless the follower has nothing
// either and the fleet is large.
func (s *Server) Follow(ctx context.Context, request FollowRequest) (FollowResponse, error) {
	if request.Source != s.config.Self {
		request.Cursors = nil
	}
	if request.Roster != nil && s.config.UpdateRoster != nil {
		s.config.UpdateRoster(*request.Roster)
	}
	receivedAt := s.config.Now()
	if sources := s.redirect(request); sources != nil {
		return FollowResponse{Source: s.config.Self, Sources: sources}, nil
	}
	for topic, corrections := range request.Corrections {
		if replica, ok := s.config.Replicas[topic]; ok && corrections != nil {
			replica.correct(*corrections)
		}
	}
	reply := Receive(s.config.Exchange, request.Exchange)
	switch {
	case s.loaded():
		s.wait(ctx, request)
	case len(request.Ends) == 0 && request.LargeFleet:
		s.waitForLoad(ctx, request)
	}
	answeredAt := s.config.Now()
	response := FollowResponse{Source: s.config.Self, Topics: make(map[Topic]TopicDelta, len(s.config.Replicas)), Exchange: reply()}
	// The held time is rounded down and ages are rounded up, so that no confirmation looks newer than it is.
	response.HeldFor = Milliseconds(answeredAt.Sub(receivedAt).Milliseconds())
	for topic, replica := range s.config.Replicas {
		after, end := request.Cursors[topic], crlid.NoPosition
		if known, ok := request.end(topic); ok && after == 0 {
			end = known
		}
		d := replica.since(after, end, request.inForce(topic))
		if !d.loaded {
			response.Topics[topic] = TopicDelta{ConfirmationAge: -1}
			continue
		}
		age := Milliseconds(-1)
		if d.confirmedAt > 0 {
			age = Milliseconds(answeredAt.Sub(d.confirmedAt).Milliseconds() + 1)
		}
		response.Topics[topic] = s.encode(topic, &d, request, age)
	}
	if roster := s.config.Roster(); roster.digest() != request.RosterDigest {
		response.Roster = &roster
	}
	return response, nil
}

// encode returns the message of a delta. A delta with the record in force isn't packed, as a pack is the same for all followers and that record isn't.
func (s *Server) encode(topic Topic, d *delta, request FollowRequest, age Milliseconds) TopicDelta {
	message := TopicDelta{Full: d.full, Cursor: d.cursor, Era: &d.end.Era, End: d.end.Offset, ConfirmationAge: age}
	message.Lost = encodeRecords(d.lost, d.end.Era, false)
	if request.Unpacks && d.inForce == crlid.NoPosition {
		s.packs[topic].addTo(&message, d)
	}
	if message.Packed == nil {
		message.Records = d.messages(request.Decompresses)
	}
	return message.withInForce(d.inForce)
}

const (
	// redirectSources is the number of sources that a follower is referred to.
	redirectSources = 6
	// referralTime is the time after a referral in which a reader serves the daemon itself: it found no feeder that has anything.
	referralTime = 10 * time.Second
)

// redirect returns the daemons that a follower without a roster should call instead of this one, nil if it may call this one. Seeds would
// otherwise feed all daemons that start at the same time. The readers come last among these: seeds mostly are readers, so that two of them would feed all.
func (s *Server) redirect(request FollowRequest) []Member {
	roster := s.config.Roster()
	if request.Self == nil || len(roster.Members) <= maxFlatMembers {
		return nil
	}
	p := findPlace(roster, nil, *request.Self)
	sources := slices.Clone(p.sources[:min(redirectSources, len(p.sources))])
	isSelf := func(m Member) bool { return m.Address == s.config.Address }
	if p.reader {
		return nil
	}
	isReader := slices.ContainsFunc(roster.Members[:ReaderCount], isSelf)
	if slices.ContainsFunc(sources, isSelf) && (p.depth < 2 || !isReader || !s.refer(*request.Self, len(roster.Members))) {
		return nil
	}
	return sources
}

// refer reports whether a daemon should be referred to others, and notes it: once, as one that calls again found no other source.
func (s *Server) refer(follower Member, members int) bool {
	now := s.config.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.referred[follower.Address]; ok && now.Sub(at) < referralTime {
		return false
	}
	if len(s.referred) > 2*members {
		clear(s.referred)
	}
	s.referred[follower.Address] = now
	return true
}

// loaded reports whether all replicas but the optional ones are loaded.
func (s *Server) loaded() bool {
	for _, replica := range s.config.Replicas {
		if !replica.config.Optional && !replica.Loaded() {
			return false
		}
	}
	return true
}

// wait returns once a replica has changes after the request's cursors, or when the requested wait is over.
func (s *Server) wait(ctx context.Context, request FollowRequest) {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(request.MaxWait)*time.Millisecond, maxHold))
	defer cancel()
	confirmed := s.renewed(request.Await)
	anyChanged := make(chan struct{}, 1)
	for topic, replica := range s.config.Replicas {
		changed := replica.Changes(request.Cursors[topic])
		hasCalled := request.Source == s.config.Self
		if end, ok := request.end(topic); ok && (hasCalled || request.Await != nil) && request.Cursors[topic] == 0 {
			changed = replica.changesFrom(end, request.inForce(topic))
		}
		go func() {
			select {
			case <-changed:
				select {
				case anyChanged <- struct{}{}:
				default:
				}
			case <-ctx.Done():
			}
		}()
	}
	select {
	case <-anyChanged:
	case <-confirmed:
	case <-ctx.Done():
	}
}

// waitForLoad returns once all replicas but the optional ones are confirmed, or when the requested wait is over. When all daemons start at once, their
// feeders are loading too: followers that were sent away would load everything from the readers, over links between failure domains.
func (s *Server) waitForLoad(ctx context.Context, request FollowRequest) {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(request.MaxWait)*time.Millisecond, maxHold))
	defer cancel()
	for _, replica := range s.config.Replicas {
		if replica.config.Optional {
			continue
		}
		select {
		case <-replica.confirmedAfter(0):
		case <-ctx.Done():
			return
		}
	}
}

// renewalMargin is the time by which a confirmation must be newer than a follower's to be worth a reply. It is more than the way of a call.
const renewalMargin = 100 * time.Millisecond

// renewed returns a channel that is closed once this daemon has a newer confirmation than the one that a follower needs to replace; nil for none.
func (s *Server) renewed(await *Await) <-chan struct{} {
	if await == nil || s.config.Replicas[await.Topic] == nil {
		return nil
	}
	return s.config.Replicas[await.Topic].confirmedAfter(s.config.Now().Add(renewalMargin - time.Duration(await.Age)*time.Millisecond))
}
