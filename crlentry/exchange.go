package crlentry

import (
	"context"
	"time"

	"github.com/cranberrylock/cranberrylock/crlcascade"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlengine"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlsession"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// Call is what a caller asks for.
type Call struct {
	Request        crlid.Request
	APIKey         string        // Key is the caller's secret.
	Class          crlid.Class   // Class is empty for the first class of the configuration by name.
	QualityTarget  crlid.Quality // Target overrides the class's quality target unless it is 0.
	Deadline       time.Time     // Deadline is zero when the caller gave none.
	Wanted         string        // Wanted is a model, a version or "auto".
	SessionToken   string        // Session is a session token, empty to begin a session.
	StreamToken    string        // Resume is a stream token, empty for a new answer.
	After          crlid.Frame   // After is the last frame that the caller has of a resumed answer.
	IdempotencyKey string
	Service        crlid.Service
	ContentType    string
	Body           []byte
	Streamed       bool
}

// Head is what a caller learns before the first frame of an answer.
type Head struct {
	Request      crlid.Request
	Version      crlid.Version
	SessionToken string // Session is the token for the next call of the session.
	StreamToken  string // Stream is the token that resumes this answer at any daemon.
}

// Sink takes an answer: its head, then its frames in order, each once.
type Sink interface {
	Head(head Head) error
	Frame(frame crlengine.Frame) error
}

// exchange is one call on its way through the filters.
type exchange struct {
	call         Call
	snapshot     *crlsnapshot.Snapshot
	organisation crlconfig.Organisation
	class        crlconfig.Class
	service      crlconfig.Service
	session      crlsession.Session
	pinned       bool // pinned is true when the session fixed the version before this call.
	stream       crlsession.Stream
	sink         Sink
	mayHaveRun   bool      // mayRun is true once a byte of the call may have reached a server that ran it.
	sendBy       time.Time // sendBy is the last moment to send a claimed call, zero when it needs no claim.

	version       crlid.Version // version is the one that answers.
	lastDelivered crlid.Frame   // shown is the last frame that the sink took.
	boot          crlid.Boot    // boot is that of the server of the newest attempt, empty before it answers.
	firstToken    time.Duration // firstToken is that of the last attempt.
	headDelivered bool          // headed is true once the sink took the head.
	billOpened    bool          // noted is true once peers were told of the request.
	final         crlengine.Frame
	plan          crlcascade.Plan
	usages        []attemptUsage // spent holds what each finished attempt used.
	answer        crlengine.ServiceAnswer
}

// handler takes an exchange one step further and returns a refusal, or nil when it is answered.
type handler func(ctx context.Context, x *exchange) *Refusal

// filter wraps a handler with one concern.
type filter func(next handler) handler

// chain returns the last handler wrapped by the filters, the first outermost.
func chain(last handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}
