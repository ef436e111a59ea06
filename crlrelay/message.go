package crlrelay

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// MethodFollow requests the changes of a daemon's replicas.
const MethodFollow crlpeer.Method = "follow-topics"

// Milliseconds is a duration in messages. Messages hold no points in time, because the clocks of daemons are not compared.
type Milliseconds int64

// FollowRequest is a follower's request for changes; the call is held until there are any.
type FollowRequest struct {
	Source  crlid.Incarnation      `json:"source"` // source whose replicas the cursors refer to; another incarnation ignores the cursors
	Cursors map[Topic]Cursor       `json:"cursors"`
	Ends    map[Topic]crlid.Offset `json:"ends,omitempty"` // offsets up to which the follower's replicas are complete; used if the cursors aren't
	// InForce holds the offsets of the records that are in force at the follower, of topics that have such a record; followers of earlier versions
	// don't state any.
	InForce      map[Topic]crlid.Offset `json:"in-force,omitempty"`
	MaxWait      Milliseconds           `json:"wait-ms"`            // limit on how long the call is held when nothing changed
	Self         *Member                `json:"self,omitempty"`     // the follower, if it knows no roster
	Roster       *Roster                `json:"members,omitempty"`  // the follower's roster, if it is newer than the source's
	RosterDigest uint64                 `json:"roster"`             // digest of the roster that the follower has
	Exchange     json.RawMessage        `json:"exchange,omitempty"` // message of the follower's Exchange
	// Await names a confirmation whose renewal ends the call; nil for none. Daemons of earlier versions ignore it.
	Await *Await `json:"await,omitempty"`
	// Decompresses reports whether the follower takes compressed records; daemons of earlier versions don't.
	Decompresses bool `json:"decompresses,omitempty"`
	// LargeFleet reports whether the follower is known to be one of a fleet with feeders. A source that is loading itself holds its call.
	LargeFleet bool `json:"large-fleet,omitempty"`
	// Unpacks reports whether the follower takes packed records; daemons of earlier versions don't.
	Unpacks bool `json:"unpacks,omitempty"`
}

// inForce returns the offset of the record of a topic that is in force at the follower, nil if the follower doesn't state it.
func (r FollowRequest) inForce(topic Topic) *crlid.Offset {
	if offset, ok := r.InForce[topic]; ok {
		return &offset
	}
	return nil
}

// Await names a topic of which a follower needs a newer confirmation.
type Await struct {
	Topic Topic        `json:"topic"`
	Age   Milliseconds `json:"age-ms"` // of the follower's confirmation
}

// FollowResponse is the reply to a FollowRequest.
type FollowResponse struct {
	Source  crlid.Incarnation    `json:"source"`
	Topics  map[Topic]TopicDelta `json:"topics"`
	HeldFor Milliseconds         `json:"held-ms"` // how long the source held the call
	// Sources is set, and the response has nothing else, if the follower should call these daemons instead, the first one first.
	Sources  []Member        `json:"sources,omitempty"`
	Roster   *Roster         `json:"roster,omitempty"`   // set when the digest of the source's roster differs from the request's
	Exchange json.RawMessage `json:"exchange,omitempty"` // reply of the source's Exchange
}

// TopicDelta holds the changes of one replica since the follower's cursor.
type TopicDelta struct {
	Full            bool         `json:"whole"` // whether Records holds every key, so that the follower deletes all others
	Records         []Record     `json:"records,omitempty"`
	Packed          []byte       `json:"packed,omitempty"` // further records, which come before Records: their JSON text, compressed by DEFLATE
	Cursor          Cursor       `json:"cursor"`
	End             crlid.Offset `json:"end"`    // offset at which the topic ended when the replica last read it
	ConfirmationAge Milliseconds `json:"age-ms"` // time since the replica was last confirmed to be complete; negative for never
	// InForce is the offset of the one of Records that is in force at the source, nil for none. Newer records of its key have been refused there.
	InForce *crlid.Offset `json:"in-force,omitempty"`
}

// withInForce returns the delta with the offset of the record that is in force, unless that is [crlid.NoOffset].
func (d TopicDelta) withInForce(offset crlid.Offset) TopicDelta {
	if offset != crlid.NoOffset {
		d.InForce = &offset
	}
	return d
}

// inForce returns the offset of the record that is in force at the source, [crlid.NoOffset] for none.
func (d TopicDelta) inForce() crlid.Offset {
	if d.InForce == nil {
		return crlid.NoOffset
	}
	return *d.InForce
}

// Member is one daemon of the roster, identified by its address: a daemon that restarts is the same member.
type Member struct {
	Address string       `json:"address"`
	Domain  crlid.Domain `json:"failure-domain"`
	// Strength ranks the VM's capacity for serving other daemons; those with the highest read the store.
	Strength int `json:"strength"`
}

// Roster lists the daemons of the group; the first ReaderCount members read the store.
type Roster struct {
	Generation int64    `json:"generation"` // generation of the group, as the store numbers it
	Members    []Member `json:"members"`
	// knownDigest is the digest of a roster that is held, 0 if it has to be computed: each call and each reply needs it.
	knownDigest uint64
	hashes      []uint64 // of the members' addresses, set by prepare
	self        int      // index of this daemon among the members, -1 if it isn't one; set by prepare
}

// Has reports whether the roster lists the member's address.
func (r Roster) Has(member Member) bool {
	return slices.ContainsFunc(r.Members, func(m Member) bool { return m.Address == member.Address })
}

// digest returns a hash of the generation and the members' addresses. The generation alone does not identify a roster: lists
// that are read while the store reassigns partitions can differ within one generation.
func (r Roster) digest() uint64 {
	if r.knownDigest != 0 {
		return r.knownDigest
	}
	hash := xxhash.New()
	for _, m := range r.Members {
		// Writes to a hash never fail.
		_, _ = hash.WriteString(m.Address + " ")
	}
	return hash.Sum64() + uint64(r.Generation)
}
