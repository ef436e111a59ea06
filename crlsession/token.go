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

// KeyID identifies a key in the settings and in tokens.
type KeyID string

// KeyBytes is the length of a key in bytes, that of AES-256.
const KeyBytes = 32

// ErrRefused is returned for a token that is malformed, is of another kind, was changed, or was sealed with an unknown key.
var ErrRefused = errors.New("token is not valid")

// Session is the content of a session token.
type Session struct {
	ID           crlid.Session      `cbor:"1,keyasint"`
	Organisation crlid.Organisation `cbor:"2,keyasint"`
	Version      crlid.Version      `cbor:"3,keyasint"`
	Server       crlid.Server       `cbor:"4,keyasint"` // backend server of the last call, which may have its prompt cached
}

// Stream is the content of a stream token, with which any daemon can resume the answer.
type Stream struct {
	Request      crlid.Request      `cbor:"1,keyasint"`
	Organisation crlid.Organisation `cbor:"2,keyasint"`
	Version      crlid.Version      `cbor:"3,keyasint"`
	Server       crlid.Server       `cbor:"4,keyasint"` // backend server that streams the answer
	EngineStream string             `cbor:"5,keyasint"` // engine's name of the stream
	Class        crlid.Class        `cbor:"6,keyasint"`
}

// SealerConfig configures a Sealer.
type SealerConfig struct {
	Keys   map[KeyID][]byte // all keys that open tokens; each has KeyBytes bytes
	Newest KeyID            // key that seals new tokens; must be one of Keys
}

// Sealer seals and opens tokens. It is safe for concurrent use.
type Sealer struct {
	newest KeyID
	keys   map[KeyID]cipher.AEAD
}

// NewSealer returns a Sealer, or an error that names the unusable key.
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

// tokenKind is authenticated with each token, so that a token of one kind isn't accepted as one of the other.
type tokenKind string

const (
	kindSession tokenKind = "session"
	kindStream  tokenKind = "stream"
)

// SealSession returns the token of a session.
func (s *Sealer) SealSession(session Session) (string, error) { return s.seal(kindSession, session) }

// OpenSession returns the content of a session token. If the token isn't valid, the error wraps ErrRefused.
func (s *Sealer) OpenSession(token string) (Session, error) {
	var session Session
	return session, s.open(kindSession, token, &session)
}

// SealStream returns the token with which a caller can resume a streamed answer.
func (s *Sealer) SealStream(stream Stream) (string, error) { return s.seal(kindStream, stream) }

// OpenStream returns the content of a stream token. If the token isn't valid, the error wraps ErrRefused.
func (s *Sealer) OpenStream(token string) (Stream, error) {
	var stream Stream
	return stream, s.open(kindStream, token, &stream)
}

func (s *Sealer) seal(kind tokenKind, content any) (string, error) {
	plain, err := cbor.Marshal(content)
	if err != nil {
		return "", fmt.Errorf("seal %s token: %w", kind, err)
	}
	sealed := s.keys[s.newest].Seal(nil, nil, plain, additionalData(kind, s.newest))
	return string(s.newest) + "." + base64.RawURLEncoding.EncodeToString(sealed), nil
}

func (s *Sealer) open(kind tokenKind, token string, content any) error {
	// The key identifier may contain dots; the sealed part, in base64url, can't.
	dot := max(0, strings.LastIndexByte(token, '.'))
	id, encoded := token[:dot], strings.TrimPrefix(token[dot:], ".")
	aead, ok := s.keys[KeyID(id)]
	if !ok {
		return fmt.Errorf("open %s token: %w", kind, ErrRefused)
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("open %s token: %w", kind, ErrRefused)
	}
	plain, err := aead.Open(nil, nil, sealed, additionalData(kind, KeyID(id)))
	if err != nil {
		return fmt.Errorf("open %s token: %w", kind, ErrRefused)
	}
	if err := cbor.Unmarshal(plain, content); err != nil {
		return fmt.Errorf("open %s token: %w", kind, ErrRefused)
	}
	return nil
}

// additionalData returns what is authenticated with a token but not part of its sealed content.
func additionalData(kind tokenKind, id KeyID) []byte { return []byte(string(kind) + "." + string(id)) }

// NewKey returns a new random key of KeyBytes bytes.
func NewKey() []byte {
	key := make([]byte, KeyBytes)
	_, _ = rand.Read(key)
	return key
}
