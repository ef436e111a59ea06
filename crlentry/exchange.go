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

// Call is one request of a caller.
type Call struct {
	Request        crlid.Request
	APIKey         string        // secret, compared by its SHA-256
	Class          crlid.Class   // empty for the first class of the configuration by name
	QualityTarget  crlid.Quality // overrides the quality target of the class unless it is 0
	Deadline       time.Time     // zero when the caller set none
	Wanted         string        // model, version, or AnyModel or empty for any
	SessionToken   string        // empty to start a new session
	StreamToken    string        // token of the answer to resume, empty for a new answer
	After          crlid.Frame   // last frame that the caller has of a resumed answer
	IdempotencyKey string        // required by a plain service that is not idempotent
	Service        crlid.Service // plain service to call
	ContentType    string
	Body           []byte
	Streamed       bool // the caller reads the answer as it arrives, not as one object
}

// Head is the part of an answer that precedes its first frame.
type Head struct {
	Request      crlid.Request
	Version      crlid.Version
	SessionToken string // for the next call of the session, empty for a resumed answer
	StreamToken  string // resumes this answer at any daemon
}

// Sink receives an answer: its head, then each frame once and in order. An error means that the caller can't be reached.
type Sink interface {
	Head(head Head) error
	Frame(frame crlengine.Frame) error
}

// exchange holds the state of one call while the filters handle it. Only the goroutine of the call uses it, except that a
// rating in the background reads call.
type exchange struct {
	call         Call
	snapshot     *crlsnapshot.Snapshot
	organisation crlconfig.Organisation
	class        crlconfig.Class
	service      crlconfig.Service
	session      crlsession.Session // contents of the session token
	pinned       bool               // the session or the resumed answer fixed the version before this call
	stream       crlsession.Stream  // contents of the stream token
	sink         Sink
	mayHaveRun   bool      // some attempt may have run, even if it failed
	sendBy       time.Time // latest time to send a claimed call, zero for a call that needs no claim

	version       crlid.Version   // version of the current attempt
	lastDelivered crlid.Frame     // last frame that the sink accepted
	boot          crlid.Boot      // boot of the server that answers the newest attempt, empty before the answer begins
	firstToken    time.Duration   // time to the first token of the newest attempt, 0 before that token
	headDelivered bool            // the sink accepted the head
	billOpened    bool            // peers were sent the bill to charge if this daemon crashes
	final         crlengine.Frame // last frame, delivered only after the bill is durable
	plan          crlcascade.Plan
	usages        []attemptUsage          // one for each completed chat answer, also for one that the caller never saw
	answer        crlengine.ServiceAnswer // answer of a plain service
}

// handler handles an exchange and returns a refusal, or nil once the call is answered.
type handler func(ctx context.Context, x *exchange) *Refusal

// filter wraps a handler with one step, which runs before or after the handler or refuses the call.
type filter func(next handler) handler

// chain wraps the last handler in the filters. The first filter is the outermost and so runs first.
func chain(last handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}
