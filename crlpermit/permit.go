package crlpermit

import (
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Permit is the right to send one attempt to a server before it expires.
type Permit struct {
	Server crlid.Server
	Term   crlid.Term
	Expiry time.Time // Expiry is the last moment at which the attempt may be sent.
	End    time.Time // End is the last moment at which the attempt may run; its context ends then.
	Number uint64    // Number is unique among the permits of a server in a term.
}

// Valid reports whether an attempt may still be sent under the permit.
func (p Permit) Valid(now time.Time) bool { return now.Before(p.Expiry) }

// Report is what the holder of a permit tells when its attempt ended.
type Report struct {
	Permit     Permit
	Sent       bool // Sent is false when no attempt was made.
	Boot       crlid.Boot
	Failed     bool
	Incomplete bool          // Cut is true when the answer did not end, so that the server may still run the attempt.
	Latency    time.Duration // Latency is the time to the first token or to the answer, 0 when there was none.
}

// Name identifies a permit of a server over all homes.
type PermitID struct {
	Term   crlid.Term `json:"t"`
	Number uint64     `json:"n"`
}

// Limits are the bounds of one server.
type Limits struct {
	Cold     int           `json:"c"`
	Warm     int           `json:"w"`
	ColdTime time.Duration `json:"t"` // ColdTime is the longest that a cold start of the server takes.
}
