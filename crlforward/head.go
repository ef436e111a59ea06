package crlforward

import (
	"net/http"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// Part is a part of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens crlid.Tokens
}

// Head is what a request says of itself.
type Head struct {
	Request  crlid.Request
	Deadline time.Duration // Deadline is how long the caller waits, 0 when it does not say.
	After    int64         // After is the last event of a stream that the caller holds.
	Resumes  bool          // Resumes is set when After was given.
	Model    crlid.Model
	Prompt   crlid.Tokens  // Prompt is the length of the prompt.
	Output   crlid.Tokens  // Output is the longest answer asked for.
	Expected crlid.Tokens  // Expected is the caller's estimate of the answer's length, 0 when it gives none.
	Parts    []Part        // Parts are the prompt's parts in order; the last belongs to the request or its session.
	Session  crlid.Session // Session is empty for requests that belong to none.
	Key      string        // Key is the caller's key, empty when there is none.
}

// Attempt is what the system tells a backend server of a request.
type Attempt struct {
	Server       crlid.Server
	Organisation crlid.Organisation
	Model        crlid.Model // Model is set where the system chooses the model.
	Deadline     time.Duration
	After        int64
	Resumes      bool
	Urgency      int // Urgency ranks requests at the server, 0 is the most urgent; negative for the server's default.
}

// NoConfidence is the confidence of an answer that doesn't state one.
const NoConfidence = -1

// AnswerHead is what an answer says of itself.
type AnswerHead struct {
	Request    crlid.Request // Request is the request that the answer belongs to.
	NotRun     bool          // NotRun is set when the server states that it did not run the request.
	Signed     bool          // Signed is set when the answer carries the server's signature.
	Confidence int           // Confidence is the model's own opinion of the answer from 0 to 100, or NoConfidence.
	Weights    crlid.Version // Weights is the version of the weights that made the answer.
}

// Dialect translates between headers and what they say.
type Dialect interface {
	// DecodeRequest returns what the headers of a caller say.
	DecodeRequest(header http.Header) (Head, error)
	// EncodeAttempt removes headers that are not the server's business and sets those that the system owns.
	EncodeAttempt(header http.Header, attempt Attempt)
	// DecodeAnswer returns what the headers of a backend server say.
	DecodeAnswer(status int, header http.Header) AnswerHead
	// RetryAfter tells a caller when to come back.
	RetryAfter(header http.Header, after time.Duration)
}
