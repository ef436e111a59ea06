package crlhistory

import (
	"fmt"
	"time"

	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
)

//go:generate go tool enumer -type=Guarantee -trimprefix=Guarantee -transform=kebab -json -text -output=guarantee_enumer.go

// Guarantee is an invariant of the system that History.Check verifies.
type Guarantee int

// The guarantees that History.Check verifies.
const (
	GuaranteeAtMostOnce      Guarantee = iota // a non-idempotent call with an idempotency key runs at most once and has one answer
	GuaranteeTruthfulRefusal                  // a request that was refused as not run did not run
	GuaranteeBilledOnce                       // each answered request or idempotency key has one bill; a request refused as not run has none
	GuaranteeSessionVersion                   // all answers of a session come from one version
	GuaranteeWholeAnswer                      // a complete chat answer has all frames of its own request, in order
	GuaranteeColdLimit                        // a cold server never runs more requests than its cold limit
	GuaranteeAllowedVersion                   // requests and answers use only versions that the organisation may use
	GuaranteeOutOfService                     // no new request runs at a failure domain or version that is out of service
)

// Observation is what a caller observed of one request that it sent. A retry with the same idempotency key is an
// Observation of its own.
type Observation struct {
	Request      crlid.Request // identifier that the daemon assigned, empty if no reply arrived
	Organisation crlid.Organisation
	Key          string        // idempotency key, empty for idempotent requests
	Service      crlid.Service // plain service that was called, empty for chat requests
	Version      crlid.Version // version that answered, as the daemon stated it
	Session      string        // caller's own name of its session
	Code         crlentry.Code
	Ran          crlentry.Ran
	Refused      bool      // whether the request was refused; Code and Ran are set only then
	Whole        bool      // whether a complete answer arrived
	Text         string    // received part of the answer
	Sent         time.Time // when the caller sent the request
}

// OutOfServicePeriod is a time in which the configuration allowed no new requests at a failure domain or a version. Exactly
// one of Domain and Version is set.
type OutOfServicePeriod struct {
	Domain  crlid.Domain
	Version crlid.Version
	From    time.Time // when the configuration was accepted
	To      time.Time // when the change was undone, zero if it never was
}

// History holds both sides of a test run, and the limits against which they are checked.
type History struct {
	Configuration         *crlconfig.Configuration // configuration whose limits and permissions must have held for the whole run
	Runs                  []crlfake.Run
	Observations          []Observation
	Bills                 []crlbill.Bill // bills that the billing fold counts, one per request
	OutOfServicePeriods   []OutOfServicePeriod
	MaxConfigurationDelay time.Duration // longest allowed time from the acceptance of a configuration until it is in force
	MaxDomainOutDelay     time.Duration // longest allowed time until a failure domain out of service gets no new requests
	PermitExpiry          time.Duration // longest time that a permit may wait before its attempt is sent
	Tokens                int           // tokens of each complete chat answer
}

// Violation describes one case in which a guarantee was violated.
type Violation struct {
	Guarantee Guarantee
	Detail    string
}

// String returns the guarantee and the detail in one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Guarantee, v.Detail) }

// Check returns all violations of all guarantees.
func (h *History) Check() []Violation {
	var violations []Violation
	for _, check := range []func(*History) []Violation{
		atMostOnce, truthfulRefusal, billedOnce, sessionVersion, wholeAnswer, coldLimit, allowedVersion, outOfService,
	} {
		violations = append(violations, check(h)...)
	}
	return violations
}

// findings collects the violations that one check finds.
type findings struct {
	guarantee Guarantee
	found     []Violation
}

func (f *findings) addf(format string, args ...any) {
	f.found = append(f.found, Violation{Guarantee: f.guarantee, Detail: fmt.Sprintf(format, args...)})
}
