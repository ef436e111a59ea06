package crlrelay

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
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
	Eras    map[Topic]crlid.Era    `json:"eras,omitempty"` // eras of Ends, without those that are 0; followers of earlier versions state none
	// InForce holds the offsets of the records that are in force at the follower, of topics that have such a record; followers of earlier versions
	// don't state any.
	InForce      map[Topic]crlid.Offset `json:"in-force,omitempty"`
	InForceEras  map[Topic]crlid.Era    `json:"in-force-eras,omitempty"` // eras of InForce, like Eras
	MaxWait      Milliseconds           `json:"wait-ms"`                 // limit on how long the call is held when nothing changed
	Self         *Member                `json:"self,omitempty"`          // the follower, if it knows no roster
	Roster       *Roster                `json:"members,omitempty"`       // the follower's roster, if it is newer than the source's
	RosterDigest uint64                 `json:"roster"`                  // digest of the roster that the follower has
	Exchange     json.RawMessage        `json:"exchange,omitempty"`      // message of the follower's Exchange
	// Await names a confirmation whose renewal ends the call; nil for none. Daemons of earlier versions ignore it.
	Await *Await `json:"await,omitempty"`
	// Decompresses reports whether the follower takes compressed records; daemons of earlier versions don't.
	Decompresses bool `json:"decompresses,omitempty"`
	// LargeFleet reports whether the follower is known to be one of a fleet with feeders. A source that is loading itself holds its call.
	LargeFleet bool `json:"large-fleet,omitempty"`
	// Unpacks reports whether the follower takes packed records; daemons of earlier versions don't.
	Unpacks bool `json:"unpacks,omitempty"`
	// Corrections holds, by topic, the follower's records of keys of which the source sent records that were carried out late; daemons of earlier versions
	// ignore it.
	Corrections map[Topic]*Corrections `json:"corrections,omitempty"`
}

// Corrections are a follower's records that overrule those of its source.
type Corrections struct {
	Era     crlid.Era `json:"era,omitempty"`
	Records []Record  `json:"records"`
}

// inForce returns the position of the record of a topic that is in force at the follower, nil if the follower doesn't state it.
func (r FollowRequest) inForce(topic Topic) *crlid.Position {
	if offset, ok := r.InForce[topic]; ok {
		return &crlid.Position{Era: r.InForceEras[topic], Offset: offset}
	}
	return nil
}

// end returns the position up to which the follower's replica of a topic is complete; ok is false if the follower has none.
func (r FollowRequest) end(topic Topic) (end crlid.Position, ok bool) {
	offset, ok := r.Ends[topic]
	return crlid.Position{Era: r.Eras[topic], Offset: offset}, ok
}

// splitPositions returns positions as offsets and the eras that aren't 0.
func splitPositions(positions map[Topic]crlid.Position) (offsets map[Topic]crlid.Offset, eras map[Topic]crlid.Era) {
	offsets, eras = make(map[Topic]crlid.Offset, len(positions)), make(map[Topic]crlid.Era)
	for topic, p := range positions {
		offsets[topic] = p.Offset
		if p.Era != 0 {
			eras[topic] = p.Era
		}
	}
	return offsets, eras
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
	// Lost holds, beside all records, what the store has of the keys whose records are in force although the store has lost them.
	Lost []Record `json:"lost,omitempty"`
	// Era is the era of End, and of Records that state no other; nil at sources of earlier versions, which know of no eras.
	Era *crlid.Era `json:"era,omitempty"`
	// InForce is the offset of the one of Records that is in force at the source, nil for none. Newer records of its key have been refused there.
	InForce *crlid.Offset `json:"in-force,omitempty"`
	// InForceErasBack is how many eras before Era the record in force is from.
	InForceErasBack crlid.Era `json:"in-force-eras-back,omitempty"`
}

// era returns the era of the delta, 0 if it states none.
func (d TopicDelta) era() crlid.Era {
	if d.Era == nil {
		return 0
	}
	return *d.Era
}

// withInForce returns the delta with the position of the record that is in force, unless that is [crlid.NoPosition].
func (d TopicDelta) withInForce(position crlid.Position) TopicDelta {
	if position != crlid.NoPosition {
		d.InForce, d.InForceErasBack = &position.Offset, d.era()-position.Era
	}
	return d
}

// inForce returns the position of the record that is in force at the source, [crlid.NoPosition] for none.
func (d TopicDelta) inForce() crlid.Position {
	if d.InForce == nil {
		return crlid.NoPosition
	}
	return crlid.Position{Era: d.era() - d.InForceErasBack, Offset: *d.InForce}
}

var (
	errEarlierEra = errors.New("the source is in an earlier era of the store")
	errOtherEra   = errors.New("changes of another era of the store")
	errOtherEnd   = errors.New("changes since another end of the replica")
)

// applyTo merges a delta into a replica, confirms it as of the given moment, and returns where the source ended. after is where the replica ended when the
// source was sent a cursor, nil if it was sent none. A source of an earlier version is taken to be in the replica's era.
func (d TopicDelta) applyTo(replica *Replica, after *crlid.Position, confirmedAt crlclock.Instant) (end crlid.Position, err error) {
	if d.Era == nil {
		era := replica.End().Era
		d.Era = &era
	}
	end = crlid.Position{Era: d.era(), Offset: d.End}
	records, err := d.decodeAll()
	if err != nil {
		return end, err
	}
	lost, err := decodeRecords(d.Lost, d.era())
	if err != nil {
		return end, err
	}
	if !d.Full {
		err = replica.applyFrom(records, end, after, d.inForce())
	} else if !replica.replaceFrom(records, lost, end, d.inForce()) {
		err = errEarlierEra
	}
	if err != nil {
		return end, err
	}
	if d.Full {
		replica.noteVerified(end)
	}
	replica.Confirm(confirmedAt, end.Era)
	return end, nil
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
	Era        crlid.Era `json:"era,omitempty"` // era of the store in which the generation is counted
	Generation int64     `json:"generation"`    // generation of the group, as the store numbers it
	Members    []Member  `json:"members"`
	// knownDigest is the digest of a roster that is held, 0 if it has to be computed: each call and each reply needs it.
	knownDigest uint64
	hashes      []uint64 // of the members' addresses, set by prepare
	self        int      // index of this daemon among the members, -1 if it isn't one; set by prepare
}

// isBefore reports whether the roster is of an earlier era or generation than another.
func (r Roster) isBefore(other Roster) bool {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Generation, other.Generation)) < 0
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
