// Package crlengine is the HTTP client with which daemons send attempts to backend servers: model engines and plain services.
//
// Client.Open sends a chat request to a model engine, or resumes a stream there, and returns an Answer. Engines speak the
// OpenAI-compatible chat protocol with server-sent events. The id of each event is the frame number; response headers state
// the version that serves, the boot of the server and the engine's name of the stream. Client.Call sends one POST to a plain
// service and returns its complete answer. A Client is safe for concurrent use.
//
// Every failure is an *Error. Its NotRun method reports whether the server surely did not run the attempt; only then may a
// refusal to the caller state that it did not run, and a non-idempotent call be sent again. To keep this certain, a
// non-idempotent call gets a new connection of its own, and a body that net/http can't send a second time.
package crlengine
