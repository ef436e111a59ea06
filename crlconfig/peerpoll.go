package crlconfig

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// PeerReply is the reply of one peer, that is, of one other daemon, to the question which configuration it serves.
type PeerReply struct {
	Daemon      crlid.Daemon
	Replied     bool         // the peer replied, so Offset and ConfirmedAt are set
	NotRunning  bool         // the peer certainly does not run, since its address refused the connection
	Offset      crlid.Offset // offset of the configuration that the peer serves
	ConfirmedAt time.Time    // local time of the last confirmation: when the peer was asked, less the age that it reported
}

// PeerPoll holds the replies of all peers to the question which configuration they serve.
type PeerPoll struct {
	Served  crlid.Offset // offset of the configuration that this daemon serves
	Started time.Time    // a moment before the first peer was asked
	Replies []PeerReply  // one for each peer
}

// PollResult is what a PeerPoll shows about the served configuration.
type PollResult struct {
	ConfirmedAt time.Time    // latest time at which the served configuration is known to have been current, zero if the poll shows none
	NewerPeer   crlid.Daemon // the peer with the newest configuration, empty if none is newer than the served one
}

// Evaluate returns the latest time at which the served configuration was current or, if a peer serves a newer one, that peer.
//
// A configuration counts as accepted once the first daemon has applied its record. If every peer serves no newer one, or
// certainly does not run, then no newer one was accepted before the poll started. This holds while the log is unreachable for
// every daemon. A peer that did not reply may serve a newer one, so then only the times that the other peers report count.
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
