package crlplatform

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// KeyedRecord is one record of a keyed topic: a topic that retains the newest record of each key.
type KeyedRecord struct {
	Key      string
	Value    []byte
	Deleted  bool // the record deletes its key
	Position crlid.Position
	// Known is, for a deletion, the newest revision that the key is known to have had; the store doesn't tell.
	Known crlid.Revision
}

// KeyedPage is the reply to a read of a keyed topic.
type KeyedPage struct {
	Records []KeyedRecord
	End     crlid.Position // position that the next record will get, in the era in which the store replied
	Bytes   int            // size of the encoded reply
}

// KeyedRead asks for the records of a keyed topic from a position on. A store in another era than that of the position answers with the records from
// its offset in that era, as the end of the page then states.
type KeyedRead struct {
	From crlid.Position
	Wait time.Duration // how long the store may delay the reply while it has no new record
}

// Conflict is the error of a conditional append that found the topic with another end than expected. Nothing was
// appended.
type Conflict struct {
	End crlid.Position // actual end of the topic
}

// Error describes the conflict.
func (c *Conflict) Error() string { return "append refused: the topic ends elsewhere than expected" }

// Join asks the store to add a member to a group, or to renew its membership. The members of a group share the
// partitions of its topics.
type Join struct {
	Group      string
	Member     string
	Topics     int           // number of topics
	TTL        time.Duration // how long a member keeps its partitions without renewing
	Generation int64         // number of the newest known generation of the group (set of its members), 0 at first
}

// Membership is the reply to a Join.
type Membership struct {
	Era        crlid.Era   // era of the store in which the generation is counted
	Generation int64       // number of the group's present set of members
	Partitions []Partition // partitions that the member owns
}

// Partition is one partition of a group's topics.
type Partition struct {
	Topic  int // index of the topic in its group, from 0
	Number int // from 0
}

// Owner states which member of a group holds one partition.
type Owner struct {
	Partition

	Member string
}
