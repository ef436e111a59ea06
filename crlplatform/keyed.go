package crlplatform

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// KeyedRecord is one record of a topic that keeps the newest record of each key.
type KeyedRecord struct {
	Key     string
	Value   []byte
	Deleted bool // Deleted is set when the record drops its key.
	Offset  crlid.Offset
}

// KeyedPage is the reply to a read of a keyed topic.
type KeyedPage struct {
	Records []KeyedRecord
	End     crlid.Offset // End is the offset that the next record gets.
	Bytes   int          // Bytes is the size of the reply.
}

// KeyedRead asks for the records of a keyed topic from an offset on.
type KeyedRead struct {
	From crlid.Offset
	Wait time.Duration // Wait bounds how long the service holds the reply when there is nothing new.
}

// Conflict reports that a conditional append found another end of the topic.
type Conflict struct {
	End crlid.Offset
}

// Error describes the conflict in one line.
func (c *Conflict) Error() string { return "the topic has grown since it was read" }

// Join asks to join a group or to stay in it.
type Join struct {
	Group      string
	Member     string
	Topics     int           // Topics is the number of topics whose partitions the group shares.
	TTL        time.Duration // TTL is how long a silent member keeps its partitions.
	Generation int64         // Generation is the newest that the member knows, 0 at first.
}

// Owner is the member that holds one partition of a group.
type Owner struct {
	Topic     int
	Partition int
	Member    string
}
