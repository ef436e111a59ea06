package crlrelay

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// MethodFollow asks a daemon for what changed in its replicas.
const MethodFollow crlpeer.Method = "follow-topics"

// Milliseconds is a length of time between daemons, since their clocks are not compared.
type Milliseconds int64

// Follow is what a follower asks for.
type FollowRequest struct {
	Source       crlid.Incarnation `json:"source"` // Source is the daemon that the cursors are of; others start at 0.
	Cursors      map[Topic]Cursor  `json:"cursors"`
	MaxWait      Milliseconds      `json:"wait-ms"` // Wait bounds how long the call is held when there is nothing new.
	RosterDigest uint64            `json:"roster"`  // Roster is the digest of the roster that the follower knows.
}

// News is the answer to a Follow.
type FollowResponse struct {
	Source  crlid.Incarnation    `json:"source"`
	Topics  map[Topic]TopicDelta `json:"topics"`
	HeldFor Milliseconds         `json:"held-ms"`          // Held is how long the source held the call.
	Roster  *Roster              `json:"roster,omitempty"` // Roster is set when it is another than the follower's.
}

// TopicNews is what changed in one replica.
type TopicDelta struct {
	Full            bool                      `json:"whole"` // Whole is set when the records are all there are.
	Records         []crlplatform.KeyedRecord `json:"records,omitempty"`
	Cursor          Cursor                    `json:"cursor"`
	End             crlid.Offset              `json:"end"`
	ConfirmationAge Milliseconds              `json:"age-ms"` // Age is how long ago the replica was known to be complete, negative for never.
}

// Member is one daemon of the roster; a daemon that starts again at its address is the same member.
type Member struct {
	Address string       `json:"address"`
	Domain  crlid.Domain `json:"failure-domain"`
	// Strength is what the daemon's VM can carry for others; the strongest daemons read the store.
	Strength int `json:"strength"`
}

// Roster lists the daemons of the group; the first ones read the store.
type Roster struct {
	Generation int64    `json:"generation"`
	Members    []Member `json:"members"`
}

// Has reports whether a daemon is in the roster.
func (r Roster) Has(member Member) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.Address == member.Address })
}

// digest tells rosters apart, as lists read while partitions move can differ within one generation.
func (r Roster) digest() uint64 {
	hash := xxhash.New()
	for _, m := range r.Members {
		// Writes to a hash never fail.
		_, _ = hash.WriteString(m.Address + " ")
	}
	return hash.Sum64() + uint64(r.Generation)
}
