package crlforward

import (
	"net/http"
	"time"

	"github.com/cranberrylock/cranberrylock/crlfleet"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// Part is a section of a prompt that several requests may have in common, such as a system prompt.
type Part struct {
	ID     string // equal for parts with equal content
	Tokens crlid.Tokens
}

// Head holds what a caller states in a request's headers.
type Head struct {
	Request              crlid.Request
	Deadline             time.Duration // how long the caller waits, 0 if not stated
	LastEvent            int64         // number of the last event of the stream that the caller already has
	Resumes              bool          // whether the caller stated LastEvent
	Model                crlid.Model
	PromptTokens         crlid.Tokens  // length of the prompt, 0 if not stated
	MaxAnswerTokens      crlid.Tokens  // greatest length of the answer, 0 if not stated
	ExpectedAnswerTokens crlid.Tokens  // the caller's estimate of the answer's length, 0 if not stated
	Parts                []Part        // sections of the prompt in order; the last belongs to the request or its session alone
	Session              crlid.Session // empty for a request outside any session
	Key                  string        // the caller's API key, empty for none
}

// Attempt holds what the router states to a backend server in the headers of one send.
type Attempt struct {
	Server       crlid.Server
	Organisation crlid.Organisation
	Model        crlid.Model   // the model that the router chose from the route's list, empty for a route without one
	Deadline     time.Duration // time left until the request's deadline
	LastEvent    int64         // number of the last event of the stream that the caller already has
	Resumes      bool          // whether the stream continues after LastEvent
	Priority     int           // rank among the server's requests, 0 for the most urgent; negative for the server's default
}

// Handover holds what the router states to another one in the headers of a request that it hands over.
type Handover struct {
	Deadline  time.Duration // time left until the request's deadline
	LastEvent int64         // number of the last event of the stream that the caller already has
	Resumes   bool          // whether the stream continues after LastEvent
}

// NoConfidence is the confidence of an answer that doesn't state one.
const NoConfidence = -1

// AnswerHead holds what a backend server states in the headers of an answer.
type AnswerHead struct {
	Request    crlid.Request      // the request that the answer belongs to
	NotRun     bool               // whether the server states that it did not run the request
	Signed     bool               // whether the answer carries a server's signature, which is not verified
	Confidence int                // the model's own rating of the answer, 0 to 100, or NoConfidence
	Weights    crlid.Version      // version of the model weights that produced the answer
	Statement  crlfleet.Statement // what the server states about itself
}

// Dialect translates between the headers of a platform and their meaning. Its methods may be called concurrently.
type Dialect interface {
	// DecodeRequest parses the headers of a caller's request. After an error the Head holds what was parsed so far.
	DecodeRequest(header http.Header) (Head, error)
	// EncodeAttempt removes headers that a backend server must not get, and sets those that the router alone may set.
	EncodeAttempt(header http.Header, attempt Attempt)
	// EncodeHandover sets what has changed since the caller sent the request, for another router that decodes it with DecodeRequest.
	EncodeHandover(header http.Header, handover Handover)
	// DecodeAnswer parses the status and headers of a backend server's answer.
	DecodeAnswer(status int, header http.Header) AnswerHead
	// RetryAfter sets the header that asks the caller to retry after a time.
	RetryAfter(header http.Header, after time.Duration)
}

// maxStatedTokens bounds each number of tokens that a caller states, for estimates and the load of servers. It is above the memory of present
// engines. Without it, one wrong number overflows durations, and other daemons ignore the whole report of load that contains it.
const maxStatedTokens crlid.Tokens = 1_000_000

// boundTokens reduces numbers of tokens above maxStatedTokens.
func (h *Head) boundTokens() {
	for _, tokens := range []*crlid.Tokens{&h.PromptTokens, &h.MaxAnswerTokens, &h.ExpectedAnswerTokens} {
		*tokens = min(*tokens, maxStatedTokens)
	}
	for i := range h.Parts {
		h.Parts[i].Tokens = min(h.Parts[i].Tokens, maxStatedTokens)
	}
}
