package crlconfig

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// PeerReply is one member's reply on the configuration that it serves.
type PeerReply struct {
	Daemon      crlid.Daemon
	Replied     bool         // the member replied; Offset and ConfirmedAt are set
	NotRunning  bool         // the member certainly does not run, since its address refused the connection
	Offset      crlid.Offset // offset of the configuration that it serves
	ConfirmedAt time.Time    // when that was last confirmed current, on the local clock: the time of the question less the reported age
}

// PeerPoll holds the replies of all other members to the question which configuration they serve.
type PeerPoll struct {
	Served  crlid.Offset // offset of the configuration that this daemon serves
	Started time.Time    // a moment before the first member was asked
	Replies []PeerReply  // one for each other member
}

// PollResult is what a PeerPoll shows about the served configuration.
type PollResult struct {
	ConfirmedAt time.Time    // when it was current, zero if the poll does not show that
	NewerPeer   crlid.Daemon // a member with a newer configuration, empty if there is none
}

// Evaluate returns the latest time at which the served configuration was current, or a member with a newer one.
//
// A configuration is accepted when the first member applies its record. If every other member serves no newer one, or
// certainly does not run, then no newer one was accepted before the poll started. This holds while the log is unreachable for
// every member. A member that did not reply may serve a newer one, so then only the times that other members report count.
func (p PeerPoll) Evaluate() PollResult {
	var result PollResult
	newest, complete := p.Served, true
	for _, r := range p.Replies {
		switch {
		case r.Replied && r.Offset > newest:
			newest, result.NewerPeer = r.Offset, r.Daemon
		case r.Replied && r.Offset == p.Served && r.ConfirmedAt.After(result.ConfirmedAt):
			result.ConfirmedAt = r.ConfirmedAt
		}
		complete = complete && (r.Replied || r.NotRunning)
	}
	if result.NewerPeer != "" {
		return PollResult{NewerPeer: result.NewerPeer}
	}
	if complete && p.Served != crlid.NoOffset {
		result.ConfirmedAt = p.Started
	}
	return result
}
