package crlid

import (
	"cmp"
	"fmt"
)

// Era numbers the histories of the platform's metadata store. It rises each time the store comes back from an older copy, and is 0 for a store that
// states none.
type Era int64

// Position is the place of a record in a topic of the platform's metadata store. Offsets are given out again in each era, so a position orders records
// by era first.
type Position struct {
	Era    Era
	Offset Offset
}

// NoPosition is before the position of every record. It stands for the absence of a position.
var NoPosition = Position{Offset: NoOffset}

// Compare returns a negative number if p is before other, 0 if both are the same, and a positive number if p is after other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Latest returns the later one of p and other.
func (p Position) Latest(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

// Next returns the position after p in the same era.
func (p Position) Next() Position { return Position{Era: p.Era, Offset: p.Offset + 1} }

// Previous returns the position before p in the same era.
func (p Position) Previous() Position { return Position{Era: p.Era, Offset: p.Offset - 1} }

// String returns the offset, preceded by the era unless that is 0, such as 2:17.
func (p Position) String() string {
	if p.Era == 0 {
		return fmt.Sprint(int64(p.Offset))
	}
	return fmt.Sprintf("%d:%d", int64(p.Era), int64(p.Offset))
}
