// Package crlsession encrypts and authenticates the tokens that callers hold: session tokens, and stream tokens with which a
// caller resumes a streamed answer.
//
// A Sealer turns a Session or a Stream into a token and back. A token is the identifier of a key, a dot, and the content in
// CBOR, sealed with AES-256-GCM under that key. Keys come from the settings. Every daemon that has the key accepts the token,
// so that a session needs no record anywhere. Keys are rotated by adding a key, sealing with it, and removing the old key
// later, after which tokens sealed with the old key no longer open.
//
// A Sealer is immutable and safe for concurrent use. Opening a token that isn't valid fails with ErrRefused, whatever is
// wrong with it.
package crlsession
