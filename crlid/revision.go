package crlid

import (
	"cmp"
	"fmt"
)

// Revision orders the records of a key by what their writer states. The zero Revision stands for a record that doesn't tell.
type Revision struct {
	StartMS int64 `json:"start-ms"` // Unix time at which the writer's process started, in milliseconds
	Count   int64 `json:"count"`    // of the records that this process has written
}

// IsStated reports whether the writer has stated the revision.
func (r Revision) IsStated() bool { return r.StartMS != 0 }

// Compare returns a negative number if r is before other, 0 if both are the same, and a positive number if r is after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.StartMS, other.StartMS), cmp.Compare(r.Count, other.Count))
}

// String returns the start and the count, such as 1764972000000.7, or a hyphen for a revision that isn't stated.
func (r Revision) String() string {
	if !r.IsStated() {
		return "-"
	}
	return fmt.Sprintf("%d.%d", r.StartMS, r.Count)
}
