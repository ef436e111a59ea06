package crladmission

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go run github.com/dmarkham/enumer -type=Action -trimprefix=Action -transform=kebab -text -output=action_enumer.go
//go:generate go run github.com/dmarkham/enumer -type=Cause -trimprefix=Cause -transform=kebab -text -output=cause_enumer.go

// Action is what is to be done with a request.
type Action int

// The actions of a Decision.
const (
	ActionSend   Action = iota // send the request now
	ActionWait                 // hold the request for Decision.Wait, and then send it
	ActionReject               // reject the request and state Decision.RetryAfter
)

// Cause is why a request is not sent at once.
type Cause int

// The causes of a Decision.
const (
	CauseNone     Cause = iota // the request is sent
	CauseUrgent                // more urgent requests of the service have waited for too long
	CauseDeadline              // no server is expected to begin an answer before the deadline
	CauseShare                 // the service is overloaded, and the organisation is over its fair share
)

// Ranks is the number of ranks of priority. Rank 0 is the most urgent.
const Ranks = 10

// Request describes a request that is about to be sent for the first time.
type Request struct {
	Service      crlid.Service
	Organisation crlid.Organisation // empty for a request without API key
	Weight       float64            // weight of the organisation's fair share; 0 stands for 1
	ID           uint64             // hash of the request's ID, which is the same when its caller returns
	Rank         int                // priority from 0, the most urgent, to Ranks-1; others are clamped
	Begin        float64            // time until an unloaded server begins the answer with the smallest model, in seconds
	Cost         float64            // server time of the whole answer, in seconds
	ExpectedWait time.Duration      // expected wait at the servers, from any source
	Objective    time.Duration      // time from arrival within which the answer should begin
	Elapsed      time.Duration      // time since arrival
	Left         time.Duration      // time until the deadline
	InProgress   bool               // the request continues a session or an answer that has begun
	Servers      int                // servers of the service that accept requests
}

// Decision is the result of Controller.Decide.
type Decision struct {
	Action     Action
	Cause      Cause
	Wait       time.Duration // for ActionWait
	RetryAfter time.Duration // for ActionReject
	Returned   bool          // whether the request was rejected by this router before
	Evidence   Evidence
}

// Evidence is what a decision other than ActionSend is based on.
type Evidence struct {
	Observations int           // recent requests that were considered
	Servers      int           // servers at which they were late, at most maxEvidenceServers
	ShortestWait time.Duration // shortest of their times from the send to the beginning of the answer
	Late         int           // how many of them were late
	NewestAge    time.Duration // age of the newest of them
	Kept         float64       // for CauseShare, the share of the organisation's requests of this rank that is sent
}
