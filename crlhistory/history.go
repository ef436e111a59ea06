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

//go:generate go tool enumer -type=Promise -trimprefix=Promise -transform=kebab -json -text -output=promise_enumer.go

// Promise names what a check holds the system to.
type Guarantee int

// The promises that histories are checked for.
const (
	GuaranteeAtMostOnce Guarantee = iota
	GuaranteeTruthfulRefusal
	GuaranteeBilledOnce
	GuaranteeSessionVersion
	GuaranteeWholeAnswer
	GuaranteeColdLimit
	GuaranteeAllowedVersion
	GuaranteeOutOfService
)

// Told is what a caller was told about one send of a request.
type Observation struct {
	Request      crlid.Request // Request is empty when no reply arrived.
	Organisation crlid.Organisation
	Key          string // Key is the idempotency key, empty for idempotent requests.
	Service      crlid.Service
	Version      crlid.Version
	Session      string // Session is the caller's own name of its session.
	Code         crlentry.Code
	Ran          crlentry.Ran
	Refused      bool // Refused is true when Code and Ran are set.
	Whole        bool // Whole is true when the caller got a whole answer.
	Text         string
	Sent         time.Time
}

// Outage is a time in which operators allowed no new work at a failure domain or a version.
type OutOfServicePeriod struct {
	Domain  crlid.Domain
	Version crlid.Version
	From    time.Time // From is when the configuration was accepted.
	To      time.Time // To is when it was undone, zero when it never was.
}

// History is both sides of a run.
type History struct {
	Configuration         *crlconfig.Configuration // Configuration holds limits and permissions that never changed.
	Runs                  []crlfake.Run
	Observations          []Observation
	Bills                 []crlbill.Bill // Bills are those that the fold counts, one of each request.
	OutOfServicePeriods   []OutOfServicePeriod
	MaxConfigurationDelay time.Duration // InForce is the promised time until a configuration is in force.
	MaxDomainOutDelay     time.Duration // OutIn is the promised time until a failure domain that was taken out gets no new work.
	PermitExpiry          time.Duration // PermitExpiry is how long a permit may wait before its attempt is sent.
	Tokens                int           // Tokens is the length of each chat answer.
}

// Violation is one broken promise.
type Violation struct {
	Guarantee Guarantee
	Detail    string
}

// String returns the violation in one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Guarantee, v.Detail) }

// Check returns every violation of every promise.
func (h *History) Check() []Violation {
	var violations []Violation
	for _, check := range []func(*History) []Violation{
		atMostOnce, truthfulRefusal, billedOnce, sessionVersion, wholeAnswer, coldLimit, allowedVersion, outOfService,
	} {
		violations = append(violations, check(h)...)
	}
	return violations
}

// findings collects the findings of one check.
type findings struct {
	guarantee Guarantee
	found     []Violation
}

func (f *findings) addf(format string, args ...any) {
	f.found = append(f.found, Violation{Guarantee: f.guarantee, Detail: fmt.Sprintf(format, args...)})
}
