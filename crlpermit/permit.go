package crlpermit

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Permit is the right to send one attempt to a server before it expires.
type Permit struct {
	Server crlid.Server
	Term   crlid.Term // term of the home that granted the permit
	Expiry time.Time  // last moment at which the attempt may be sent
	End    time.Time  // last moment at which the attempt may run; its context ends then
	Number uint64     // unique among the permits of a server in a term; never 0
}

// Valid reports whether an attempt may still be sent under the permit.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.Expiry) }

// Report is the outcome of an attempt, which the holder of its permit passes to Client.Done.
type Report struct {
	Permit     Permit
	Sent       bool       // false when no attempt was sent
	Boot       crlid.Boot // boot of the server, as stated in its answer; empty when unknown
	Failed     bool
	Incomplete bool          // the answer was not received to its end, so the server may still run the attempt
	Latency    time.Duration // time to the first token or to the answer, 0 when there was none
}

// PermitID identifies a permit of a server among those of all homes.
type PermitID struct {
	Term   crlid.Term `json:"t"`
	Number uint64     `json:"n"`
}

// Limits are the configured limits of one server, in permits.
type Limits struct {
	Cold     int           `json:"c"` // limit after a cold start
	Warm     int           `json:"w"` // limit once the server is warm
	ColdTime time.Duration `json:"t"` // longest duration of a cold start
}
