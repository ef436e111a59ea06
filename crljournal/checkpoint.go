package crljournal

import (
	"bytes"
	"context"
	"fmt"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// KindCheckpoint is the kind of an entry that holds a Part, in every stream.
const KindCheckpoint Kind = 255

// Checkpoint restates a fold as it is after all entries up to an offset.
type Checkpoint struct {
	Through crlid.Offset
	State   []byte
}

// Part is one piece of a checkpoint that exceeds the size of one entry.
type CheckpointPart struct {
	ID      string       `cbor:"1,keyasint"` // ID is common to the parts of one checkpoint.
	Through crlid.Offset `cbor:"2,keyasint"`
	Index   int          `cbor:"3,keyasint"` // Number counts the parts from 0.
	Count   int          `cbor:"4,keyasint"`
	Data    []byte       `cbor:"5,keyasint"`
}

// PartBytes is the size of the parts of a checkpoint.
const CheckpointPartBytes = 256 << 10

// Parts cuts a checkpoint into pieces that fit an entry each.
func (c Checkpoint) Parts(id string) []CheckpointPart {
	count := max(1, (len(c.State)+CheckpointPartBytes-1)/CheckpointPartBytes)
	parts := make([]CheckpointPart, count)
	for i := range parts {
		from, to := i*CheckpointPartBytes, min((i+1)*CheckpointPartBytes, len(c.State))
		parts[i] = CheckpointPart{ID: id, Through: c.Through, Index: i, Count: count, Data: c.State[from:to]}
	}
	return parts
}

// assembler joins the parts of checkpoints as a stream brings them.
type assembler struct {
	id    string
	parts []CheckpointPart
}

// add takes one entry and returns the checkpoint that it completes.
//
// The parts of a checkpoint come in order, as its writer sent them; repeats are
// dropped, and a checkpoint whose first parts are missing is left out.
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
	state := make([][]byte, len(a.parts))
	for i, part := range a.parts {
		state[i] = part.Data
	}
	return Checkpoint{Through: p.Through, State: bytes.Join(state, nil)}, true
}

// Write appends the parts of a checkpoint one after the other and returns once the log acknowledged the last.
func (c Checkpoint) Write(ctx context.Context, writer *Writer, id string) error {
	for _, p := range c.Parts(id) {
		ticket, err := writer.Submit(KindCheckpoint, p)
		if err == nil {
			err = ticket.Wait(ctx)
		}
		if err != nil {
			return fmt.Errorf("checkpoint through %d: %w", c.Through, err)
		}
	}
	return nil
}
