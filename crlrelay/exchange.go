package crlrelay

import "encoding/json"

// Exchange carries messages of another package in the calls between followers and their sources, so that these need no calls of their
// own. Its methods may be called concurrently, except that one goroutine calls Request, Pending and Learn.
type Exchange interface {
	// Request returns the message for the next call to a source, nil for none. isNew is set until a call to that incarnation of
	// the source succeeds.
	Request(isNew bool) json.RawMessage
	// Reply applies the message of a follower and returns the reply, nil for none.
	Reply(request json.RawMessage) json.RawMessage
	// Pending reports whether there are messages to exchange. While there are, the second reader calls the first one, so that the messages of
	// all daemons meet at the first.
	Pending() bool
	// Learn applies the reply of a source.
	Learn(reply json.RawMessage)
}

// DeferredExchange is an Exchange whose replies are composed when a held call is answered, so that they are not older than the answer.
type DeferredExchange interface {
	Exchange
	// Receive applies the message of a follower, and returns the function that composes the reply, nil for none. It is called instead of
	// Reply.
	Receive(request json.RawMessage) (reply func() json.RawMessage)
}

// Receive applies the message of a follower and returns the function that returns the exchange's reply.
func Receive(e Exchange, request json.RawMessage) (reply func() json.RawMessage) {
	if deferred, ok := e.(DeferredExchange); ok {
		return deferred.Receive(request)
	}
	message := e.Reply(request)
	return func() json.RawMessage { return message }
}

// noExchange is the Exchange of a daemon without messages.
type noExchange struct{}

func (noExchange) Request(bool) json.RawMessage          { return nil }
func (noExchange) Reply(json.RawMessage) json.RawMessage { return nil }
func (noExchange) Pending() bool                         { return false }
func (noExchange) Learn(json.RawMessage)                 {}
