package crljournal

import (
	"bytes"
	"context"
	"fmt"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// KindCheckpoint is the kind of an entry whose body is a CheckpointPart. It is the same in all streams.
const KindCheckpoint Kind = 255

// Checkpoint is the saved state of a replica after all entries up to and including those at offset Through.
type Checkpoint struct {
	Through crlid.Offset
	State   []byte
}

// CheckpointPart is one piece of a checkpoint, which may be too large for a single entry.
type CheckpointPart struct {
	ID      string       `cbor:"1,keyasint"` // common to all parts of one checkpoint
	Through crlid.Offset `cbor:"2,keyasint"`
	Index   int          `cbor:"3,keyasint"` // position among the parts, from 0
	Count   int          `cbor:"4,keyasint"` // number of parts of the checkpoint
	Data    []byte       `cbor:"5,keyasint"`
}

// CheckpointPartBytes is the size of the data of each part of a checkpoint except the last, which may be smaller.
const CheckpointPartBytes = 256 << 10

// Parts splits the checkpoint into parts that each fit in one entry. The ID must be unique in the stream.
func (c Checkpoint) Parts(id string) []CheckpointPart {
	count := max(1, (len(c.State)+CheckpointPartBytes-1)/CheckpointPartBytes)
	parts := make([]CheckpointPart, count)
	for i := range parts {
		from, to := i*CheckpointPartBytes, min((i+1)*CheckpointPartBytes, len(c.State))
		parts[i] = CheckpointPart{ID: id, Through: c.Through, Index: i, Count: count, Data: c.State[from:to]}
	}
	return parts
}

// assembler reassembles checkpoints from their parts, in the order in which the stream holds them.
type assembler struct {
	id    string
	parts []CheckpointPart
}

// add adds one part and returns the checkpoint if the part completes it.
//
// The parts of a checkpoint are in order in the stream, as its writer sent them one by one. Repeated parts are dropped, and a
// checkpoint whose first parts are missing is skipped.
func (a *assembler) add(entry LoggedEntry) (Checkpoint, bool) {
	var p CheckpointPart
	if err := entry.Decode(&p); err != nil {
		return Checkpoint{}, false
	}
	if p.Index == 0 && p.ID != a.id {
		a.id, a.parts = p.ID, nil
	}
	if p.ID != a.id || p.Index != len(a.parts) {
		return Checkpoint{}, false
	}
	a.parts = append(a.parts, p)
	if len(a.parts) != p.Count {
		return Checkpoint{}, false
	}
	chunks := make([][]byte, len(a.parts))
	for i, part := range a.parts {
		chunks[i] = part.Data
	}
	return Checkpoint{Through: p.Through, State: bytes.Join(chunks, nil)}, true
}

// Write appends the parts of the checkpoint one after the other and returns once the log has acknowledged the last one.
func (c Checkpoint) Write(ctx context.Context, writer *Writer, id string) error {
	for _, p := range c.Parts(id) {
		ticket, err := writer.Submit(KindCheckpoint, p)
		if err == nil {
			err = ticket.Wait(ctx)
		}
		if err != nil {
			return fmt.Errorf("write part %d of %d of checkpoint through offset %d: %w", p.Index, p.Count, c.Through, err)
		}
	}
	return nil
}
