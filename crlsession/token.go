package crlsession

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// KeyID names a sealing key.
type KeyID string

// KeyBytes is the length of a sealing key.
const KeyBytes = 32

// ErrRefused is returned for a token that no key opens.
var ErrRefused = errors.New("token is not valid")

// Session is what a session token carries.
type Session struct {
	ID           crlid.Session      `cbor:"1,keyasint"`
	Organisation crlid.Organisation `cbor:"2,keyasint"`
	Version      crlid.Version      `cbor:"3,keyasint"`
	Server       crlid.Server       `cbor:"4,keyasint"` // Server served the last call and may hold its cache.
}

// Stream is what a stream token carries, so that any daemon can resume the answer.
type Stream struct {
	Request      crlid.Request      `cbor:"1,keyasint"`
	Organisation crlid.Organisation `cbor:"2,keyasint"`
	Version      crlid.Version      `cbor:"3,keyasint"`
	Server       crlid.Server       `cbor:"4,keyasint"`
	EngineStream string             `cbor:"5,keyasint"` // Engine is the engine's own name of the stream.
	Class        crlid.Class        `cbor:"6,keyasint"`
}

// SealerConfig configures a Sealer.
type SealerConfig struct {
	Keys   map[KeyID][]byte // Keys open tokens; each has KeyBytes bytes.
	Newest KeyID            // Newest seals.
}

// Sealer seals and opens tokens.
type Sealer struct {
	newest KeyID
	keys   map[KeyID]cipher.AEAD
}

// NewSealer returns a sealer, or an error that names the key that can't be used.
func NewSealer(config SealerConfig) (*Sealer, error) {
	s := &Sealer{newest: config.Newest, keys: make(map[KeyID]cipher.AEAD)}
	for id, key := range config.Keys {
		if len(key) != KeyBytes {
			return nil, fmt.Errorf("key %s has %d bytes, allowed are %d", id, len(key), KeyBytes)
		}
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, fmt.Errorf("key %s: %w", id, err)
		}
		if s.keys[id], err = cipher.NewGCMWithRandomNonce(block); err != nil {
			return nil, fmt.Errorf("key %s: %w", id, err)
		}
	}
	if _, ok := s.keys[s.newest]; !ok {
		return nil, fmt.Errorf("newest key %q is not among the keys", s.newest)
	}
	return s, nil
}

// purpose separates the kinds of tokens, so that one can't pass for the other.
type tokenKind string

const (
	kindSession tokenKind = "session"
	kindStream  tokenKind = "stream"
)

// SealSession returns the token of a session.
func (s *Sealer) SealSession(session Session) (string, error) { return s.seal(kindSession, session) }

// OpenSession returns the session of a token, or ErrRefused.
func (s *Sealer) OpenSession(token string) (Session, error) {
	var session Session
	return session, s.open(kindSession, token, &session)
}

// SealStream returns the token of a streamed answer.
func (s *Sealer) SealStream(stream Stream) (string, error) { return s.seal(kindStream, stream) }

// OpenStream returns the stream of a token, or ErrRefused.
func (s *Sealer) OpenStream(token string) (Stream, error) {
	var stream Stream
	return stream, s.open(kindStream, token, &stream)
}

func (s *Sealer) seal(kind tokenKind, body any) (string, error) {
	plain, err := cbor.Marshal(body)
	if err != nil {
		return "", fmt.Errorf("seal %s token: %w", kind, err)
	}
	sealed := s.keys[s.newest].Seal(nil, nil, plain, additionalData(kind, s.newest))
	return string(s.newest) + "." + base64.RawURLEncoding.EncodeToString(sealed), nil
}

func (s *Sealer) open(kind tokenKind, token string, body any) error {
	// The sealed part has no dot, a key's name may.
	dot := max(0, strings.LastIndexByte(token, '.'))
	id, text := token[:dot], strings.TrimPrefix(token[dot:], ".")
	aead, ok := s.keys[KeyID(id)]
	if !ok {
		return fmt.Errorf("open %s token: %w", kind, ErrRefused)
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return fmt.Errorf("open %s token: %w", kind, ErrRefused)
	}
	plain, err := aead.Open(nil, nil, sealed, additionalData(kind, KeyID(id)))
	if err != nil {
		return fmt.Errorf("open %s token: %w", kind, ErrRefused)
	}
	if err := cbor.Unmarshal(plain, body); err != nil {
		return fmt.Errorf("open %s token: %w", kind, ErrRefused)
	}
	return nil
}

func additionalData(kind tokenKind, id KeyID) []byte { return []byte(string(kind) + "." + string(id)) }

// NewKey returns a fresh random key.
func NewKey() []byte {
	key := make([]byte, KeyBytes)
	_, _ = rand.Read(key)
	return key
}
