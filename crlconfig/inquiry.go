package crlconfig

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Answer is what one member of the fleet said of its configuration.
type PeerReply struct {
	Daemon      crlid.Daemon
	Replied     bool         // Heard is true when the member answered.
	NotRunning  bool         // Gone is true when the member surely does not run.
	Offset      crlid.Offset // Offset is that of the configuration that it serves.
	ConfirmedAt time.Time    // Proof is its newest proof, counted back from the moment it was asked.
}

// Inquiry asks every other member whether the configuration served is current.
type PeerPoll struct {
	Served  crlid.Offset
	Started time.Time   // Began is before the first member was asked.
	Replies []PeerReply // Answers has one for each other member.
}

// Conclusion is what an inquiry showed.
type PollResult struct {
	ConfirmedAt time.Time    // Proof is when the served configuration was current, zero if nothing shows it.
	NewerPeer   crlid.Daemon // Newest is a member with a newer configuration, empty if there is none.
}

// Conclude returns the best proof that the answers hold.
//
// A configuration is accepted when a first member folds it. If every other
// member serves none newer, or surely does not run, then none was accepted
// before the inquiry began: this holds while the log is out for everybody.
// One silent member may know better, so that only another's proof counts then.
func (q PeerPoll) Evaluate() PollResult {
	var c PollResult
	newest, unanimous := q.Served, true
	for _, a := range q.Replies {
		switch {
		case a.Replied && a.Offset > newest:
			newest, c.NewerPeer = a.Offset, a.Daemon
		case a.Replied && a.Offset == q.Served && a.ConfirmedAt.After(c.ConfirmedAt):
			c.ConfirmedAt = a.ConfirmedAt
		}
		unanimous = unanimous && (a.Replied || a.NotRunning)
	}
	if c.NewerPeer != "" {
		return PollResult{NewerPeer: c.NewerPeer}
	}
	if unanimous && q.Served != crlid.NoOffset {
		c.ConfirmedAt = q.Started
	}
	return c
}
